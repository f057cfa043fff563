package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// useOfRatio and useOfSlack are the parts of what the fleet may send again
	// that instances give out. The rest covers requests that are counted in
	// another window than their retries, and shares that are out of date.
	//
	// Half of the ratio is given out twice: for the requests of the window that goes
	// on, and saved up from those of the one before.
	useOfRatio = 0.5
	useOfSlack = 0.7
	// burstOfSlack is the part of an instance's slack that may be used at once;
	// the rest comes back over the window.
	burstOfSlack = 0.7
)

// FleetRetries bounds the sends beyond the first of each request, by service,
// such that all instances together stay below ratio times the requests plus the
// slack in any window.
//
// It is made for the crash of several endpoints at the busiest time: each failed
// or rejected send that goes to another endpoint adds load to those that are
// left. Sends that an endpoint rejects count too, since it has to read them.
// Any goroutine may use it.
type FleetRetries struct {
	mu        sync.Mutex
	ratio     float64
	slack     float64
	window    time.Duration
	instances int
	services  map[string]*retryBucket
}

// retryBucket holds what one service has left.
type retryBucket struct {
	tokens float64
	last   time.Time
	// accepted is about how many requests came within the last window.
	accepted float64
}

// NewFleetRetries returns full budgets. ratio, slack and window are those of the
// whole fleet.
func NewFleetRetries(ratio, slack float64, window time.Duration) *FleetRetries {
	return &FleetRetries{ratio: ratio, slack: slack, window: window, instances: 1, services: map[string]*retryBucket{}}
}

// SetLimits replaces ratio, slack and window; what is left of the budgets stays.
func (f *FleetRetries) SetLimits(ratio, slack float64, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack, f.window = ratio, slack, window
}

// SetInstances tells how many instances share the budget.
func (f *FleetRetries) SetInstances(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = max(n, 1)
}

// Accepted pays in for one request to the service.
func (f *FleetRetries) Accepted(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bucket(now, service)
	b.accepted++
	b.tokens = min(b.tokens+f.ratio*useOfRatio, f.most(b))
}

// Retry takes one send out; false means that the request has to end.
func (f *FleetRetries) Retry(now time.Time, service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bucket(now, service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (f *FleetRetries) share() float64 { return f.slack * useOfSlack / float64(f.instances) }

func (f *FleetRetries) burst() float64 { return max(f.share()*burstOfSlack, 1) }

// most is what may be saved up: a crash of several endpoints fails in one moment
// what a window's requests pay for.
func (f *FleetRetries) most(b *retryBucket) float64 {
	return f.burst() + f.ratio*useOfRatio*b.accepted
}

func (f *FleetRetries) bucket(now time.Time, service string) *retryBucket {
	b, ok := f.services[service]
	if !ok {
		b = &retryBucket{tokens: f.burst(), last: now}
		f.services[service] = b
	}
	windows := max(now.Sub(b.last).Seconds()/f.window.Seconds(), 0)
	b.accepted *= math.Exp(-windows)
	b.tokens = min(b.tokens+windows*f.share()*(1-burstOfSlack), f.most(b))
	b.last = now
	return b
}
