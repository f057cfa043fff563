package entry

import "sync"

const (
	// rerunShare is how many reruns each accepted request pays for.
	rerunRatio = 0.2
	// rerunReserve is how many reruns may come at once. One endpoint's crash
	// asks for as many as it has slots; this covers several such crashes.
	maxReruns = 256
)

// rerunBudget bounds the requests that are run a second time after they may
// have run. It is made for the load of many endpoints failing at once: without
// it each failure would add a whole request's work to what is left, and the
// fleet would go on failing by its own repeats. A fifth of the accepted load
// is what a fleet with the usual headroom can carry; the reserve lets a few
// crashes through in a quiet hour. Any goroutine may use it.
type rerunBudget struct {
	mu        sync.Mutex
	remaining float64
}

func newRerunBudget() *rerunBudget { return &rerunBudget{remaining: maxReruns} }

// accepted books one accepted request.
func (b *rerunBudget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = min(b.remaining+rerunRatio, maxReruns)
}

// take takes one rerun, or reports that none is left.
func (b *rerunBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
