package slopes

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const (
	// askRequests is the number of requests that are placed one after the other.
	askRequests = 3000
	// blockTokens is the block size of the pools in tokens.
	blockTokens = 64
)

// placementNode is the request placement of one instance, with its server and client for peers.
type placementNode struct {
	fleetpb.DRPCFleetUnimplementedServer
	fleet   *placement.Fleet
	traffic *transport.Traffic
	address string
}

// Ask implements the Fleet service.
func (p *placementNode) Ask(ctx context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return p.fleet.Ask(ctx, in)
}

// Report implements the Fleet service.
func (p *placementNode) Report(ctx context.Context, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return p.fleet.Report(ctx, in)
}

func startPlacementNode(ctx context.Context, name string) (*placementNode, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &placementNode{traffic: &transport.Traffic{}, address: ln.Addr().String()}
	ownerServer := placement.NewOwnerServer(placement.OwnerServerConfig{
		Self: name, Clock: clock.System{}, FirstGrantID: 1, HandOver: func(string, string, []byte, func()) {},
		Lost: func(string, uint64, []owner.Fingerprint) {},
	})
	p.fleet = placement.NewFleet(placement.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: fleetName, Instance: name, Incarnation: uint64(time.Now().UnixNano())},
		Clock:  clock.System{}, Peers: transport.NewClient(transport.DialTCP, nil, p.traffic), OwnerServer: ownerServer,
		Publish: func(context.Context, exchange.Key, []byte, time.Duration) error { return nil },
	})
	server, err := transport.NewServer(fleetName, p, nil, p.traffic)
	if err != nil {
		return nil, err
	}
	go server.Serve(ctx, ln)
	go ownerServer.Run(ctx)
	go p.fleet.Run(ctx)
	return p, nil
}

// memberView returns a view in which all the named members are alive and may own endpoints.
func memberView(self string, names []string, addresses []string) *member.View {
	v := &member.View{Self: self}
	for i, name := range names {
		v.Members = append(v.Members, member.Member{
			Name: name, Address: addresses[i], DataCentre: "accra-1", Status: fleetpb.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	slices.SortFunc(v.Members, func(a, b member.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, m := range v.Members {
		v.Owners = append(v.Owners, m.Name)
	}
	return v
}

func poolRecord(endpoints int) *record.Snapshot {
	pool := &recordspb.EndpointPool{
		Slots: 64, UrgentSlots: proto.Int64(2), BlockTokens: blockTokens, CacheBlocks: 4096, PrefillTokensPerSecond: 1e9,
	}
	for i := range endpoints {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), DataCentre: "accra-1",
		})
	}
	return record.NewSnapshot(1, []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}},
	})
}

// promptBlocks returns the block hashes of a prompt. The first half is the same in all requests.
func promptBlocks(blocks, request int) []prefix.Hash {
	list := make([]prefix.Hash, blocks)
	for i := range list {
		binary.LittleEndian.PutUint64(list[i][:], uint64(i+1))
		if i >= blocks/2 {
			binary.LittleEndian.PutUint64(list[i][8:], uint64(request+1))
		}
	}
	return list
}

func requestOf(i, blocks int) placement.Request {
	return placement.Request{
		ID: fmt.Sprintf("req-%d", i), Organisation: "accra", PoolName: "engines", Model: "counter", Version: "1",
		Class:  &recordspb.RequestClass{MaxWaitMs: 20000, TimeoutMs: 60000},
		Blocks: promptBlocks(blocks, i), PromptTokens: int64(blocks * blockTokens), MaxTokens: 100,
	}
}

// measureAsk measures placing requests on endpoints that another instance owns.
func measureAsk(_ Options, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry, err := startPlacementNode(ctx, "entry")
	if err != nil {
		return err
	}
	other, err := startPlacementNode(ctx, "other")
	if err != nil {
		return err
	}
	// The entry is not an owner, so that each Ask goes over the network.
	names, addresses := []string{"other"}, []string{other.address}
	for _, p := range []struct {
		p    *placementNode
		self string
	}{{entry, "entry"}, {other, "other"}} {
		p.p.fleet.SetView(ctx, memberView(p.self, names, addresses))
		p.p.fleet.SetRecords(ctx, poolRecord(9))
	}
	fmt.Fprintf(out, "ask and reports of one request over loopback, %d requests one by one\n", askRequests)
	fmt.Fprintf(out, "%7s %9s %9s %12s %14s %14s %8s\n", "blocks", "p50", "p99", "with owner", "entry sent B", "entry recv B", "cpu us")
	for _, blocks := range []int{8, 64, 256} {
		if err := measureAskBlocks(ctx, out, entry, blocks); err != nil {
			return err
		}
	}
	return nil
}

func measureAskBlocks(ctx context.Context, out io.Writer, entry *placementNode, blocks int) error {
	var took []time.Duration
	owned := 0
	startCPU, sent, received := cpuTime(), entry.traffic.Sent.Load(), entry.traffic.Received.Load()
	for i := range askRequests {
		r := requestOf(blocks<<20+i, blocks)
		begin := time.Now()
		g, err := entry.fleet.Place(ctx, r)
		if err != nil {
			return err
		}
		took = append(took, time.Since(begin))
		if g.ID != 0 {
			owned++
		}
		entry.fleet.FirstToken(g, 0, time.Millisecond)
		entry.fleet.Done(g, placement.Result{End: placement.EndDone, OutputTokens: 100})
	}
	time.Sleep(100 * time.Millisecond) // until the last reports are sent
	spent := cpuTime() - startCPU
	slices.Sort(took)
	n := float64(askRequests)
	fmt.Fprintf(out, "%7d %9v %9v %12d %14.0f %14.0f %8.1f\n", blocks, quantile(took, 0.5).Round(time.Microsecond), quantile(took, 0.99).Round(time.Microsecond),
		owned, float64(entry.traffic.Sent.Load()-sent)/n, float64(entry.traffic.Received.Load()-received)/n, float64(spent.Microseconds())/n)
	return nil
}
