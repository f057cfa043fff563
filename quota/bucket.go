package quota

import (
	"math"
	"time"
)

const (
	// startBalance is the balance of a new bucket, as a time at its rate: enough for the
	// first requests of a new account, too little to gain a burst by restarts.
	startBalance = 500 * time.Millisecond
	// minBurst is the capacity of a bucket whose limit has no burst, as a time at its rate.
	minBurst = 100 * time.Millisecond
	// detectionDelay is how long it takes until instances notice that their share has
	// fallen.
	detectionDelay = 900 * time.Millisecond
	// maxPromise bounds the retry times given to refused callers.
	maxPromise = 5 * time.Second
	// overdraftEvery is the number of requests whose cost is covered only in part after
	// which one of them passes.
	overdraftEvery = 5
	// catchUpTime is how long after a stall of this instance the reports that were sent during it
	// may take to be processed.
	catchUpTime = 500 * time.Millisecond
	// headroom is the factor by which a bucket exceeds its limit, so that no request within
	// the limit is refused because of reports that arrive late.
	headroom = 1.03
	// noRateRetry is the retry time if the rate is 0.
	noRateRetry = time.Second
)

// bucket is a token bucket whose balance may become negative.
//
// A request normally passes only if the bucket covers its whole cost. At an account's limit,
// short requests would then use up each unit as it arrives and long ones would never pass.
// If any positive balance were enough, short requests within the quota would be refused
// because of a long one's debt. So one in overdraftEvery of the requests whose cost is
// covered only in part passes too.
type bucket struct {
	limit Limit
	share float64
	level float64
	// promised is the cost of recently refused requests, whose callers are given consecutive
	// retry times.
	promised float64
	// partial counts the requests that were refused although a part of their cost was
	// covered.
	partial int
	// predebited reports whether covers has subtracted a random part of an oversized cost
	// since the bucket was last full.
	predebited bool
	// jitter is a random number from 0 to 1 that changes with each debit; see required.
	jitter float64
	last   time.Time
	// missed is what the bucket gained in a stall of this instance beyond its capacity. Until
	// missedUntil it pays for what the others passed in that time.
	missed      float64
	missedUntil time.Time
	// scarce is set while there is a price; see effectivePrice. largest is the largest priced cost of the last
	// requests.
	scarce  bool
	largest float64
	// refused are the keys that the price has refused, and until when; see rememberRefusal.
	refused map[uint64]time.Time
	// ledger holds the bookings; nil before the first one.
	ledger *ledger
}

func newBucket(now time.Time, l Limit, share float64) *bucket {
	b := &bucket{limit: l, share: share, last: now}
	b.level = min(b.rate()*startBalance.Seconds(), b.capacity())
	return b
}

func (b *bucket) rate() float64 { return b.limit.Rate * b.share * headroom }

// capacity returns the maximum balance.
func (b *bucket) capacity() float64 {
	return max(b.limit.Burst, b.limit.Rate*minBurst.Seconds()) * b.share * headroom
}

func (b *bucket) advance(now time.Time) {
	if step := now.Sub(b.last).Seconds(); step > 0 {
		b.largest *= math.Exp(-step / largestTime.Seconds())
		b.level += step * b.rate()
		b.promised = max(b.promised-step*b.rate(), 0)
		b.last = now
	}
	b.level = min(b.level, b.capacity())
}

// allows reports whether a request of the cost may pass now. Of the requests whose cost is
// covered only in part, one in overdraftEvery may. random returns a number from 0 to 1.
func (b *bucket) allows(now time.Time, cost float64, random func() float64) bool {
	switch {
	case b.covers(now, cost, random):
		return true
	case b.level <= 0:
		return false
	}
	b.partial++
	if b.partial < overdraftEvery {
		return false
	}
	b.partial = 0
	return true
}

// decide reports whether a request with a key may pass now, and whether its draw has refused it.
// While there is a price, a part of the cost is enough; see coversPart.
func (b *bucket) decide(now time.Time, c Charge, draw float64, random func() float64) (passes, priced bool) {
	b.advance(now)
	cost := float64(c.Cost)
	if cost <= 0 {
		return true, false
	}
	ranked := rankedCost(c.Cost, c.Rank)
	b.largest = max(b.largest, ranked)
	b.scarce = b.level < b.scarceBelow() || b.scarce && b.level < ampleLevel*b.capacity()
	price, ok := b.effectivePrice()
	if !ok {
		return b.allows(now, cost, random), false
	}
	if b.isRefused(now, c.Key) {
		return false, true
	}
	// An empty bucket shows no price. What finds it empty may get a booking.
	if b.level > 0 && !admitted(draw, price, ranked, priceExponent) {
		b.rememberRefusal(now, c.Key)
		return false, true
	}
	return b.coversPart(cost, random), false
}

// coversPart reports whether the level is positive and covers the cost, or half of the capacity if that is less, once the
// random part of an oversized cost is subtracted that covers describes. If the whole cost were needed, expensive
// requests would not pass beside cheap ones.
func (b *bucket) coversPart(cost float64, random func() float64) bool {
	b.predebit(cost, random)
	return b.level > 0 && b.level >= min(cost, b.capacity()/2)
}

// covers reports whether the bucket covers the whole cost. A cost above the bucket's
// capacity is covered by any positive balance. For the first such cost after the bucket was
// full, a random part of the cost is subtracted before the check, as if the bucket had paid
// for another one some time ago.
//
// In a partitioned fleet each of many instances has a small share, and a request may cost
// more than its capacity. If each instance passed its first such request, together they
// would exceed their shares many times. With the random part they keep to them on average,
// and no such request waits for ever.
func (b *bucket) covers(now time.Time, cost float64, random func() float64) bool {
	b.advance(now)
	b.predebit(cost, random)
	switch {
	case cost <= 0:
		return true
	case b.level <= 0:
		return false
	}
	return cost > b.capacity() || b.level >= cost
}

func (b *bucket) predebit(cost float64, random func() float64) {
	full := b.capacity()
	if b.level >= full {
		b.predebited = false
	}
	if cost > full && !b.predebited {
		b.level -= random() * cost
		b.predebited = true
	}
}

// jitterShare is the fraction of the capacity beyond one cost over which the thresholds of
// the schedulers are spread.
const jitterShare = 0.25

// required returns the balance that a cost needs to pass while leaving a reserve, a fraction
// from 0 to 1 of the capacity beyond the cost. alone reports whether no other scheduler is
// known.
//
// Callers may be waiting at all schedulers for the next unit, which all buckets gain at the
// same moment. Without jitter, each scheduler would send one request before it has the
// others' reports. So each one has a random threshold of its own, which changes after each
// request that passes.
func (b *bucket) required(cost, reserve float64, alone bool) float64 {
	spare := max(b.capacity()-cost, 0)
	if alone {
		return cost + reserve*spare
	}
	return cost + ((1-jitterShare)*reserve+jitterShare*b.jitter)*spare
}

// debit subtracts a cost; a negative cost is a refund.
func (b *bucket) debit(now time.Time, cost int64, random func() float64) {
	b.advance(now)
	b.level -= float64(cost)
	b.jitter = random()
}

// retryAfter returns the time until the bucket covers the cost, and adds the cost to those
// promised.
func (b *bucket) retryAfter(cost float64) time.Duration {
	rate := b.rate()
	if rate <= 0 {
		return noRateRetry
	}
	missing := max(cost+b.promised-b.level, 0)
	b.promised = min(b.promised+cost, rate*maxPromise.Seconds())
	return time.Duration(missing / rate * float64(time.Second))
}

// debitReported subtracts a cost that another instance has reported.
func (b *bucket) debitReported(now time.Time, cost int64, random func() float64) {
	if now.Before(b.missedUntil) {
		paid := min(float64(cost), b.missed)
		b.missed -= paid
		b.level -= float64(cost) - paid
		b.jitter = random()
		return
	}
	b.debit(now, cost, random)
}

// resume advances the bucket past a stall of this instance.
func (b *bucket) resume(now time.Time) {
	gained := max(now.Sub(b.last).Seconds(), 0) * b.rate()
	b.missed = max(b.level+gained-b.capacity(), 0)
	b.missedUntil = now.Add(catchUpTime)
	b.advance(now)
}

// update changes the limit and the share. The balance stays, except that a bucket that loses
// part of its share is debited with what that part yields in detectionDelay: until both
// sides of a partition have noticed it, both pass requests on that part.
func (b *bucket) update(now time.Time, l Limit, share float64) {
	b.advance(now)
	if lost := b.share - share; lost > 0 {
		if b.level > 0 {
			// Each side of a partition has the same balance, of which it may use its part only.
			b.level *= share / b.share
		}
		b.level -= lost * l.Rate * detectionDelay.Seconds()
	}
	b.limit, b.share = l, share
	b.level = min(b.level, b.capacity())
}
