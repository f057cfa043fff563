// Package selfreport keeps what endpoints state about themselves in their responses: their rate
// limits, that they leave, and for how long they want no requests from this instance. It does no
// I/O and takes the time as an argument.
package selfreport

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Statement is a value that an endpoint stated in one response. The zero value of V means that
// it stated none.
type Statement[V comparable] struct {
	Endpoint string
	Value    V
	// SentAt is when the request was sent, and AnsweredAt when the header of the response
	// arrived. The endpoint made the statement at some time in between.
	SentAt, AnsweredAt time.Time
}

// Change is the effect of a statement on the value in force.
type Change[V comparable] struct {
	Changed     bool
	Before, Now V
}

// Registry keeps the current value of each endpoint that has stated one. It is safe for
// concurrent use; no method blocks except on the mutex.
type Registry[V comparable] struct {
	stricter func(a, b V) bool

	mu    sync.Mutex
	known map[string]*known[V]
}

// known is the value of one endpoint.
type known[V comparable] struct {
	value V
	// sentAt and answeredAt are the latest times of the statements with this value.
	sentAt, answeredAt time.Time
}

// NewRegistry returns a registry without values. stricter reports whether a restricts requests
// more than b.
func NewRegistry[V comparable](stricter func(a, b V) bool) *Registry[V] {
	return &Registry[V]{stricter: stricter, known: map[string]*known[V]{}}
}

// Apply applies a statement and returns what it has changed.
//
// Responses may overtake each other, so an earlier statement can arrive after a later one; it
// must neither lift a restriction nor restore an old one. Of two statements whose order is
// unknown the stricter one applies until a request that was sent after both is answered.
func (r *Registry[V]) Apply(s Statement[V]) Change[V] {
	var none V
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known[s.Endpoint]
	if k == nil {
		if s.Value == none {
			return Change[V]{}
		}
		k = &known[V]{}
		r.known[s.Endpoint] = k
	}
	c := Change[V]{Before: k.value, Now: k.value}
	if r.supersedes(s, k) {
		k.value, c.Now = s.Value, s.Value
		k.sentAt, k.answeredAt = time.Time{}, time.Time{}
	}
	if k.value == s.Value {
		k.sentAt, k.answeredAt = latest(k.sentAt, s.SentAt), latest(k.answeredAt, s.AnsweredAt)
	}
	c.Changed = c.Before != c.Now
	return c
}

// supersedes reports whether a statement replaces the known value.
func (r *Registry[V]) supersedes(s Statement[V], k *known[V]) bool {
	switch {
	case k.value == s.Value, !s.AnsweredAt.After(k.sentAt):
		return false
	case !s.SentAt.Before(k.answeredAt):
		return true
	}
	return r.stricter(s.Value, k.value)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Value returns the current value of an endpoint.
func (r *Registry[V]) Value(endpoint string) V {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.known[endpoint]; k != nil {
		return k.value
	}
	var none V
	return none
}

// move makes the current value of one incarnation of an endpoint that of its next one, if it was stated
// after that had started. moved reports whether there was such a value.
func (r *Registry[V]) move(from, to string, started time.Time) (moved bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.known[from]
	if k == nil || !k.answeredAt.After(started) {
		return false
	}
	r.known[to] = k
	delete(r.known, from)
	return true
}

// InForce returns a statement for each current value but the zero value, sorted by endpoint.
func (r *Registry[V]) InForce() []Statement[V] {
	var none V
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Statement[V]
	for id, k := range r.known {
		if k.value != none {
			list = append(list, Statement[V]{id, k.value, k.sentAt, k.answeredAt})
		}
	}
	slices.SortFunc(list, func(a, b Statement[V]) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// forgetAfter is how long the state of an endpoint is kept after its value was withdrawn or the
// endpoint was removed: longer than any response takes to arrive.
const forgetAfter = time.Minute

// Sweep drops state that is no longer needed. exists reports whether an endpoint may still be
// sent requests. changed reports whether a current value was dropped.
func (r *Registry[V]) Sweep(now time.Time, exists func(endpoint string) bool) (changed bool) {
	var none V
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, k := range r.known {
		if now.Sub(k.answeredAt) > forgetAfter && (k.value == none || !exists(id)) {
			changed = changed || k.value != none
			delete(r.known, id)
		}
	}
	return changed
}
