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
	// requests refused before it; 0 for a retry AtLimit.
	FreeIn time.Duration
}

// Decide chooses an endpoint and decides whether the request is sent now. A request that is
// sent is counted at the endpoint at once, so that the next decision takes it into account.
func (s *State) Decide(now time.Time, q Query) Decision {
	p, ok := s.Choose(now, q.Ask)
	switch {
	case !ok && p.PassedFor == RateLimit:
		return s.refuseAtLimit(now, q, p)
	case !ok && p.PassedFor == Pause:
		return Decision{Admission: Paused, Placement: p, FreeIn: p.pauseLeft}
	}
	if !ok {
		return Decision{Admission: s.unplaced(q.Ask)}
	}
	v := Decision{Admission: Send, Found: true, Placement: p}
	if q.Model != "" && q.Target > 0 {
		v.Admission = Admit(Timing{
			Target: q.Target, Patience: q.Patience, Elapsed: q.Elapsed,
			Backlog: p.Backlog, FirstToken: p.FirstToken, Full: p.Full,
		})
	}
	if v.Admission == Send {
		s.started(now, StartOf(q, p), true)
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
