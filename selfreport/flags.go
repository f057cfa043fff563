package selfreport

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Flags keeps which endpoints have stated something that either holds or does not, such as that they
// leave. It is safe for concurrent use; no method blocks except on its mutexes.
//
// While the platform's store is unreachable or slow, an endpoint's responses are the only source of
// this, seconds before the list of endpoints shows it. So entries of the list that say otherwise do
// not end it; only a later response of the same incarnation does.
type Flags struct {
	registry *Registry[bool]

	// changing makes holds change in the same order as the registry.
	changing sync.Mutex
	// holds is replaced and never modified, so that it can be read without a lock: each decision
	// looks up every endpoint of a service.
	holds atomic.Pointer[map[string]bool]
}

// NewFlags returns Flags that hold for no endpoint.
func NewFlags() *Flags {
	f := &Flags{registry: NewRegistry(func(a, b bool) bool { return a && !b })}
	f.holds.Store(&map[string]bool{})
	return f
}

// Apply applies a statement, whose value is whether it holds, and returns what it has changed.
func (f *Flags) Apply(s Statement[bool]) Change[bool] {
	f.changing.Lock()
	defer f.changing.Unlock()
	c := f.registry.Apply(s)
	if c.Changed {
		f.update()
	}
	return c
}

// update copies the registry's values to f.holds. The caller must hold f.changing.
func (f *Flags) update() {
	holds := map[string]bool{}
	for _, s := range f.registry.InForce() {
		holds[s.Endpoint] = true
	}
	f.holds.Store(&holds)
}

// Holds reports whether an endpoint has stated it.
func (f *Flags) Holds(endpoint string) bool { return (*f.holds.Load())[endpoint] }

// Endpoints returns the endpoints for which it holds, sorted.
func (f *Flags) Endpoints() []string { return slices.Sorted(maps.Keys(*f.holds.Load())) }

// InForce returns a statement for each endpoint for which it holds, sorted by endpoint.
func (f *Flags) InForce() []Statement[bool] { return f.registry.InForce() }

// Move makes the statement of one incarnation of an endpoint that of its next one, if it was made after
// that had started: responses of an incarnation may arrive before the list of endpoints shows it.
func (f *Flags) Move(from, to string, started time.Time) {
	f.changing.Lock()
	defer f.changing.Unlock()
	if f.registry.move(from, to, started) {
		f.update()
	}
}

// Sweep drops the state of endpoints that no longer exist.
func (f *Flags) Sweep(now time.Time, exists func(endpoint string) bool) {
	f.changing.Lock()
	defer f.changing.Unlock()
	if f.registry.Sweep(now, exists) {
		f.update()
	}
}
