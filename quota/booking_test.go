package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against callers that are given a time, come back then, once, to any instance, and are refused
// again, also when a scheduler is lost in between.
func TestCallersWithABookingAreServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		sizes []int
		setup func(m *fleetModel)
		least float64
		// sample is how many callers at least are counted: at a small quota few callers are given a time in one run.
		sample int
	}{
		{"nothing fails", []int{3, 8, 65, 300}, func(*fleetModel) {}, 0.9, 10},
		{"a scheduler is killed", []int{3, 8, 65, 300}, func(m *fleetModel) {
			for n := range 3 {
				m.at(time.Duration(8+8*n)*time.Second, func() {
					m.kills = append(m.kills, m.now)
					m.killFor(2*time.Second, n%2, n%2+1)
				})
			}
		}, 0.8, 10},
		{"a scheduler freezes for 5 s", []int{3, 65}, func(m *fleetModel) {
			m.at(10*time.Second, func() { m.frozen[0] = true })
			m.at(15*time.Second, func() { m.frozen[0] = false })
		}, 0.8, 10},
		{"messages are lost, late and duplicated", []int{3, 65}, loseMessages, 0.8, 200},
	} {
		for _, size := range c.sizes {
			for _, limit := range []Limit{smallLimit, largeLimit} {
				t.Run(fmt.Sprintf("%s, %d instances, %.0f a second", c.name, size, limit.Rate), func(t *testing.T) {
					var m *fleetModel
					told, kept := 0, 0
					for seed := uint64(1); seed == 1 || told < c.sample && seed < 20; seed++ {
						m = newFleetModel(size, limit, seed)
						c.setup(m)
						m.run(overloadTime, func(time.Duration) float64 { return 2 })
						if len(m.kills) > 0 {
							told, kept = told+m.toldAcross, kept+m.keptAcross
							continue
						}
						told, kept = told+m.told, kept+m.kept
					}
					rate := float64(kept) / float64(told)
					t.Logf("told %d, served on their return %.3f; %.3f of the quota, excess %.2f", told, rate, m.usedSince(), m.excess())
					if told < c.sample || rate < c.least {
						t.Errorf("%.3f of %d callers that were told a time are served then", rate, told)
					}
				})
			}
		}
	}
}

func loseMessages(m *fleetModel) { m.loss, m.late, m.twice = 0.1, 0.1, 0.1 }

// Guards against results of the simulation that its seed does not determine.
func TestRunsOfTheSameSeedAreEqual(t *testing.T) {
	run := func(seed uint64) (passed []passed, told, kept int) {
		m := newFleetModel(65, smallLimit, seed)
		loseMessages(m)
		m.run(overloadTime, func(time.Duration) float64 { return 2 })
		return m.passed, m.told, m.kept
	}
	for seed := range uint64(3) {
		passed, told, kept := run(seed)
		again, toldAgain, keptAgain := run(seed)
		if !slices.Equal(passed, again) || told != toldAgain || kept != keptAgain {
			t.Errorf("seed %d: %d requests passed, %d of %d callers served on their return; then %d, %d of %d", seed, len(passed), kept, told, len(again), keptAgain, toldAgain)
		}
	}
}

// keyed is a request with a key of a caller that has some time left.
func keyed(key uint64, cost int64) Charge {
	return Charge{Account: "o", Cost: cost, Key: key, Left: 12 * time.Second}
}

// indebted returns a book whose account has a debt, so that the next request is booked.
func indebted() (*Book, time.Time) {
	b, now := settled(Limit{Rate: 1000, Burst: 1000, Unit: Tokens})
	b.Charge(now, 1, Charge{Account: "o", Cost: 2000})
	return b, now
}

// Guards against callers that repeat at once getting another time, or being served before it; against
// bookings that admit twice, too late, or after the scheduler that made them has ended.
func TestBookingAdmitsItsCallerOnceAtItsTime(t *testing.T) {
	b, now := indebted()
	peer := NewBook(bookStart, "b", 1)
	peer.SetReach(bookStart, Reach{Scheduler: true, Live: 1, Listed: 1})
	peer.SetLimits(bookStart, map[string]Limit{"o": {Rate: 1000, Burst: 1000, Unit: Tokens}})
	peer.Charge(now, 1, Charge{Account: "o", Cost: 2000})
	c := keyed(5, 100)
	first := b.Check(now, c, false)
	if first.Outcome != Over || !first.Booked || first.Made == nil {
		t.Fatalf("decision %+v", first)
	}
	due := now.Add(first.RetryAfter)
	peer.ApplyBooking(now, *first.Made)
	for _, at := range []*Book{b, peer} {
		early := now.Add(first.RetryAfter / 2)
		if d := at.Check(early, c, false); d.Outcome != Over || !d.Early || early.Add(d.RetryAfter) != due || d.Made != nil {
			t.Errorf("decision on a caller that comes early %+v", d)
		}
	}
	for _, at := range []time.Time{due.Add(-earlyRedemption), due.Add(lateRedemption - time.Millisecond)} {
		if d := peer.Check(at, c, false); d.Outcome != Pass || !d.Kept {
			t.Errorf("decision %v after the time: %+v", at.Sub(due), d)
		}
	}
	u, _ := peer.Charge(due, 7, c)
	b.ApplyUsage(due, u)
	b.ApplyBooking(due, *first.Made)
	for _, at := range []*Book{b, peer} {
		if d := at.Check(due.Add(time.Millisecond), c, false); d.Kept {
			t.Error("redeemed twice")
		}
	}
	peer.Refund(due, 7)
	if d := peer.Check(due.Add(2*time.Millisecond), c, false); !d.Kept {
		t.Errorf("a run that did not run has lost its booking: %+v", d)
	}
	if d := peer.Check(due.Add(lateRedemption+time.Second), c, false); d.Kept {
		t.Error("redeemed after it has lapsed")
	}
}

// Guards against callers being given times that they will not wait for.
func TestNoBookingBeyondAThirdOfTheTimeLeft(t *testing.T) {
	b, now := indebted()
	c := keyed(5, 100)
	c.Left = 2 * time.Second
	if d := b.Check(now, c, false); d.Outcome != Over || !d.Final || d.Booked || d.RetryAfter != 0 {
		t.Errorf("decision %+v", d)
	}
}

// Guards against reservations that outlive bookings whose callers never return, and against sums that
// drift with lost, late and repeated messages.
func TestReservedCostIsThatOfOpenBookings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := indebted()
		key := rapid.Uint64Range(1, 8)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			c := keyed(key.Draw(t, "key"), rapid.Int64Range(1, 1500).Draw(t, "cost"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Check(now, c, false)
			case 1:
				b.Charge(now, c.Key, c)
			case 2:
				b.Refund(now, c.Key)
			case 3:
				due := now.Add(time.Duration(rapid.IntRange(-900, 9000).Draw(t, "due")) * time.Millisecond)
				b.ApplyBooking(now, Booking{Account: "o", Key: c.Key, Cost: c.Cost, Due: due})
			}
			l := b.buckets["o"].ledger
			if l == nil {
				continue
			}
			l.expire(now)
			sum := 0.0
			for _, k := range l.bookings {
				if !k.redeemed {
					sum += k.reserved
				}
			}
			if d := sum - l.reserved; d > 1e-6 || d < -1e-6 {
				t.Fatalf("reserved %v, open bookings %v", l.reserved, sum)
			}
		}
		later := now.Add(time.Minute)
		if l := b.buckets["o"].ledger; l != nil {
			if l.expire(later); l.reserved != 0 || len(l.bookings) > 0 {
				t.Fatalf("reserved %v, %d bookings after all have lapsed", l.reserved, len(l.bookings))
			}
		}
	})
}

// Guards against a caller that ignores its time and repeats at once being served more often.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	now := bookStart
	for key := range uint64(1000) {
		slot := now.Add(-time.Duration((uint64(now.UnixNano()) + key) % uint64(drawSlot)))
		first := drawOf(key, slot)
		for n := range time.Duration(20) {
			if d := drawOf(key, slot.Add(n*drawSlot/20)); d != first {
				t.Fatalf("key %d draws %v, then %v", key, first, d)
			}
		}
	}
}

// BenchmarkKeyedQuota measures a decision with its charge at three times the quota, with price and bookings.
func BenchmarkKeyedQuota(b *testing.B) {
	book, now := settled(largeLimit)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(800 * time.Microsecond)
		c := keyed(uint64(n)+1, 2400)
		if book.Check(now, c, false).Outcome == Pass {
			book.Charge(now, uint64(n%4096), c)
		}
	}
}
