package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A quarter of the endpoints crash in a burst, and every request sent to them fails. If each
// instance only kept to a limit of its own, the retries of all instances together would overload
// the remaining endpoints, and one fault would slow down the whole service.
func TestFleetStaysBelowRetryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 56.0, 10 * time.Second
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		perSecond := rapid.IntRange(1, 300).Draw(t, "perSecond")
		start := time.Unix(1000, 0)
		budgets := make([]*FleetRetries, instances)
		for i := range budgets {
			budgets[i] = NewFleetRetries(start, ratio, slack, window)
			budgets[i].SetInstances(i, instances)
		}
		var retries []time.Time
		requests := 0
		for ms := 0; ms < 25_000; ms += 1000 / min(perSecond, 1000) {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "at")]
			b.Accepted(now, "pool")
			requests++
			for range 3 {
				if b.Retry(now, "pool").Granted {
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

// Three of nine endpoints crash at once at peak load, and forty resumable streams break at one
// instance. With a budget that does not accumulate, nearly all of them would fail although the
// fleet may send far more retries.
func TestRetriesAccumulateOverWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleetRetries(now, 0.2, 56, 10*time.Second)
	f.SetInstances(0, 8)
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		f.Accepted(now, "pool")
	}
	resumed := 0
	for range 40 {
		if f.Retry(now, "pool").Granted {
			resumed++
		}
	}
	// The 200 requests of the last window earn 20 retries, and the slack 3.
	if resumed < 20 {
		t.Errorf("%d of 40 broken streams may be resumed, want 20 at least", resumed)
	}
}
