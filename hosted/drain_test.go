package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// An instance is told to end, and a request on a slow link comes in two halves: the
// second one only when the balancer sends nothing here any more. The time that the
// instance has left does not suffice for it. Taken all the same, it is cut in the
// middle, and its caller does not learn whether it has run; it has to be told that it
// has not, so that another instance can take it at once.
func TestEndingInstanceTakesNoMoreRequests(t *testing.T) {
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
	f.eventually("the listener closed", f.instances[0].server.Ending)
	_, _ = fmt.Fprintf(conn, "Sardinedock-Request-Id: id-1\r\nAuthorization: Bearer %s\r\nSardinedock-Model: m\r\n"+
		"Sardinedock-Token-Usage: 1500,40\r\nSardinedock-Prompt-Prefix: c1:1000,own:500\r\nContent-Length: 1\r\n\r\nx", deskKey)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("status %d, Retry-After %q, last on its connection %v; want a refusal that says when to return",
			answer.StatusCode, answer.Header.Get("Retry-After"), answer.Close)
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
	select {
	case <-ended:
	case <-time.After(wait):
		t.Error("the instance does not end")
	}
}

// An instance is told to end while its callers go on over open connections. A request
// that comes then gets a long answer, which is cut in the middle when the time to end is
// over: it has run, and its caller can't tell. The log of the instance shows `stopping`,
// and a second or two later `requests cut at the end of the grace`. It has to be refused
// at once, as not run, so that another instance takes it; a short one still fits and is
// served.
func TestEndingInstanceTakesOnlyWhatItCanEnd(t *testing.T) {
	const (
		// sentAfter the order to end, while the balancer still sends callers here.
		sentAfter = 1300 * time.Millisecond
		// takes longer than what is left of the grace of 4 s, and less than the
		// route's timeout.
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
	if a.cut || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || ran.Load() != 0 {
		t.Errorf("long answer: cut %v, status %d, Retry-After %q, ran %d times; want a refusal that says when to return",
			a.cut, a.status, a.header.Get("Retry-After"), ran.Load())
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != http.StatusOK {
		t.Errorf("short answer: %+v, want it served", a)
	}
}

// All instances are told to end at once, as when a rollout of the fleet goes too fast. A
// caller that is turned away by one and sent on at once meets the next one that ends, and
// has used up its tries while none takes anything. It has to be told when one is back; with
// one that stays, it has to come back at once.
func TestRefusedAtTheEndComeBackWhenSomebodyTakesThem(t *testing.T) {
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
		t.Errorf("come back in %v though another instance stays", d)
	}
	if d := retryAfter(2); d < 500*time.Millisecond || d > time.Second {
		t.Errorf("come back in %v, want to wait for the first that is back within a third of the patience of 3s", d)
	}
}

// A request waits for an endpoint when the instance is told to end. Kept waiting, it is sent
// when hardly any time is left, or it is turned away seconds later; its caller could have
// been served by another instance meanwhile.
func TestWaitingRequestIsRefusedOnceItDoesNotFit(t *testing.T) {
	f := newFixture(t, 1)
	f.serve(0, func(r map[string]any) { r["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 20000 })
	req := f.request("POST", "/confirm/1", "x")
	req.Header.Set("Sardinedock-Deadline-Ms", "20000")
	answers := make(chan answer, 1)
	go func() { answers <- f.do(req) }()
	f.eventually("the request waits", func() bool { return f.instances[0].server.Open() == 1 })
	go f.instances[0].Shutdown()
	// Without the end it would wait for a third of its time.
	const soon = 2 * time.Second
	select {
	case a := <-answers:
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("%+v, want a refusal that says when to return", a)
		}
	case <-time.After(soon):
		t.Errorf("still waiting %v after the order to end", soon)
	}
}

// openRequest sends a request that its endpoint, e1, does not answer before the test ends. It
// returns once the endpoint has it; the answer comes over the channel.
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

// The time to end is over and an answer is still under way. Its caller gets the word that
// nothing is known of its request, in place of a connection that breaks; and on-call finds
// a line with the request's id, its endpoint and why it ended so.
func TestCutRequestsAreAnsweredAndLogged(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	answers := f.openRequest()
	f.instances[0].Shutdown()
	select {
	case a := <-answers:
		if a.cut || a.status != http.StatusBadGateway {
			t.Errorf("cut %v, status %d, want 502", a.cut, a.status)
		}
	case <-time.After(wait):
		t.Error("no answer")
	}
	told := lines.Any("request", func(l log.Fields) bool {
		return l["request"] == "id-1" && l["status"] == http.StatusBadGateway && l["endpoint"] == "e1" && l["why"] != nil
	})
	if !told {
		t.Error("no line tells what became of the request")
	}
}

// The time to end is over and one answer is still under way; the machine is busy, so that
// its last word and its line come some ms late. The process ended before them: `requests cut
// at the end of the grace`, then `stopped` at once. The caller's connection breaks without a
// word, and no log has the request's id. With two answers under way it waited for the first.
func TestInstanceEndsAfterTheLineOfItsOnlyCutRequest(t *testing.T) {
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
	told := lines.Any("request", func(l log.Fields) bool { return l["request"] == "id-1" })
	if !told {
		t.Error("the instance has ended, and no line has the request's id")
	}
	if n := f.instances[0].server.Connections(); n != 0 {
		t.Errorf("%d connections at the end, want none", n)
	}
	<-answers
}
