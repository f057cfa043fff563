package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a wait at the endpoint that takes more than a small part of the target, and against a limit that
// leaves slots idle.
func TestLimitFollowsSlotsAndLatency(t *testing.T) {
	for _, c := range []struct {
		slots int
		work  time.Duration
		want  int
	}{{8, 100 * time.Millisecond, 16}, {8, 500 * time.Millisecond, 10}, {8, 2 * time.Second, 8}, {1, 100 * time.Millisecond, 3}} {
		var l Limit
		for range 20 {
			l.Completed(start, Run{Took: c.work, InSlot: c.work, Began: start, Beside: 1, Slots: c.slots, Target: time.Second})
		}
		if got := l.Value(c.slots, time.Second); got != c.want {
			t.Errorf("%d slots, runs of %v: limit %d, want %d", c.slots, c.work, got, c.want)
		}
	}
}

// Guards against a single long request that closes the endpoint for short ones, and against rejections for other
// reasons than a full queue that do.
func TestLimitIgnoresWhatIsNotLoad(t *testing.T) {
	var l Limit
	for range 20 {
		l.Completed(start, Run{Took: 150 * time.Millisecond, InSlot: 100 * time.Millisecond, Began: start, Beside: 10, Slots: 8, Target: time.Second})
	}
	l.Completed(start, Run{Took: 3 * time.Second, InSlot: 3 * time.Second, Began: start, Beside: 1, Slots: 8, Target: time.Second})
	l.Rejected(start, 0, 8)
	// The limit is in average requests, and the long one has raised the average.
	if room := time.Duration(l.Value(8, time.Second)-8) * l.Hold(); room < 500*time.Millisecond {
		t.Errorf("limit %d, with room for %v of work in the queue", l.Value(8, time.Second), room)
	}
	l.Rejected(start, 9, 8)
	if got, _ := l.Cap(); got != 9 {
		t.Errorf("limit %d after a rejection beside 9 others, want 9", got)
	}
}

// Guards against a limit below 1, which would close an endpoint for good, and above what the target allows.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limit
		now := start
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		target := time.Duration(rapid.IntRange(0, 5000).Draw(t, "target")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "runs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			took := time.Duration(rapid.IntRange(0, 10000).Draw(t, "took")) * time.Millisecond
			r := Run{Took: took, InSlot: took / 2, Began: now.Add(-took), Beside: rapid.IntRange(1, 200).Draw(t, "beside"), Slots: slots, Target: target}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				l.GivenUp(now, r)
			case 1:
				l.Rejected(now, r.Beside-1, slots)
			case 2:
				l.FirstToken(r)
				l.CompletedStream(now, r)
			default:
				l.Completed(now, r)
			}
			if v := l.Value(slots, target); v < 1 || slots > 0 && v > slots+max(slots, smallQueue) || slots == 0 && v > unstatedSlots {
				t.Fatalf("limit %d with %d slots", v, slots)
			}
		}
	})
}
