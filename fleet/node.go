// Package fleet makes instances know each other and share soft state: who is
// alive, records, states of endpoints, fingerprints of requests that crash
// endpoints, and use by organisation. Losing any of it costs speed, never
// correctness.
package fleet

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// eventsRing bounds what waits for the duty. A full ring holds publishers
	// and peers up; the duty does no I/O and empties it in milliseconds.
	eventsRing = 1024
	// callBound is how long a peer may take to answer. Regions are tens of
	// milliseconds apart; the rest is room for a busy machine.
	callBound = time.Second
	// checkBound is shorter, as the peer that asked waits for callBound.
	checkBound = 400 * time.Millisecond
	// maxChecks bounds what one message may make an instance try.
	maxChecks = 4
	// maxCalls bounds the open calls of the exchange.
	maxCalls = 16
)

var callsSkipped = metrics.GetOrCreateCounter("sardinedock_fleet_exchanges_skipped_total")

// Config is what a Node needs.
type Config struct {
	// Fleet is the fleet's name; messages of another one are refused.
	Fleet string
	// Self describes the instance; its incarnation should be the start time.
	Self member.Member
	// Seeds are addresses that may be up at start.
	Seeds  []string
	Bounds member.Bounds
	Client *transport.Client
	Clock  clock.Clock
	// Seed makes the random choices of peers differ between instances.
	Seed uint64
	// Complete tells whether this instance holds all records.
	Complete func() bool
	// ViewChanged is told of each new view by the node's goroutine. It must not
	// block nor call the node; nil tells nobody.
	ViewChanged func(*member.View)
	// Changed is told of each item that was new here, by the node's goroutine,
	// in order. It must not block nor call the node.
	Changed func([]exchange.Item)
}

// Node is the duty that runs exchange and membership. One goroutine owns its
// state. The methods may be called by any goroutine; those with a ctx block
// until it ends at the longest.
type Node struct {
	cfg    Config
	events *ring.Ring[event]
	view   atomic.Pointer[member.View]
	calls  chan struct{}
	open   sync.WaitGroup
	done   chan struct{}

	core *core
}

// event is applied to the core by the duty's goroutine.
type event func(c *core, now time.Time) []outgoing

// NewNode returns a node that Run starts.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:    cfg,
		events: ring.New[event]("fleet_events", eventsRing),
		calls:  make(chan struct{}, maxCalls),
		done:   make(chan struct{}),
	}
	n.core = newCore(cfg, rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Self.Name)))), cfg.Clock.Now())
	n.view.Store(n.core.table.View())
	return n
}

// View returns the members as last seen.
func (n *Node) View() *member.View { return n.view.Load() }

// Run runs the duty until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	defer n.open.Wait()
	ticker := time.NewTicker(pushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.step(ctx, (*core).tick)
		case e := <-n.events.C():
			n.step(ctx, e)
		}
	}
}

func (n *Node) step(ctx context.Context, e event) {
	for _, o := range e(n.core, n.cfg.Clock.Now()) {
		n.send(ctx, o)
	}
	if n.core.table.TakeDirty() {
		view := n.core.table.View()
		n.view.Store(view)
		if n.cfg.ViewChanged != nil {
			n.cfg.ViewChanged(view)
		}
	}
}

// send makes a call in a goroutine of its own. With too many open calls, most
// peers do not answer; more calls would not find it out sooner.
func (n *Node) send(ctx context.Context, o outgoing) {
	select {
	case n.calls <- struct{}{}:
	default:
		callsSkipped.Inc()
		return
	}
	n.open.Go(func() {
		defer func() { <-n.calls }()
		reply, err := n.cfg.Client.Exchange(ctx, o.peer.Address, callBound, o.request)
		if ctx.Err() != nil {
			return
		}
		_ = n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
			if err != nil {
				return c.failed(o, now)
			}
			return c.replied(o, reply, now)
		})
	})
}

// do runs fn in the duty's goroutine and waits for it.
func (n *Node) do(ctx context.Context, fn event) error {
	ready := make(chan struct{})
	err := n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		defer close(ready)
		return fn(c, now)
	})
	if err != nil {
		return err
	}
	select {
	case <-ready:
		return nil
	case <-n.done:
		return context.Canceled
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Publish puts items of this instance into the exchange.
func (n *Node) Publish(ctx context.Context, items ...exchange.Item) error {
	return n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, items...)
		return nil
	})
}

// PublishNext puts a value of this instance into the exchange, one version above
// the one held, for kinds that several instances write. A value that is held
// already is not told again before half of its TTL is over.
func (n *Node) PublishNext(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error {
	return n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		old, held := c.store.Get(key)
		if held && bytes.Equal(old.Value, value) && (ttl == 0 || c.store.Left(key, now) > ttl/2) {
			return nil
		}
		c.put(now, exchange.Item{Key: key, Epoch: old.Epoch, Version: old.Version + 1, Value: value, TTL: ttl})
		return nil
	})
}

// SetListed replaces the addresses of the platform's lagging list.
func (n *Node) SetListed(ctx context.Context, addresses []string) error {
	return n.events.Put(ctx, func(c *core, _ time.Time) []outgoing {
		c.table.SetListed(addresses)
		return nil
	})
}

// Tell tells peers which records are in force here and whether the object API
// can be reached.
func (n *Node) Tell(ctx context.Context, recordsVersion uint64, storeReachable bool) error {
	return n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		self := c.table.Self()
		if self.RecordsVersion == recordsVersion && self.StoreReachable == storeReachable {
			return nil
		}
		c.put(now, c.table.Update(func(m *member.Member) {
			m.RecordsVersion, m.StoreReachable = recordsVersion, storeReachable
		}))
		return nil
	})
}

// Leave tells peers that this instance takes no ownership any more. When it
// returns, View knows of it.
func (n *Node) Leave(ctx context.Context) error {
	err := n.do(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, c.table.Leave())
		return c.pushes(now)
	})
	if err != nil {
		return err
	}
	// The view is stored after the event that changed it.
	return n.do(ctx, func(*core, time.Time) []outgoing { return nil })
}

// Left tells partners that this instance ends now, and waits for their
// answers. Peers that miss it find out by themselves.
func (n *Node) Left(ctx context.Context) error {
	err := n.do(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, c.table.Left())
		return c.pushes(now)
	})
	if err != nil {
		return err
	}
	for range cap(n.calls) {
		select {
		case n.calls <- struct{}{}:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Exchange serves a peer's call.
func (n *Node) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	reached := n.check(ctx, in.GetCheck())
	var reply *fleetpb.ExchangeReply
	err := n.do(ctx, func(c *core, now time.Time) []outgoing {
		reply = c.serve(in, now)
		return nil
	})
	if err != nil {
		return nil, err
	}
	reply.Reached = reached
	return reply, nil
}

// check tries instances that a peer could not reach.
func (n *Node) check(ctx context.Context, targets []*fleetpb.Target) []string {
	var reached []string
	for _, t := range targets[:min(len(targets), maxChecks)] {
		self := n.cfg.Self
		in := &fleetpb.ExchangeRequest{Caller: &fleetpb.Caller{Fleet: n.cfg.Fleet, Instance: self.Name, Incarnation: self.Incarnation}}
		reply, err := n.cfg.Client.Exchange(ctx, t.GetAddress(), checkBound, in)
		if err == nil && reply.GetCaller().GetInstance() == t.GetInstance() {
			reached = append(reached, t.GetInstance())
		}
	}
	return reached
}
