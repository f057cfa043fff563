package policy

import "time"

const (
	// retryShare is how many retries each accepted request pays for.
	retryShare = 0.1
	// retryReserve is what may be retried at once, also with little load: one
	// endpoint's requests when it crashes.
	retryReserve = 32
	// retryRefill fills the reserve again over this time without any load.
	retryRefill = 30 * time.Second
)

// RetryBudget bounds the retries of one instance by a share of the requests it
// accepts.
//
// It is made for the crash or slowing of many endpoints at the busiest time:
// each failed request that is sent again adds load to those that are left, and
// without a bound the retries of a bad minute outweigh its requests and keep
// the fleet down after the cause has gone.
type RetryBudget struct {
	tokens float64
	last   time.Time
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: retryReserve, last: now}
}

// Accepted pays in for one accepted request.
func (b *RetryBudget) Accepted() {
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// Retry takes one retry out; false means that the request has to fail.
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
