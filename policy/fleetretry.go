package policy

import (
	"maps"
	"math"
	"slices"
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

// RetryLimitView is the state of the retry limit at one instance.
type RetryLimitView struct {
	// Ratio, Slack and WindowSeconds apply to the whole fleet.
	Ratio         float64 `json:"ratio"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_s"`
	// Instances is the number of instances that the slack is divided by.
	Instances int                `json:"instances"`
	Services  []ServiceRetryView `json:"services"`
}

// ServiceRetryView is the state of the retry limit of one service at one instance.
type ServiceRetryView struct {
	Service string `json:"service"`
	// Retries and Refused count the retries that were sent and refused since the start of the process.
	Retries int `json:"retries_total"`
	Refused int `json:"refused_total"`
	// Available is the number of retries that may be sent now.
	Available float64 `json:"available"`
}

// retryBucket is the token bucket of one service.
type retryBucket struct {
	tokens float64
	last   time.Time
	// accepted approximates the number of requests in the last window.
	accepted float64
	// retries and refused count all retries that were sent and refused.
	retries, refused int
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

// SetInstances sets the number of instances that share the budget, and returns the one before.
func (f *FleetRetries) SetInstances(n int) (before int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, f.instances = f.instances, max(n, 1)
	return before
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
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// View returns the state of the limit, with the services in alphabetical order.
func (f *FleetRetries) View(now time.Time) RetryLimitView {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := RetryLimitView{Ratio: f.ratio, Slack: f.slack, WindowSeconds: f.window.Seconds(), Instances: f.instances}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		b := f.bucket(now, name)
		v.Services = append(v.Services, ServiceRetryView{Service: name, Retries: b.retries, Refused: b.refused, Available: b.tokens})
	}
	return v
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
