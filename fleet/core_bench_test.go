package fleet

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/member"
)

// messageOverhead is the size of a call on a connection without the two messages:
// the method's name and the framing.
const messageOverhead = 67

// BenchmarkVirtual measures the exchange in virtual time, in fleets of up to the
// target size: the bytes that an instance sends and receives without changes, those
// that a change adds, and how long a change takes to reach all instances. Messages
// have no latency.
func BenchmarkVirtual(b *testing.B) {
	for _, n := range []int{8, 64, 360} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) { benchmarkVirtual(b, n) })
	}
}

func benchmarkVirtual(b *testing.B, n int) {
	const restSeconds, between = 60, 10
	g := newGroup(b, n)
	g.run(90 * time.Second)
	for i := 0; !g.converged(); i++ {
		if i > 300 {
			b.Fatal("the members do not converge")
		}
		g.run(time.Second)
	}
	g.bytes = 0
	g.run(restSeconds * time.Second)
	rest := float64(g.bytes) / restSeconds / float64(n)
	var slowest, sum time.Duration
	added := 0.0
	version := uint64(0)
	for b.Loop() {
		version++
		it := record(version)
		it.Value = make([]byte, 400)
		begin, before := g.now, g.bytes
		g.cores[int(version)%n].put(g.now, it)
		for !g.allHave(version) {
			g.run(pushInterval)
		}
		took := g.now.Sub(begin)
		slowest, sum = max(slowest, took), sum+took
		g.run(between*time.Second - took)
		added += float64(g.bytes-before)/float64(n) - rest*between
	}
	b.ReportMetric(rest, "restB/s")
	b.ReportMetric(g.recordsVersionTraffic(n), "tellingB/s")
	b.ReportMetric(added/float64(version), "B/change")
	b.ReportMetric(float64(sum.Milliseconds())/float64(version), "ms/change")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
}

// recordsVersionTraffic returns the bytes per second that each instance sends while
// every two seconds one instance publishes a new version of its records in force.
func (g *group) recordsVersionTraffic(n int) float64 {
	const rounds = 60
	g.bytes = 0
	for i := range rounds {
		c := g.cores[i*7%n]
		c.put(g.now, c.table.Update(func(m *member.Member) { m.RecordsVersion++ }))
		g.run(2 * time.Second)
	}
	return float64(g.bytes) / (2 * rounds) / float64(n)
}

// allHave reports whether all cores have the version of the record.
func (g *group) allHave(version uint64) bool {
	for _, c := range g.cores {
		if it, _ := c.store.Get(record(0).Key); it.Version != version {
			return false
		}
	}
	return true
}

// converged reports whether all cores have the same state.
func (g *group) converged() bool {
	for _, c := range g.cores {
		if c.store.Root() != g.cores[0].store.Root() {
			return false
		}
	}
	return true
}

// count adds the bytes of one call in both directions. On average each instance
// sends as much as it receives.
func (g *group) count(o outgoing, reply proto.Message) {
	g.bytes += proto.Size(o.request) + proto.Size(reply) + messageOverhead
}

// BenchmarkLostDataCentre measures, in virtual time, how long it takes until all
// other instances have declared a failed sixth of the fleet dead, and the traffic that
// this causes.
func BenchmarkLostDataCentre(b *testing.B) {
	for _, n := range []int{60, 360} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for b.Loop() {
				g := newGroup(b, n)
				g.run(60 * time.Second)
				for i := range n / 6 {
					g.stopped[i*6] = true
				}
				begin := g.now
				g.bytes = 0
				for !g.allExpelled() && g.now.Sub(begin) < 10*time.Minute {
					g.run(time.Second)
				}
				b.ReportMetric(g.now.Sub(begin).Seconds(), "s-until-known")
				b.ReportMetric(float64(g.bytes)/g.now.Sub(begin).Seconds()/float64(n), "B/s")
			}
		})
	}
}

// allExpelled reports whether no running core counts a stopped one among the owners.
func (g *group) allExpelled() bool {
	for i, c := range g.cores {
		if !g.stopped[i] && len(c.table.View().Owners) != len(g.cores)-len(g.stopped) {
			return false
		}
	}
	return true
}
