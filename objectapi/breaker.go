package objectapi

import "time"

const (
	// openAfter failures in a row nobody is sent to the object API any more.
	// One lost reply or one reset connection is no outage.
	openAfter = 3
	// firstProbe and longestProbe bound the time from one probe to the next.
	// The longest keeps the end of an outage from going unnoticed for longer
	// than records may take to be in force.
	firstProbe   = 200 * time.Millisecond
	longestProbe = 4 * time.Second
	// probesPerSecond bounds the probes of the whole fleet. A small fleet so
	// finds the end of an outage sooner; its callers wait for that.
	probesPerSecond = 60
)

// Breaker keeps calls from an object API that does not answer.
//
// Load: every instance has calls to make during an outage, and more the longer
// it lasts. Harm prevented: a busy loop during it, and all of them at once at
// its end. Only one call at a time goes through as a probe, after intervals
// that grow and that chance spreads over the instances. It is pure: time and
// chance are arguments.
type Breaker struct {
	failures  int
	nextTry   time.Time
	probing   bool
	instances int
}

// SetInstances sets the number of instances that probe.
func (b *Breaker) SetInstances(n int) { b.instances = n }

// longest is the longest time between two probes of this instance.
func (b *Breaker) longest() time.Duration {
	share := time.Duration(b.instances) * time.Second / probesPerSecond
	return min(max(share, firstProbe), longestProbe)
}

// Allow reports whether a call may be sent now.
func (b *Breaker) Allow(now time.Time) bool {
	if b.failures < openAfter {
		return true
	}
	if now.Before(b.nextTry) {
		return false
	}
	// The next probe waits until this one had its time.
	b.nextTry = now.Add(b.interval())
	b.probing = true
	return true
}

// Open reports whether calls are being kept back.
func (b *Breaker) Open() bool { return b.failures >= openAfter }

// Succeeded says that the object API has answered, be it with a refusal.
func (b *Breaker) Succeeded() { b.failures, b.probing = 0, false }

// Failed says that it has not. chance is in [0, 1).
func (b *Breaker) Failed(now time.Time, chance float64) {
	if b.Open() && !b.probing {
		// Calls that were under way together are one sign, not many.
		return
	}
	b.probing = false
	b.failures++
	b.nextTry = now.Add(jitter(b.interval(), chance))
}

func (b *Breaker) interval() time.Duration {
	longest, d := b.longest(), firstProbe
	for i := openAfter; i < b.failures && d < longest; i++ {
		d *= 2
	}
	return min(d, longest)
}

// jitter returns a part of d between a half and the whole and a half.
func jitter(d time.Duration, chance float64) time.Duration {
	return d/2 + time.Duration(chance*float64(d))
}
