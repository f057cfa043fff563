package policy

import "time"

// EndpointStatus is how an endpoint is to be treated.
type EndpointStatus int

// The statuses.
const (
	// EndpointLive endpoints get new work.
	EndpointLive EndpointStatus = iota
	// EndpointSuspect endpoints are silent and get no new work for now.
	EndpointSuspect
	// EndpointLeaving endpoints get no new work and finish what they have.
	EndpointLeaving
	// EndpointExpelled endpoints are silent for long; their cache counts as lost.
	EndpointExpelled
)

// HealthBounds come from the pool's record, so that all instances use the same:
// with different ones the instance with the shortest would decide for all.
type HealthBounds struct {
	SuspectAfter time.Duration
	ExpelAfter   time.Duration
}

// EndpointHealth is what is held of one endpoint's life: live, suspect after a
// short silence, expelled after a long one, leaving when it or the operator
// says so.
//
// Suspicion is apart from expulsion since most silences are pauses: a suspect
// gets no new work and keeps its place and what is known of its cache, so that
// a pause costs no recomputation. Expulsion, or another incarnation, means that
// the cache is gone.
type EndpointHealth struct {
	bounds      HealthBounds
	status      EndpointStatus
	incarnation uint64
	heard       time.Time
	leaving     bool
	crashed     bool
}

// NewEndpointHealth returns the health of an endpoint that is taken for live
// until it has been silent: a starting instance has to serve before it has
// heard of any endpoint.
func NewEndpointHealth(now time.Time, bounds HealthBounds) *EndpointHealth {
	return &EndpointHealth{bounds: bounds, status: EndpointLive, heard: now}
}

// SetBounds puts other bounds in force.
func (h *EndpointHealth) SetBounds(b HealthBounds) { h.bounds = b }

// Status returns the state and the incarnation that it is about.
func (h *EndpointHealth) Status() (EndpointStatus, uint64) { return h.status, h.incarnation }

// Heard takes a sign of life. Signs of an older incarnation, which come from a
// delayed connection, are passed over. It reports whether status or incarnation
// changed.
func (h *EndpointHealth) Heard(now time.Time, incarnation uint64, leaving bool) bool {
	if incarnation < h.incarnation {
		return false
	}
	was, before := h.status, h.incarnation
	if incarnation > h.incarnation {
		h.crashed = false
	}
	h.incarnation = incarnation
	if now.After(h.heard) {
		h.heard = now
	}
	h.leaving = leaving
	h.status = h.decide(now)
	return h.status != was || h.incarnation != before
}

// Crashed takes the word that an incarnation is dead, such as a refused
// connection after open answers broke: it is suspect at once, until it is heard
// with another incarnation or has been silent for the bound of expulsion.
func (h *EndpointHealth) Crashed(now time.Time, incarnation uint64) bool {
	if incarnation != h.incarnation {
		return false
	}
	was := h.status
	h.crashed = true
	h.status = h.decide(now)
	return h.status != was
}

// Tick reports whether the silence changed the status.
func (h *EndpointHealth) Tick(now time.Time) bool {
	was := h.status
	h.status = h.decide(now)
	return h.status != was
}

func (h *EndpointHealth) decide(now time.Time) EndpointStatus {
	silence := now.Sub(h.heard)
	switch {
	case silence >= h.bounds.ExpelAfter:
		return EndpointExpelled
	case h.leaving:
		return EndpointLeaving
	case h.crashed, silence >= h.bounds.SuspectAfter:
		return EndpointSuspect
	default:
		return EndpointLive
	}
}
