package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// priceExponent is the exponent of a request's cost in the probability that it is admitted:
	// a request of 15 times the cost is admitted about a third as often.
	priceExponent = 0.4
	// scarceLevel is the level, as a fraction of the capacity, below which there is a price. Above it there is one
	// from the first request that is not covered until the bucket is full.
	scarceLevel = 0.25
	// priceSlope is the exponent of the level in the price: at a quarter of the capacity, the price is a 256th of
	// its maximum.
	priceSlope = 4
	// minPriceShare bounds the mean price from below, as a fraction of the maximum.
	minPriceShare = 1e-4
	// largestTime is the time constant with which the largest cost is forgotten.
	largestTime = 10 * time.Second
	// meanPriceTime is the time constant of the mean price, by which bookings are made. The price of a
	// quota that covers few requests at once varies a lot within a second.
	meanPriceTime = 3 * time.Second
	// debtShare is the debt, as a fraction of the capacity, at which the price does not change.
	debtShare = 0.1
	// drawSlot is how long the draw of a key stays the same, so that a caller that repeats at once
	// gains nothing.
	drawSlot = 2 * time.Second
	// rankSteps is the number of ranks that differ in price; each counts as twice the cost of the
	// rank that is more urgent.
	rankSteps = 3
)

// maxPrice returns the price at which requests are admitted as if there were none: the largest cost of the last
// requests.
func (b *bucket) maxPrice() float64 { return max(b.largest, 1) }

// observeCost keeps the largest priced cost of the last requests.
func (b *bucket) observeCost(step time.Duration) {
	b.largest *= math.Exp(-step.Seconds() / largestTime.Seconds())
	if b.meanPriceLog == 0 {
		return
	}
	price, _ := b.effectivePrice()
	b.meanPriceLog += (math.Log(max(price, minPriceShare*b.maxPrice())) - b.meanPriceLog) * (1 - math.Exp(-step.Seconds()/meanPriceTime.Seconds()))
}

// effectivePrice returns the price at the current level. ok is false while there is none.
//
// The price follows from the level alone, so that it is the same at all schedulers, needs no time to adapt and does not
// oscillate: the level settles where as much is admitted as the bucket gains.
func (b *bucket) effectivePrice() (p float64, ok bool) {
	x := b.level / max(b.capacity(), 1)
	switch {
	case !b.scarce || x >= 1:
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

// admitted reports whether a request with this draw is admitted at a price.
func admitted(draw, price, cost, exponent float64) bool {
	return price >= cost || draw < math.Pow(price/cost, exponent)
}
