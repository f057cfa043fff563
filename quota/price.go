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
	// priceGain is the rate per second at which the logarithm of the price follows the level: a price
	// adapts to a new load within a few seconds, without oscillating.
	priceGain = 1.5
	// minPriceShare bounds the price from below, as a fraction of the maximum.
	minPriceShare = 1e-7
	// maxPriceStep bounds the time for which one level changes the price.
	maxPriceStep = time.Second
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

// maxPrice returns the price at which requests are admitted as if there were none.
func (b *bucket) maxPrice() float64 { return max(b.limit.Burst, b.limit.Rate*minBurst.Seconds()) }

// adaptPrice lowers the price while the level is below half of the capacity, and raises it while it
// is above. Nothing is admitted in a longer debt, which does not show what the price does.
func (b *bucket) adaptPrice(step time.Duration) {
	top := b.maxPrice()
	full := b.capacity()
	b.meanPriceLog += (math.Log(b.price) - b.meanPriceLog) * (1 - math.Exp(-step.Seconds()/meanPriceTime.Seconds()))
	if full <= 0 || b.level <= -debtShare*full || b.price >= top && b.level >= full/2 {
		b.price = min(b.price, top)
		return
	}
	deviation := max(2*b.level/full-1, -1)
	b.price *= math.Exp(priceGain * deviation * min(step, maxPriceStep).Seconds())
	b.price = min(max(b.price, top*minPriceShare), top)
}

// effectivePrice returns the price at the current level. It differs from the adapted one so that the
// level stays between 0 and the capacity while that one follows. ok is false while the price is at its
// maximum.
func (b *bucket) effectivePrice() (p float64, ok bool) {
	full := b.capacity()
	if b.level >= full {
		return b.maxPrice(), false
	}
	if b.level <= 0 {
		return 0, true
	}
	p = b.price * b.level / (full - b.level)
	if p >= b.maxPrice() {
		return b.maxPrice(), false
	}
	return p, true
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
