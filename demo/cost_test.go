package demo

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// openStreams is the number of streams at which the memory is measured.
const openStreams = 1000

// costBench is one engine with one instance in front of it.
type costBench struct {
	emulator *emulator.Emulator
	fleet    *fleet
	work     *loadpb.Work
	caller   *loadpb.LoadCaller
	drawn    int
}

func newCostBench(b *testing.B, engine emulator.EngineConfig, maxTokens int64) *costBench {
	b.Helper()
	s := &scenario{dataCentres: []string{"accra-1"}}
	s.addClass("quote", &recordspb.RequestClass{MaxWaitMs: 20000, TimeoutMs: 60000})
	s.addPool("counters", 1, &recordspb.EndpointPool{CacheBlocks: 100000, LoadsAtOnce: 1})
	pool := s.records[len(s.records)-1].GetPool()
	pool.Slots, pool.PrefillTokensPerSecond = 2*openStreams, 1e9
	s.addModel("counter", &recordspb.Model{Version: "1", Pool: "counters", DefaultClass: "quote", MaxTokens: 4096})
	s.addOrganisations([]organisation{{"kumasi", 1}})
	engine.PrefillRate, engine.Queue = 1e9, 2*openStreams
	e, err := emulator.StartWith(anyPort, s.records, emulator.Config{Engine: engine})
	if err != nil {
		b.Fatal(err)
	}
	f, err := startFleet(context.Background(), e.Store, s.dataCentres, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		f.members[0].running.Kill()
		e.Close()
	})
	return &costBench{
		emulator: e,
		fleet:    f,
		work:     &loadpb.Work{Name: "quote", Model: "counter", OwnTokens: 1024, MaxTokens: maxTokens},
		caller:   s.load.GetCallers()[0],
	}
}

func (c *costBench) routed() string { return c.fleet.members[0].callerAddr }
func (c *costBench) direct() string { return c.emulator.Engines[0].Addr() }

// next returns a call with a prompt that was not used before.
func (c *costBench) next(b *testing.B) *call {
	b.Helper()
	c.drawn++
	r := &request{number: c.drawn, work: c.work, caller: c.caller, stream: true}
	r.prompt = makeText(fmt.Sprintf("request %d", c.drawn), c.work.GetOwnTokens())
	built, err := r.build(r.markerName(1, 0))
	if err != nil {
		b.Fatal(err)
	}
	return &built
}

// timeToFirstToken sends a request and returns the time to the first token.
func (c *costBench) timeToFirstToken(b *testing.B, target string) time.Duration {
	b.Helper()
	sent := c.next(b)
	start := time.Now()
	a := do(target, sent, time.Minute)
	if v := classify(&a, sent, true); v != verdictComplete {
		b.Fatalf("verdict %d: status %d, %s", v, a.status, a.errorCode)
	}
	return a.first.Sub(start)
}

// BenchmarkCost sends requests to the engine directly and through an instance in turns. The
// differences are the overhead of the router for a request of 1,024 prompt tokens and 8 answer
// tokens.
func BenchmarkCost(b *testing.B) {
	c := newCostBench(b, emulator.EngineConfig{TokenTime: time.Nanosecond}, 8)
	direct := hdrhistogram.New(lowestMicros, highestMicros, sigFigures)
	routed := hdrhistogram.New(lowestMicros, highestMicros, sigFigures)
	for range b.N {
		_ = direct.RecordValue(c.timeToFirstToken(b, c.direct()).Microseconds())
		_ = routed.RecordValue(c.timeToFirstToken(b, c.routed()).Microseconds())
	}
	for _, q := range []float64{50, 99} {
		d, r := float64(direct.ValueAtQuantile(q)), float64(routed.ValueAtQuantile(q))
		b.ReportMetric(d, fmt.Sprintf("direct-p%.0f-us", q))
		b.ReportMetric(r-d, fmt.Sprintf("added-p%.0f-us", q))
	}
	directAllocs, directBytes := c.allocations(b, c.direct())
	routedAllocs, routedBytes := c.allocations(b, c.routed())
	b.ReportMetric(routedAllocs-directAllocs, "added-allocs/op")
	b.ReportMetric(routedBytes-directBytes, "added-B/op")
	b.ReportMetric(0, "ns/op")
}

// allocations returns the number and the bytes of the allocations that the whole process makes for
// one request.
func (c *costBench) allocations(b *testing.B, target string) (count, bytes float64) {
	b.Helper()
	const requests = 300
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		c.timeToFirstToken(b, target)
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / requests, float64(after.TotalAlloc-before.TotalAlloc) / requests
}

// BenchmarkOpenStreams keeps 1,000 streams open, first directly to the engine and then through an
// instance. The difference is the memory that the router uses for a stream.
func BenchmarkOpenStreams(b *testing.B) {
	for range b.N {
		direct := streamMemory(b, (*costBench).direct)
		routed := streamMemory(b, (*costBench).routed)
		b.ReportMetric(direct/1024, "direct-KB/stream")
		b.ReportMetric((routed-direct)/1024, "added-KB/stream")
	}
	b.ReportMetric(0, "ns/op")
}

func streamMemory(b *testing.B, target func(*costBench) string) float64 {
	b.Helper()
	c := newCostBench(b, emulator.EngineConfig{TokenTime: 2 * time.Second, Heartbeat: 500 * time.Millisecond}, 100)
	before := memoryInUse()
	conns := make([]net.Conn, 0, openStreams)
	for range openStreams {
		conns = append(conns, c.open(b, target(c)))
	}
	for _, conn := range conns {
		awaitFirst(b, conn)
	}
	used := memoryInUse() - before
	for _, conn := range conns {
		_ = conn.Close()
	}
	return used / openStreams
}

func (c *costBench) open(b *testing.B, target string) net.Conn {
	b.Helper()
	conn, err := net.Dial("tcp", target)
	if err != nil {
		b.Fatal(err)
	}
	if err := writeCall(conn, target, c.next(b)); err != nil {
		b.Fatal(err)
	}
	return conn
}

// awaitFirst reads up to the first token and keeps no buffer.
func awaitFirst(b *testing.B, conn net.Conn) {
	b.Helper()
	last := ""
	for lines := bufio.NewScanner(conn); lines.Scan(); last = lines.Text() {
		if strings.HasPrefix(lines.Text(), "data: {\"id") {
			return
		}
	}
	b.Fatalf("a stream ended before its first token, after %q", last)
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
