package balance

import (
	"time"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/quota"
)

// Query is the input of Decide.
type Query struct {
	Ask
	// Run is the ID that the run gets if the request is sent.
	Run RunID
	// Target and Patience are as in Timing. Without a target the request is sent as soon as
	// an endpoint can take it.
	Target, Patience time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Charge is what the run costs against a quota.
	Charge quota.Charge
}

// Decision is the result of a Query.
type Decision struct {
	Admission Admission
	// Found reports whether an endpoint can take the request. If it is false, Placement is
	// not set, except that its PassedOver and PassedFor are for AtLimit and Paused.
	Found     bool
	Placement Placement
	// Quota is the quota's decision if the request is OverQuota.
	Quota quota.Decision
	// FreeIn is the time until an endpoint can take a request that is Paused, or AtLimit, counting the
	// requests refused before it; 0 for a retry AtLimit. With a Refusal, it is the time for which a run has a slot.
	FreeIn time.Duration
	// Refusal is set if the request is refused since the endpoints that could run it are at their concurrency limits.
	Refusal Refusal
	// AboveLimit is set if it is sent although they are.
	AboveLimit bool
}

// Decide chooses an endpoint and decides whether the request is sent now. A request that is
// sent is counted at the endpoint at once, so that the next decision takes it into account.
func (s *State) Decide(now time.Time, q Query) Decision {
	allow := s.allow(now, q)
	v := s.decide(now, q, allow)
	if allow != nil && v.Admission != Wait {
		s.decided(now, allow, v)
	}
	return v
}

// decided records the outcome of a request with an allowance in its service's shares.
func (s *State) decided(now time.Time, a *allowance, v Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.capacity.shares.Decided(now, a.charge.flow, a.charge.expected, a.standing, v.Admission == Send)
}

func (s *State) decide(now time.Time, q Query, allow *allowance) Decision {
	p, ok := s.choose(now, q.Ask, allow)
	switch {
	case !ok && p.load.full > 0:
		return Decision{Admission: Refuse, Refusal: allow.refusal(p.load), FreeIn: p.load.hold}
	case !ok && p.PassedFor == RateLimit:
		return s.refuseAtLimit(now, q, p)
	case !ok && p.PassedFor == Pause:
		return Decision{Admission: Paused, Placement: p, FreeIn: p.pauseLeft}
	}
	if !ok {
		return Decision{Admission: s.unplaced(q.Ask)}
	}
	v := Decision{Admission: Send, Found: true, Placement: p, AboveLimit: p.aboveLimit}
	if q.Model != "" && q.Target > 0 {
		v.Admission = Admit(Timing{
			Target: q.Target, Patience: q.Patience, Elapsed: q.Elapsed,
			Backlog: p.Backlog, FirstToken: p.FirstToken, Full: p.Full,
		})
	}
	if v.Admission == Send {
		var c *charge
		if allow != nil {
			c = &allow.charge
		}
		s.started(now, StartOf(q, p), true, c)
	}
	return v
}

// unplaced returns the admission of a request that no endpoint takes now.
func (s *State) unplaced(a Ask) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Release != "" && !s.hasRelease(a.Service, a.Release) {
		return NoRelease
	}
	return Wait
}

// refuseAtLimit decides on a request for which every endpoint has used up its rate limit. A
// retry is not refused but waits until an endpoint takes it, so it gets no FreeIn.
func (s *State) refuseAtLimit(now time.Time, q Query, p Placement) Decision {
	if q.Again {
		return Decision{Admission: AtLimit, Placement: p}
	}
	freeIn, ok := s.limiter().FreeIn(now, p.PassedOver)
	if !ok {
		return Decision{Admission: Wait}
	}
	return Decision{Admission: AtLimit, Placement: p, FreeIn: freeIn}
}

// StartOf returns the Start of a request sent to its placement.
func StartOf(q Query, p Placement) Start {
	st := Start{Run: q.Run, Endpoint: p.Endpoint.ID, Rank: q.Rank, Output: q.OutputTokens, Again: q.Again}
	if q.Model == "" {
		return st
	}
	st.Model, st.Version, st.Keys, st.Uncached, st.SaveTo = q.Model, p.Version, p.Keys, p.Uncached, p.SaveTo
	for _, part := range q.Parts {
		st.Tokens = append(st.Tokens, part.Tokens)
	}
	return st
}

// Resolve completes a placement made by another instance with what is known here of the
// endpoint. ok is false if the endpoint leaves or is not listed.
func (s *State) Resolve(a Ask, p Placement) (Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, listed := s.endpoints[p.Endpoint.ID]
	switch {
	case s.leaving(p.Endpoint.ID) || listed && e.Draining:
		return p, false
	case listed:
		p.Endpoint = e.Endpoint
	case !s.unlisted || p.Endpoint.Address == "":
		return p, false
	}
	if a.Model != "" {
		p.Keys = prefix.PartKeys(nil, Scope(a.Wall, p.Version), a.Model, a.Parts)
	}
	return p, true
}
