package placement

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// eventQueueSize is the capacity of the queue to the event goroutine. Asks that do not
	// fit are refused at once, so that their callers place the requests from their own
	// view.
	eventQueueSize = 4096
	// maxReplyDelay is the longest time that a reply is delayed until a decision, whatever
	// the caller asks for. By then the caller needs a sign that the owner is alive.
	maxReplyDelay = time.Second
	// unclaimedTimeout is how long a slot is kept for a request whose caller has not polled
	// for the decision: its reply was lost, or the caller has disconnected.
	unclaimedTimeout = 2 * time.Second
	// idleTickInterval is the time between ticks while the instance's endpoints are idle.
	// Ticking fifty times a second would be most of an idle instance's CPU use.
	idleTickInterval = 500 * time.Millisecond
	// leaseRenewInterval is the interval at which the leases of live instances are renewed.
	leaseRenewInterval = time.Second
)

var (
	asksServed      = metrics.GetOrCreateCounter("sardinedock_owner_asks_total")
	asksOverBound   = metrics.GetOrCreateCounter("sardinedock_owner_asks_over_bound_total")
	grantsUnclaimed = metrics.GetOrCreateCounter("sardinedock_owner_grants_unclaimed_total")
	cacheGaps       = metrics.GetOrCreateCounter("sardinedock_owner_cache_event_gaps_total")
)

// OwnerServerConfig is the configuration of an OwnerServer.
type OwnerServerConfig struct {
	Self  string
	Clock clock.Clock
	// FirstGrantID must be higher than any grant ID of an earlier run of the instance. Its
	// incarnation is suitable.
	FirstGrantID uint64
	// Lost is called with the requests that were in flight when an endpoint crashed. It is
	// called by the event goroutine and must not block.
	Lost func(endpoint string, incarnation uint64, lost []owner.Fingerprint)
	// HandOver is called with the encoded state of an endpoint that another instance owns
	// from now on. It must not block. done must be called, from any goroutine, once the next
	// owner has the state or the transfer has failed.
	HandOver func(endpoint, next string, knowledge []byte, done func())
}

// OwnerServer runs the state machines of the endpoints that this instance owns. They are
// accessed only by the goroutine that calls Run; all methods are safe for concurrent use.
type OwnerServer struct {
	cfg    OwnerServerConfig
	events *ring.Ring[ownerEvent]

	endpoints *owner.Registry
	// pendingReplies are the replies that wait for a decision. unclaimed are the grants for
	// which no reply was waiting.
	pendingReplies map[askKey]chan owner.Decision
	unclaimed      map[askKey]unclaimedGrant
	members        []string
	leasesRenewed  time.Time
	earlyStates    map[string]earlyState
}

type askKey struct{ caller, request string }

type unclaimedGrant struct {
	endpoint string
	since    time.Time
}

// earlyState is a state that was handed over before this instance knew that it owns the
// endpoint.
type earlyState struct {
	knowledge []byte
	at        time.Time
}

// ownerEvent is applied to the state by the event goroutine.
type ownerEvent func(o *OwnerServer, now time.Time)

// NewOwnerServer returns an OwnerServer without endpoints. Run must be called to start it.
func NewOwnerServer(cfg OwnerServerConfig) *OwnerServer {
	return &OwnerServer{
		cfg:            cfg,
		events:         ring.New[ownerEvent]("owner_events", eventQueueSize),
		endpoints:      owner.NewRegistry(policy.CostModel{Recompute: policy.DefaultRecompute}),
		pendingReplies: map[askKey]chan owner.Decision{},
		unclaimed:      map[askKey]unclaimedGrant{},
		earlyStates:    map[string]earlyState{},
	}
}

// Run processes events until ctx ends.
func (o *OwnerServer) Run(ctx context.Context) {
	timer := time.NewTimer(owner.TickInterval)
	defer timer.Stop()
	slowTicks := false
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.events.C():
			e(o, o.cfg.Clock.Now())
			if slowTicks && !o.idle() {
				slowTicks = false
				timer.Reset(owner.TickInterval)
			}
		case <-timer.C:
			o.tick(o.cfg.Clock.Now())
			slowTicks = o.idle()
			if slowTicks {
				timer.Reset(idleTickInterval)
			} else {
				timer.Reset(owner.TickInterval)
			}
		}
	}
}

// idle reports whether there are no granted, queued or unclaimed requests.
func (o *OwnerServer) idle() bool {
	return len(o.pendingReplies) == 0 && len(o.unclaimed) == 0 && o.endpoints.Idle()
}

func (o *OwnerServer) tick(now time.Time) {
	if now.Sub(o.leasesRenewed) >= leaseRenewInterval {
		o.leasesRenewed = now
		for _, m := range o.members {
			o.endpoints.RenewLease(now, m)
		}
	}
	o.deliver(now, o.endpoints.Tick(now))
	for key, g := range o.unclaimed {
		if now.Sub(g.since) < unclaimedTimeout {
			continue
		}
		delete(o.unclaimed, key)
		if e := o.endpoints.Endpoint(g.endpoint); e != nil {
			grantsUnclaimed.Inc()
			o.deliver(now, e.Withdraw(now, key.caller, key.request))
		}
	}
}

// deliver sends decisions to the replies that wait for them.
func (o *OwnerServer) deliver(now time.Time, decisions []owner.Decision) {
	for _, x := range decisions {
		key := askKey{x.Caller, x.RequestID}
		if ch := o.pendingReplies[key]; ch != nil {
			delete(o.pendingReplies, key)
			ch <- x
			continue
		}
		if x.Kind == owner.Granted {
			o.unclaimed[key] = unclaimedGrant{x.Offer.Endpoint, now}
		}
	}
}

// Ask answers an ask. If the request is queued, it blocks until the decision, at most for
// the ask's wait. On an error the caller has to place the request from its own view.
func (o *OwnerServer) Ask(ctx context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	asksServed.Inc()
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxReplyDelay)
	// Capacity for the first answer and the later decision, so that the event goroutine
	// never blocks on a caller.
	answer := make(chan owner.Decision, 2)
	key := askKey{in.GetCaller().GetInstance(), in.GetRequestId()}
	accepted := o.events.Offer(func(o *OwnerServer, now time.Time) { o.ask(now, key, in, wait > 0, answer) })
	if !accepted {
		asksOverBound.Inc()
		return nil, errOwnerBusy
	}
	first, err := receive(ctx, answer)
	if err != nil {
		return o.stopWaiting(ctx, key, answer, first)
	}
	if first.Kind != owner.Queued || wait <= 0 {
		return toReply(first), nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case later := <-answer:
		return toReply(later), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return o.stopWaiting(ctx, key, answer, first)
}

func receive(ctx context.Context, answer chan owner.Decision) (owner.Decision, error) {
	select {
	case x := <-answer:
		return x, nil
	case <-ctx.Done():
		return owner.Decision{}, context.Cause(ctx)
	}
}

// stopWaiting removes a pending reply and returns the latest decision, which may have come
// meanwhile.
func (o *OwnerServer) stopWaiting(ctx context.Context, key askKey, answer chan owner.Decision, queued owner.Decision) (*fleetpb.AskReply, error) {
	done := make(chan struct{})
	_ = o.events.Put(context.WithoutCancel(ctx), func(o *OwnerServer, now time.Time) {
		defer close(done)
		if o.pendingReplies[key] == answer {
			delete(o.pendingReplies, key)
		}
		for ctx.Err() != nil && len(answer) > 0 {
			// The caller has disconnected, so its grant becomes unclaimed.
			o.deliver(now, []owner.Decision{<-answer})
		}
	})
	select {
	case <-done:
	case <-time.After(maxReplyDelay):
		return nil, errOwnerBusy
	}
	select {
	case later := <-answer:
		return toReply(later), nil
	default:
		return toReply(queued), nil
	}
}

func (o *OwnerServer) ask(now time.Time, key askKey, in *fleetpb.AskRequest, poll bool, answer chan owner.Decision) {
	delete(o.unclaimed, key)
	a := fromAsk(now, in)
	if poll {
		// A poll does not contain the prompt's blocks, so an ask that is not known any more
		// cannot be queued again.
		a.Deadline = now.Add(-time.Second)
	}
	x := o.endpoints.Ask(now, a, in.GetEndpoints())
	if poll && x.Kind == owner.Refused && x.Reason == owner.ReasonDeadline {
		x.Reason = owner.ReasonNotOwned
	}
	if x.Kind == owner.Queued && poll {
		o.pendingReplies[key] = answer
	}
	answer <- x
}

// Report applies reports about grants from another instance. If the queue is full the
// oldest event is dropped; the grants in it end by their timeout.
func (o *OwnerServer) Report(caller string, ends []*fleetpb.GrantEnd) {
	o.events.Push(func(o *OwnerServer, now time.Time) {
		o.endpoints.RenewLease(now, caller)
		for _, e := range ends {
			o.end(now, caller, e)
		}
	})
}

func (o *OwnerServer) end(now time.Time, caller string, in *fleetpb.GrantEnd) {
	e := o.endpoints.Endpoint(in.GetEndpoint())
	if e == nil {
		return
	}
	if in.GetGrantId() == 0 {
		delete(o.unclaimed, askKey{caller, in.GetRequestId()})
		o.deliver(now, e.Withdraw(now, caller, in.GetRequestId()))
		return
	}
	if in.GetState() == fleetpb.GrantState_GRANT_STATE_FIRST_TOKEN {
		after := time.Duration(in.GetFirstTokenMs()) * time.Millisecond
		o.deliver(now, e.FirstToken(now, in.GetGrantId(), in.GetCachedTokens(), after))
		return
	}
	o.deliver(now, e.End(now, owner.End{
		GrantID: in.GetGrantId(), Outcome: outcomeOf(in.GetState()), Incarnation: in.GetIncarnation(), CachedTokens: in.GetCachedTokens(),
	}))
}
