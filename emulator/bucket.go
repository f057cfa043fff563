package emulator

import "time"

// bucket is a token bucket with a capacity of one second's tokens. A zero rate sets no limit.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate} }

// take removes a token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
