package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A quarter of the endpoints crash in a burst, and every request that was sent
// to them fails. Without a bound for the fleet, instances that each keep to a
// bound of their own send so much again that the endpoints that are left drown;
// callers see the whole service slow down after one fault.
func TestFleetStaysBelowItsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 56.0, 10 * time.Second
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		perSecond := rapid.IntRange(1, 300).Draw(t, "perSecond")
		budgets := make([]*FleetRetries, instances)
		for i := range budgets {
			budgets[i] = NewFleetRetries(ratio, slack, window)
			budgets[i].SetInstances(instances)
		}
		start := time.Unix(1000, 0)
		var retries []time.Time
		requests := 0
		for ms := 0; ms < 25_000; ms += 1000 / min(perSecond, 1000) {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "at")]
			b.Accepted(now, "pool")
			requests++
			for range 3 {
				if b.Retry(now, "pool") {
					retries = append(retries, now)
				}
			}
		}
		perWindow := float64(requests) / 2.5
		for i, from := range retries {
			count := 0
			for _, at := range retries[i:] {
				if at.Sub(from) < window {
					count++
				}
			}
			if float64(count) > ratio*perWindow+slack {
				t.Fatalf("%d retries in a window, %v requests in it, %d instances", count, perWindow, instances)
			}
		}
	})
}
