package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// seen keeps what an endpoint got.
type seen struct {
	mu   sync.Mutex
	uri  string
	body string
	head map[string]string
}

func (s *seen) keep(x *platformtest.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uri, s.body, s.head = string(x.Request.Header.RequestURI()), string(x.Request.Body()), map[string]string{}
	for name, value := range x.Request.Header.All() {
		s.head[strings.ToLower(string(name))] = string(value)
	}
}

// A caller's request goes through as it is, but for its key and what the router
// sets. A key that went on would let an endpoint act as the caller; a header that
// came through would reach into another organisation's cache.
func TestRequestGoesThroughUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	var got seen
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		got.keep(x)
		x.Answer(200, "confirmed")
		return true
	})
	f.serve(1, nil)
	req := f.request("POST", "/confirm/a%20b?x=1&y=%2F", "forty boxes")
	req.Header.Set("X-Branch", "tema")
	for _, h := range []string{"Sardinedock-Tenant-Id", "Sardinedock-Cache-Salt", "Kv-From", "Sardinedock-Hold", "Sardinedock-Pin-Ms", "Sardinedock-Kv-Backup"} {
		req.Header.Set(h, "forged")
	}
	a := f.do(req)
	if a.status != 200 || a.body != "confirmed" || a.header.Get("Sardinedock-Response-Signature") != "sig-e1" {
		t.Fatalf("answer %+v", a)
	}
	if got.uri != "/confirm/a%20b?x=1&y=%2F" || got.body != "forty boxes" || got.head["x-branch"] != "tema" {
		t.Errorf("endpoint got %q %q %v", got.uri, got.body, got.head)
	}
	if got.head["sardinedock-tenant-id"] != "kumasi" || got.head["sardinedock-expect-instance"] != "e1" || got.head["authorization"] != "" {
		t.Errorf("headers of the router's own: %v", got.head)
	}
	for name, value := range got.head {
		if value == "forged" {
			t.Errorf("header %s of the caller came through", name)
		}
	}
	if left, err := strconv.Atoi(got.head["sardinedock-deadline-ms"]); err != nil || left > 2000 || left < 500 {
		t.Errorf("deadline passed on: %q, want what is left of the route's 2000", got.head["sardinedock-deadline-ms"])
	}
}

// An instance starts before it can read the records. Callers that were told 401 or
// 404 by it would give up on a proper request; 503 has them come back.
func TestWithoutRecordsNothingIsDenied(t *testing.T) {
	f := newFixture(t, 1)
	if a := f.do(f.request("GET", "/nowhere/", "")); a.status != 503 {
		t.Errorf("status %d before records are known", a.status)
	}
	if got := f.readyStatus(0); got != 503 {
		t.Errorf("ready answers %d before records are known", got)
	}
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true })
	f.serve(1, nil)
	f.eventually("ready", func() bool { return f.readyStatus(0) == 200 })
	if a := f.do(f.request("GET", "/nowhere/", "")); a.status != 404 {
		t.Errorf("unknown path: status %d", a.status)
	}
	req := f.request("GET", "/stock/1", "")
	req.Header.Set("Authorization", "Bearer other")
	if a := f.do(req); a.status != 401 {
		t.Errorf("unknown key: status %d", a.status)
	}
	if a := f.do(f.request("POST", "/confirm/1", strings.Repeat("x", 70_000))); a.status != 413 {
		t.Errorf("large body: status %d", a.status)
	}
	for _, size := range []int{17_000, 40_000} {
		req := f.request("GET", "/stock/1", "")
		req.Header.Set("X-Long", strings.Repeat("x", size))
		if a := f.do(req); a.status != 431 {
			t.Errorf("headers of %d bytes: status %d", size, a.status)
		}
	}
	bad := f.request("GET", "/stock/1", "")
	bad.Header.Set("Sardinedock-Deadline-Ms", "soon")
	if a := f.do(bad); a.status != 400 || !strings.Contains(a.body, "Sardinedock-Deadline-Ms") {
		t.Errorf("bad header: status %d, %s", a.status, a.body)
	}
}

// Callers come to an instance that has started a moment ago, before it has read the
// records. Turned away at once they come back at once, to be turned away for good.
func TestFirstRequestsWaitForTheRecords(t *testing.T) {
	f := newFixture(t, 1)
	a := f.do(f.request("GET", "/stock/1", ""))
	if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); a.status != 503 || err != nil || after < 0.5 {
		t.Errorf("status %d, Retry-After %q without records", a.status, a.header.Get("Retry-After"))
	}
	done := make(chan answer)
	go func() { done <- f.do(f.request("GET", "/stock/1", "")) }()
	f.eventually("the request read", func() bool { return f.instances[0].server.Open() == 1 })
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true })
	f.serve(1, nil)
	if a := <-done; a.status != 200 {
		t.Errorf("status %d for a request that came just before the records", a.status)
	}
}

// An endpoint is full and says that it did not run a confirmation. Another one has
// room; a caller that is refused all the same orders elsewhere.
func TestRejectedRequestGoesToAnotherEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	full := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Reject(503); return true })
	f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true })
	f.serve(2, nil)
	for range 10 {
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if full.Served() > 5 {
		t.Errorf("the full endpoint got %d of 10 requests", full.Served())
	}
}

// All endpoints are full. The caller is told at once that its confirmation has not
// run and when to come back, and the endpoints are not hammered meanwhile.
func TestRefusalIsTrueAndSaysWhenToReturn(t *testing.T) {
	f := newFixture(t, 1)
	handler := func(x *platformtest.Exchange) bool { x.Reject(503); return true }
	e1, e2 := f.endpoint("e1", "orders", handler), f.endpoint("e2", "orders", handler)
	f.serve(2, nil)
	a := f.do(f.request("POST", "/confirm/1", "x"))
	if a.status != 503 {
		t.Fatalf("status %d", a.status)
	}
	if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after <= 0 || after > 1 {
		t.Errorf("Retry-After %q", a.header.Get("Retry-After"))
	}
	sends := e1.Served() + e2.Served()
	if sends > maxSends {
		t.Errorf("%d sends of one request", sends)
	}
	// Both have room again. The request must not be sent any more: its caller was
	// told that it never runs, and has ordered anew.
	room := func(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true }
	e1.Handle(room)
	e2.Handle(room)
	time.Sleep(2 * rejectedPause)
	if n := e1.Served() + e2.Served(); n != sends {
		t.Errorf("%d sends after the refusal", n-sends)
	}
}

const (
	// maxSends is how often one request may be sent.
	maxSends = 3
	// rejectedPause is how long an endpoint that was full gets no work.
	rejectedPause = 300 * time.Millisecond
)

// The order desk runs a confirmation and dies before it has answered. Sent again,
// it would ship two pallets; said not to have run, the caller would do that itself.
func TestBrokenConfirmationIsNotRepeated(t *testing.T) {
	f := newFixture(t, 1)
	var runs atomic.Int64
	handler := func(*platformtest.Exchange) bool { runs.Add(1); return false }
	f.endpoint("e1", "orders", handler)
	f.endpoint("e2", "orders", handler)
	f.serve(2, nil)
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 502 {
		t.Errorf("status %d, want 502", a.status)
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
	// A look at the stock may be repeated.
	runs.Store(0)
	if f.do(f.request("GET", "/stock/1", "")); runs.Load() != 2 {
		t.Errorf("%d runs of an idempotent request, want both attempts", runs.Load())
	}
}

// Something in between answers 503 without the endpoint's word that it did not
// run the request. Passed on, it would promise the caller what nobody knows.
func TestUnprovenRefusalIsNotPassedOn(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		x.Write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f.serve(1, nil)
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 502 {
		t.Errorf("status %d, want 502", a.status)
	}
}

// A faulty endpoint sends bytes that are no signed answer, or part of one. A caller
// that gets them as its answer takes a wrong price for the right one.
func TestSpoiledAnswersDoNotPass(t *testing.T) {
	spoiled := map[string]string{
		"no signature":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"no answer":     "\x16\x03\x01 nonsense\r\n\r\n",
		"cut short":     "HTTP/1.1 200 OK\r\nSardinedock-Response-Signature: s\r\nContent-Length: 20\r\n\r\nhalf",
		"encoded":       "HTTP/1.1 200 OK\r\nSardinedock-Response-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"chunk cut off": "HTTP/1.1 200 OK\r\nSardinedock-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
	}
	f := newFixture(t, 1)
	var text atomic.Pointer[string]
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Write("%s", *text.Load()); return false })
	f.serve(1, nil)
	for name, s := range spoiled {
		text.Store(&s)
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 502 {
			t.Errorf("%s: answer %+v", name, a)
		}
	}
}

// An endpoint writes a second answer to an earlier request late, where the next
// one's is due. A counter would confirm the other customer's order.
func TestLateAnswerOfAnotherRequestIsThrownAway(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		x.Write("HTTP/1.1 200 OK\r\nSardinedock-Request-Id: other\r\nSardinedock-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		x.Answer(200, "right")
		return true
	})
	f.serve(1, nil)
	for range 3 {
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.body != "right" {
			t.Fatalf("answer %+v", a)
		}
	}
}

// An endpoint has gone and another one of a different service has its address. A
// request that runs there would run at the wrong service.
func TestReusedAddressRunsNothing(t *testing.T) {
	f := newFixture(t, 1)
	other := f.endpoint("new-one", "pool", func(x *platformtest.Exchange) bool { x.Answer(200, "wrong"); return true })
	entry := other.Entry("orders", "ready", nil)
	f.store.Put("servers", "old-one", entry)
	f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "right"); return true })
	f.serve(3, nil)
	for range 8 {
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 200 || a.body != "right" {
			t.Fatalf("answer %+v", a)
		}
	}
}

// An endpoint turns a request away because its weights have changed, and names
// itself. Taken for an address that another endpoint has, it would get no work until
// its entry changes, and a small pool would refuse its callers.
func TestChangedWeightsAreNotAReusedAddress(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		if x.Header("Sardinedock-Expect-Version") != "2" {
			x.Write("HTTP/1.1 421 X\r\nSardinedock-Not-Executed: 1\r\nSardinedock-Instance-Id: e1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return stream(2)(x)
	})
	f.serve(1, nil)
	f.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	f.eventually("the version named", func() bool { return f.instances[0].rollout.Wanted()["m"] == 2 })
	if a := f.do(prompt(f.request("POST", "/draft/1", "p"))); a.status != 200 || a.body != events(2) {
		t.Errorf("answer %+v", a)
	}
}

// stream answers with events from one on, or after the one that the request names.
func stream(events int) func(*platformtest.Exchange) bool {
	return func(x *platformtest.Exchange) bool {
		x.StreamHead()
		from := 0
		if last := x.Header("Last-Event-Id"); last != "" {
			from, _ = strconv.Atoi(last)
		}
		for id := from + 1; id <= events; id++ {
			x.Event(id)
		}
		x.End()
		return true
	}
}

func events(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// An endpoint crashes in the middle of an event of a stream that may be resumed.
// The caller gets every event once and in order, from whoever makes them.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	f := newFixture(t, 1)
	var broken atomic.Bool
	crash := func(x *platformtest.Exchange) bool {
		if broken.Swap(true) {
			return stream(6)(x)
		}
		x.StreamHead()
		x.Event(1)
		x.Event(2)
		x.Chunk("id: 3\ndata: pie")
		return false
	}
	f.endpoint("e1", "pool", crash)
	f.endpoint("e2", "pool", crash)
	f.serve(2, nil)
	a := f.do(prompt(f.request("POST", "/check/1", "p")))
	if a.cut || a.status != 200 || a.body != events(6) {
		t.Errorf("answer %+v", a)
	}
}

// The same with a stream that may not be resumed: the caller has to see that it is
// not whole, or it takes half a quotation for the whole.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(t, 1)
	var runs atomic.Int64
	crash := func(x *platformtest.Exchange) bool {
		runs.Add(1)
		x.StreamHead()
		x.Event(1)
		x.Chunk("id: 2\ndata: pie")
		return false
	}
	f.endpoint("e1", "pool", crash)
	f.endpoint("e2", "pool", crash)
	f.serve(2, nil)
	a := f.do(prompt(f.request("POST", "/draft/1", "p")))
	if !a.cut || a.body != events(1) || runs.Load() != 1 {
		t.Errorf("answer %+v after %d runs", a, runs.Load())
	}
}

// A caller closes its connection before its answer comes. The endpoint has to be
// told, or it works on for nobody and others wait.
func TestEndpointIsToldThatTheCallerLeft(t *testing.T) {
	f := newFixture(t, 1)
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		close(started)
		_, _ = x.Conn.Read(make([]byte, 1))
		ended <- time.Now()
		return false
	})
	f.serve(1, nil)
	ctx, leave := context.WithCancel(t.Context())
	req := prompt(f.request("POST", "/draft/1", "p")).WithContext(ctx)
	go f.do(req)
	<-started
	left := time.Now()
	leave()
	select {
	case at := <-ended:
		if took := at.Sub(left); took > 500*time.Millisecond {
			t.Errorf("told after %v", took)
		}
	case <-time.After(wait):
		t.Error("never told")
	}
}

// An endpoint is silent. The caller gets a final answer when its route's time is
// over, and none that promises that nothing ran.
func TestSilentEndpointEndsWithTheRoutesTime(t *testing.T) {
	f := newFixture(t, 1)
	release := make(chan struct{})
	defer close(release)
	f.endpoint("e1", "orders", func(*platformtest.Exchange) bool { <-release; return false })
	f.serve(1, func(r map[string]any) {
		r["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 300
	})
	began := time.Now()
	a := f.do(f.request("POST", "/confirm/1", "x"))
	if took := time.Since(began); a.status != 504 || took < 250*time.Millisecond || took > 2*time.Second {
		t.Errorf("status %d after %v", a.status, took)
	}
}

// An endpoint answers before it has read a long body and reads on later. Another
// request on that connection would be taken for the rest of the body.
func TestEarlyAnswerLeavesNoBytesBehind(t *testing.T) {
	f := newFixture(t, 1)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	var foreign atomic.Int64
	go func() {
		for {
			c, err := raw.Accept()
			if err != nil {
				return
			}
			go earlyEndpoint(c, &foreign)
		}
	}()
	f.store.Put("servers", "e1", platformtest.EntryAt(raw.Addr().String(), "orders", "ready", nil))
	f.serve(1, func(r map[string]any) { r["limits"].(map[string]any)["maxBodyBytes"] = 4 << 20 })
	long := strings.Repeat("x", 1<<20)
	for range 2 {
		if a := f.do(f.request("POST", "/confirm/1", long)); a.status != 200 || a.body != "early" {
			t.Fatalf("answer %d %q", a.status, a.body)
		}
	}
	if foreign.Load() > 0 {
		t.Errorf("%d other bytes where the rest of a body was due", foreign.Load())
	}
}

// earlyEndpoint answers each request before it reads the body, and counts the bytes
// in bodies that are not the body's.
func earlyEndpoint(c net.Conn, foreign *atomic.Int64) {
	br := bufio.NewReader(c)
	for {
		var head fasthttp.RequestHeader
		if head.Read(br) != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSardinedock-Response-Signature: s\r\nContent-Length: 5\r\n\r\nearly")
		time.Sleep(50 * time.Millisecond)
		for range head.ContentLength() {
			b, err := br.ReadByte()
			if err != nil {
				return
			}
			if b != 'x' {
				foreign.Add(1)
			}
		}
	}
}

// A caller describes a prompt on a route to a plain service, or names no model. The log
// line of the request must not look for cached parts that there are none of: the process
// would end, and all its callers' requests with it.
func TestPromptOnAPlainRouteIsServed(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "done"); return true })
	f.endpoint("e2", "pool", stream(2))
	f.serve(2, nil)
	if a := f.do(prompt(f.request("POST", "/confirm/1", "x"))); a.status != 200 || a.body != "done" {
		t.Errorf("a prompt on a plain route: %+v", a)
	}
	req := prompt(f.request("POST", "/draft/1", "x"))
	req.Header.Del("Sardinedock-Model")
	if a := f.do(req); a.status != 200 {
		t.Errorf("a prompt without a model: %+v", a)
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 200 {
		t.Errorf("the next request: %+v", a)
	}
}
