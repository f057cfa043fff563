package directory

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// Guards against removals being held back although the store has kept answering some
// instance for longer than expiryGrace.
func TestNoRemovalIsHeldWhileTheStoreAnswersAnyInstance(t *testing.T) {
	const minOutage = 2400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var o outages
		now := time.Unix(1000, 0)
		o.answered(now, minOutage)
		if rapid.Bool().Draw(t, "outage first") {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "outage")))
			o.failed(now.Add(-1))
			o.answered(now, minOutage)
		}
		calm := now.Add(expiryGrace)
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.Int64Range(1, int64(minOutage)-1).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "a call fails") {
				o.failed(now)
			}
			if !now.Before(calm) && o.mayHaveExpired(now, minOutage) {
				t.Fatalf("a removal is still held back %v after the outage", now.Sub(calm)+expiryGrace)
			}
			o.answered(now, minOutage)
		}
	})
}

// Guards against live endpoints being dropped during an outage, or before they have had
// time to renew their entries after it.
func TestRemovalsAreHeldDuringAnOutageAndItsGrace(t *testing.T) {
	const minOutage = 2400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var o outages
		began := time.Unix(1000, 0)
		o.answered(began, minOutage)
		o.failed(began.Add(minOutage / 2))
		end := began.Add(time.Duration(rapid.Int64Range(int64(minOutage), int64(time.Minute)).Draw(t, "outage")))
		if rapid.Bool().Draw(t, "an answer from before the failure is reported late") {
			o.answered(began.Add(minOutage/4), minOutage)
			end = end.Add(minOutage / 4)
		}
		if !o.mayHaveExpired(end, minOutage) {
			t.Fatal("a removal during the outage is applied")
		}
		o.answered(end, minOutage)
		later := time.Duration(rapid.Int64Range(0, int64(expiryGrace)-1).Draw(t, "after the return"))
		if rapid.Bool().Draw(t, "a call fails right after the return") {
			o.failed(end.Add(1))
			o.answered(end.Add(later/2), minOutage)
		}
		if !o.mayHaveExpired(end.Add(later), minOutage) {
			t.Fatalf("a removal is applied %v after the outage", later)
		}
	})
}
