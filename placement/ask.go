package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// placeOnce asks the owner of the first candidate and, if the first candidate is busy, the
// owners of the others. again is set if the request has to be placed anew.
//
// In a burst of requests with the same prefix, one ask per request is enough as long as the
// first candidate can start them soon. Only when it cannot do the others cost further asks.
func (f *Fleet) placeOnce(ctx context.Context, t *placement, list []candidate) (g Grant, again bool, err error) {
	first, ok := f.ask(ctx, t, list[0].name, func(in *fleetpb.AskRequest) { in.PatienceMs = maxFirstWait.Milliseconds() })
	if !ok || first.GetRefusal() == string(owner.ReasonNotOwned) {
		return f.fallBack(ctx, t, list)
	}
	switch {
	case first.GetGranted() != nil || first.GetQueued():
		return f.awaitDecision(ctx, t, list[0], first)
	case first.GetRefusal() == string(owner.ReasonEndpoint):
		return f.exclude(t, list[0].name)
	}
	offers := append(first.GetOffers(), f.probe(ctx, t, list[1:])...)
	chosen, wait := f.choose(t, offers)
	if chosen < 0 {
		return Grant{}, false, overloaded(retryAfter(t, first, wait))
	}
	c := list[slices.IndexFunc(list, func(c candidate) bool { return c.name == offers[chosen].GetEndpoint() })]
	if c.name != list[0].name {
		placedElsewhere.Inc()
	}
	place := slices.Index(list, c)
	reply, ok := f.ask(ctx, t, c.name, func(in *fleetpb.AskRequest) { in.Candidate = int32(place) })
	if !ok {
		return f.fallBack(ctx, t, list)
	}
	return f.awaitDecision(ctx, t, c, reply)
}

// fallBack places the request from this instance's own view.
func (f *Fleet) fallBack(ctx context.Context, t *placement, list []candidate) (Grant, bool, error) {
	if err := callerError(ctx); err != nil {
		return Grant{}, false, err
	}
	g, err := f.placeLocally(ctx, t, list)
	return g, false, err
}

// exclude removes an endpoint from the candidates and has the request placed anew.
func (f *Fleet) exclude(t *placement, name string) (Grant, bool, error) {
	t.request.Exclude = append(slices.Clone(t.request.Exclude), name)
	return Grant{}, true, nil
}

// awaitDecision returns the result of an ask that took a slot or was refused. For a queued
// ask it polls the owner until there is a decision.
func (f *Fleet) awaitDecision(ctx context.Context, t *placement, c candidate, reply *fleetpb.AskReply) (Grant, bool, error) {
	instance := t.routes.owners[c.name]
	for {
		switch {
		case reply.GetGranted() != nil:
			o := reply.GetGranted()
			if o.GetIncarnation() == 0 && f.leavingChecks.isLeaving(ctx, c, f.cfg.Clock.Now()) {
				// An owner that has just started or taken the endpoint over does not know
				// its status yet and considers it usable. Without this check, after a
				// restart of all instances a leaving endpoint would get the first requests,
				// however long ago it reported that it is leaving.
				f.reports.withdraw(t, instance, c.name)
				return f.exclude(t, c.name)
			}
			t.setLevels(reply.GetLevelEnds())
			return f.granted(t, Grant{
				ID: o.GetGrantId(), Owner: instance, Endpoint: c.name, Address: c.address,
				Incarnation: o.GetIncarnation(), CachedTokens: o.GetCachedTokens(), Alone: o.GetAlone(), Long: o.GetLong(),
			}), false, nil
		case reply.GetRefusal() == string(owner.ReasonEndpoint):
			return f.exclude(t, c.name)
		case reply.GetRefusal() == string(owner.ReasonNotOwned):
			// The endpoint has another owner now; ask that one.
			return Grant{}, true, nil
		case reply.GetRefusal() != "":
			return Grant{}, false, overloaded(milliseconds(reply.GetRetryAfterMs()))
		case !reply.GetQueued():
			return Grant{}, true, nil
		}
		var ok bool
		reply, ok = f.ask(ctx, t, c.name, func(in *fleetpb.AskRequest) { in.WaitMs, in.BlockHashes = pollWait.Milliseconds(), nil })
		if err := callerError(ctx); err != nil {
			f.reports.withdraw(t, instance, c.name)
			return Grant{}, false, err
		}
		if !ok {
			f.reports.withdraw(t, instance, c.name)
			return Grant{}, true, nil
		}
	}
}

func callerError(ctx context.Context) error {
	return fault.Wrap(ctx.Err(), fault.Unavailable, "send the request again", "the caller has gone or its time is over")
}

// choose returns the index of the best offer that starts in time. If there is none, it
// returns -1 and the shortest wait.
func (f *Fleet) choose(t *placement, offers []*fleetpb.Offer) (int, time.Duration) {
	left := t.deadline.Sub(f.cfg.Clock.Now())
	shortest := time.Duration(-1)
	var index []int
	var list []policy.Offer
	for i, o := range offers {
		offer := fromOffer(o)
		if shortest < 0 || offer.Wait < shortest {
			shortest = offer.Wait
		}
		if offer.Wait <= left {
			index, list = append(index, i), append(list, offer)
		}
	}
	costs := t.pool.costs()
	costs.Urgent = t.request.Class.GetUrgent()
	choice := policy.Choose(t.request.PromptTokens, t.storedTokens(), list, costs)
	if choice.Index < 0 {
		return -1, shortest
	}
	return index[choice.Index], shortest
}

// retryAfter returns the time after which a slot may be free for a request that cannot
// start in time now.
func retryAfter(t *placement, first *fleetpb.AskReply, shortest time.Duration) time.Duration {
	after := milliseconds(first.GetRetryAfterMs())
	if over := shortest - classWait(t.request.Class); shortest >= 0 && (after == 0 || over < after) {
		after = over
	}
	return max(after, localRetryAfter)
}

// probe asks the owners of the candidates for offers, concurrently.
func (f *Fleet) probe(ctx context.Context, t *placement, list []candidate) []*fleetpb.Offer {
	byOwner := map[string][]string{}
	for _, c := range list {
		instance := t.routes.owners[c.name]
		byOwner[instance] = append(byOwner[instance], c.name)
	}
	var mu sync.Mutex
	var offers []*fleetpb.Offer
	var wg sync.WaitGroup
	for _, names := range byOwner {
		wg.Go(func() {
			reply, ok := f.ask(ctx, t, names[0], func(in *fleetpb.AskRequest) { in.Endpoints, in.Probe, in.Candidate = names, true, 1 })
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offers = append(offers, reply.GetOffers()...)
		})
	}
	wg.Wait()
	// Ties are decided by the order of the candidates, which is the same on all instances.
	slices.SortStableFunc(offers, func(a, b *fleetpb.Offer) int { return position(list, a) - position(list, b) })
	return offers
}

func position(list []candidate, o *fleetpb.Offer) int {
	return slices.IndexFunc(list, func(c candidate) bool { return c.name == o.GetEndpoint() })
}

// ask sends one ask to the owner of an endpoint. ok is false if the owner does not answer
// in time.
func (f *Fleet) ask(ctx context.Context, t *placement, name string, change func(*fleetpb.AskRequest)) (reply *fleetpb.AskReply, ok bool) {
	in := f.askRequest(t, name)
	change(in)
	instance := t.routes.owners[name]
	bound := askTimeout
	if in.GetWaitMs() > 0 {
		bound = pollTimeout
	}
	if instance == f.cfg.Caller.GetInstance() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		reply, err := f.cfg.OwnerServer.Ask(ctx, in)
		return reply, err == nil
	}
	address, known := t.routes.address(instance)
	if !known || !f.states.canAsk(instance, f.cfg.Clock.Now()) {
		return nil, false
	}
	asksSent.Inc()
	reply, err := f.cfg.Peers.Ask(ctx, address, bound, in)
	if err == nil {
		f.states.markResponsive(instance)
		return reply, true
	}
	asksFailed.Inc()
	if ctx.Err() == nil && !fault.Is(err, fault.Overloaded) {
		f.states.markUnresponsive(instance, f.cfg.Clock.Now())
	}
	if !in.GetProbe() {
		// The owner may have granted a slot and the reply was lost.
		f.reports.withdraw(t, instance, name)
	}
	return nil, false
}

func (f *Fleet) askRequest(t *placement, name string) *fleetpb.AskRequest {
	r := t.request
	if t.blocks == nil {
		t.blocks = packBlocks(r.Blocks)
	}
	return &fleetpb.AskRequest{
		Caller: f.cfg.Caller, RequestId: t.askID(), Endpoints: []string{name},
		Organisation: r.Organisation, Weight: t.weight, Class: r.ClassName, Urgent: r.Class.GetUrgent(),
		Model: r.Model, Version: r.Version, BlockHashes: t.blocks,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		BudgetMs: max(0, t.deadline.Sub(f.cfg.Clock.Now()).Milliseconds()), TimeoutMs: r.Class.GetTimeoutMs(),
		Fingerprint: r.Fingerprint[:], Alone: t.alone,
	}
}
