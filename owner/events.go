package owner

import (
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Withdraw takes back an ask whose caller gave up, or its grant if nothing was
// sent yet.
func (e *Endpoint) Withdraw(now time.Time, caller, requestID string) []Decision {
	key := requestKey{caller, requestID}
	if w, ok := e.queued[key]; ok {
		e.dequeue(w)
	}
	if id, ok := e.granted[key]; ok {
		return e.End(now, End{GrantID: id, Stage: Unused})
	}
	return e.grantQueued(now)
}

// CallerLost takes back all that an instance asked for or was granted, once
// that instance is known to be gone.
func (e *Endpoint) CallerLost(now time.Time, caller string) []Decision {
	for _, w := range e.waiters() {
		if w.ask.Caller == caller {
			e.dequeue(w)
		}
	}
	for _, g := range e.sortedGrants() {
		if g.ask.Caller == caller {
			e.release(g)
		}
	}
	return e.grantQueued(now)
}

// FirstToken tells that the answer of a grant began, after the given time from
// the send, and how much of the prompt the engine had cached.
func (e *Endpoint) FirstToken(now time.Time, grantID uint64, cachedTokens int64, after time.Duration) []Decision {
	g, ok := e.grants[grantID]
	if !ok || g.started {
		return nil
	}
	g.started = true
	e.pendingTokens[g.rank] -= g.tokens
	first := g.since.Add(after)
	if after <= 0 || first.After(now) {
		first = now
	}
	e.window.Observe(g.mark, g.since, first, max(g.ask.PromptTokens-cachedTokens, 0))
	e.known.use(g.ask.Blocks)
	return e.grantQueued(now)
}

// End gives a grant back. A report of another incarnation than the grant was
// for says nothing of the cache. A grant that is unknown, since it ended before
// or another owner gave it, is passed over.
func (e *Endpoint) End(now time.Time, end End) []Decision {
	g, ok := e.grants[end.GrantID]
	if !ok {
		return nil
	}
	if end.Stage == Done {
		took := now.Sub(g.since)
		e.meanHold[g.lane] += time.Duration(holdTimeSmoothing * float64(took-e.meanHold[g.lane]))
	}
	if end.Stage == Unused || end.Stage == Failed && !g.started {
		e.forgetExpected(g)
	}
	e.release(g)
	return e.grantQueued(now)
}

// unlearn forgets what a grant was expected to leave in the cache and did not.
// It may forget what another request left there too, which costs a guess.
func (e *Endpoint) forgetExpected(g *grant) {
	for _, h := range g.ask.Blocks[min(g.knownBlocks, len(g.ask.Blocks)):] {
		e.known.forget(keyOf(h))
	}
}

// LoadReport takes what the endpoint said of its load. A report of another
// incarnation is passed over; Status tells of these.
func (e *Endpoint) LoadReport(now time.Time, r LoadReport) []Decision {
	if r.Incarnation != e.incarnation {
		return nil
	}
	e.external.report(r.Running+r.Waiting, len(e.grants))
	return e.grantQueued(now)
}

// CacheEvent takes one event of the endpoint's cache and reports whether it
// came after a gap, so that all that was known is now doubtful. Events of
// another incarnation are passed over.
func (e *Endpoint) CacheEvent(ev CacheEvent) bool {
	if e.incarnation != 0 && ev.Incarnation != e.incarnation {
		return false
	}
	return e.known.event(ev)
}

// StatusChange is what a change of status came to.
type StatusChange struct {
	Decisions []Decision
	// Lost are the fingerprints of requests that were in flight at a crash.
	Lost []Fingerprint
}

// Status sets how the endpoint is treated. A suspect or leaving endpoint gets
// no new work, its knowledge stays. An expelled one, or one of another
// incarnation, came or will come back empty: what was known of its cache would
// draw requests to it for nothing, and is dropped together with its grants.
func (e *Endpoint) Status(now time.Time, status fleetpb.EndpointStatus, incarnation uint64) StatusChange {
	var change StatusChange
	expelled := status == fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED
	restarted := incarnation != e.incarnation && e.incarnation != 0 && incarnation != 0
	if restarted || expelled {
		change.Lost = e.reset()
	}
	if incarnation != 0 {
		e.incarnation = incarnation
	}
	e.status = status
	if !e.live() {
		change.Decisions = e.refuseQueued()
		return change
	}
	change.Decisions = e.grantQueued(now)
	return change
}

// drop forgets the cache and all grants; it returns whose requests were lost.
func (e *Endpoint) reset() []Fingerprint {
	var lost []Fingerprint
	for _, g := range e.sortedGrants() {
		lost = append(lost, g.ask.Fingerprint)
		e.release(g)
	}
	e.known = newCacheModel(e.cfg.CacheBlocks)
	e.external = externalLoad{}
	e.cacheKnown = true
	return lost
}

// sendAway refuses all that waits, so that it asks for another endpoint.
func (e *Endpoint) refuseQueued() []Decision {
	var out []Decision
	for _, w := range e.waiters() {
		e.dequeue(w)
		out = append(out, refuse(w.ask, ReasonEndpoint, 0))
	}
	return out
}

// Models sets what the endpoint has loaded, as model@version. On a change the
// knowledge is dropped: engines free the cache when they change weights.
func (e *Endpoint) Models(models []string) {
	if e.models != nil && !slices.Equal(e.models, models) {
		e.known.clear()
		e.cacheKnown = true
	}
	e.models = append([]string{}, models...)
}

// TickInterval is how often Tick has to be called at least.
const TickInterval = 20 * time.Millisecond

// Tick ends grants whose time is over and refuses who cannot start in time any
// more.
func (e *Endpoint) Tick(now time.Time) []Decision {
	for _, g := range e.sortedGrants() {
		if now.After(g.expires) {
			e.release(g)
		}
	}
	decisions := e.grantQueued(now)
	return append(decisions, e.refuseLate(now)...)
}

// refuseLate refuses waiters whose deadline cannot be met any more, at once and
// not when it has passed: the caller can still do something else in that time.
func (e *Endpoint) refuseLate(now time.Time) []Decision {
	var late []Decision
	for _, q := range e.queue {
		for _, l := range q.sorted() {
			var own work
			for _, w := range slices.Clone(l.waiters) {
				wait := e.waitBehind(now, w.ask, w.rank, own)
				if now.Add(wait).After(w.ask.Deadline) {
					e.dequeue(w)
					over := now.Add(wait).Sub(w.ask.Deadline)
					late = append(late, refuse(w.ask, ReasonDeadline, retryAfter(w.ask.RequestID, over)))
					continue
				}
				own.add(w.rank, w.tokens)
			}
		}
	}
	for _, w := range slices.Clone(e.aloneQueue) {
		if now.After(w.ask.Deadline) {
			e.dequeue(w)
			late = append(late, refuse(w.ask, ReasonDeadline, retryAfter(w.ask.RequestID, 0)))
		}
	}
	return late
}

// waiters lists all that wait, in a fixed order.
func (e *Endpoint) waiters() []*waiter {
	list := slices.Clone(e.aloneQueue)
	for _, q := range e.queue {
		for _, l := range q.sorted() {
			list = append(list, l.waiters...)
		}
	}
	return list
}

func (e *Endpoint) sortedGrants() []*grant {
	list := make([]*grant, 0, len(e.grants))
	for _, g := range e.grants {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *grant) int { return int(int64(a.id) - int64(b.id)) })
	return list
}
