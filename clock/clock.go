// Package clock provides the time source of the other packages, so that tests can run them
// in virtual time.
package clock

import (
	"context"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// System is the system clock. Under testing/synctest it is the bubble's clock.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Sleep blocks for d, or until ctx ends; then it returns the cause. If d is zero or less it
// returns at once.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 || ctx.Err() != nil {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
