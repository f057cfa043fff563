package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/concurrency"
	"github.com/sardinedock/sardinedock/fairshare"
)

const (
	// organisationRoom and rankRoom are the parts of an endpoint's slots, in percent, by which requests may exceed its
	// limit if their organisation, or only their rank, is under its share. The difference is left for organisations:
	// the urgent requests of a large one must not keep out a small one.
	organisationRoom = 50
	rankRoom         = 25
	// targetMemory is how long, at least, a latency target counts after the last request with it.
	targetMemory = 2 * time.Second
	// knownInterval is how often the known share of the fleet is determined.
	knownInterval = 50 * time.Millisecond
)

// RefusalReason is why a request was refused for lack of capacity.
type RefusalReason int

// The reasons.
const (
	// NotRefused: the request was not refused for lack of capacity.
	NotRefused RefusalReason = iota
	// PoolFull: the pool's endpoints are at their limits, and the request competes with others like it or found no
	// room beyond the limits.
	PoolFull
	// OrganisationOverShare: the same, and the request's organisation has at least its share.
	OrganisationOverShare
	// RankOverShare: the same, and only the request's rank competes with others.
	RankOverShare
)

// OverShare returns what has at least its share: "organisation", "rank" or nothing.
func (r RefusalReason) OverShare() string {
	switch r {
	case OrganisationOverShare:
		return "organisation"
	case RankOverShare:
		return "rank"
	}
	return ""
}

// Refusal describes why a request was refused for lack of capacity.
type Refusal struct {
	Reason RefusalReason
	// Limit is the sum of the limits of the endpoints that could have run the request, InUse the number of requests
	// there.
	Limit, InUse int
}

// capacity is what is known of the use of one service's slots.
type capacity struct {
	shares  *fairshare.Shares
	targets tightest
}

// tightest is the smallest latency target of the last requests.
type tightest struct {
	current, previous time.Duration
	from              time.Time
}

func (t *tightest) add(now time.Time, target time.Duration) {
	switch age := now.Sub(t.from); {
	case t.from.IsZero() || age >= 2*targetMemory:
		t.current, t.previous, t.from = target, target, now
	case age >= targetMemory:
		t.current, t.previous, t.from = target, t.current, now
	default:
		t.current = min(t.current, target)
	}
}

// value returns the target; 0 if there was no request with one.
func (t *tightest) value() time.Duration { return min(t.current, t.previous) }

// charge is what a run counts in its service's shares.
type charge struct {
	flow     fairshare.Flow
	expected float64
	// measured is set if the work is the time in a slot, which is known when the run has ended.
	measured bool
}

// allowance decides on one request whether endpoints have room for it.
type allowance struct {
	capacity *capacity
	charge   charge
	standing fairshare.Standing
	target   time.Duration
	// known is the share of the fleet whose runs are known here.
	known float64
	// engine is set for requests to engines, again for those that have run before.
	engine, again bool
}

// SetKnown replaces the function that returns the share of the fleet whose runs this instance knows. An instance that
// does not know what others have sent uses its share of the slots only; at 0 it observes no limits. It is called in
// decisions.
func (s *State) SetKnown(known func() float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known, s.knownAt = known, time.Time{}
}

// knownShare returns the share of the fleet whose runs are known. The caller must hold s.mu.
func (s *State) knownShare(now time.Time) float64 {
	if s.knownAt.IsZero() || now.Sub(s.knownAt) >= knownInterval {
		s.knownValue, s.knownAt = s.known(), now
	}
	return s.knownValue
}

// capacityFor returns the capacity state of a service. The caller must hold s.mu.
func (s *State) capacityFor(service string) *capacity {
	c := s.capacities[service]
	if c == nil {
		c = &capacity{shares: fairshare.New()}
		s.capacities[service] = c
	}
	return c
}

// allow returns the allowance of a request; nil if it has no latency target, or if too little is known of other
// instances' runs, so that it is sent as soon as an endpoint takes it.
func (s *State) allow(now time.Time, q Query) *allowance {
	if q.Target <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.knownShare(now)
	if known <= 0 {
		return nil
	}
	c := s.capacityFor(q.Service)
	c.targets.add(now, q.Target)
	a := &allowance{
		capacity: c, target: c.targets.value(), known: known, engine: q.Model != "", again: q.Again,
		charge: charge{flow: fairshare.Flow{Organisation: q.Organisation, Rank: q.Rank}, measured: q.Model == ""},
	}
	a.charge.expected = float64(q.PromptTokens + q.OutputTokens)
	if a.charge.measured {
		a.charge.expected = c.shares.Expect(a.charge.flow)
	}
	a.standing = c.shares.Standing(now, a.charge.flow)
	return a
}

// limit returns how many requests an endpoint may have at once.
func (a *allowance) limit(e *endpoint) int {
	if a.engine && e.Slots == 0 {
		return math.MaxInt
	}
	return a.part(e.limit.Value(e.Slots, a.target), 1)
}

// excess returns by how many average requests an endpoint is above its limit, the result of limit; below 0 if it has
// room.
func (a *allowance) excess(e *endpoint, limit int) float64 {
	over := e.load() - float64(limit)
	if n, ok := e.limit.Cap(); ok {
		over = max(over, float64(e.running-a.part(n, 1)))
	}
	return over
}

// beyond returns by how many requests this one may exceed the limit of an endpoint.
func (a *allowance) beyond(e *endpoint) float64 {
	switch {
	case a.again:
		return math.Inf(1)
	case a.standing.Organisation:
		return float64(a.part(max(1, e.Slots*organisationRoom/100), 0))
	case a.standing.Rank:
		return float64(a.part(max(1, e.Slots*rankRoom/100), 0))
	}
	return 0
}

// part returns this instance's part of n, at least least.
func (a *allowance) part(n, least int) int {
	if a.known >= 1 {
		return n
	}
	return max(least, int(a.known*float64(n)))
}

// refusal returns why a request is refused that found all endpoints at their limits.
func (a *allowance) refusal(load poolLoad) Refusal {
	r := Refusal{Reason: PoolFull, Limit: load.limit, InUse: load.inUse}
	switch st := a.standing; {
	case st.Organisation || st.Rank:
	case st.Contended:
		r.Reason = OrganisationOverShare
	case st.RanksContended:
		r.Reason = RankOverShare
	}
	return r
}

// poolLoad is the use of the endpoints that could run a request.
type poolLoad struct {
	limit, inUse int
	// full is the number of endpoints at their limits, and hold the longest time for which a run has a slot there.
	full int
	hold time.Duration
}

// add adds an endpoint. full is set if it is at its limit.
func (l *poolLoad) add(e *endpoint, limit int, full bool) {
	l.inUse += e.running
	if limit < math.MaxInt {
		l.limit += limit
	}
	if full {
		l.full++
		l.hold = max(l.hold, e.limit.Hold())
	}
}

// load returns the number of requests that have a slot of the endpoint or wait for one there; those that wait count
// in proportion to their expected work, so that many short requests fit where a few long ones do.
func (e *endpoint) load() float64 {
	hold := e.limit.Hold().Seconds()
	if hold <= 0 {
		return float64(e.running)
	}
	return float64(e.running-len(e.waiting)) + e.waitingWork/hold
}

// occupy assigns a slot to a run that begins, or has it wait for one. Endpoints run requests in order of arrival, so
// the time at which a run gets a slot is known from the ends of those before it.
func (e *endpoint) occupy(now time.Time, r *run) {
	r.work = e.limit.Hold().Seconds()
	if r.charge != nil && r.charge.measured {
		r.work = r.charge.expected
	}
	if e.Slots == 0 || e.running-len(e.waiting) <= e.Slots {
		r.slotAt = now
		return
	}
	e.waiting = append(e.waiting, r)
	e.waitingWork += r.work
}

// vacate gives the slot of a run that has ended to the first that waits for one.
func (e *endpoint) vacate(now time.Time, r *run) {
	next := r
	if !r.slotAt.IsZero() {
		if len(e.waiting) == 0 || e.running-len(e.waiting) >= e.Slots {
			return
		}
		next = e.waiting[0]
		next.slotAt = now
	}
	if i := slices.Index(e.waiting, next); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.waitingWork -= next.work
	}
	if len(e.waiting) == 0 {
		// Sums of fractions do not return to 0 exactly.
		e.waitingWork = 0
	}
}

// inSlot returns for how long a run that has ended had a slot.
func (e *endpoint) inSlot(now time.Time, r *run) time.Duration {
	if r.slotAt.IsZero() {
		// The endpoint has not kept to the order of arrival.
		return concurrency.SharedSlotTime(now.Sub(r.at), r.beside, e.Slots)
	}
	return now.Sub(r.slotAt)
}

// observeLimit records the end of a run in the endpoint's concurrency limit.
func (s *State) observeLimit(now time.Time, e *endpoint, r *run, stage Stage) {
	switch {
	case stage == Rejected:
		e.limit.Rejected(now, e.running, e.Slots)
	case stage == Done && (r.Model != "" || r.streamed):
		e.limit.CompletedStream(now, s.limitRun(now, e, r))
	case stage == Done:
		e.limit.Completed(now, s.limitRun(now, e, r))
	case stage == Abandoned && r.Model == "" && !r.streamed && now.Sub(r.at) < forgetRunsAfter:
		e.limit.GivenUp(now, s.limitRun(now, e, r))
	}
}

func (s *State) limitRun(now time.Time, e *endpoint, r *run) concurrency.Run {
	return concurrency.Run{Took: now.Sub(r.at), InSlot: e.inSlot(now, r), Began: r.at, Beside: r.beside, Slots: e.Slots, Target: s.targetOf(e.Service)}
}

// settle corrects the charge of a run that has ended.
func (s *State) settle(now time.Time, e *endpoint, r *run, stage Stage) {
	c := s.capacities[e.Service]
	if r.charge == nil || c == nil {
		return
	}
	switch stage {
	case Rejected, Misdirected, Unreachable:
		c.shares.Reverted(now, r.charge.flow, r.charge.expected)
	case Abandoned:
		// How much of the work the endpoint has done, or does, is unknown. A run may also not have been sent.
	default:
		if r.charge.measured {
			c.shares.Completed(now, r.charge.flow, r.charge.expected, e.inSlot(now, r).Seconds())
		}
	}
}

// PoolView is the use of one service's slots in the state dump.
type PoolView struct {
	Service string `json:"service"`
	// Limit is the sum of the limits of the endpoints that accept requests, InUse the number of requests there.
	Limit int `json:"limit"`
	InUse int `json:"in_use"`
	// TargetMs is the tightest latency target of the last requests.
	TargetMs int64          `json:"target_ms"`
	Shares   fairshare.View `json:"shares"`
}

// Pools returns the use of the slots of each service that has had a request with a latency target.
func (s *State) Pools(now time.Time) []PoolView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []PoolView
	for service, c := range s.capacities {
		v := PoolView{Service: service, TargetMs: c.targets.value().Milliseconds(), Shares: c.shares.View(now)}
		for _, e := range s.byService[service] {
			if s.accepts(e) {
				v.Limit += e.limit.Value(e.Slots, c.targets.value())
				v.InUse += e.running
			}
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b PoolView) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
