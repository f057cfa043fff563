package emulator

import (
	"sync"
	"time"
)

// weightSteps is into how many steps a load is cut, so that its pace follows
// the number of loads that run beside it.
const weightSteps = 20

// Weights is the weight store that engines load from. Past its number of loads
// at a time each load takes longer in proportion. Any goroutine may use it.
type Weights struct {
	atOnce int

	mu     sync.Mutex
	active int
	peak   int
}

// NewWeights returns a weight store that serves atOnce loads at full pace.
func NewWeights(atOnce int) *Weights { return &Weights{atOnce: max(1, atOnce)} }

// Peak returns the highest number of loads that ran at a time.
func (w *Weights) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// load takes the time of one load; it reports whether the load came to its end.
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
	for range weightSteps {
		if !pace.sleep(w.step(d), done) {
			return false
		}
	}
	return true
}

func (w *Weights) step(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d /= weightSteps
	if w.active <= w.atOnce {
		return d
	}
	return d * time.Duration(w.active) / time.Duration(w.atOnce)
}
