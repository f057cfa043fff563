package objectapi

import "time"

// Rates are calls a second.
type Rates struct {
	Reads, Writes float64
}

const (
	// assumedInstances is how many instances share the rates before anybody
	// has told. A fleet of that size stays inside them from its first call, a
	// larger one is held back by the spread of its first calls.
	assumedInstances = 32
	// readBurst lets an instance list every kind of record at once, and
	// writeBurst settle one write while another is on its way. A bucket of one
	// second's share alone would hold less than one call in a large fleet.
	readBurst  = 6
	writeBurst = 2
	// watchCost is what a waiting watch takes out of the share of reads, in
	// calls a second: the object API counts a waiting watch as a call.
	watchCost = 1
	// leastShare is the part of the reads that is left whatever the number of
	// waiting watches, or an instance with many could not even relist.
	leastShare = 0.25
)

// Budget shares the object API's rates out over the live instances.
//
// Load: a fleet that grows faster than the rates of the object API, and herds
// of restarts. Harm prevented: calls over the rate are refused for all, also
// for those that protect requests which must not run twice. It is pure: the
// time is an argument.
type Budget struct {
	fleet     Rates
	instances int
	waiting   int
	reads     bucket
	writes    bucket
}

// NewBudget returns the budget of one instance out of the rates of the fleet.
func NewBudget(fleet Rates) *Budget {
	b := &Budget{fleet: fleet, instances: assumedInstances}
	b.share()
	b.reads.tokens, b.writes.tokens = b.reads.burst, b.writes.burst
	return b
}

// SetInstances sets the number of instances that share the rates.
func (b *Budget) SetInstances(n int) {
	b.instances = max(n, 1)
	b.share()
}

// SetWaiting sets the number of watches that are open here.
func (b *Budget) SetWaiting(n int) {
	b.waiting = max(n, 0)
	b.share()
}

func (b *Budget) share() {
	reads := b.fleet.Reads / float64(b.instances)
	writes := b.fleet.Writes / float64(b.instances)
	b.reads.rate = max(reads-watchCost*float64(b.waiting), reads*leastShare)
	b.reads.burst = max(reads, readBurst)
	b.writes.rate = writes
	b.writes.burst = max(writes, writeBurst)
}

// TakeRead takes one read. The call may be sent after the returned wait. When
// the wait would be over the limit nothing is taken and ok is false.
func (b *Budget) TakeRead(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	return b.reads.take(now, limit)
}

// TakeWrite is TakeRead for a write.
func (b *Budget) TakeWrite(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	return b.writes.take(now, limit)
}

// bucket is a token bucket. Its tokens go below zero for calls that wait.
type bucket struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

func (b *bucket) take(now time.Time, limit time.Duration) (time.Duration, bool) {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens += b.rate * now.Sub(b.at).Seconds()
	}
	b.at = now
	b.tokens = min(b.tokens, b.burst)
	left := b.tokens - 1
	if left >= 0 {
		b.tokens = left
		return 0, true
	}
	wait := time.Duration(-left / b.rate * float64(time.Second))
	if wait > limit {
		return wait, false
	}
	b.tokens = left
	return wait, true
}

// Spread returns over how long the instances have to spread a number of reads
// that each of them makes, to stay inside the fleet's rate. An instance waits
// for a random part of it.
func Spread(instances, reads int, fleetReads float64) time.Duration {
	return time.Duration(float64(instances*reads) / fleetReads * float64(time.Second))
}
