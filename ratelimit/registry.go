// Package ratelimit keeps the rates that endpoints in need name in their answers, and
// decides which sends stay within them over the whole fleet. It does no I/O and takes the
// time as an argument.
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

// Rate is what an endpoint takes from all instances together. The zero value is no limit.
type Rate struct {
	Limited bool `json:"limited"`
	// PerSecond is in requests a second.
	PerSecond float64 `json:"per_second"`
}

// String implements fmt.Stringer.
func (r Rate) String() string {
	if !r.Limited {
		return "none"
	}
	return strconv.FormatFloat(r.PerSecond, 'g', -1, 64)
}

// ParseRate reads a decimal number of requests a second; 0 means that the endpoint takes
// none. The error is of kind fault.Broken.
func ParseRate(text string) (Rate, error) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Rate{}, fault.New(fault.Broken, "look at the endpoint's settings", "%.40q is no number of requests a second", text)
	}
	return Rate{Limited: true, PerSecond: perSecond}, nil
}

// Statement is what one answer of an endpoint says of its limit.
type Statement struct {
	Endpoint string
	Rate     Rate
	// SentAt is when the request was sent, AnsweredAt when the head of its answer came.
	// The endpoint made the statement in between.
	SentAt, AnsweredAt time.Time
}

// Change is what a statement has changed.
type Change struct {
	Changed     bool
	Before, Now Rate
}

// Registry has the limits in force, by endpoint. Any goroutine may use it; no method
// blocks on anything but its mutex.
type Registry struct {
	mu    sync.Mutex
	known map[string]*known
}

// known is the limit of one endpoint that has named one.
type known struct {
	rate Rate
	// sentAt and answeredAt are the latest of the statements that agree with it.
	sentAt, answeredAt time.Time
}

// NewRegistry returns a registry without limits.
func NewRegistry() *Registry { return &Registry{known: map[string]*known{}} }

// Take takes in a statement.
//
// Failure: answers cross on their way, and one that was made earlier comes later. It may
// neither lift a limit nor bring an old one back. Of two statements that may have been made
// in either order, the stricter holds until a request that was sent after both is answered.
func (r *Registry) Take(s Statement) Change {
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

// supersededBy reports whether a statement takes the place of what is known.
func (k *known) supersededBy(s Statement) bool {
	switch {
	case k.rate == s.Rate, !s.AnsweredAt.After(k.sentAt):
		return false
	case !s.SentAt.Before(k.answeredAt):
		return true
	}
	return s.Rate.stricter(k.rate)
}

// stricter reports whether a limit lets less pass than another one.
func (r Rate) stricter(than Rate) bool {
	return r.Limited && (!than.Limited || r.PerSecond < than.PerSecond)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Rate returns the limit in force of an endpoint.
func (r *Registry) Rate(endpoint string) Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.known[endpoint]; k != nil {
		return k.rate
	}
	return Rate{}
}

// InForce returns a statement for each limit in force, in the order of the endpoints.
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

// forgetAfter is for how long what a limit was is kept once it is lifted or its endpoint
// is gone: longer than answers are on their way.
const forgetAfter = time.Minute

// Sweep drops what is not needed any more; exists reports whether an endpoint may still be
// sent requests. It reports whether a limit in force is among it.
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
