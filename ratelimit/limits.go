package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/selfreport"
)

const (
	// burst is the number of requests that an endpoint may get at once after an idle period.
	// Requests that several schedulers send at the same moment come on top.
	burst = 2
	// minPerSecond is the lowest rate at which a limited endpoint is still sent requests:
	// only a response shows that its limit has been lifted.
	minPerSecond = 0.25
)

// Limits decides which endpoints take a request now, from the rate limits that they
// advertise and from what the whole fleet has sent. It is safe for concurrent use; no method
// blocks except on its mutexes.
//
// In a busy pool the limit of an endpoint may be below one request per second for each
// instance. If the rate were divided between the instances, most of it would be lost to
// fractions; if each instance used all of it, the endpoint would get a multiple. So the
// schedulers share it in the same way as an organisation's quota.
type Limits struct {
	registry *selfreport.Registry[Rate]
	book     *quota.Book

	// changing makes the book's limits change in the same order as the registry's.
	changing sync.Mutex
	// limited are the endpoints with a limit. The map is replaced and never modified, so
	// that it can be read without a lock: each decision looks up every endpoint of a pool.
	limited atomic.Pointer[map[string]Rate]
}

// NewLimits returns the limits of an instance that starts now. incarnation increases with
// each start.
func NewLimits(now time.Time, self string, incarnation uint64) *Limits {
	return &Limits{registry: selfreport.NewRegistry(stricter), book: quota.NewBook(now, self, incarnation)}
}

// Apply applies a statement and returns what it has changed.
func (l *Limits) Apply(now time.Time, s Statement) Change {
	l.changing.Lock()
	defer l.changing.Unlock()
	c := l.registry.Apply(s)
	if c.Changed {
		l.updateBook(now)
	}
	return c
}

// updateBook copies the registry's limits to the book. The caller must hold l.changing.
func (l *Limits) updateBook(now time.Time) {
	limited := map[string]Rate{}
	quotas := map[string]quota.Limit{}
	for _, s := range l.registry.InForce() {
		limited[s.Endpoint] = s.Value
		quotas[s.Endpoint] = quota.Limit{Rate: max(s.Value.PerSecond, minPerSecond), Burst: burst}
	}
	l.book.SetLimits(now, quotas)
	l.limited.Store(&limited)
}

// Rate returns the current limit of an endpoint.
func (l *Limits) Rate(endpoint string) Rate {
	if m := l.limited.Load(); m != nil {
		return (*m)[endpoint]
	}
	return Rate{}
}

// Limited reports whether an endpoint has a rate limit.
func (l *Limits) Limited(endpoint string) bool { return l.Rate(endpoint).Limited }

// Free reports whether an endpoint with a rate limit takes another request now. reserve is
// the fraction of the burst, from 0 to 1, that must be left afterwards.
func (l *Limits) Free(now time.Time, endpoint string, reserve float64) bool {
	return l.book.Covers(now, endpoint, 1, reserve)
}

// FreeIn returns the time until an endpoint takes a request that is refused now, after those
// refused before it. ok is false while this instance has just started and does not yet know
// what other instances have sent.
func (l *Limits) FreeIn(now time.Time, endpoint string) (d time.Duration, ok bool) {
	return l.book.RetryAfter(now, endpoint, 1)
}

// Charge counts a run that is sent to an endpoint. The returned usage has to be reported to
// the other schedulers; ok is false if the endpoint has no limit.
func (l *Limits) Charge(now time.Time, run uint64, endpoint string) (u quota.Usage, ok bool) {
	if !l.Limited(endpoint) {
		return quota.Usage{}, false
	}
	return l.book.Charge(now, run, quota.Charge{Account: endpoint, Cost: 1})
}

// ApplyUsage applies the usage report of another scheduler.
func (l *Limits) ApplyUsage(now time.Time, u quota.Usage) { l.book.ApplyUsage(now, u) }

// Short returns the usage to report again; see quota.Book.Short.
func (l *Limits) Short(now, since time.Time) []quota.Usage { return l.book.Short(now, since) }

// SetReach replaces the part of the fleet for which this instance decides.
func (l *Limits) SetReach(now time.Time, r quota.Reach) { l.book.SetReach(now, r) }

// InForce returns a statement for each current limit, sorted by endpoint.
func (l *Limits) InForce() []Statement { return l.registry.InForce() }

// Sweep drops state that is no longer needed. exists reports whether an endpoint may still
// be sent requests.
func (l *Limits) Sweep(now time.Time, exists func(endpoint string) bool) {
	l.changing.Lock()
	defer l.changing.Unlock()
	if l.registry.Sweep(now, exists) {
		l.updateBook(now)
	}
	l.book.Sweep(now)
}

// View is the state of one endpoint's limit in the state dump.
type View struct {
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"`
	// Balance is the number of requests that the endpoint takes at once. Share is the
	// fraction of the rate on which this instance decides.
	Balance float64 `json:"balance"`
	Share   float64 `json:"share"`
	Passed  int64   `json:"passed_here"`
}

// Views returns the state of all current limits, sorted by endpoint.
func (l *Limits) Views(now time.Time) []View {
	list := []View{}
	for _, v := range l.book.Views(now) {
		list = append(list, View{Endpoint: v.Account, Rate: l.Rate(v.Account).PerSecond, Balance: v.Balance, Share: v.Share, Passed: v.Passed})
	}
	return list
}
