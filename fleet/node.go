// Package fleet runs the membership of the fleet's instances and replicates soft
// state between them by gossip: member status, records, states of endpoints,
// fingerprints of requests that crash endpoints, and use by organisation. Losing
// any of it costs performance, never correctness.
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
	// eventQueueSize limits the events queued for the node's goroutine. A full
	// queue blocks publishers and the handlers of peers' calls; the goroutine
	// does no I/O and drains it in milliseconds.
	eventQueueSize = 1024
	// callTimeout is the timeout of a call to a peer. The latency between regions
	// is tens of milliseconds; the rest allows for a busy machine.
	callTimeout = time.Second
	// checkTimeout is the timeout of a call made on behalf of a peer, which
	// itself waits for callTimeout.
	checkTimeout = 400 * time.Millisecond
	// maxCheckTargets limits the members that one request may make an instance
	// check.
	maxCheckTargets = 4
	// maxCalls limits the calls in flight.
	maxCalls = 16
)

var callsSkipped = metrics.GetOrCreateCounter("sardinedock_fleet_exchanges_skipped_total")

// Config holds the settings and dependencies of a Node.
type Config struct {
	// Fleet is the fleet's name. Messages from another fleet are refused.
	Fleet string
	// Self describes the instance; its incarnation should be the start time.
	Self member.Member
	// Seeds are addresses of instances that may be running at start.
	Seeds    []string
	Timeouts member.Timeouts
	Client   *transport.Client
	Clock    clock.Clock
	// Seed seeds the random choice of peers. It should differ between instances.
	Seed uint64
	// Complete reports whether this instance has all records.
	Complete func() bool
	// ViewChanged, if not nil, is called with each new view by the node's
	// goroutine. It must not block or call the node.
	ViewChanged func(*member.View)
	// Changed is called with the items that were newer than the stored ones, in
	// order, by the node's goroutine. It must not block or call the node.
	Changed func([]exchange.Item)
}

// Node runs the exchange and the membership of one instance. The goroutine of Run
// owns its state. The methods are safe for concurrent use; those with a ctx block
// until it is done at the longest.
type Node struct {
	cfg    Config
	events *ring.Ring[event]
	view   atomic.Pointer[member.View]
	// callSlots is a semaphore of the calls in flight.
	callSlots chan struct{}
	inFlight  sync.WaitGroup
	done      chan struct{}

	core *core
}

// event is a function that the node's goroutine applies to the core. It returns
// the calls to make.
type event func(c *core, now time.Time) []outgoing

// NewNode returns a node. Run starts it.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		events:    ring.New[event]("fleet_events", eventQueueSize),
		callSlots: make(chan struct{}, maxCalls),
		done:      make(chan struct{}),
	}
	n.core = newCore(cfg, rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Self.Name)))), cfg.Clock.Now())
	n.view.Store(n.core.table.View())
	return n
}

// View returns the latest view of the members.
func (n *Node) View() *member.View { return n.view.Load() }

// Run processes events and periodic work until ctx is done, and returns when all
// calls have ended.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	defer n.inFlight.Wait()
	ticker := time.NewTicker(pushInterval)
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

// step applies an event, makes the calls that it returns and publishes the view if
// it changed.
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

// send makes a call in its own goroutine. It skips the call if maxCalls are in
// flight: most peers are unresponsive then, and more calls would not detect it
// sooner.
func (n *Node) send(ctx context.Context, o outgoing) {
	select {
	case n.callSlots <- struct{}{}:
	default:
		callsSkipped.Inc()
		return
	}
	n.inFlight.Go(func() {
		defer func() { <-n.callSlots }()
		reply, err := n.cfg.Client.Exchange(ctx, o.peer.Address, callTimeout, o.request)
		if ctx.Err() != nil {
			return
		}
		_ = n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
			if err != nil {
				return c.handleFailure(o, now)
			}
			return c.handleReply(o, reply, now)
		})
	})
}

// do runs fn in the node's goroutine and waits until it returns.
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

// Publish puts items of this instance into the exchange. It does not wait until
// they are stored.
func (n *Node) Publish(ctx context.Context, items ...exchange.Item) error {
	return n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, items...)
		return nil
	})
}

// PublishNext puts a value into the exchange with the version after the stored
// one, for kinds that several instances write. A value equal to the stored one is
// published again only after half of its TTL, and never without one.
func (n *Node) PublishNext(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error {
	return n.events.Put(ctx, func(c *core, now time.Time) []outgoing {
		old, ok := c.store.Get(key)
		if ok && bytes.Equal(old.Value, value) && (ttl == 0 || c.store.Remaining(key, now) > ttl/2) {
			return nil
		}
		c.put(now, exchange.Item{Key: key, Epoch: old.Epoch, Version: old.Version + 1, Value: value, TTL: ttl})
		return nil
	})
}

// SetListed replaces the addresses from the platform's list of instances, which
// may be out of date.
func (n *Node) SetListed(ctx context.Context, addresses []string) error {
	return n.events.Put(ctx, func(c *core, _ time.Time) []outgoing {
		c.table.SetListed(addresses)
		return nil
	})
}

// PublishStatus publishes the version of the records in force here and whether this
// instance can reach the object API, if either changed.
func (n *Node) PublishStatus(ctx context.Context, recordsVersion uint64, storeReachable bool) error {
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

// Leave publishes that this instance accepts no more ownership of endpoints. When
// it returns nil, View shows the new status.
func (n *Node) Leave(ctx context.Context) error {
	err := n.do(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, c.table.Leave())
		return c.pushes(now)
	})
	if err != nil {
		return err
	}
	// The view is updated after the event that changed it, so wait for a second
	// event.
	return n.do(ctx, func(*core, time.Time) []outgoing { return nil })
}

// FinishLeave pushes to some partners that this instance ends now, and waits for the
// calls in flight. Peers that miss the message detect the end by themselves.
func (n *Node) FinishLeave(ctx context.Context) error {
	err := n.do(ctx, func(c *core, now time.Time) []outgoing {
		c.put(now, c.table.FinishLeave())
		return c.pushes(now)
	})
	if err != nil {
		return err
	}
	for range cap(n.callSlots) {
		select {
		case n.callSlots <- struct{}{}:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Exchange handles a peer's call.
func (n *Node) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	reached := n.checkTargets(ctx, in.GetCheck())
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

// checkTargets calls instances that a peer could not reach, and returns the names
// of those that answered.
func (n *Node) checkTargets(ctx context.Context, targets []*fleetpb.Target) []string {
	var reached []string
	for _, t := range targets[:min(len(targets), maxCheckTargets)] {
		self := n.cfg.Self
		in := &fleetpb.ExchangeRequest{Caller: &fleetpb.Caller{Fleet: n.cfg.Fleet, Instance: self.Name, Incarnation: self.Incarnation}}
		reply, err := n.cfg.Client.Exchange(ctx, t.GetAddress(), checkTimeout, in)
		if err == nil && reply.GetCaller().GetInstance() == t.GetInstance() {
			reached = append(reached, t.GetInstance())
		}
	}
	return reached
}
