package objectapi

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// Guards against exceeding the object API's rate, upon which it rejects calls of all instances: when
// a fleet restarts, every instance wants to read at once. Whatever the number of instances and the
// times of their calls, each may send no more than its share of the rate and one burst.
func TestBudgetKeepsFleetWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		b := NewBudget(Rates{Reads: 1000, Writes: 200})
		b.SetInstances(instances)
		b.reads.tokens = b.reads.burst
		b.SetOpenWatches(rapid.IntRange(0, 5).Draw(t, "waiting"))
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
			t.Fatalf("%d calls within %v, this instance's share is %.2f", taken, last.Sub(start), allowed)
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestOpenWatchesReduceReadRate(t *testing.T) {
	b := NewBudget(Rates{Reads: 80, Writes: 8})
	b.SetInstances(8)
	b.SetOpenWatches(4)
	if got := b.reads.rate; got != 6 {
		t.Fatalf("%v of 10 reads per second left with 4 open watches, want 6", got)
	}
}

// Guards against sending calls during an outage, each of which costs its caller a timeout and the
// object API a connection. Only probes may be sent, at intervals that grow up to a limit that bounds
// the probes of the whole fleet. The first answer has to let all calls through again.
func TestOpenBreakerLimitsProbes(t *testing.T) {
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
			t.Fatalf("%d instances: %d calls by each in a one-minute outage, want at most %d", c.instances, sent, c.most)
		}
		b.Succeeded()
		for range 2 {
			if !b.Allow(now) {
				t.Fatal("calls are held back after the object API has answered")
			}
		}
	}
}

// Guards against calls that fail together lengthening the probe interval once for each call: after
// an outage that begins with 20 calls in flight, the first probe still has to come soon.
func TestBreakerIgnoresFailuresOfCallsInFlight(t *testing.T) {
	var b Breaker
	for range 20 {
		b.Failed(start, 0.5)
	}
	if !b.Allow(start.Add(minProbeInterval)) {
		t.Fatal("no probe after the first interval")
	}
}

func TestSpread(t *testing.T) {
	if got := Spread(360, 5, 1000); got != 1800*time.Millisecond {
		t.Fatalf("got %v", got)
	}
}
