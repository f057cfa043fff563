package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	fleetName = "slopes"
	// recordBytes is the size of a record of an organisation.
	recordBytes = 400
	// settle is how long a fleet is left alone before it is measured.
	settle = 12 * time.Second
	// headerBytes is what a TCP segment has beside its payload.
	headerBytes = 66
)

// node is one instance without callers.
type node struct {
	fleetpb.DRPCFleetUnimplementedServer
	node    *fleet.Node
	client  *transport.Client
	traffic *transport.Traffic
	address string
	// heard is the highest version of the followed record here.
	heard atomic.Uint64
}

// Exchange implements the Fleet service.
func (n *node) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return n.node.Exchange(ctx, in)
}

// startNode serves and runs one node until ctx ends.
func startNode(ctx context.Context, open *sync.WaitGroup, i int, seeds []string) (*node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{traffic: &transport.Traffic{}, address: ln.Addr().String()}
	n.client = transport.NewClient(transport.DialTCP, nil, n.traffic)
	n.node = fleet.NewNode(fleet.Config{
		Fleet: fleetName,
		Self: member.Member{
			Name: fmt.Sprintf("entry-%03d", i), Address: n.address, DataCentre: "accra-1", Region: "accra",
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds: seeds, Timeouts: member.DefaultTimeouts, Client: n.client, Clock: clock.System{}, Seed: uint64(i),
		Complete: func() bool { return true },
		Changed: func(items []exchange.Item) {
			for _, it := range items {
				if it.Key.Name == followed {
					n.heard.Store(it.Version)
				}
			}
		},
	})
	server, err := transport.NewServer(fleetName, n, nil, n.traffic)
	if err != nil {
		return nil, err
	}
	open.Go(func() { server.Serve(ctx, ln) })
	open.Go(func() { n.node.Run(ctx) })
	return n, nil
}

// startNodes starts n nodes; the first is the seed of the others, and each
// holds the same items.
func startNodes(ctx context.Context, open *sync.WaitGroup, count int, items []exchange.Item) ([]*node, error) {
	var nodes []*node
	var seeds []string
	for i := range count {
		n, err := startNode(ctx, open, i, seeds)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			seeds = []string{n.address}
			if err := n.node.Publish(ctx, items...); err != nil {
				return nil, err
			}
		} else {
			n.node.Pull(ctx, seeds)
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// someItems are states of endpoints and records as the target has them.
func someItems(endpoints, records int) []exchange.Item {
	var items []exchange.Item
	for i := range endpoints {
		key := exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_ENDPOINT, Name: fmt.Sprintf("engine-%04d", i)}
		items = append(items, exchange.Item{Key: key, Version: 1, Value: make([]byte, 40)})
	}
	for i := range records {
		key := exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_RECORD, Name: fmt.Sprintf("organisations/customer-%04d", i)}
		items = append(items, exchange.Item{Key: key, Version: uint64(i + 1), Value: make([]byte, recordBytes)})
	}
	return items
}

// counts sums up the traffic of nodes.
type counts struct{ sent, received, segments uint64 }

func total(nodes []*node) counts {
	var c counts
	for _, n := range nodes {
		c.sent += n.traffic.Sent.Load()
		c.received += n.traffic.Received.Load()
		c.segments += n.traffic.Writes.Load() + n.traffic.Reads.Load()
	}
	return c
}

func measureExchange(o Options, out io.Writer) error {
	fmt.Fprintf(out, "exchange at rest, %d endpoints and %d records held, %v each\n", o.Endpoints, o.Records, o.Rest)
	fmt.Fprintf(out, "%9s %12s %12s %14s %12s %12s %10s\n", "instances", "sent B/s", "received B/s", "with headers", "cpu % core", "heap MB", "members")
	for _, size := range o.Sizes {
		if err := exchangeAtRest(o, out, size); err != nil {
			return err
		}
	}
	return nil
}

func exchangeAtRest(o Options, out io.Writer, size int) error {
	ctx, cancel := context.WithCancel(context.Background())
	var open sync.WaitGroup
	defer open.Wait()
	defer cancel()
	before := heap()
	nodes, err := startNodes(ctx, &open, size, someItems(o.Endpoints, o.Records))
	if err != nil {
		return err
	}
	time.Sleep(settle)
	memory := float64(heap()-before) / float64(size) / (1 << 20)
	begin, used, was := time.Now(), cpu(), total(nodes)
	time.Sleep(o.Rest)
	seconds := time.Since(begin).Seconds() * float64(size)
	now, spent := total(nodes), cpu()-used
	sent, received := float64(now.sent-was.sent)/seconds, float64(now.received-was.received)/seconds
	headers := float64(now.segments-was.segments) / seconds * headerBytes
	fmt.Fprintf(out, "%9d %12.0f %12.0f %14.0f %12.3f %12.2f %10d\n", size, sent, received, sent+received+headers,
		100*spent.Seconds()/seconds, memory, len(nodes[size-1].node.View().Owners))
	return nil
}
