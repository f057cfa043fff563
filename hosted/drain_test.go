package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// An instance shuts down while a request on a slow link is half received; the second half arrives
// after the listener is closed. The remaining time does not suffice for the request. If it were
// accepted, it would be aborted half-way and its caller would not learn whether it has run; it must
// be refused as not run, so that another instance serves it at once.
func TestRequestAfterTheListenerClosedIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	var reached atomic.Int64
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		reached.Add(1)
		x.StreamHead()
		x.Event(1)
		<-release
		return false
	})
	f.serve(1, func(r map[string]any) {
		r["routes"].([]any)[2].(map[string]any)["timeoutMs"] = 8000
		r["limits"].(map[string]any)["headerTimeoutMs"] = 8000
	})
	conn, err := net.Dial("tcp4", f.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\n", deskHost)
	f.eventually("the first half read", func() bool { return f.instances[0].server.Connections() == 1 })
	ended := make(chan struct{})
	go func() {
		f.instances[0].Shutdown()
		close(ended)
	}()
	f.eventually("the listener closed", f.instances[0].server.ShuttingDown)
	_, _ = fmt.Fprintf(conn, "Sardinedock-Request-Id: id-1\r\nAuthorization: Bearer %s\r\nSardinedock-Model: m\r\n"+
		"Sardinedock-Token-Usage: 1500,40\r\nSardinedock-Prompt-Prefix: c1:1000,own:500\r\nContent-Length: 1\r\n\r\nx", deskKey)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("status %d, Retry-After %q, Connection: close %v; want a refusal with Retry-After",
			answer.StatusCode, answer.Header.Get("Retry-After"), answer.Close)
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
	select {
	case <-ended:
	case <-time.After(wait):
		t.Error("Shutdown does not return")
	}
}

// An instance shuts down while its callers go on using open connections. If a request with a long
// answer were accepted then, it would be aborted at the end of the grace period after it has run,
// and its caller could not know; the log would show `stopping`, and a second or two later `requests
// cut at the end of the grace`. It must be refused at once as not run, so that another instance
// serves it. A short one still fits and is served.
func TestDrainingInstanceAcceptsOnlyRequestsThatFit(t *testing.T) {
	const (
		// sentAfter the start of the shutdown, while the load balancer still sends callers here.
		sentAfter = 1300 * time.Millisecond
		// takes longer than what remains of the grace period of 4 s, and less than the route's
		// timeout.
		takes = 2700 * time.Millisecond
	)
	f := newFixture(t, 1)
	var ran atomic.Int64
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		ran.Add(1)
		x.StreamHead()
		x.Event(1)
		x.CallerClosed(takes)
		x.Event(2)
		x.End()
		return true
	})
	f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "done"); return true })
	f.serve(2, func(r map[string]any) { r["routes"].([]any)[2].(map[string]any)["timeoutMs"] = 3000 })
	go f.instances[0].Shutdown()
	time.Sleep(sentAfter)
	a := f.do(prompt(f.request("POST", "/draft/1", "p")))
	if a.truncated || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || ran.Load() != 0 {
		t.Errorf("long answer: truncated %v, status %d, Retry-After %q, ran %d times; want a refusal with Retry-After",
			a.truncated, a.status, a.header.Get("Retry-After"), ran.Load())
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != http.StatusOK {
		t.Errorf("short answer: %+v, want it served", a)
	}
}

// All instances shut down at once, as in a rollout of the fleet that is too fast. A caller that is
// refused by one and retries at once reaches the next one that is shutting down, and has used up
// its retries while none accepts requests. Retry-After must be the time until one is back, or
// nearly zero if another instance is not shutting down.
func TestRetryAfterDuringShutdownDependsOnOtherInstances(t *testing.T) {
	const sentAfter = 1300 * time.Millisecond
	retryAfter := func(ending int) time.Duration {
		f := newFixture(t, 2)
		f.endpoint("e1", "pool", stream(2))
		f.serve(1, func(r map[string]any) { r["routes"].([]any)[2].(map[string]any)["timeoutMs"] = 3000 })
		f.eventually("the instances know each other", func() bool {
			staying, _ := f.instances[0].node.HasRemainingPeer(time.Now(), time.Now())
			return staying
		})
		for _, i := range f.instances[:ending] {
			go i.Shutdown()
		}
		time.Sleep(sentAfter)
		a := f.do(prompt(f.request("POST", "/draft/1", "p")))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if a.status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("with %d of 2 ending: %+v", ending, a)
		}
		return time.Duration(after * float64(time.Second))
	}
	if d := retryAfter(1); d > 50*time.Millisecond {
		t.Errorf("Retry-After of %v though another instance stays", d)
	}
	if d := retryAfter(2); d < 500*time.Millisecond || d > time.Second {
		t.Errorf("Retry-After of %v, want the time until the first is back, within a third of the patience of 3s", d)
	}
}

// A request waits for an endpoint when the instance shuts down. If it went on waiting, it would be
// sent when hardly any time is left, or be refused seconds later, while another instance could have
// served it.
func TestWaitingRequestIsRefusedOnceItDoesNotFit(t *testing.T) {
	f := newFixture(t, 1)
	f.serve(0, func(r map[string]any) { r["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 20000 })
	req := f.request("POST", "/confirm/1", "x")
	req.Header.Set("Sardinedock-Deadline-Ms", "20000")
	answers := make(chan answer, 1)
	go func() { answers <- f.do(req) }()
	f.eventually("the request waits", func() bool { return f.instances[0].server.Open() == 1 })
	go f.instances[0].Shutdown()
	// Without the shutdown it would wait for a third of its time.
	const soon = 2 * time.Second
	select {
	case a := <-answers:
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("%+v, want a refusal with Retry-After", a)
		}
	case <-time.After(soon):
		t.Errorf("still waiting %v after the start of the shutdown", soon)
	}
}

// openRequest sends a request that its endpoint, e1, does not answer before the test ends. It
// returns once the endpoint has received it; the answer is sent on the channel.
func (f *fixture) openRequest() <-chan answer {
	f.t.Helper()
	release := make(chan struct{})
	f.t.Cleanup(func() { close(release) })
	e := f.endpoint("e1", "orders", func(*platformtest.Exchange) bool { <-release; return false })
	f.serve(1, func(r map[string]any) { r["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 20000 })
	req := f.request("POST", "/confirm/1", "x")
	req.Header.Set("Sardinedock-Deadline-Ms", "20000")
	answers := make(chan answer, 1)
	go func() { answers <- f.do(req) }()
	f.eventually("the request at the endpoint", func() bool { return e.Served() == 1 })
	return answers
}

// An answer is still open at the end of the grace period. Its caller must get a response stating
// that the result is unknown instead of a broken connection, and on-call must find a log line with
// the request's ID, its endpoint and the reason.
func TestAbortedRequestsAreAnsweredAndLogged(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	answers := f.openRequest()
	f.instances[0].Shutdown()
	select {
	case a := <-answers:
		if a.truncated || a.status != http.StatusBadGateway {
			t.Errorf("truncated %v, status %d, want 502", a.truncated, a.status)
		}
	case <-time.After(wait):
		t.Error("no answer")
	}
	logged := lines.Any("request", func(l log.Fields) bool {
		return l["request"] == "id-1" && l["status"] == http.StatusBadGateway && l["endpoint"] == "e1" && l["why"] != nil
	})
	if !logged {
		t.Error("no log line with the request's ID, status, endpoint and reason")
	}
}

// One answer is still open at the end of the grace period, and the machine is busy, so that the
// final answer and its log line are some ms late. The process ended before them: `requests cut at
// the end of the grace`, then `stopped` at once, a broken connection for the caller and no log line
// with the request's ID. With two open answers it waited for the first.
func TestShutdownWaitsForTheLogLineOfTheOnlyAbortedRequest(t *testing.T) {
	const busy = 50 * time.Millisecond
	lines := logtest.Record(t)
	logtest.Handle(t, log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "request" {
			time.Sleep(busy)
		}
		return lines.HandleLog(e)
	}))
	f := newFixture(t, 1)
	answers := f.openRequest()
	f.instances[0].Shutdown()
	logged := lines.Any("request", func(l log.Fields) bool { return l["request"] == "id-1" })
	if !logged {
		t.Error("Shutdown returned, and no log line has the request's ID")
	}
	if n := f.instances[0].server.Connections(); n != 0 {
		t.Errorf("%d connections at the end, want none", n)
	}
	<-answers
}

// Guards against a request that is sent to an endpoint late in a planned stop, and that the end of the grace period cuts. Callers go on
// to send on open connections and on new ones until the instance has ended.
func TestNoRequestIsCutThroughoutAPlannedStop(t *testing.T) {
	const streamTakes, answerTakes, parallel = 400 * time.Millisecond, 30 * time.Millisecond, 4
	f := newFixture(t, 1)
	var reached sync.Map
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		reached.Store(x.ID(), true)
		x.StreamHead()
		x.Event(1)
		time.Sleep(streamTakes)
		x.Event(2)
		x.End()
		return true
	})
	f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool {
		reached.Store(x.ID(), true)
		time.Sleep(answerTakes)
		x.Answer(200, "done")
		return true
	})
	f.serve(2, nil)
	var wg sync.WaitGroup
	var ended, stopping atomic.Bool
	const enough = 50
	var late, refused, cut atomic.Int64
	for k := range parallel {
		for _, kept := range []bool{false, true} {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
			t.Cleanup(client.CloseIdleConnections)
			wg.Go(func() {
				for n := 0; !ended.Load(); n++ {
					req := f.request("POST", "/confirm/1", "x")
					if (n+k)%2 == 0 {
						req = prompt(f.request("POST", "/draft/1", "p"))
					}
					inStop := stopping.Load()
					a := f.doWith(client, req)
					if inStop {
						late.Add(1)
					}
					_, ran := reached.Load(req.Header.Get("Sardinedock-Request-Id"))
					switch {
					case a.status == http.StatusServiceUnavailable:
						if refused.Add(1); ran {
							t.Errorf("%s was refused and has run", req.URL.Path)
						}
					case ran && !a.looksWhole():
						cut.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	stopping.Store(true)
	f.instances[0].Shutdown()
	ended.Store(true)
	wg.Wait()
	t.Logf("%d requests sent since the stop began, %d refused", late.Load(), refused.Load())
	if cut.Load() > 0 || late.Load() < enough {
		t.Errorf("%d of %d requests were cut", cut.Load(), late.Load())
	}
}
