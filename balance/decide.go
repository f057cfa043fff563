package balance

import (
	"time"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/quota"
)

// Query asks where a request goes, and whether it goes there now.
type Query struct {
	Ask
	// Run is the name that the send will have.
	Run RunID
	// Target and Patience are those of Timing. Without a target the request is sent as
	// soon as an endpoint takes it.
	Target, Patience time.Duration
	// Elapsed since the request came.
	Elapsed time.Duration
	// Charge is what the send counts against a quota.
	Charge quota.Charge
}

// Decision answers a Query.
type Decision struct {
	Admission Admission
	// Found says that an endpoint takes the request; Placement is only set then.
	Found     bool
	Placement Placement
	// Quota says why the request is OverQuota.
	Quota quota.Decision
	// FreeIn is when an endpoint takes a request that is AtLimit, after those refused
	// before it; 0 for one that is sent again.
	FreeIn time.Duration
}

// Decide chooses an endpoint and decides whether the request is sent now. One that is
// counts at the endpoint from then on, so that the next decision sees it.
func (s *State) Decide(now time.Time, q Query) Decision {
	p, ok := s.Choose(now, q.Ask)
	if !ok && p.PassedOver != "" {
		return s.refuseAtLimit(now, q, p)
	}
	if !ok {
		return Decision{Admission: Wait}
	}
	v := Decision{Admission: Send, Found: true, Placement: p}
	if q.Model != "" && q.Target > 0 {
		v.Admission = Admit(Timing{
			Target: q.Target, Patience: q.Patience, Elapsed: q.Elapsed,
			Backlog: p.Backlog, First: p.First, Full: p.Full,
		})
	}
	if v.Admission == Send {
		s.Started(now, StartOf(q, p))
	}
	return v
}

// refuseAtLimit decides on a request for which every endpoint has got what it takes. One that
// has begun elsewhere waits for its turn and is not told one.
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

// StartOf describes the send of a request to where it was placed.
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

// Resolve completes a placement that another instance has made with what is known of the
// endpoint here. ok is false where it is known to leave, or to be gone.
func (s *State) Resolve(a Ask, p Placement) (Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, listed := s.endpoints[p.Endpoint.ID]
	switch {
	case listed && e.Draining:
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
