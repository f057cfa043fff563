package hosted

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// endlessAnswers are answers that do not end, written until the instance closes the connection: what comes first, and what is
// repeated.
func endlessAnswers(x *platformtest.Exchange) []func() string {
	repeat := func(head func(), text string) func() string {
		block := strings.Repeat(text, 1+(16<<10)/len(text))
		return func() string { head(); return block }
	}
	nothing := func() {}
	body := strings.Repeat("x", 4096)
	return []func() string{
		repeat(nothing, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
		repeat(func() { x.UnframedHead("text/plain") }, body),
		repeat(func() { x.StreamHead() }, "1\r\n\n\r\n"),
		repeat(func() { x.UnframedHead("text/event-stream") }, ": no event\n\n"),
		repeat(func() { x.UnframedHead("text/event-stream") }, "data: x\n"),
		repeat(func() { x.StreamHead() }, fmt.Sprintf("%x\r\n%s\r\n", len(body), body)),
		repeat(nothing, body),
		repeat(func() { x.Write("HTTP/1.1 200 OK\r\n") }, "A: b\r\n"),
		repeat(func() { x.Write("HTTP/1.1 503 X\r\nSardinedock-Not-Executed: 1\r\n\r\n") }, body),
		repeat(func() {
			x.Write("HTTP/1.1 500 X\r\nSardinedock-Request-Id: %s\r\nSardinedock-Response-Signature: s\r\n\r\n", x.ID())
		}, body),
	}
}

// endlessWays gives the first endpoints of each service that are reached a way to send without end.
type endlessWays struct {
	mu         sync.Mutex
	left       map[string]int
	byEndpoint map[int]int
}

func (w *endlessWays) of(endpoint int, service string) (way int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if way, ok = w.byEndpoint[endpoint]; !ok && w.left[service] > 0 {
		w.left[service]--
		way, ok = len(w.byEndpoint), true
		w.byEndpoint[endpoint] = way
	}
	return way, ok
}

// counts counts by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[name]++
}

func (c *counts) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// Guards against endpoints that send answers without end and use up the memory of the instance, or the answers of others: a third of
// the endpoints does so, each in a way of its own, in every answer.
func TestEndpointsThatSendWithoutEndHarmNoOthers(t *testing.T) {
	const memoryMB, endpoints, endless = 144, 30, 10
	// attempts is how many endpoints may run a request, by its route.
	const attempts = 2
	const lasts, interval = 4 * time.Second, 8 * time.Millisecond
	f := newFixtureOf(t, func(x *fixture) { x.memoryMb = memoryMB })
	var faulty atomic.Bool
	var sent atomic.Int64
	reached := counts{}
	ways := endlessWays{left: map[string]int{"orders": endless / 2, "pool": endless / 2}, byEndpoint: map[int]int{}}
	for k := range endpoints {
		service := "orders"
		if k%2 == 0 {
			service = "pool"
		}
		f.endpoint(fmt.Sprintf("e%d", k), service, func(x *platformtest.Exchange) bool {
			way, ok := -1, false
			if faulty.Load() {
				way, ok = ways.of(k, service)
			}
			if !ok {
				if service == "pool" {
					return oneEvent(x)
				}
				x.Answer(200, "ok")
				return true
			}
			reached.add(x.ID())
			block := []byte(endlessAnswers(x)[way]())
			for {
				n, err := x.Conn.Write(block)
				if sent.Add(int64(n)); err != nil {
					return false
				}
			}
		})
	}
	f.serve(endpoints, longTimeouts)
	LimitMemory(f.instances[0].settings)
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	var mu sync.Mutex
	served, asked := map[string]int{}, map[string]int{}
	play := func(lasts time.Duration) {
		var wg sync.WaitGroup
		for n, began := 0, time.Now(); time.Since(began) < lasts; n++ {
			wg.Go(func() {
				path, req := "/stock/", f.request("GET", fmt.Sprintf("/stock/%d", n), "")
				if n%2 == 0 {
					path, req = "/check/", prompt(f.request("POST", fmt.Sprintf("/check/%d", n), ""))
					req.Header.Set("Sardinedock-Prompt-Prefix", fmt.Sprintf("c%d:1000,own:500", n%40))
				}
				req.Header.Set("Sardinedock-Deadline-Ms", "20000")
				a := f.do(req)
				mu.Lock()
				defer mu.Unlock()
				asked[path]++
				if a.looksWhole() {
					served[path]++
				} else if n := reached.of(req.Header.Get("Sardinedock-Request-Id")); n < attempts {
					t.Errorf("%s: %+v, though it has reached %d endpoints that send without end", path, a, n)
				}
			})
			time.Sleep(interval)
		}
		wg.Wait()
	}
	play(time.Second)
	if served["/stock/"] < asked["/stock/"] || served["/check/"] < asked["/check/"] {
		t.Fatalf("served before: %v of %v", served, asked)
	}
	clear(served)
	clear(asked)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	base, peak := m.HeapInuse, uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for began := time.Now(); time.Since(began) < lasts; time.Sleep(50 * time.Millisecond) {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, max(m.HeapInuse, base)-base)
		}
	}()
	faulty.Store(true)
	play(lasts)
	<-done
	t.Logf("served %v of %v; the heap grew by %d MB at most, %d MB were sent without end; %+v", served, asked, peak>>20, sent.Load()>>20, f.instances[0].intake.View())
	if limit := uint64(memoryMB) / 2; peak>>20 > limit {
		t.Errorf("the heap grew by %d MB, want at most %d", peak>>20, limit)
	}
	if n := len(ways.byEndpoint); n < endless/2 {
		t.Errorf("%d endpoints have sent without end, too few to tell", n)
	}
	if v := f.instances[0].intake.View(); v.Held > v.Bound || v.Messages > 0 {
		t.Errorf("%+v after all answers have ended", v)
	}
}

// Guards against comments that begin a caller's answer before the first event, after which a request can't be sent elsewhere.
func TestCommentsBeforeTheFirstEventDoNotBeginTheAnswer(t *testing.T) {
	f := newFixture(t, 1)
	var runs atomic.Int64
	handler := func(x *platformtest.Exchange) bool {
		x.StreamHead()
		x.Chunk(": beat\n\n\n")
		if runs.Add(1) == 1 {
			time.Sleep(20 * time.Millisecond)
			x.Reset()
			return false
		}
		x.Event(1)
		x.Chunk(": beat\n\n")
		x.Event(2)
		x.End()
		return true
	}
	f.endpoint("e1", "pool", handler)
	f.endpoint("e2", "pool", handler)
	f.serve(2, nil)
	a := f.do(prompt(f.request("POST", "/check/1", "p")))
	if want := ": beat\n\n\n" + events(1) + ": beat\n\n" + platformtest.EventText(2); a.status != 200 || a.truncated || a.body != want {
		t.Errorf("%+v, want %q", a, want)
	}
}
