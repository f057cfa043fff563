package fleet

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/member"
)

// messageOverhead is what a call costs on a connection beside the two messages:
// the name of the method and the frames.
const messageOverhead = 67

// BenchmarkVirtual measures the exchange in virtual time at sizes up to the
// target: bytes that an instance sends and gets at rest, those that a change
// adds, and how long a change takes to reach all. A message takes no time on
// its way.
func BenchmarkVirtual(b *testing.B) {
	for _, n := range []int{8, 64, 360} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) { benchmarkVirtual(b, n) })
	}
}

func benchmarkVirtual(b *testing.B, n int) {
	const restSeconds, between = 60, 10
	g := newGroup(b, n)
	g.run(90 * time.Second)
	for i := 0; !g.agree(); i++ {
		if i > 300 {
			b.Fatal("the members do not agree")
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
		for !g.hold(version) {
			g.run(pushEvery)
		}
		took := g.now.Sub(begin)
		slowest, sum = max(slowest, took), sum+took
		g.run(between*time.Second - took)
		added += float64(g.bytes-before)/float64(n) - rest*between
	}
	b.ReportMetric(rest, "restB/s")
	b.ReportMetric(g.telling(n), "tellingB/s")
	b.ReportMetric(added/float64(version), "B/change")
	b.ReportMetric(float64(sum.Milliseconds())/float64(version), "ms/change")
	b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
}

// telling is what each instance sends while one instance in two seconds tells
// which records are in force there.
func (g *group) telling(n int) float64 {
	const rounds = 60
	g.bytes = 0
	for i := range rounds {
		c := g.cores[i*7%n]
		c.put(g.now, c.table.Update(func(m *member.Member) { m.RecordsVersion++ }))
		g.run(2 * time.Second)
	}
	return float64(g.bytes) / (2 * rounds) / float64(n)
}

// hold reports whether all cores hold the version of the record.
func (g *group) hold(version uint64) bool {
	for _, c := range g.cores {
		if it, _ := c.store.Get(record(0).Key); it.Version != version {
			return false
		}
	}
	return true
}

// agree reports whether all cores hold the same.
func (g *group) agree() bool {
	for _, c := range g.cores {
		if c.store.Root() != g.cores[0].store.Root() {
			return false
		}
	}
	return true
}

// count adds one call. Both ends' bytes are counted: each instance sends as
// much as it gets on average.
func (g *group) count(o outgoing, reply proto.Message) {
	g.bytes += proto.Size(o.request) + proto.Size(reply) + messageOverhead
}

// BenchmarkLostDataCentre measures, in virtual time, how long it takes until
// every other instance knows that a sixth of them is dead, and what that costs.
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

// allExpelled reports whether every running core has expelled those stopped.
func (g *group) allExpelled() bool {
	for i, c := range g.cores {
		if !g.stopped[i] && len(c.table.View().Owners) != len(g.cores)-len(g.stopped) {
			return false
		}
	}
	return true
}
