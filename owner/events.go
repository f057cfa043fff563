package owner

import (
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Withdraw cancels a queued ask of a caller, or its grant if the request was not sent yet.
func (e *Endpoint) Withdraw(now time.Time, caller, requestID string) []Decision {
	key := requestKey{caller, requestID}
	if w, ok := e.queued[key]; ok {
		e.dequeue(w)
	}
	if id, ok := e.granted[key]; ok {
		return e.End(now, End{GrantID: id, Outcome: Unused})
	}
	return e.grantQueued(now)
}

// CallerLost drops the queued asks and the grants of an instance that has failed or left.
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

// FirstToken records that the response to a grant began. after is the time from the send to
// the first token, cachedTokens how much of the prompt the engine had cached.
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

// End releases a grant. The report may come from another incarnation than the grant, so End
// takes nothing about the cache from it. An unknown grant is ignored: it ended before, or
// another owner gave it.
func (e *Endpoint) End(now time.Time, end End) []Decision {
	g, ok := e.grants[end.GrantID]
	if !ok {
		return nil
	}
	if end.Outcome == Done {
		took := now.Sub(g.since)
		e.meanHold[g.lane] += time.Duration(holdTimeSmoothing * float64(took-e.meanHold[g.lane]))
	}
	if end.Outcome == Unused || end.Outcome == Failed && !g.started {
		e.forgetExpected(g)
	}
	e.release(g)
	return e.grantQueued(now)
}

// forgetExpected removes from the cache model the blocks that a grant added but whose
// request did not compute. It may also remove blocks that another request computed, which
// only makes the estimate less accurate.
func (e *Endpoint) forgetExpected(g *grant) {
	for _, h := range g.ask.Blocks[min(g.knownBlocks, len(g.ask.Blocks)):] {
		e.known.forget(keyOf(h))
	}
}

// LoadReport records an endpoint's load. Reports of another incarnation are ignored; a
// change of incarnation is reported through Status.
func (e *Endpoint) LoadReport(now time.Time, r LoadReport) []Decision {
	if r.Incarnation != e.incarnation {
		return nil
	}
	e.external.report(r.Running+r.Waiting, len(e.grants))
	return e.grantQueued(now)
}

// CacheEvent applies one event of the endpoint's cache. It reports whether events before it
// were lost, which makes the whole cache model uncertain. Events of another incarnation are
// ignored.
func (e *Endpoint) CacheEvent(ev CacheEvent) bool {
	if e.incarnation != 0 && ev.Incarnation != e.incarnation {
		return false
	}
	return e.known.event(ev)
}

// StatusChange is the result of a change of status.
type StatusChange struct {
	Decisions []Decision
	// Lost are the fingerprints of requests that were in flight when the endpoint crashed.
	Lost []Fingerprint
}

// Status sets the endpoint's status and incarnation. A suspect or leaving endpoint gets no
// new work and keeps its cache model. An expelled endpoint, or one with a new incarnation,
// starts with an empty cache: the old cache model would attract requests to it in vain, and
// is dropped together with its grants.
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

// reset drops the cache model and all grants. It returns the fingerprints of the lost
// requests.
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

// refuseQueued refuses all queued asks, so that their callers try another endpoint.
func (e *Endpoint) refuseQueued() []Decision {
	var out []Decision
	for _, w := range e.waiters() {
		e.dequeue(w)
		out = append(out, refuse(w.ask, ReasonEndpoint, 0))
	}
	return out
}

// Models sets the loaded models, as model@version. A change clears the cache model, since
// engines free the cache when they change weights.
func (e *Endpoint) Models(models []string) {
	if e.models != nil && !slices.Equal(e.models, models) {
		e.known.clear()
		e.cacheKnown = true
	}
	e.models = append([]string{}, models...)
}

// TickInterval is the maximum time between calls of Tick.
const TickInterval = 20 * time.Millisecond

// Tick ends expired grants, grants what may start, and refuses queued asks that can no
// longer start in time.
func (e *Endpoint) Tick(now time.Time) []Decision {
	for _, g := range e.sortedGrants() {
		if now.After(g.expires) {
			e.release(g)
		}
	}
	decisions := e.grantQueued(now)
	return append(decisions, e.refuseLate(now)...)
}

// refuseLate refuses queued asks as soon as their deadline can no longer be met, not when
// it has passed, so that the caller can use the remaining time elsewhere.
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

// waiters returns all queued asks in a deterministic order.
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
