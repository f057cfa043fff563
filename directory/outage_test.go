package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against removals being held back though the store has answered somebody, time and
// again, for longer than the grace.
func TestNoRemovalIsHeldWhileTheStoreAnswersSomebody(t *testing.T) {
	const lapseAfter = 2400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var o outages
		now := time.Unix(1000, 0)
		o.answered(now, lapseAfter)
		if rapid.Bool().Draw(t, "outage first") {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "outage")))
			o.failed(now.Add(-1))
			o.answered(now, lapseAfter)
		}
		calm := now.Add(lapsedGrace)
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(lapseAfter)-1).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "a call fails") {
				o.failed(now)
			}
			if !now.Before(calm) && o.mayHaveLapsed(now, lapseAfter) {
				t.Fatalf("a removal is held %v after the outage", now.Sub(calm)+lapsedGrace)
			}
			o.answered(now, lapseAfter)
		}
	})
}

// Guards against live endpoints being dropped in an outage, or before they can have renewed
// their entries after it.
func TestRemovalsAreHeldThroughAnOutageAndTheGrace(t *testing.T) {
	const lapseAfter = 2400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var o outages
		began := time.Unix(1000, 0)
		o.answered(began, lapseAfter)
		o.failed(began.Add(lapseAfter / 2))
		back := began.Add(time.Duration(rapid.Int64Range(int64(lapseAfter), int64(time.Minute)).Draw(t, "outage")))
		if rapid.Bool().Draw(t, "an answer from before the failure is reported late") {
			o.answered(began.Add(lapseAfter/4), lapseAfter)
			back = back.Add(lapseAfter / 4)
		}
		if !o.mayHaveLapsed(back, lapseAfter) {
			t.Fatal("a removal in the outage is believed")
		}
		o.answered(back, lapseAfter)
		later := time.Duration(rapid.Int64Range(0, int64(lapsedGrace)-1).Draw(t, "after the return"))
		if rapid.Bool().Draw(t, "a call fails right after the return") {
			o.failed(back.Add(1))
			o.answered(back.Add(later/2), lapseAfter)
		}
		if !o.mayHaveLapsed(back.Add(later), lapseAfter) {
			t.Fatalf("a removal is believed %v after the return", later)
		}
	})
}
