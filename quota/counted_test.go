package quota

import (
	"fmt"
	"testing"
	"time"
)

// The burst of an endpoint's rate limit, the window in which the limit is checked, and the
// load as a multiple of the rate.
const (
	countedBurst  = 2
	countedWindow = 4 * time.Second
	countedLoad   = 8
)

// countedTolerance returns how many requests beyond its rate and the burst an endpoint
// tolerates in a window: half of the rate and five requests.
func countedTolerance(l Limit) float64 { return 0.5*l.Rate*countedWindow.Seconds() + 5 - l.Burst }

// newCountedModel returns a fleet whose quota counts requests. runCounted sends it many
// times the rate that the endpoint accepts.
func newCountedModel(size int, rate float64, seed uint64) *fleetModel {
	m := newFleetModel(size, Limit{Rate: rate, Burst: countedBurst}, seed)
	m.counted, m.window, m.tolerated = true, countedWindow, countedTolerance
	return m
}

func (m *fleetModel) runCounted() {
	m.run(modelTime, func(time.Duration) float64 { return countedLoad })
}

// Guards against an endpoint with a low rate limit getting more requests from the fleet than
// it tolerates, whatever fails, and against a fleet that leaves most of the rate unused.
func TestFailuresDoNotExceedAnEndpointsRate(t *testing.T) {
	for _, c := range []struct {
		size int
		rate float64
	}{{8, 1.3}, {8, 5}, {65, 1.3}} {
		for _, f := range failures {
			t.Run(fmt.Sprintf("%d instances, %.1f a second, %s", c.size, c.rate, f.name), func(t *testing.T) {
				m := newCountedModel(c.size, c.rate, 1)
				f.setup(m)
				m.runCounted()
				used := float64(m.total()) / c.rate / modelTime.Seconds()
				t.Logf("excess %.2f, %.2f of the rate used", m.excess(), used)
				if x := m.excess(); x > 1 {
					t.Errorf("the worst window uses %.2f of the tolerance", x)
				}
				if f.name == "nothing fails" && used < 0.9 {
					t.Errorf("only %.2f of the rate is used", used)
				}
			})
		}
	}
}

// TestCountedWays compares the ways to enforce an endpoint's rate: go test ./quota -run
// CountedWays -v -ways.
func TestCountedWays(t *testing.T) {
	if !*compareWays {
		t.Skip("a comparison that is run by hand with -ways")
	}
	for _, size := range []int{8, 65} {
		for _, rate := range []float64{1.3, 5} {
			for w := bucketsByReach; w <= sharesByDemand; w++ {
				worst, at, used := 0.0, "", 0.0
				for _, f := range failures {
					m := newCountedModel(size, rate, 0)
					m.way = w
					f.setup(m)
					m.runCounted()
					if f.name == "nothing fails" {
						used = float64(m.total()) / rate / modelTime.Seconds()
					}
					if x := m.excess(); x > worst {
						worst, at = x, f.name
					}
				}
				t.Logf("%4d instances, %.1f a second, %-16s uses %.2f of the rate; failures: worst %5.2f of the tolerance (%s)", size, rate, w, used, worst, at)
			}
		}
	}
}
