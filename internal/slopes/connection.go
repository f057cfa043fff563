package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// refusingServer refuses every Ask.
type refusingServer struct {
	fleetpb.DRPCFleetUnimplementedServer
}

func (*refusingServer) Ask(context.Context, *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return &fleetpb.AskReply{Refusal: "endpoint"}, nil
}

// measureConnection prints the heap and stack memory of an idle connection between two instances,
// both ends together.
func measureConnection(_ Options, out io.Writer) error {
	fmt.Fprintf(out, "idle connections between instances\n%12s %22s\n", "connections", "bytes each, both ends")
	for _, n := range []int{100, 400, 800} {
		if err := measureConnectionCount(out, n); err != nil {
			return err
		}
	}
	return nil
}

func measureConnectionCount(out io.Writer, n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	traffic := &transport.Traffic{}
	server, err := transport.NewServer(fleetName, &refusingServer{}, nil, traffic)
	if err != nil {
		return err
	}
	go server.Serve(ctx, ln)
	before := heapInUse()
	clients := make([]*transport.Client, n)
	for i := range clients {
		clients[i] = transport.NewClient(transport.DialTCP, nil, traffic)
		defer clients[i].Close()
		in := &fleetpb.AskRequest{Caller: &fleetpb.Caller{Fleet: fleetName, Instance: "entry"}}
		if _, err := clients[i].Ask(ctx, ln.Addr().String(), time.Second, in); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%12d %22.0f\n", n, float64(heapInUse()-before)/float64(n))
	return nil
}
