package quota

import "time"

const (
	// startBalance is what a new bucket holds, as a time at its rate: enough for the first
	// requests of a new account, too little for a burst by restarts.
	startBalance = 500 * time.Millisecond
	// leastBurst is what may be saved where the limit states no burst, as a time at
	// its rate.
	leastBurst = 100 * time.Millisecond
	// noticeTime is how long it takes until a share that falls is noticed.
	noticeTime = 900 * time.Millisecond
	// longestPromise bounds how far ahead refused callers are told to come back.
	longestPromise = 5 * time.Second
	// lendEvery is how many requests that find a part of their cost make one that passes.
	lendEvery = 5
	// headroom is how much more than its limit an account gets, so that none of its
	// requests within the limit is refused for what is known a moment late.
	headroom = 1.03
	// noRateRetry is when to come back where nothing may pass now.
	noRateRetry = time.Second
)

// bucket is a token bucket that may go into debt.
//
// Load: an account at its limit, with short and long requests. Harm prevented: where
// the whole cost has to be there, short requests use up each unit as it comes and long
// ones never pass; where any balance will do, short ones that are within the quota are
// refused for a long one's debt. So the whole cost has to be there, but for one in
// lendEvery of those that find only a part.
type bucket struct {
	limit Limit
	share float64
	level float64
	// promised is the cost of those refused lately, which are told to come back one
	// after the other.
	promised float64
	// passedOver counts requests refused though a part of their cost was there.
	passedOver int
	// drawn says that allows has drawn since the bucket was full.
	drawn bool
	// turn is drawn anew with each debit, from 0 to 1; see reserved.
	turn float64
	last time.Time
}

func newBucket(now time.Time, l Limit, share float64) *bucket {
	b := &bucket{limit: l, share: share, last: now}
	b.level = min(b.rate()*startBalance.Seconds(), b.capacity())
	return b
}

func (b *bucket) rate() float64 { return b.limit.Rate * b.share * headroom }

// capacity is what may be saved.
func (b *bucket) capacity() float64 {
	return max(b.limit.Burst, b.limit.Rate*leastBurst.Seconds()) * b.share * headroom
}

func (b *bucket) advance(now time.Time) {
	if step := now.Sub(b.last).Seconds(); step > 0 {
		b.level += step * b.rate()
		b.promised = max(b.promised-step*b.rate(), 0)
		b.last = now
	}
	b.level = min(b.level, b.capacity())
}

// allows reports whether a request of the cost may pass now, which one of lendEvery does
// that finds a part of it. draw returns a number from 0 to 1.
func (b *bucket) allows(now time.Time, cost float64, draw func() float64) bool {
	switch {
	case b.holds(now, cost, draw):
		return true
	case b.level <= 0:
		return false
	}
	b.passedOver++
	if b.passedOver < lendEvery {
		return false
	}
	b.passedOver = 0
	return true
}

// holds reports whether the whole cost is there.
//
// Load: a request that costs more than may be saved, at each of many instances that are
// cut off and have a small share each. Harm prevented: if each let its first one pass,
// they would together exceed their shares many times. Drawn, as if each had paid for
// one some time ago, they keep to them on average, and no such request waits for ever.
func (b *bucket) holds(now time.Time, cost float64, draw func() float64) bool {
	b.advance(now)
	full := b.capacity()
	if b.level >= full {
		b.drawn = false
	}
	if cost > full && !b.drawn {
		b.level -= draw() * cost
		b.drawn = true
	}
	switch {
	case cost <= 0:
		return true
	case b.level <= 0:
		return false
	}
	return cost > full || b.level >= cost
}

// turnShare is the part of what may be saved beyond one cost over which the turns of the
// schedulers are spread.
const turnShare = 0.25

// reserved returns what has to be there for a cost to pass with a reserve, from 0 to 1, of
// what may be saved beyond it. alone says that no other scheduler is heard of.
//
// Load: callers wait at all schedulers for the next unit. Harm prevented: the unit comes at
// all of them in the same moment, and each sends one before it has the others' reports. Each
// has a turn of its own, drawn anew after each that passes.
func (b *bucket) reserved(cost, reserve float64, alone bool) float64 {
	spare := max(b.capacity()-cost, 0)
	if alone {
		return cost + reserve*spare
	}
	return cost + ((1-turnShare)*reserve+turnShare*b.turn)*spare
}

// debit takes off what has passed; a negative cost gives it back.
func (b *bucket) debit(now time.Time, cost int64, draw func() float64) {
	b.advance(now)
	b.level -= float64(cost)
	b.turn = draw()
}

// retryAfter returns when the cost will be there, and counts it as promised.
func (b *bucket) retryAfter(cost float64) time.Duration {
	rate := b.rate()
	if rate <= 0 {
		return noRateRetry
	}
	missing := max(cost+b.promised-b.level, 0)
	b.promised = min(b.promised+cost, rate*longestPromise.Seconds())
	return time.Duration(missing / rate * float64(time.Second))
}

// set puts another limit or share in force. What is in the bucket stays.
//
// Failure: the fleet falls apart. Until each part has noticed, it lets pass what the
// others do too, which is taken off the part that loses it.
func (b *bucket) set(now time.Time, l Limit, share float64) {
	b.advance(now)
	if lost := b.share - share; lost > 0 {
		b.level -= lost * l.Rate * noticeTime.Seconds()
	}
	b.limit, b.share = l, share
	b.level = min(b.level, b.capacity())
}
