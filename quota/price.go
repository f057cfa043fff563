package quota

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// priceExponent is the exponent of a request's cost in the probability that it is admitted:
	// a request of 16 times the cost is admitted a quarter as often.
	priceExponent = 0.5
	// scarceLevel and ampleLevel are the levels, as fractions of the capacity, below which there is a price, and from
	// which on there is none any more.
	scarceLevel = 0.2
	ampleLevel  = 0.5
	// priceSlope is the exponent of the level in the price: at a quarter of the capacity, the price is a 256th of
	// its maximum.
	priceSlope = 4
	// largestTime is the time constant with which the largest cost is forgotten.
	largestTime = 10 * time.Second
	// drawSlot is how long the draw of a key stays the same, so that a caller that repeats at once
	// gains nothing.
	drawSlot = 2 * time.Second
	// rankSteps is the number of ranks that differ in price; each counts as twice the cost of the
	// rank that is more urgent.
	rankSteps = 3
)

// scarceBelow returns the level below which there is a price. A new bucket, after a restart of the fleet, is above it.
func (b *bucket) scarceBelow() float64 {
	return min(scarceLevel*b.capacity(), b.rate()*startBalance.Seconds()/2)
}

// maxPrice returns the price at which requests are admitted as if there were none: the largest cost of the last
// requests.
func (b *bucket) maxPrice() float64 { return max(b.largest, 1) }

// effectivePrice returns the price at the current level. ok is false while there is none.
//
// The price follows from the level alone, so that it is the same at all schedulers, needs no time to adapt and does not
// oscillate: the level settles where as much is admitted as the bucket gains.
func (b *bucket) effectivePrice() (p float64, ok bool) {
	x := b.level / max(b.capacity(), 1)
	switch {
	case !b.scarce:
		return b.maxPrice(), false
	case x <= 0:
		return 0, true
	}
	return b.maxPrice() * math.Pow(x, priceSlope), true
}

// rankedCost returns the cost by which a request is priced.
func rankedCost(cost int64, rank int) float64 {
	return float64(cost) / float64(int(1)<<(rankSteps-min(max(rank, 0), rankSteps)))
}

// drawOf returns a number from 0 to 1 that stays the same for a key during drawSlot.
func drawOf(key uint64, now time.Time) float64 {
	slot := (uint64(now.UnixNano()) + key%uint64(drawSlot)) / uint64(drawSlot)
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], key)
	binary.LittleEndian.PutUint64(text[8:], slot)
	return float64(xxh3.Hash(text[:])>>11) / (1 << 53)
}

// maxRefused bounds the keys of one account whose refusal is remembered.
const maxRefused = 4096

// rememberRefusal has a key refused until its draw changes. The price follows the level from moment to moment, and a
// caller that repeats at once would be admitted at the first high one.
func (b *bucket) rememberRefusal(now time.Time, key uint64) {
	if len(b.refused) >= maxRefused {
		maps.DeleteFunc(b.refused, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	}
	if len(b.refused) >= maxRefused {
		return
	}
	if b.refused == nil {
		b.refused = map[uint64]time.Time{}
	}
	into := time.Duration((uint64(now.UnixNano()) + key%uint64(drawSlot)) % uint64(drawSlot))
	b.refused[key] = now.Add(drawSlot - into)
}

// isRefused reports whether a key was refused by the price with its present draw.
func (b *bucket) isRefused(now time.Time, key uint64) bool {
	until, ok := b.refused[key]
	if ok && !now.Before(until) {
		delete(b.refused, key)
		return false
	}
	return ok
}

// admitted reports whether a request with this draw is admitted at a price.
func admitted(draw, price, cost, exponent float64) bool {
	return price >= cost || draw < math.Pow(price/cost, exponent)
}
