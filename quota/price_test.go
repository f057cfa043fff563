package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Kinds of requests: half of the requests cost a fifteenth of what the others cost.
const (
	cheap     = "cheap"
	expensive = "expensive"
	// repeating callers repeat at once when they are refused without a time.
	repeating = "repeating"
	// lessUrgent requests have rank 2, all others rank 0.
	lessUrgent = "less urgent"
	costRatio  = 15
	// learningTime is how long the price may take to adapt to an overload.
	learningTime = 5 * time.Second
	overloadTime = 35 * time.Second
)

// overloaded returns a fleet whose callers ask for a multiple of the quota after a quiet start.
func overloaded(size int, limit Limit, load float64, seed uint64, mean float64) *fleetModel {
	m := newFleetModel(size, limit, seed)
	m.statsFrom = 2*time.Second + learningTime
	m.mixMean = mean * (1 + 1.0/costRatio) / 2
	m.mix = func() (string, int64) {
		kind, at := expensive, mean
		if m.callers.IntN(2) == 0 {
			kind, at = cheap, mean/costRatio
		}
		return kind, int64(max(at*math.Exp(m.callers.NormFloat64()*costSpread-costSpread*costSpread/2), 1))
	}
	m.run(overloadTime, func(t time.Duration) float64 {
		if t < 2*time.Second {
			return normalLoad
		}
		return load
	})
	return m
}

// usedSince returns what passed after statsFrom as a fraction of the quota.
func (m *fleetModel) usedSince() float64 {
	sum := 0.0
	for _, p := range m.passed {
		if p.at.Sub(m.start) >= m.statsFrom {
			sum += float64(p.cost)
		}
	}
	return sum / m.limit.Rate / (overloadTime - m.statsFrom).Seconds()
}

// Guards against cheap requests being refused because of expensive ones that have used up the quota,
// against expensive ones starving for it, and against a quota that is not used up. The burst covers 36 or
// more of the expensive requests.
func TestCheapRequestsPassWhileExpensiveOnesDoNotStarve(t *testing.T) {
	for _, size := range []int{3, 8, 65, 300} {
		for _, c := range []struct {
			limit Limit
			mean  float64
		}{{smallLimit, 1_000}, {largeLimit, 12_000}} {
			t.Run(fmt.Sprintf("%d instances, %.0f a second", size, c.limit.Rate), func(t *testing.T) {
				var all, largest tally
				of := map[string]*tally{cheap: {}, expensive: {}}
				used, excess := math.Inf(1), 0.0
				// The largest tenth is some 280 requests of a run at the small quota.
				for seed := range uint64(3) {
					m := overloaded(size, c.limit, 3, seed, c.mean)
					sum, kinds := m.served()
					all.add(sum)
					largest.add(m.largest(expensive))
					of[cheap].add(*kinds[cheap])
					of[expensive].add(*kinds[expensive])
					used, excess = min(used, m.usedSince()), max(excess, m.excess())
				}
				t.Logf("served %.3f: cheap %.3f, expensive %.3f, the largest tenth of them %.3f; at least %.3f of the quota; excess %.2f",
					all.rate(), of[cheap].rate(), of[expensive].rate(), largest.rate(), used, excess)
				if r := of[cheap].rate(); r < 0.95 {
					t.Errorf("cheap requests are served at a rate of %.3f", r)
				}
				if r := of[expensive].rate(); r < all.rate()/4 {
					t.Errorf("expensive requests are served at a rate of %.3f, all at %.3f", r, all.rate())
				}
				if r := largest.rate(); r < of[expensive].rate()/2 {
					t.Errorf("the largest tenth of the expensive requests is served at a rate of %.3f, all of them at %.3f", r, of[expensive].rate())
				}
				if used < 0.97 {
					t.Errorf("%.3f of the quota is used", used)
				}
				if excess > maxExcess {
					t.Errorf("the worst window uses %.2f of the tolerance", excess)
				}
			})
		}
	}
}

// Guards against cheap requests being refused where the burst covers only three of the expensive ones:
// each of these takes a third of the bucket, so that the price varies.
func TestCheapRequestsPassIfTheBurstCoversFewExpensiveOnes(t *testing.T) {
	var sum, largest, costly tally
	for seed := range uint64(8) {
		m := overloaded(8, smallLimit, 3, seed, 12_000)
		_, of := m.served()
		sum.add(*of[cheap])
		costly.add(*of[expensive])
		largest.add(m.largest(expensive))
	}
	t.Logf("cheap %.3f, expensive %.3f, the largest tenth of them %.3f", sum.rate(), costly.rate(), largest.rate())
	if r := sum.rate(); r < 0.8 {
		t.Errorf("cheap requests are served at a rate of %.3f", r)
	}
	if costly.rate() < sum.rate()/4 || largest.rate() < costly.rate()/4 {
		t.Errorf("expensive requests are served at a rate of %.3f, the largest tenth of them at %.3f", costly.rate(), largest.rate())
	}
}

// between runs a fleet at three times the quota, with two kinds of requests of the same sizes, and returns
// the rates at which they are served.
func between(first, second string) (float64, float64) {
	m := newFleetModel(8, largeLimit, 1)
	m.statsFrom, m.mixMean = learningTime, 6_000
	m.mix = func() (string, int64) {
		kind := first
		if m.callers.IntN(4) == 0 {
			kind = second
		}
		return kind, int64(6_000 * math.Exp(m.callers.NormFloat64()*costSpread-costSpread*costSpread/2))
	}
	m.run(overloadTime, func(time.Duration) float64 { return 3 })
	_, of := m.served()
	return of[first].rate(), of[second].rate()
}

// Guards against callers that repeat at once being served more often than those of the same requests that
// do not.
func TestCallersThatRepeatAtOnceAreNotPreferred(t *testing.T) {
	others, r := between(expensive, repeating)
	t.Logf("served: repeating %.3f, others %.3f", r, others)
	if r > 1.25*others {
		t.Errorf("callers that repeat are served at a rate of %.3f, others at %.3f", r, others)
	}
}

// Guards against an urgent rank that is not preferred, and against one that starves.
func TestUrgentRanksArePreferredAndNoneStarves(t *testing.T) {
	urgent, others := between(expensive, lessUrgent)
	t.Logf("served: urgent %.3f, others %.3f", urgent, others)
	if urgent < others || others < urgent/4 {
		t.Errorf("urgent requests are served at a rate of %.3f, others at %.3f", urgent, others)
	}
}
