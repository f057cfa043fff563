package emulator

import (
	"sync"
	"time"
)

// loadSteps is the number of steps of a load. The time of each step depends on the number of loads
// that run concurrently at its start, so that a load's speed follows that number.
const loadSteps = 20

// Weights emulates the weight store that engines load from. When more loads run than it serves at
// full speed, each one takes proportionally longer. It is safe for concurrent use.
type Weights struct {
	concurrency int

	mu     sync.Mutex
	active int
	peak   int
}

// NewWeights returns a weight store that serves concurrency loads at full speed.
func NewWeights(concurrency int) *Weights { return &Weights{concurrency: max(1, concurrency)} }

// Peak returns the highest number of loads that ran concurrently.
func (w *Weights) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// load sleeps for the duration of one load. It reports whether the load completed before done was
// closed.
func (w *Weights) load(d time.Duration, pace Pace, done <-chan struct{}) bool {
	w.mu.Lock()
	w.active++
	w.peak = max(w.peak, w.active)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	for range loadSteps {
		if !pace.sleep(w.step(d), done) {
			return false
		}
	}
	return true
}

// step returns the duration of the next step of a load that takes d at full speed.
func (w *Weights) step(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d /= loadSteps
	if w.active <= w.concurrency {
		return d
	}
	return d * time.Duration(w.active) / time.Duration(w.concurrency)
}
