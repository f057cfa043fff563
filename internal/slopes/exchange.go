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
	// recordBytes is the size of an organisation's record.
	recordBytes = 400
	// settleTime is how long a new fleet runs before it is measured.
	settleTime = 12 * time.Second
	// headerBytes is the size of a TCP segment's headers, including IP and Ethernet.
	headerBytes = 66
)

// node is the fleet membership and exchange of one instance, without request traffic.
type node struct {
	fleetpb.DRPCFleetUnimplementedServer
	node    *fleet.Node
	client  *transport.Client
	traffic *transport.Traffic
	address string
	// followedVersion is the highest version of followedRecord known to this node.
	followedVersion atomic.Uint64
}

// Exchange implements the Fleet service.
func (n *node) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return n.node.Exchange(ctx, in)
}

// startNode serves and runs one node until ctx ends.
func startNode(ctx context.Context, wg *sync.WaitGroup, i int, seeds []string) (*node, error) {
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
				if it.Key.Name == followedRecord {
					n.followedVersion.Store(it.Version)
				}
			}
		},
	})
	server, err := transport.NewServer(fleetName, n, nil, n.traffic)
	if err != nil {
		return nil, err
	}
	wg.Go(func() { server.Serve(ctx, ln) })
	wg.Go(func() { n.node.Run(ctx) })
	return n, nil
}

// startNodes starts count nodes that hold the same items. The first node is the seed of the
// others.
func startNodes(ctx context.Context, wg *sync.WaitGroup, count int, items []exchange.Item) ([]*node, error) {
	var nodes []*node
	var seeds []string
	for i := range count {
		n, err := startNode(ctx, wg, i, seeds)
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

// syntheticItems returns items for endpoints and records, of the sizes that they have in the target
// fleet.
func syntheticItems(endpoints, records int) []exchange.Item {
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

// trafficCounts is the summed traffic of several nodes: bytes sent and received, and segments.
type trafficCounts struct{ sent, received, segments uint64 }

func trafficOfNodes(nodes []*node) trafficCounts {
	var c trafficCounts
	for _, n := range nodes {
		c.sent += n.traffic.Sent.Load()
		c.received += n.traffic.Received.Load()
		c.segments += n.traffic.Writes.Load() + n.traffic.Reads.Load()
	}
	return c
}

// measureExchange measures the traffic, CPU time and memory of the exchange when nothing changes.
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
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	before := heapInUse()
	nodes, err := startNodes(ctx, &wg, size, syntheticItems(o.Endpoints, o.Records))
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	memory := float64(heapInUse()-before) / float64(size) / (1 << 20)
	begin, startCPU, startTraffic := time.Now(), cpuTime(), trafficOfNodes(nodes)
	time.Sleep(o.Rest)
	seconds := time.Since(begin).Seconds() * float64(size)
	now, spent := trafficOfNodes(nodes), cpuTime()-startCPU
	sent, received := float64(now.sent-startTraffic.sent)/seconds, float64(now.received-startTraffic.received)/seconds
	headers := float64(now.segments-startTraffic.segments) / seconds * headerBytes
	fmt.Fprintf(out, "%9d %12.0f %12.0f %14.0f %12.3f %12.2f %10d\n", size, sent, received, sent+received+headers,
		100*spent.Seconds()/seconds, memory, len(nodes[size-1].node.View().Owners))
	return nil
}
