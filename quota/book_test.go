package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var bookStart = time.Unix(1000, 0)

// settled returns the book of the only instance of a fleet, and a time long after its start.
func settled(l Limit) (*Book, time.Time) {
	b := NewBook(bookStart, "a", 1)
	b.SetReach(bookStart, Reach{Scheduler: true, Live: 1, Listed: 1})
	b.SetLimits(bookStart, map[string]Limit{"o": l})
	return b, bookStart.Add(time.Minute)
}

func ask(b *Book, now time.Time, cost int64) Decision {
	c := Charge{Account: "o", Cost: cost}
	d := b.Check(now, c, false)
	if d.Outcome == Pass {
		b.Charge(now, uint64(now.UnixNano()), c)
	}
	return d
}

// Guards against long requests that never pass because short ones use up each token.
func TestLongRequestsPassAmongShortOnes(t *testing.T) {
	b, now := settled(Limit{Rate: 1000, Burst: 1000, Unit: Tokens})
	rng := rand.New(rand.NewPCG(1, 1))
	asked, passed := map[int64]int{}, map[int64]int{}
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		cost := int64(100)
		if rng.IntN(2) == 0 {
			cost = 800
		}
		asked[cost]++
		if ask(b, now, cost).Outcome == Pass {
			passed[cost]++
		}
	}
	short, long := float64(passed[100])/float64(asked[100]), float64(passed[800])/float64(asked[800])
	if long < short/2 {
		t.Errorf("%.3f of the short and %.3f of the long requests passed", short, long)
	}
}

// Guards against a request that never passes because it costs more than the bucket's
// capacity.
func TestRequestAboveTheBurstPasses(t *testing.T) {
	b, now := settled(Limit{Rate: 1000, Burst: 1000, Unit: Tokens})
	passed := 0
	for range 60 {
		now = now.Add(time.Second)
		if ask(b, now, 5000).Outcome == Pass {
			passed++
		}
	}
	if passed < 6 || passed > 14 {
		t.Errorf("%d requests of 5 s of the rate passed in 60 s", passed)
	}
}

// Guards against refused callers that all retry at the same moment.
func TestRefusedCallersGetConsecutiveRetryTimes(t *testing.T) {
	b, now := settled(Limit{Rate: 1000, Burst: 1000, Unit: Tokens})
	b.Charge(now, 1, Charge{Account: "o", Cost: 2000})
	last := time.Duration(0)
	for range 20 {
		d := ask(b, now, 100)
		if d.Outcome != Over || d.RetryAfter < last+90*time.Millisecond {
			t.Fatalf("outcome %v, retry after %v, the one before %v", d.Outcome, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
}

// Guards against a request without cost being refused because of a debt.
func TestRequestWithoutCostPasses(t *testing.T) {
	b, now := settled(Limit{Rate: 1000, Burst: 1000, Unit: Tokens})
	b.Charge(now, 1, Charge{Account: "o", Cost: 2000})
	if d := ask(b, now, 0); d.Outcome != Pass {
		t.Errorf("outcome %v", d.Outcome)
	}
}

// Guards against charges that are refunded twice, or by an instance that has not charged
// them.
func TestChargeIsRefundedOnce(t *testing.T) {
	b, now := settled(Limit{Rate: 1, Burst: 1000, Unit: Tokens})
	b.Charge(now, 7, Charge{Account: "o", Cost: 300})
	if u, ok := b.Refund(now, 7); !ok || u.Total != 0 {
		t.Errorf("refunded: %v, total %d", ok, u.Total)
	}
	if _, ok := b.Refund(now, 7); ok {
		t.Error("refunded twice")
	}
	if _, ok := b.Refund(now, 8); ok {
		t.Error("refunded without a charge")
	}
}

// Guards against duplicate or late reports being counted twice.
func TestDuplicateAndLateReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, _ := settled(Limit{Rate: 1, Burst: 1e6, Unit: Tokens})
		receiver := NewBook(bookStart, "b", 1)
		receiver.SetReach(bookStart, Reach{Scheduler: true, Live: 2, Listed: 2})
		receiver.SetLimits(bookStart, map[string]Limit{"o": {Rate: 1, Burst: 1e6, Unit: Tokens}})
		now := bookStart.Add(time.Minute)
		receiver.buckets["o"].level, receiver.buckets["o"].last = 1e6, now
		var sent []Usage
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			u, _ := sender.Charge(now, 1, Charge{Account: "o", Cost: rapid.Int64Range(0, 1000).Draw(t, "cost")})
			sent = append(sent, u)
		}
		receiver.ApplyUsage(now, sent[0])
		for range rapid.IntRange(0, 40).Draw(t, "arrivals") {
			receiver.ApplyUsage(now, rapid.SampledFrom(sent).Draw(t, "report"))
		}
		newest := sent[len(sent)-1]
		receiver.ApplyUsage(now, newest)
		if got, want := receiver.buckets["o"].level, 1e6-float64(newest.Total); got != want {
			t.Fatalf("balance %v, want %v", got, want)
		}
	})
}

// Guards against charging an organisation that has no quota.
func TestOrganisationWithoutQuotaIsNotCharged(t *testing.T) {
	b, now := settled(Limit{Rate: 1, Burst: 1, Unit: Tokens})
	if c := b.Price(Charge{Account: "free", Tokens: 9, Sized: true}); c != (Charge{}) {
		t.Errorf("priced at %+v", c)
	}
	if d := b.Check(now, Charge{}, false); d.Outcome != Pass {
		t.Errorf("outcome %v", d.Outcome)
	}
	if _, ok := b.Charge(now, 1, Charge{}); ok {
		t.Error("charged")
	}
}

// BenchmarkQuota measures one decision with its charge: a mutex, a map access and a few
// additions.
func BenchmarkQuota(b *testing.B) {
	const organisations = 1100
	book := NewBook(bookStart, "a", 1)
	book.SetReach(bookStart, Reach{Scheduler: true, Live: 360, Listed: 360})
	limits := map[string]Limit{}
	names := make([]string, organisations)
	for n := range organisations {
		names[n] = fmt.Sprint("organisation-", n)
		limits[names[n]] = largeLimit
	}
	book.SetLimits(bookStart, limits)
	now := bookStart.Add(time.Minute)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Microsecond)
		c := Charge{Account: names[n%organisations], Cost: 2400}
		if book.Check(now, c, false).Outcome == Pass {
			book.Charge(now, uint64(n%4096), c)
		}
	}
}
