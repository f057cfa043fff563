package policy

import (
	"sync"
	"time"
)

const (
	// useOfRatio and useOfSlack are the parts of what the fleet may send again
	// that instances give out. The rest covers requests that are counted in
	// another window than their retries, and shares that are out of date.
	useOfRatio = 0.6
	useOfSlack = 0.7
	// burstOfSlack is the part of an instance's slack that may be used at once;
	// the rest comes back over the window.
	burstOfSlack = 0.5
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
	ratio  float64
	slack  float64
	window time.Duration

	mu        sync.Mutex
	instances int
	services  map[string]*retryBucket
}

// retryBucket holds what one service has left.
type retryBucket struct {
	tokens float64
	last   time.Time
}

// NewFleetRetries returns full budgets. ratio, slack and window are those of the
// whole fleet.
func NewFleetRetries(ratio, slack float64, window time.Duration) *FleetRetries {
	return &FleetRetries{ratio: ratio, slack: slack, window: window, instances: 1, services: map[string]*retryBucket{}}
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
	b.tokens = min(b.tokens+f.ratio*useOfRatio, f.burst()+1)
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

func (f *FleetRetries) bucket(now time.Time, service string) *retryBucket {
	b, ok := f.services[service]
	if !ok {
		b = &retryBucket{tokens: f.burst(), last: now}
		f.services[service] = b
	}
	refill := now.Sub(b.last).Seconds() / f.window.Seconds() * f.share() * (1 - burstOfSlack)
	b.tokens = min(b.tokens+max(refill, 0), f.burst()+1)
	b.last = now
	return b
}
