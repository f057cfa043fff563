// Package concurrency decides how many requests an endpoint is sent at once. It does no I/O and takes the time as an
// argument.
//
// The load that it addresses: for some seconds, more requests arrive than an endpoint has slots for, and the endpoint
// reports no load. It queues them, the wait grows until callers give up, and then the endpoint works for callers that
// have gone: it runs at its limit and nobody is served. A bound on the requests at the endpoint keeps the wait there
// a small part of the latency target.
package concurrency

import (
	"time"

	"github.com/sardinedock/sardinedock/internal/ewma"
)

const (
	// latencyWeight is the smoothing factor of the newest run. At 8 slots, most of a change of speed is known after
	// three rounds of runs, and one run of 30 times the usual length changes the limit little.
	latencyWeight = 0.05
	// heldRuns is the number of average runs from which the time in a slot is averaged. An endpoint with 8 slots that
	// has been 9 times slower than usual has its limit again after a second.
	heldRuns = 10
	// leastHold is the shortest time in a slot, in seconds, that counts.
	leastHold = 1e-6
	// enoughRuns is the number of runs from which an average is used.
	enoughRuns = 4
	// queueShare is the part of the time between latency and target that a request may wait in the endpoint's
	// own queue.
	queueShare = 0.25
	// smallQueue is the number of requests that may wait, within queueShare, at an endpoint with few slots. With as
	// many places as slots, an endpoint with one slot refuses a seventh of the requests at half of its capacity.
	smallQueue = 4
	// unstatedSlots is the limit, in requests, at which an endpoint starts whose entry states no slots.
	unstatedSlots = 64
	// overdueFactor is how many times as long as at an endpoint that is not full runs have to take for the limit to
	// fall. Below it, the work itself takes that long, and a lower limit would not help.
	overdueFactor = 2
	// goodShare is the part of the target, and goodFactor the factor of the latency of an endpoint that is not full,
	// up to which runs raise a reduced limit.
	goodShare  = 0.5
	goodFactor = 1.5
	// cutShare is the part of the target that a reduction aims at.
	cutShare = 0.7
	// lowestCut bounds one reduction of the limit, so that a short stall does not close an endpoint; highestCut is
	// the least reduction.
	lowestCut  = 0.25
	highestCut = 0.9
	// rejectionHold is how long the limit does not grow after the endpoint has rejected a request. Each rejection
	// keeps requests from the endpoint for a part of a second.
	rejectionHold = time.Second
)

// Limit is the concurrency limit of one endpoint. The zero value is that of an endpoint without observations. It is
// not safe for concurrent use.
type Limit struct {
	// hold is the time for which a slot is held by one run, on average over time and not over runs: where short and
	// long runs share the slots, it says how long a request waits for one.
	hold ewma.Average
	// loaded and unloaded are the durations of runs that found the endpoint full, and at most a quarter full. first
	// is the time to the first token or event of streams that found a free slot. All in seconds.
	loaded, unloaded, first ewma.Average
	// cap is the limit that overdue runs and rejections have led to, if capped is set. cappedAt is when overdue runs
	// last reduced it; it does not grow before heldUntil.
	cap                 float64
	capped              bool
	cappedAt, heldUntil time.Time
}

// known reports whether an average is of enough runs to be used.
func known(a ewma.Average) bool { return a.N >= enoughRuns }

// Run describes a run that has ended, or has brought its first token.
type Run struct {
	// Took is the time since it was sent, Began when that was, and InSlot the part of Took in which it had a slot.
	Took, InSlot time.Duration
	Began        time.Time
	// Beside is the number of requests at the endpoint when it was sent, with itself.
	Beside int
	// Slots are those of the endpoint's entry; 0 if it states none.
	Slots int
	// Target is the tightest latency target of the service; 0 if it has none.
	Target time.Duration
}

// Value returns how many requests of average length the endpoint may have at once, in its slots and in its own queue.
// slots are those of its entry, 0 if it states none; target is the service's tightest latency target.
//
// The queue keeps slots in use between the end of a run and the next request. It may take a quarter of the time
// between latency and target, and no longer than a run, except that four requests may wait where slots are few.
func (l *Limit) Value(slots int, target time.Duration) int {
	n := l.uncapped(slots, target)
	if l.capped {
		n = min(n, l.cap)
	}
	return max(1, int(n))
}

// uncapped returns the limit without what overdue runs and rejections have led to.
func (l *Limit) uncapped(slots int, target time.Duration) float64 {
	if slots <= 0 {
		return unstatedSlots
	}
	n := float64(slots)
	if !known(l.hold) {
		return n + min(n, smallQueue)
	}
	latency := l.hold.Value
	if known(l.first) {
		latency = l.first.Value
	}
	wait := queueShare * (target.Seconds() - latency)
	return n + max(0, min(max(n, smallQueue), n*wait/max(l.hold.Value, 1e-6)))
}

// Cap returns the number of requests, whatever their length, that overdue runs and rejections allow. ok is false if
// there were none of late.
func (l *Limit) Cap() (n int, ok bool) { return max(1, int(l.cap)), l.capped }

// Hold returns the average time for which a slot is held by one run; 0 if it is not known yet.
func (l *Limit) Hold() time.Duration {
	if !known(l.hold) {
		return 0
	}
	return time.Duration(l.hold.Value * float64(time.Second))
}

// SharedSlotTime returns the part of a run's duration in which it had a slot, if it is not known when it got one: as
// if all requests at the endpoint were equally long.
func SharedSlotTime(took time.Duration, beside, slots int) time.Duration {
	if slots <= 0 || beside <= slots {
		return took
	}
	return time.Duration(float64(took) * float64(slots) / float64(beside))
}

// Completed records that a run without a stream has ended with an answer. Runs well in time raise a reduced
// limit by one each, so that recovered capacity is detected.
func (l *Limit) Completed(now time.Time, r Run) {
	l.addHold(r)
	if r.Beside <= max(1, l.fullAt(r.Slots)/4) {
		l.unloaded.Add(r.Took.Seconds(), latencyWeight)
	}
	if l.full(r) {
		l.loaded.Add(r.Took.Seconds(), latencyWeight)
	}
	if l.inGoodTime(r.Took.Seconds(), r.Target) {
		l.grow(now, r)
	}
	l.reduce(now, r)
}

// CompletedStream records that a run of an engine, or another stream, has ended. Its duration says nothing about the
// target, which is for the first token or event.
func (l *Limit) CompletedStream(now time.Time, r Run) {
	l.addHold(r)
	l.grow(now, r)
}

// addHold adds the time in a slot. Runs longer than a target count as long as that, so that the average returns soon
// after a long one.
func (l *Limit) addHold(r Run) {
	held := r.InSlot
	if r.Target > 0 && l.first.N == 0 {
		held = min(held, r.Target)
	}
	// Weighted by itself, so that the sum of those that count is that of about heldRuns average ones.
	seconds := max(held.Seconds(), leastHold)
	l.hold.Add(seconds, seconds/(seconds+heldRuns*l.hold.Value))
}

// FirstToken records that a run has brought the first token or event of a stream.
func (l *Limit) FirstToken(r Run) {
	if r.Beside <= r.Slots {
		l.first.Add(r.Took.Seconds(), latencyWeight)
	}
}

// GivenUp records that the caller of a run of a plain service has disconnected before the answer. If the run was overdue by
// then, it counts as one: an endpoint that has become very slow completes none.
func (l *Limit) GivenUp(now time.Time, r Run) {
	if l.full(r) && l.isOverdue(r.Took.Seconds(), r.Target) {
		l.loaded.Add(r.Took.Seconds(), latencyWeight)
		l.reduce(now, r)
	}
}

// Rejected records that the endpoint has rejected a request while others were running there. It says that the
// endpoint's own queue is short only if these others took all slots; rejections have other reasons, such as a load of
// weights.
func (l *Limit) Rejected(now time.Time, others, slots int) {
	if slots == 0 || others < slots {
		return
	}
	l.cap, l.capped, l.heldUntil = float64(others), true, now.Add(rejectionHold)
}

// full reports whether a run found the endpoint full and was sent after the last reduction. Earlier ones were sent
// with a higher limit, and each of them would reduce it again.
func (l *Limit) full(r Run) bool {
	return r.Beside >= l.fullAt(r.Slots) && !r.Began.Before(l.cappedAt)
}

// fullAt returns from how many requests on the endpoint counts as full.
func (l *Limit) fullAt(slots int) int {
	if slots <= 0 {
		// The endpoint may be full long before.
		slots = unstatedSlots / 2
	}
	if l.capped {
		return min(slots, int(l.cap))
	}
	return slots
}

// isOverdue reports whether a duration in seconds is longer than the target allows, and than the work explains.
func (l *Limit) isOverdue(seconds float64, target time.Duration) bool {
	allowed := target.Seconds()
	if l.unloaded.N > 0 {
		allowed = max(allowed, overdueFactor*l.unloaded.Value)
	}
	return target > 0 && seconds > allowed
}

// inGoodTime reports whether a duration in seconds leaves room for a higher limit. If every run in time raised it, it
// would return to where runs are overdue before these have ended.
func (l *Limit) inGoodTime(seconds float64, target time.Duration) bool {
	return seconds <= max(goodShare*target.Seconds(), goodFactor*l.unloaded.Value)
}

// reduce lowers the limit if the runs of the full endpoint are overdue on average. A single long one may be due to
// its work.
func (l *Limit) reduce(now time.Time, r Run) {
	if !known(l.loaded) || !l.isOverdue(l.loaded.Value, r.Target) {
		return
	}
	from := float64(r.Beside)
	if l.capped {
		from = min(from, l.cap)
	}
	factor := min(max(cutShare*r.Target.Seconds()/l.loaded.Value, lowestCut), highestCut)
	l.cap, l.capped, l.cappedAt = max(1, from*factor), true, now
	l.loaded = ewma.Average{}
}

// grow raises a reduced limit by one, until it is no longer lower than without reductions.
func (l *Limit) grow(now time.Time, r Run) {
	if !l.capped || now.Before(l.heldUntil) {
		return
	}
	l.cap++
	l.capped = l.cap < l.uncapped(r.Slots, r.Target)
}
