package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Unix(1_700_000_000, 0)

// queue is an endpoint in virtual time that runs as many requests at once as it has slots and is always sent as many
// as its limit allows.
type queue struct {
	limit  Limit
	now    time.Time
	free   []time.Time
	target time.Duration
	// stated are the slots of the endpoint's entry.
	stated  int
	pending []sent
}

type sent struct {
	began, ends time.Time
	beside      int
	// inSlot is the time in a slot as far as the stated slots say: a run that finds one of them free is taken to have
	// it at once.
	inSlot time.Duration
}

func newQueue(slots, stated int) *queue {
	return &queue{now: start, free: make([]time.Time, slots), stated: stated, target: time.Second}
}

// play keeps the endpoint full for some time with runs of the given length, and returns the latest duration.
func (q *queue) play(during, work time.Duration) (last time.Duration) {
	for until := q.now.Add(during); q.now.Before(until); q.now = q.now.Add(5 * time.Millisecond) {
		kept := q.pending[:0]
		for _, s := range q.pending {
			if s.ends.After(q.now) {
				kept = append(kept, s)
				continue
			}
			last = s.ends.Sub(s.began)
			q.limit.Completed(q.now, Run{Took: last, InSlot: s.inSlot, Began: s.began, Beside: s.beside, Slots: q.stated, Target: q.target})
		}
		q.pending = kept
		for len(q.pending) < q.limit.Value(q.stated, q.target) {
			next := 0
			for i := range q.free {
				if q.free[i].Before(q.free[next]) {
					next = i
				}
			}
			from := q.now
			if q.free[next].After(from) {
				from = q.free[next]
			}
			q.free[next] = from.Add(work)
			run := sent{began: q.now, ends: q.free[next], beside: len(q.pending) + 1, inSlot: work}
			if run.beside <= q.stated || q.stated == 0 {
				run.inSlot = run.ends.Sub(run.began)
			}
			q.pending = append(q.pending, run)
		}
	}
	return last
}

// Guards against a wait at the endpoint that takes more than a small part of the target, and against a limit that
// leaves slots idle.
func TestLimitFollowsSlotsAndLatency(t *testing.T) {
	for _, c := range []struct {
		slots int
		work  time.Duration
		want  int
	}{{8, 100 * time.Millisecond, 16}, {8, 500 * time.Millisecond, 10}, {8, 2 * time.Second, 8}, {1, 100 * time.Millisecond, 3}} {
		q := newQueue(c.slots, c.slots)
		q.play(20*c.work, c.work)
		if got := q.limit.Value(c.slots, q.target); got != c.want {
			t.Errorf("%d slots, runs of %v: limit %d, want %d", c.slots, c.work, got, c.want)
		}
	}
}

// Guards against a limit that stays when the endpoint has become slow, or when it runs fewer requests at once than its
// entry states, and against one that does not return.
func TestLimitFallsAndRecovers(t *testing.T) {
	q := newQueue(8, 8)
	q.play(2*time.Second, 100*time.Millisecond)
	// The first runs that are too slow end after their own length.
	q.play(2*time.Second, 900*time.Millisecond)
	if got := q.limit.Value(8, q.target); got > 9 {
		t.Errorf("limit %d when a run takes nine tenths of the target", got)
	}
	q.play(2*time.Second, 100*time.Millisecond)
	if got := q.limit.Value(8, q.target); got < 14 {
		t.Errorf("limit %d two seconds after the recovery, in the first of which older runs end; want 14 or more of 16", got)
	}
	overstated := newQueue(2, 32)
	overstated.play(5*time.Second, 200*time.Millisecond)
	if took := overstated.play(2*time.Second, 200*time.Millisecond); took > overstated.target {
		t.Errorf("runs take %v at an endpoint that states 32 slots and has 2; limit %d", took, overstated.limit.Value(32, overstated.target))
	}
	unstated := newQueue(2, 0)
	unstated.play(10*time.Second, 100*time.Millisecond)
	if took := unstated.play(5*time.Second, 100*time.Millisecond); took > 2*unstated.target {
		t.Errorf("runs take %v at an endpoint that states no slots; limit %d", took, unstated.limit.Value(0, unstated.target))
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
			if v := l.Value(slots, target); v < 1 || slots > 0 && v > slots+max(slots, smallQueue) {
				t.Fatalf("limit %d with %d slots", v, slots)
			}
		}
	})
}
