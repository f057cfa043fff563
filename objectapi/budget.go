package objectapi

import "time"

// Rates are limits in calls per second.
type Rates struct {
	Reads, Writes float64
}

const (
	// assumedInstances is the number of instances that share the rates until SetInstances is
	// called. A fleet of up to that size stays within the rates from its first call. A larger one
	// relies on spreading its first calls over time, see Spread.
	assumedInstances = 32
	// readBurst lets an instance list every kind of record at once, and writeBurst lets it
	// settle one write while another is in flight. A bucket sized for one second's share would
	// hold less than one call in a large fleet.
	readBurst  = 6
	writeBurst = 2
	// watchCost is what an open watch takes out of the instance's share of reads, in calls per
	// second: the object API counts an open watch as a call.
	watchCost = 1
	// minReadShare is the fraction of the instance's share of reads that remains whatever the
	// number of open watches. Without it, an instance with many watches could not even list a
	// kind again.
	minReadShare = 0.25
)

// Budget limits the calls of one instance to its equal share of the fleet's rates.
//
// A fleet that has grown faster than the rates of the object API, or in which many instances restart
// at once, would exceed the rates. The object API then rejects calls of all instances, including
// those that keep non-idempotent requests from running twice.
//
// The time is an argument. A Budget is not safe for concurrent use.
type Budget struct {
	fleet     Rates
	instances int
	watches   int
	reads     bucket
	writes    bucket
}

// NewBudget returns the budget of one instance in a fleet with the given rates.
func NewBudget(fleet Rates) *Budget {
	b := &Budget{fleet: fleet, instances: assumedInstances}
	b.updateRates()
	b.reads.tokens, b.writes.tokens = b.reads.burst, b.writes.burst
	return b
}

// SetInstances sets the number of instances that share the rates.
func (b *Budget) SetInstances(n int) {
	b.instances = max(n, 1)
	b.updateRates()
}

// SetOpenWatches sets the number of watches that this instance has open.
func (b *Budget) SetOpenWatches(n int) {
	b.watches = max(n, 0)
	b.updateRates()
}

// updateRates sets the rates and bursts from the numbers of instances and open watches.
func (b *Budget) updateRates() {
	reads := b.fleet.Reads / float64(b.instances)
	writes := b.fleet.Writes / float64(b.instances)
	b.reads.rate = max(reads-watchCost*float64(b.watches), reads*minReadShare)
	b.reads.burst = max(reads, readBurst)
	b.writes.rate = writes
	b.writes.burst = max(writes, writeBurst)
}

// TakeRead takes the tokens of one read, which may be sent after the returned wait. If the wait
// would exceed the limit, it takes nothing and ok is false.
func (b *Budget) TakeRead(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	return b.reads.take(now, limit)
}

// TakeWrite is TakeRead for a write.
func (b *Budget) TakeWrite(now time.Time, limit time.Duration) (wait time.Duration, ok bool) {
	return b.writes.take(now, limit)
}

// bucket is a token bucket. The number of tokens is negative while calls are waiting for theirs.
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

// Spread returns the time over which instances that each make the given number of reads have to
// spread them to stay within the fleet's rate, in reads per second. Each instance delays its reads by
// a random fraction of it.
func Spread(instances, reads int, fleetReads float64) time.Duration {
	return time.Duration(float64(instances*reads) / fleetReads * float64(time.Second))
}
