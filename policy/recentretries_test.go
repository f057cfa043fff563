package policy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/policy/retrytest"
)

// Guards against slots that leave more room for retries than the limit's windows do, also after the window has changed.
func TestSlotsNeverLeaveMoreRoomThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio = 0.2
		start := time.Unix(1000, 0)
		l := retrytest.Ledger{Ratio: ratio, Window: time.Duration(rapid.IntRange(500, 12_000).Draw(t, "windowMs")) * time.Millisecond}
		var r recentRetries
		at := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 900).Draw(t, "pauseMs")) * time.Millisecond
			switch kind := rapid.IntRange(0, 20).Draw(t, "kind"); {
			case kind == 0:
				next := time.Duration(rapid.IntRange(500, 12_000).Draw(t, "nextWindowMs")) * time.Millisecond
				r.advance(slotOf(at, l.Window))
				r = r.resized(at, l.Window, next)
				// Older ones are those of a predecessor for the new window.
				l.Retries = slices.DeleteFunc(l.Retries, func(sent time.Time) bool { return start.Add(at).Sub(sent) >= l.Window })
				l.Window, l.Requests = next, nil
			case kind < 14:
				r.advance(slotOf(at, l.Window))
				r.now().requests++
				l.Requests = append(l.Requests, start.Add(at))
			default:
				r.advance(slotOf(at, l.Window))
				r.now().retries++
				l.Retries = append(l.Retries, start.Add(at))
			}
		}
		r.advance(slotOf(at, l.Window))
		w := r.tightest(ratio)
		room := ratio*float64(w.requests) - float64(w.retries)
		for _, from := range l.Retries {
			if start.Add(at).Sub(from) >= l.Window {
				continue
			}
			// Requests that are yet to come can only add room.
			if exact := l.Allowed(from) - float64(l.Sent(from)); room > exact+1e-9 {
				t.Fatalf("room for %.1f retries, the window from %v on leaves %.1f", room, from.Sub(start), exact)
			}
		}
	})
}

// Guards against a process that spends the slack at once when a window comes into force for which it has not counted.
func TestChangedWindowCountsAsRecentStart(t *testing.T) {
	start := time.Unix(1000, 0)
	f := NewFleetRetries(start, 0.2, 56, 10*time.Second)
	f.SetInstances(0, 1)
	now := start.Add(time.Minute)
	for range 40 {
		f.Retry(now, "pool")
	}
	f.SetLimits(now, 0.2, 56, 30*time.Second)
	if d := f.Retry(now, "pool"); d.Granted || !d.Starting || d.Retries != 40 {
		t.Errorf("decision %+v, want none granted, and the 40 before counted", d)
	}
	if d := f.Retry(now.Add(31*time.Second), "pool"); !d.Granted {
		t.Errorf("decision %+v a longer window later, want a retry granted", d)
	}
}
