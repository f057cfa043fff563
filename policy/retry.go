package policy

import "time"

const (
	// retryRatio is the number of retries that each accepted request adds to the budget.
	retryRatio = 0.1
	// retryReserve is the number of retries available at once, also under little load: the
	// requests of one endpoint when it crashes.
	retryReserve = 32
	// retryRefill is the time in which an empty reserve refills without any load.
	retryRefill = 30 * time.Second
)

// RetryBudget limits the retries of one instance to a fraction of the requests it accepts.
//
// It protects the remaining endpoints when many endpoints crash or slow down at peak load: each
// retry adds load to them. Without a limit the retries outnumber the requests and keep the fleet
// overloaded after the cause has been removed.
type RetryBudget struct {
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: retryReserve, last: now}
}

// Accepted adds the budget that one accepted request earns.
func (b *RetryBudget) Accepted() {
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// Retry takes one retry from the budget and reports whether there was one left. If not, the
// request has to fail.
func (b *RetryBudget) Retry(now time.Time) bool {
	refill := now.Sub(b.last).Seconds() / retryRefill.Seconds() * retryReserve
	b.tokens = min(b.tokens+max(refill, 0), retryReserve)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
