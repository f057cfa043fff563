package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// usableRatio and usableSlack are the fractions of the fleet's retry ratio and slack that the
	// instances hand out. The rest covers requests that are counted in another window than their
	// retries, and shares that are out of date.
	//
	// Half of the ratio is handed out twice: for the requests of the current window, and saved up
	// from those of the previous one.
	usableRatio = 0.5
	usableSlack = 0.7
	// burstOfSlack is the fraction of an instance's slack that may be used at once. The rest is
	// refilled over the window.
	burstOfSlack = 0.7
)

// FleetRetries limits retries (sends after the first of each request) per service, so that all
// instances together stay below ratio times the requests plus the slack in any window.
//
// It protects the remaining endpoints when several endpoints crash at peak load: each failed or
// rejected send that is retried elsewhere adds load to them. Sends that an endpoint rejects count
// too, since it has to read them. FleetRetries is safe for concurrent use.
type FleetRetries struct {
	mu        sync.Mutex
	ratio     float64
	slack     float64
	window    time.Duration
	instances int
	services  map[string]*retryBucket
}

// retryBucket is the token bucket of one service.
type retryBucket struct {
	tokens float64
	last   time.Time
	// accepted approximates the number of requests in the last window.
	accepted float64
}

// NewFleetRetries returns full budgets. ratio, slack and window apply to the whole fleet.
func NewFleetRetries(ratio, slack float64, window time.Duration) *FleetRetries {
	return &FleetRetries{ratio: ratio, slack: slack, window: window, instances: 1, services: map[string]*retryBucket{}}
}

// SetLimits replaces ratio, slack and window and keeps the remaining budgets.
func (f *FleetRetries) SetLimits(ratio, slack float64, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack, f.window = ratio, slack, window
}

// SetInstances sets the number of instances that share the budget.
func (f *FleetRetries) SetInstances(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = max(n, 1)
}

// Accepted adds the budget that one request to the service earns.
func (f *FleetRetries) Accepted(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.bucket(now, service)
	b.accepted++
	b.tokens = min(b.tokens+f.ratio*usableRatio, f.capacity(b))
}

// Retry takes one retry from the service's budget and reports whether there was one left. If not,
// the request has to fail.
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

func (f *FleetRetries) share() float64 { return f.slack * usableSlack / float64(f.instances) }

func (f *FleetRetries) burst() float64 { return max(f.share()*burstOfSlack, 1) }

// capacity returns the size of the bucket. It includes the budget earned over a window, because
// all requests on endpoints that crash together fail at once.
func (f *FleetRetries) capacity(b *retryBucket) float64 {
	return f.burst() + f.ratio*usableRatio*b.accepted
}

func (f *FleetRetries) bucket(now time.Time, service string) *retryBucket {
	b, ok := f.services[service]
	if !ok {
		b = &retryBucket{tokens: f.burst(), last: now}
		f.services[service] = b
	}
	windows := max(now.Sub(b.last).Seconds()/f.window.Seconds(), 0)
	b.accepted *= math.Exp(-windows)
	b.tokens = min(b.tokens+windows*f.share()*(1-burstOfSlack), f.capacity(b))
	b.last = now
	return b
}
