package objectapi

import "time"

const (
	// openAfter is the number of consecutive failures that opens the breaker. A single lost reply
	// or reset connection is no outage.
	openAfter = 3
	// minProbeInterval and maxProbeInterval bound the time between two probes. The maximum is
	// chosen so that the end of an outage does not go unnoticed for longer than a change of the
	// records may take to take effect.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// probesPerSecond bounds the probes of the whole fleet. A small fleet therefore probes at
	// shorter intervals and detects the end of an outage sooner, which its callers wait for.
	probesPerSecond = 60
)

// Breaker is a circuit breaker for calls to the object API.
//
// During an outage every instance has calls to make, and more of them the longer it lasts. Without
// the breaker, instances would retry in a busy loop during the outage and all send at once when it
// ends. An open breaker lets through one call at a time as a probe, at exponentially growing
// intervals that are randomised across the instances.
//
// The time and random numbers are arguments. A Breaker is not safe for concurrent use.
type Breaker struct {
	failures  int
	nextProbe time.Time
	probing   bool
	instances int
}

// SetInstances sets the number of instances that share the fleet's rate of probes.
func (b *Breaker) SetInstances(n int) { b.instances = n }

// maxInterval returns the longest time between two probes of this instance.
func (b *Breaker) maxInterval() time.Duration {
	share := time.Duration(b.instances) * time.Second / probesPerSecond
	return min(max(share, minProbeInterval), maxProbeInterval)
}

// Allow reports whether a call may be sent now. While the breaker is open, it allows one probe per
// interval.
func (b *Breaker) Allow(now time.Time) bool {
	if b.failures < openAfter {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	// The next probe is due only after this one has had a whole interval to complete.
	b.nextProbe = now.Add(b.interval())
	b.probing = true
	return true
}

// Open reports whether the breaker is open, so that only probes may be sent.
func (b *Breaker) Open() bool { return b.failures >= openAfter }

// Succeeded closes the breaker. It is called after a call that the object API has processed, even if
// it rejected the call.
func (b *Breaker) Succeeded() { b.failures, b.probing = 0, false }

// Failed is called after a call that got no usable answer. random is in [0, 1).
func (b *Breaker) Failed(now time.Time, random float64) {
	if b.Open() && !b.probing {
		// The call was in flight when the breaker opened. Calls that fail together must not
		// lengthen the interval once for each call.
		return
	}
	b.probing = false
	b.failures++
	b.nextProbe = now.Add(jitter(b.interval(), random))
}

// interval returns the time to the next probe, which doubles with each failure since the breaker
// opened.
func (b *Breaker) interval() time.Duration {
	maxInterval, d := b.maxInterval(), minProbeInterval
	for i := openAfter; i < b.failures && d < maxInterval; i++ {
		d *= 2
	}
	return min(d, maxInterval)
}

// jitter returns a duration between d/2 and 3*d/2; random is in [0, 1).
func jitter(d time.Duration, random float64) time.Duration {
	return d/2 + time.Duration(random*float64(d))
}
