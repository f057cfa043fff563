package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// Guards against schedulers that disagree for good on what has passed, since reports of use reached them in different orders,
// repeatedly or not at all.
func TestSchedulersAgreeOnUseWhateverTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 1000, Burst: 1_000_000}
		now := time.Unix(1_700_000_000, 0)
		var books [2]*Book
		for n := range books {
			books[n] = NewBook(now, "scheduler", 1)
			books[n].SetLimits(now, map[string]Limit{"o": limit})
		}
		// All schedulers know each instance by its first report, and get the newest in the end.
		var reports, newest []Usage
		for n := range rapid.IntRange(1, 3).Draw(t, "instances") {
			sender := NewBook(now, string(rune('a'+n)), uint64(1+n))
			sender.SetLimits(now, map[string]Limit{"o": limit})
			var list []Usage
			for run := range rapid.IntRange(1, 8).Draw(t, "runs") {
				if u, ok := sender.Charge(now, uint64(run), Charge{Account: "o", Cost: rapid.Int64Range(1, 2000).Draw(t, "cost")}); ok {
					list = append(list, u)
				}
				if rapid.Bool().Draw(t, "refunded") {
					if u, ok := sender.Refund(now, uint64(run)); ok {
						list = append(list, u)
					}
				}
			}
			for _, b := range books {
				b.ApplyUsage(now, list[0])
			}
			reports, newest = append(reports, list...), append(newest, list[len(list)-1])
		}
		for n, b := range books {
			some := rapid.SliceOf(rapid.SampledFrom(reports)).Draw(t, "reports of "+string(rune('0'+n)))
			for _, u := range rapid.Permutation(slices.Concat(some, newest)).Draw(t, "order") {
				b.ApplyUsage(now, u)
			}
		}
		if a, b := books[0].Views(now), books[1].Views(now); a[0].Balance != b[0].Balance {
			t.Fatalf("balances %v and %v", a[0].Balance, b[0].Balance)
		}
	})
}
