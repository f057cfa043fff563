package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// network connects nodes by in-memory pipes.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// onlyExchange serves only the Exchange calls of a node.
type onlyExchange struct {
	fleetpb.DRPCFleetUnimplementedServer
	node *Node
}

func (s *onlyExchange) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return s.node.Exchange(ctx, in)
}

// startNode runs a node until ctx is done and counts the records that it receives.
func startNode(ctx context.Context, t *testing.T, w *network, i int, complete bool) (*Node, *recordCount) {
	t.Helper()
	client := transport.NewClient(w.dial, nil, &transport.Traffic{})
	count := &recordCount{}
	node := NewNode(Config{
		Fleet:    "test",
		Self:     member.Member{Name: name(i), Address: address(i), Incarnation: uint64(time.Now().UnixNano())},
		Seeds:    []string{address(0)},
		Timeouts: member.DefaultTimeouts,
		Client:   client,
		Clock:    clock.System{},
		Seed:     uint64(i),
		Complete: func() bool { return complete },
		Changed:  count.changed,
	})
	server, err := transport.NewServer("test", &onlyExchange{node: node}, nil, &transport.Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ctx, w.listen(address(i)))
	go func() {
		node.Run(ctx)
		client.Close()
	}()
	return node, count
}

type recordCount struct {
	mu sync.Mutex
	n  int
}

func (r *recordCount) changed(items []exchange.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range items {
		if it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_RECORD {
			r.n++
		}
	}
}

func (r *recordCount) get() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// An instance starts while the object API is down. Without its peers' records it
// could serve no caller until the outage ends.
func TestStartingInstancePullsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &network{listeners: map[string]*memoryListener{}}
		first, _ := startNode(ctx, t, w, 0, true)
		const records = 3000
		for i := range records {
			it := record(uint64(i + 1))
			it.Key.Name = "organisations/" + name(i)
			it.Value = make([]byte, 400)
			if err := first.Publish(ctx, it); err != nil {
				t.Fatal(err)
			}
		}
		second, received := startNode(ctx, t, w, 1, false)
		begin := time.Now()
		if !second.Pull(ctx, []string{"unreachable", address(0)}) {
			t.Fatal("the peer's records are not complete")
		}
		if took := time.Since(begin); took >= time.Second {
			t.Fatalf("the pull took %v", took)
		}
		if received.get() != records {
			t.Fatalf("received %d records, want %d", received.get(), records)
		}
		if third, _ := startNode(ctx, t, w, 2, false); third.Pull(ctx, []string{address(1)}) {
			t.Fatal("the records of an incomplete peer were taken as complete")
		}
		cancel()
		synctest.Wait()
	})
}

func TestNodesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &network{listeners: map[string]*memoryListener{}}
		var nodes []*Node
		for i := range 5 {
			node, _ := startNode(ctx, t, w, i, true)
			nodes = append(nodes, node)
		}
		time.Sleep(20 * time.Second)
		if err := nodes[3].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		for i, node := range nodes {
			if owners := node.View().Owners; len(owners) != 4 {
				t.Fatalf("%s has owners %v, want 4", name(i), owners)
			}
			if d := node.Dump(ctx); d.Kinds["ITEM_KIND_MEMBER"] != 5 {
				t.Fatalf("%s has items %v, want 5 members", name(i), d.Kinds)
			}
		}
		if err := nodes[3].FinishLeave(ctx); err != nil {
			t.Fatal(err)
		}
		cancel()
		synctest.Wait()
	})
}
