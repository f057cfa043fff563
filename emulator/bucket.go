package emulator

import "time"

// bucket is a token bucket that holds one second's worth. A zero rate lets
// everything pass.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, tokens: rate} }

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
