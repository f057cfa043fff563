package objectapi

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// A fleet restarts and every instance wants to read at once. However many
// there are and whenever they ask, the object API never gets more than its
// rate and one burst of each, or it would refuse calls of all of them.
func TestBudgetKeepsTheFleetInsideItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		b := NewBudget(Rates{Reads: 1000, Writes: 200})
		b.SetInstances(instances)
		b.reads.tokens = b.reads.burst
		b.SetWaiting(rapid.IntRange(0, 5).Draw(t, "waiting"))
		now, last, taken := start, start, 0
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if wait, ok := b.TakeRead(now, time.Second); ok {
				taken++
				last = maxTime(last, now.Add(wait))
			}
		}
		share := 1000 / float64(instances)
		allowed := max(share, readBurst) + share*last.Sub(start).Seconds()
		if float64(taken) > allowed+1e-6 {
			t.Fatalf("%d calls by %v, %.2f are this instance's share", taken, last.Sub(start), allowed)
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestWaitingWatchesCountAsCalls(t *testing.T) {
	b := NewBudget(Rates{Reads: 80, Writes: 8})
	b.SetInstances(8)
	b.SetWaiting(4)
	if got := b.reads.rate; got != 6 {
		t.Fatalf("%v reads a second are left of 10 with 4 watches, want 6", got)
	}
}

// During an outage every call that is tried costs its caller a timeout and the
// object API a connection. Calls are kept back but for probes whose intervals
// grow, up to a bound that keeps the whole fleet's probes few. The first answer
// lets all calls through again.
func TestBreakerProbesRarely(t *testing.T) {
	for _, c := range []struct{ instances, most int }{{8, 305}, {60, 66}, {360, 25}} {
		b := Breaker{instances: c.instances}
		now, sent := start, 0
		for range 6000 {
			if b.Allow(now) {
				sent++
				b.Failed(now, 0.5)
			}
			now = now.Add(10 * time.Millisecond)
		}
		if sent > c.most {
			t.Fatalf("%d instances: %d calls of each in a minute of outage, want %d at most", c.instances, sent, c.most)
		}
		b.Succeeded()
		for range 2 {
			if !b.Allow(now) {
				t.Fatal("calls are kept back after the object API has answered")
			}
		}
	}
}

// Twenty calls are under way when the object API goes away. They fail together
// and tell no more than one does, so the first probe still comes soon.
func TestBreakerCountsFailuresTogetherAsOne(t *testing.T) {
	var b Breaker
	for range 20 {
		b.Failed(start, 0.5)
	}
	if !b.Allow(start.Add(firstProbe)) {
		t.Fatal("no probe after the first interval")
	}
}

func TestSpread(t *testing.T) {
	if got := Spread(360, 5, 1000); got != 1800*time.Millisecond {
		t.Fatalf("got %v", got)
	}
}
