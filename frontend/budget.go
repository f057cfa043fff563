package frontend

import "sync"

const (
	// rerunRatio is how many reruns each accepted request adds to the budget.
	rerunRatio = 0.2
	// maxReruns is the largest burst of reruns. The crash of one endpoint causes as many
	// reruns as it has slots; this covers several such crashes.
	maxReruns = 256
)

// rerunBudget limits how many requests are rerun after they may already have run. When many
// endpoints fail at once, unlimited reruns would add the work of a whole request per failure
// to the remaining endpoints and keep the fleet overloaded. A fifth of the accepted load fits
// into the usual headroom of a fleet; the burst covers a few crashes while there is little
// traffic. It is safe for concurrent use.
type rerunBudget struct {
	mu        sync.Mutex
	remaining float64
}

func newRerunBudget() *rerunBudget { return &rerunBudget{remaining: maxReruns} }

// credit adds the share of one accepted request to the budget.
func (b *rerunBudget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining = min(b.remaining+rerunRatio, maxReruns)
}

// take consumes one rerun and reports whether one was left.
func (b *rerunBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}
