package policy

import "time"

// EndpointStatus is the health status of an endpoint.
type EndpointStatus int

// The statuses.
const (
	// EndpointLive endpoints get new work.
	EndpointLive EndpointStatus = iota
	// EndpointSuspect endpoints are unresponsive and get no new work for now.
	EndpointSuspect
	// EndpointLeaving endpoints get no new work and finish the requests they have.
	EndpointLeaving
	// EndpointExpelled endpoints have been unresponsive for long; their cache is assumed lost.
	EndpointExpelled
)

// HealthBounds are the timeouts of the failure detector. They come from the pool's record, so
// that all instances use the same: otherwise the instance with the shortest timeouts would decide
// for all.
type HealthBounds struct {
	SuspectAfter time.Duration
	ExpelAfter   time.Duration
}

// EndpointHealth tracks the status of one endpoint: live, suspect after a short time without
// messages, expelled after a long one, leaving when the endpoint or the operator requests it.
//
// Suspicion is separate from expulsion because most gaps are pauses. A suspect endpoint gets no
// new work but keeps its place and its cache records, so that a pause causes no recomputation.
// Expulsion, or another incarnation, means that the cache is lost.
type EndpointHealth struct {
	bounds      HealthBounds
	status      EndpointStatus
	incarnation uint64
	lastSeen    time.Time
	leaving     bool
	crashed     bool
}

// NewEndpointHealth returns the health of an endpoint that is assumed live until SuspectAfter has
// passed without a message: a starting instance has to serve before it has received a message from
// any endpoint.
func NewEndpointHealth(now time.Time, bounds HealthBounds) *EndpointHealth {
	return &EndpointHealth{bounds: bounds, status: EndpointLive, lastSeen: now}
}

// SetBounds replaces the timeouts.
func (h *EndpointHealth) SetBounds(b HealthBounds) { h.bounds = b }

// Status returns the endpoint's status and the incarnation it applies to.
func (h *EndpointHealth) Status() (EndpointStatus, uint64) { return h.status, h.incarnation }

// Seen records a message from the endpoint. Messages of an older incarnation, which come from a
// delayed connection, are ignored. It reports whether the status or the incarnation changed.
func (h *EndpointHealth) Seen(now time.Time, incarnation uint64, leaving bool) bool {
	if incarnation < h.incarnation {
		return false
	}
	was, before := h.status, h.incarnation
	if incarnation > h.incarnation {
		h.crashed = false
	}
	h.incarnation = incarnation
	if now.After(h.lastSeen) {
		h.lastSeen = now
	}
	h.leaving = leaving
	h.status = h.decide(now)
	return h.status != was || h.incarnation != before
}

// Crashed records evidence that an incarnation has crashed, such as a refused connection after
// open responses broke off. The endpoint is suspect at once, until a message with another
// incarnation arrives or ExpelAfter has passed since the last message. It reports whether the
// status changed.
func (h *EndpointHealth) Crashed(now time.Time, incarnation uint64) bool {
	if incarnation != h.incarnation {
		return false
	}
	was := h.status
	h.crashed = true
	h.status = h.decide(now)
	return h.status != was
}

// Tick updates the status for the time since the last message and reports whether it changed.
func (h *EndpointHealth) Tick(now time.Time) bool {
	was := h.status
	h.status = h.decide(now)
	return h.status != was
}

func (h *EndpointHealth) decide(now time.Time) EndpointStatus {
	elapsed := now.Sub(h.lastSeen)
	switch {
	case elapsed >= h.bounds.ExpelAfter:
		return EndpointExpelled
	case h.leaving:
		return EndpointLeaving
	case h.crashed, elapsed >= h.bounds.SuspectAfter:
		return EndpointSuspect
	default:
		return EndpointLive
	}
}
