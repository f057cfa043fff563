// Package ratelimit tracks the rate limits that overloaded endpoints advertise in their
// responses, and decides which requests stay within them over the whole fleet. It does no
// I/O and takes the time as an argument.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
)

// Rate is the rate limit of an endpoint for all instances together. The zero value is
// unlimited.
type Rate struct {
	Limited bool `json:"limited"`
	// PerSecond is in requests per second.
	PerSecond float64 `json:"per_second"`
}

// String implements fmt.Stringer.
func (r Rate) String() string {
	if !r.Limited {
		return "none"
	}
	return strconv.FormatFloat(r.PerSecond, 'g', -1, 64)
}

// ParseRate parses a decimal number of requests per second; 0 means that the endpoint takes
// none. The error is of kind fault.Broken.
func ParseRate(text string) (Rate, error) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Rate{}, fault.New(fault.Broken, "look at the endpoint's settings", "%.40q is no number of requests a second", text)
	}
	return Rate{Limited: true, PerSecond: perSecond}, nil
}

// Statement is the rate limit that an endpoint advertised in one response.
type Statement struct {
	Endpoint string
	Rate     Rate
	// SentAt is when the request was sent, and AnsweredAt when the header of the response
	// arrived. The endpoint made the statement at some time in between.
	SentAt, AnsweredAt time.Time
}

// Change is the effect of a statement on an endpoint's limit.
type Change struct {
	Changed     bool
	Before, Now Rate
}

// Registry keeps the current limits by endpoint. It is safe for concurrent use; no method
// blocks except on the mutex.
type Registry struct {
	mu    sync.Mutex
	known map[string]*known
}

// known is the limit of one endpoint that has advertised one.
type known struct {
	rate Rate
	// sentAt and answeredAt are the latest times of the statements with this rate.
	sentAt, answeredAt time.Time
}

// NewRegistry returns a registry without limits.
func NewRegistry() *Registry { return &Registry{known: map[string]*known{}} }

// Apply applies a statement and returns what it has changed.
//
// Responses may overtake each other, so an earlier statement can arrive after a later one;
// it must neither lift a limit nor restore an old one. Of two statements whose order is
// unknown the stricter one applies until a request that was sent after both is answered.
func (r *Registry) Apply(s Statement) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known[s.Endpoint]
	if k == nil {
		if !s.Rate.Limited {
			return Change{}
		}
		k = &known{}
		r.known[s.Endpoint] = k
	}
	c := Change{Before: k.rate, Now: k.rate}
	if k.supersededBy(s) {
		k.rate, c.Now = s.Rate, s.Rate
		k.sentAt, k.answeredAt = time.Time{}, time.Time{}
	}
	if k.rate == s.Rate {
		k.sentAt, k.answeredAt = latest(k.sentAt, s.SentAt), latest(k.answeredAt, s.AnsweredAt)
	}
	c.Changed = c.Before != c.Now
	return c
}

// supersededBy reports whether a statement replaces the known limit.
func (k *known) supersededBy(s Statement) bool {
	switch {
	case k.rate == s.Rate, !s.AnsweredAt.After(k.sentAt):
		return false
	case !s.SentAt.Before(k.answeredAt):
		return true
	}
	return s.Rate.stricter(k.rate)
}

// stricter reports whether a limit is lower than another one.
func (r Rate) stricter(than Rate) bool {
	return r.Limited && (!than.Limited || r.PerSecond < than.PerSecond)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Rate returns the current limit of an endpoint.
func (r *Registry) Rate(endpoint string) Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.known[endpoint]; k != nil {
		return k.rate
	}
	return Rate{}
}

// InForce returns a statement for each current limit, sorted by endpoint.
func (r *Registry) InForce() []Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Statement
	for id, k := range r.known {
		if k.rate.Limited {
			list = append(list, Statement{id, k.rate, k.sentAt, k.answeredAt})
		}
	}
	slices.SortFunc(list, func(a, b Statement) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// forgetAfter is how long the state of a limit is kept after it was lifted or its endpoint
// was removed: longer than any response takes to arrive.
const forgetAfter = time.Minute

// Sweep drops state that is no longer needed. exists reports whether an endpoint may still
// be sent requests. changed reports whether a current limit was dropped.
func (r *Registry) Sweep(now time.Time, exists func(endpoint string) bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, k := range r.known {
		if now.Sub(k.answeredAt) > forgetAfter && (!k.rate.Limited || !exists(id)) {
			changed = changed || k.rate.Limited
			delete(r.known, id)
		}
	}
	return changed
}
