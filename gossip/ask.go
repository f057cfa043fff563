package gossip

import (
	"context"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

var (
	asksTotal     = metrics.GetOrCreateCounter("sardinedock_gossip_asks_total")
	answeredTotal = metrics.GetOrCreateCounter("sardinedock_gossip_asks_answered_total")
)

// asks holds the requests to schedulers whose decisions are pending, by run.
type asks struct {
	mu      sync.Mutex
	pending map[uint64]chan *gossippb.Decision
}

func (a *asks) open(run uint64) <-chan *gossippb.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[uint64]chan *gossippb.Decision{}
	}
	c := make(chan *gossippb.Decision, 1)
	a.pending[run] = c
	return c
}

func (a *asks) close(run uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, run)
}

// deliver passes a decision to the goroutine waiting for it; a late one is dropped.
func (a *asks) deliver(v *gossippb.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.pending[v.GetRun()]
	if !ok {
		return
	}
	select {
	case c <- v:
	default:
		// The datagram was duplicated.
	}
}

// Ask asks a scheduler which endpoint a request goes to. It blocks until the decision arrives
// or ctx is done; the error is then of kind fault.Unavailable. The datagram is sent only once:
// asking the next scheduler is better than asking an unresponsive one again.
func (n *Node) Ask(ctx context.Context, to Peer, a *gossippb.Ask) (*gossippb.Decision, error) {
	c := n.asks.open(a.GetRun())
	defer n.asks.close(a.GetRun())
	asksTotal.Inc()
	n.write(encode(&gossippb.Datagram{Instance: n.name, Incarnation: n.incarnation, Asks: []*gossippb.Ask{a}}), to.Address)
	select {
	case v := <-c:
		answeredTotal.Inc()
		if ctx.Err() == nil {
			return v, nil
		}
	case <-ctx.Done():
	}
	return nil, fault.Wrap(context.Cause(ctx), fault.Unavailable, "check that the scheduler is running and reachable", "no answer from scheduler %s", to.Name)
}

// answerAsks decides on the requests in a peer's datagram and sends the decisions back.
func (n *Node) answerAsks(d *gossippb.Datagram, from netip.AddrPort) {
	if len(d.GetAsks()) == 0 {
		return
	}
	reply := &gossippb.Datagram{Instance: n.name, Incarnation: n.incarnation, Scheduler: n.IsScheduler()}
	for _, a := range d.GetAsks() {
		reply.Decisions = append(reply.Decisions, n.handler.Asked(a))
	}
	n.write(encode(reply), from)
}
