package policy

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// usableShare is the part of the fleet's retries that processes hand out whose own past fills the window. The rest covers
	// processes that have started within the window, and requests that move from one instance to another.
	usableShare = 0.93
	// startingShare is the part of the retries earned by its own requests that a process hands out until it has run for a
	// window. Its predecessor may have spent all that it could right before it ended, which counts in that window too.
	startingShare = 1 - usableShare
)

// FleetRetries limits retries (sends after the first of each request) per service, so that all instances together stay below
// ratio times the requests plus the slack in any window.
//
// It protects the remaining endpoints when several endpoints crash at peak load: each failed or rejected send that is retried
// elsewhere adds load to them. Sends that an endpoint rejects count too, since it has to read them.
//
// The instances do not coordinate. What the requests of the window earn, each instance knows of its own requests. The slack is
// divided evenly among the listed instances, which an outage or a partition does not change, and a process has its part from
// the end of its first window on. FleetRetries is safe for concurrent use.
type FleetRetries struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	window time.Duration
	// started is when the process started.
	started time.Time
	// completeFrom is the time from which all requests and retries are counted.
	completeFrom time.Time
	// instances is the number of listed instances, 0 before it is known, and position this one's among them.
	instances, position int
	services            map[string]*serviceRetries
}

// serviceRetries are the requests and retries of one service.
type serviceRetries struct {
	recent recentRetries
	// retries and refused count all retries that were sent and refused.
	retries, refused int
}

// RetryDecision is the result of FleetRetries.Retry, and what it was decided on.
type RetryDecision struct {
	Granted bool
	// Requests and Retries are those of this instance in the window that leaves least room, without this retry.
	Requests, Retries int
	// Allowed is the number of retries that this instance may send in that window.
	Allowed float64
	// Starting is set if the process has not run for a window yet, or not since the window was changed.
	Starting bool
}

// RetryLimitView is the state of the retry limit at one instance.
type RetryLimitView struct {
	// Ratio, Slack and WindowSeconds apply to the whole fleet.
	Ratio         float64 `json:"ratio"`
	Slack         float64 `json:"slack"`
	WindowSeconds float64 `json:"window_s"`
	// Instances is the number of listed instances that the slack is divided by; 0 if it is unknown.
	Instances int `json:"instances"`
	// Starting is set if the process has not run for a window yet.
	Starting bool               `json:"starting"`
	Services []ServiceRetryView `json:"services"`
}

// ServiceRetryView is the state of the retry limit of one service at one instance.
type ServiceRetryView struct {
	Service string `json:"service"`
	// Requests, Retries and Allowed are as in RetryDecision.
	Requests int     `json:"requests"`
	Retries  int     `json:"retries"`
	Allowed  float64 `json:"allowed"`
	// RetriesTotal and RefusedTotal count the retries that were sent and refused since the start of the process.
	RetriesTotal int `json:"retries_total"`
	RefusedTotal int `json:"refused_total"`
}

// NewFleetRetries returns the limit for a process that starts now. ratio, slack and window apply to the whole fleet.
func NewFleetRetries(now time.Time, ratio, slack float64, window time.Duration) *FleetRetries {
	return &FleetRetries{ratio: ratio, slack: slack, window: window, started: now, completeFrom: now, services: map[string]*serviceRetries{}}
}

// NoEarlierRetries states that no process has sent retries for this instance before, so that it need not run for a window
// before it has its whole part.
func (f *FleetRetries) NoEarlierRetries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeFrom = time.Time{}
}

// SetLimits replaces ratio, slack and window. Retries that were sent before still count. After a change of the window, the
// process is limited as one that has just started.
func (f *FleetRetries) SetLimits(now time.Time, ratio, slack float64, window time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if window != f.window {
		f.completeFrom = now
		for _, s := range f.services {
			s.recent = s.recent.resized(now.Sub(f.started), f.window, window)
		}
	}
	f.ratio, f.slack, f.window = ratio, slack, window
}

// SetInstances sets the number of listed instances, and this one's position among them, from 0. It returns the number before.
func (f *FleetRetries) SetInstances(position, instances int) (before int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, f.instances, f.position = f.instances, instances, position
	return before
}

// Accepted counts a request to the service.
func (f *FleetRetries) Accepted(now time.Time, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service(now, service).recent.now().requests++
}

// Retry counts one retry of a request to the service if it is granted. If not, the request has to fail.
func (f *FleetRetries) Retry(now time.Time, service string) RetryDecision {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(now, service)
	d := f.decide(now, s)
	if d.Granted {
		s.retries++
		s.recent.now().retries++
	} else {
		s.refused++
	}
	return d
}

// decide decides on one more retry without counting it.
func (f *FleetRetries) decide(now time.Time, s *serviceRetries) RetryDecision {
	share, slack, rounding := usableShare, f.slackPart(), f.rounding()
	starting := f.starting(now)
	if starting {
		share, slack, rounding = startingShare, 0, 0
	}
	w := s.recent.tightest(f.ratio * share)
	d := RetryDecision{Requests: w.requests, Retries: w.retries, Starting: starting, Allowed: (f.ratio*float64(w.requests) + slack) * share}
	d.Granted = float64(d.Retries+1) <= d.Allowed+rounding
	return d
}

// starting reports whether less than a window has been counted.
func (f *FleetRetries) starting(now time.Time) bool { return now.Sub(f.completeFrom) < f.window }

// slackPart returns this instance's part of the slack.
func (f *FleetRetries) slackPart() float64 {
	if f.instances == 0 {
		return 0
	}
	return f.slack / float64(f.instances)
}

// rounding returns the fraction from which on this instance rounds its retries up. It is another one at each instance: if all
// rounded down, a large fleet whose instances have less than one retry each would send none.
func (f *FleetRetries) rounding() float64 {
	if f.instances == 0 {
		return 0
	}
	return float64(f.position) / float64(f.instances)
}

// View returns the state of the limit, with the services in alphabetical order.
func (f *FleetRetries) View(now time.Time) RetryLimitView {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := RetryLimitView{Ratio: f.ratio, Slack: f.slack, WindowSeconds: f.window.Seconds(), Instances: f.instances, Starting: f.starting(now)}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		s := f.service(now, name)
		d := f.decide(now, s)
		v.Services = append(v.Services, ServiceRetryView{
			Service: name, Requests: d.Requests, Retries: d.Retries, Allowed: d.Allowed, RetriesTotal: s.retries, RefusedTotal: s.refused,
		})
	}
	return v
}

// service returns the counts of a service, with all that is older than a window removed.
func (f *FleetRetries) service(now time.Time, name string) *serviceRetries {
	s, ok := f.services[name]
	if !ok {
		s = &serviceRetries{}
		f.services[name] = s
	}
	s.recent.advance(slotOf(now.Sub(f.started), f.window))
	return s
}
