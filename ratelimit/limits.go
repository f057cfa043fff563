package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/quota"
)

const (
	// burst is how many requests an endpoint gets at once after a time of rest. What is
	// sent at the same moment by several schedulers comes on top.
	burst = 2
	// leastPerSecond is the rate kept to where an endpoint takes less: only an answer tells
	// that its need is over.
	leastPerSecond = 0.25
)

// Limits decides which endpoints take a request now, by the rates that they name and by
// what the whole fleet has sent. Any goroutine may use it; no method blocks on anything but
// its mutex.
//
// Load: a few endpoints of a pool are in need while the pool is busy, and what they take is
// less than one request a second for each instance. Harm prevented: with a part of the rate
// at each instance, most of it is lost in fractions; with all of it, the endpoint gets a
// multiple. The schedulers share it as they do an organisation's quota.
type Limits struct {
	registry *Registry
	book     *quota.Book

	// changing keeps the book's limits in the order of the registry's changes.
	changing sync.Mutex
	// limited are the endpoints with a limit. It is replaced, never changed: each decision
	// looks at every endpoint of a pool.
	limited atomic.Pointer[map[string]Rate]
}

// NewLimits returns limits of an instance that starts now. incarnation rises with each
// start.
func NewLimits(now time.Time, self string, incarnation uint64) *Limits {
	return &Limits{registry: NewRegistry(), book: quota.NewBook(now, self, incarnation)}
}

// Take takes in a statement.
func (l *Limits) Take(now time.Time, s Statement) Change {
	l.changing.Lock()
	defer l.changing.Unlock()
	c := l.registry.Take(s)
	if c.Changed {
		l.putInForce(now)
	}
	return c
}

// putInForce hands the registry's limits to the book; the mutex is held.
func (l *Limits) putInForce(now time.Time) {
	limited := map[string]Rate{}
	quotas := map[string]quota.Limit{}
	for _, s := range l.registry.InForce() {
		limited[s.Endpoint] = s.Rate
		quotas[s.Endpoint] = quota.Limit{Rate: max(s.Rate.PerSecond, leastPerSecond), Burst: burst}
	}
	l.book.SetLimits(now, quotas)
	l.limited.Store(&limited)
}

// Rate returns the limit in force of an endpoint.
func (l *Limits) Rate(endpoint string) Rate {
	if m := l.limited.Load(); m != nil {
		return (*m)[endpoint]
	}
	return Rate{}
}

// Limited reports whether an endpoint names a rate.
func (l *Limits) Limited(endpoint string) bool { return l.Rate(endpoint).Limited }

// Free reports whether an endpoint that names a rate takes another request now. reserve is
// the part of the burst that has to be left afterwards, from 0 to 1.
func (l *Limits) Free(now time.Time, endpoint string, reserve float64) bool {
	return l.book.Holds(now, endpoint, 1, reserve)
}

// FreeIn returns how long it is until an endpoint takes a request that is refused now, after
// those refused before it. ok is false while this instance has just started and does not know
// yet what others have sent.
func (l *Limits) FreeIn(now time.Time, endpoint string) (d time.Duration, ok bool) {
	return l.book.Promise(now, endpoint, 1)
}

// Charge counts a run that is sent to an endpoint. The usage has to be reported to the
// other schedulers; ok is false where the endpoint has no limit.
func (l *Limits) Charge(now time.Time, run uint64, endpoint string) (u quota.Usage, ok bool) {
	if !l.Limited(endpoint) {
		return quota.Usage{}, false
	}
	return l.book.Charge(now, run, quota.Charge{Account: endpoint, Cost: 1})
}

// Reported takes in what another scheduler has sent.
func (l *Limits) Reported(now time.Time, u quota.Usage) { l.book.Reported(now, u) }

// Short returns what to report again; see quota.Book.
func (l *Limits) Short(now, since time.Time) []quota.Usage { return l.book.Short(now, since) }

// SetReach replaces for how much of the fleet this instance decides.
func (l *Limits) SetReach(now time.Time, r quota.Reach) { l.book.SetReach(now, r) }

// InForce returns a statement for each limit in force, in the order of the endpoints.
func (l *Limits) InForce() []Statement { return l.registry.InForce() }

// Sweep drops what is not needed any more; exists reports whether an endpoint may still be
// sent requests.
func (l *Limits) Sweep(now time.Time, exists func(endpoint string) bool) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if l.registry.Sweep(now, exists) {
		l.putInForce(now)
	}
	l.book.Sweep(now)
}

// View is the state of one endpoint's limit, for operators.
type View struct {
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"`
	// Balance is how many requests it takes at once, Share the part of the rate that this
	// instance decides on.
	Balance float64 `json:"balance"`
	Share   float64 `json:"share"`
	Passed  int64   `json:"passed_here"`
}

// Views returns the state of all limits in force, in the order of the endpoints.
func (l *Limits) Views(now time.Time) []View {
	list := []View{}
	for _, v := range l.book.Views(now) {
		list = append(list, View{Endpoint: v.Account, Rate: l.Rate(v.Account).PerSecond, Balance: v.Balance, Share: v.Share, Passed: v.Passed})
	}
	return list
}
