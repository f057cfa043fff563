package hosted

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// claimsComplete reports whether an answer states that its body is whole.
func (a answer) claimsComplete() bool { return a.status == 200 && !a.truncated && a.framed }

// looksWhole reports whether a caller that goes by the connection alone takes the answer for whole.
func (a answer) looksWhole() bool { return a.status == 200 && !a.truncated }

const halfEvent = "id: 3\ndata: pie"

// unframedStream returns a handler that streams text without framing and closes the connection.
func unframedStream(text string) func(*platformtest.Exchange) bool {
	return func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/event-stream")
		x.Write("%s", text)
		return false
	}
}

// Guards against an answer that ends inside an event, and reaches its caller as a complete one.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for name, text := range map[string]string{
		"third event":           events(2) + halfEvent,
		"third event, CRLF":     strings.ReplaceAll(events(2)+halfEvent, "\n", "\r\n"),
		"third event, line end": events(2) + "id: 3\n",
		"first event":           "id: 1\ndat",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.endpoint("e1", "pool", unframedStream(text))
			f.serve(1, nil)
			a := f.do(prompt(f.request("POST", "/draft/1", "p")))
			if a.looksWhole() {
				t.Errorf("%+v looks complete", a)
			}
			if strings.Contains(a.body, "id: 3") {
				t.Errorf("%q has part of an event", a.body)
			}
		})
	}
}

// Guards against a resumable stream that ends inside an event and is not resumed, since its answer has
// neither a length nor chunks.
func TestUnframedStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	f := newFixture(t, 1)
	handler := func(x *platformtest.Exchange) bool {
		if x.Header("Last-Event-Id") == "2" {
			return unframedStream(platformtest.EventText(3) + platformtest.EventText(4))(x)
		}
		return unframedStream(events(2) + halfEvent)(x)
	}
	f.endpoint("e1", "pool", handler)
	f.endpoint("e2", "pool", handler)
	f.serve(2, nil)
	a := f.do(prompt(f.request("POST", "/check/1", "p")))
	if a.status != 200 || a.truncated || a.body != events(4) {
		t.Errorf("%+v, want four events", a)
	}
}

// Guards against an answer without framing that is cut between two events, or anywhere in a plain body, by
// the crash of its endpoint, and looks complete to its caller.
func TestUnframedAnswerCutByACrashIsNotComplete(t *testing.T) {
	f := newFixture(t, 1)
	crash := func(contentType, text string) func(*platformtest.Exchange) bool {
		return func(x *platformtest.Exchange) bool {
			x.UnframedHead(contentType)
			x.Write("%s", text)
			time.Sleep(crashWork)
			x.Endpoint.Close()
			return false
		}
	}
	f.endpoint("e1", "pool", crash("text/event-stream", events(2)))
	f.endpoint("e2", "orders", crash("text/plain", "hal"))
	f.serve(2, nil)
	if a := f.do(prompt(f.request("POST", "/draft/1", "p"))); a.looksWhole() {
		t.Errorf("stream: %+v looks complete", a)
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.looksWhole() {
		t.Errorf("plain answer: %+v looks complete", a)
	}
}

// Guards against a safe request that a crash cut off, and that is not sent again although another endpoint
// would serve it.
func TestUnframedAnswerCutByACrashIsRepeated(t *testing.T) {
	f := newFixture(t, 1)
	var runs atomic.Int64
	handler := func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/plain")
		if runs.Add(1) == 1 {
			x.Write("hal")
			x.Endpoint.Close()
			return false
		}
		x.Write("half")
		return false
	}
	f.endpoint("e1", "orders", handler)
	f.endpoint("e2", "orders", handler)
	f.serve(2, nil)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 || a.truncated || a.body != "half" {
		t.Errorf("%+v, want the whole answer", a)
	}
}

// Guards against an answer whose end nobody has stated, and that the caller gets with a length or a last
// chunk.
func TestUnframedAnswerIsPassedOnWithoutFraming(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "pool", unframedStream(events(3)))
	f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/plain")
		x.Write("half")
		return false
	})
	f.serve(2, nil)
	if a := f.do(prompt(f.request("POST", "/draft/1", "p"))); a.body != events(3) || !a.looksWhole() || a.claimsComplete() {
		t.Errorf("stream: %+v, want all of it without framing", a)
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.body != "half" || !a.looksWhole() || a.claimsComplete() {
		t.Errorf("plain answer: %+v, want all of it without framing", a)
	}
}

// Guards against whole answers that are cut since their endpoint, which is known to leave, ended right
// after them.
func TestLastUnframedAnswerOfALeavingEndpointIsWhole(t *testing.T) {
	f := newFixture(t, 1)
	running, leave := make(chan struct{}, 1), make(chan struct{})
	e := f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/event-stream")
		x.Write("%s", events(1))
		running <- struct{}{}
		<-leave
		x.Write("%s", platformtest.EventText(2)+platformtest.EventText(3))
		x.Endpoint.Close()
		return false
	})
	f.serve(1, nil)
	answers := make(chan answer)
	go func() { answers <- f.do(prompt(f.request("POST", "/draft/1", "p"))) }()
	<-running
	f.store.Put("servers", "e1", e.Entry("pool", "draining", map[string]int64{"m": 1}))
	f.eventually("the endpoint draining", func() bool { _, ready := f.instances[0].state.ListedReady("e1"); return !ready })
	close(leave)
	if a := <-answers; a.body != events(3) || !a.looksWhole() {
		t.Errorf("%+v, want all of it", a)
	}
}

// Guards against a request that crashes its endpoints, and is cleared by each crash, since an answer without
// framing ends there.
func TestCrashInAnUnframedAnswerDoesNotClearTheRequest(t *testing.T) {
	const instances, endpoints, sends, allowed = 2, 10, 12, 2
	f := newFixture(t, instances)
	var crashed atomic.Int64
	for k := range endpoints {
		f.endpoint(fmt.Sprintf("e%d", k), "orders", func(x *platformtest.Exchange) bool {
			time.Sleep(crashWork)
			x.UnframedHead("text/plain")
			x.Write("par")
			crashed.Add(1)
			x.Endpoint.Close()
			return false
		})
	}
	f.serve(endpoints, nil)
	f.awaitPeers()
	for k := range sends {
		f.sendTo(k%instances, f.request("GET", "/stock/crash", ""))
		time.Sleep(crashWork)
	}
	if n := crashed.Load(); n > allowed {
		t.Errorf("%d endpoints crashed, at most %d may", n, allowed)
	}
}

// Guards against the same between two instances: the one that passes an answer on makes no statement about its
// end that the endpoint has not made.
func TestForwardedUnframedAnswerIsPassedOnWithoutFraming(t *testing.T) {
	for name, text := range map[string]string{"whole": events(3), "inside an event": events(2) + halfEvent} {
		t.Run(name, func(t *testing.T) {
			f, _ := forwardFixture(t, 2, "pool", func(x *platformtest.Exchange) bool {
				if !strings.HasPrefix(string(x.Request.URI().Path()), "/draft/") {
					return oneEvent(x)
				}
				return unframedStream(text)(x)
			})
			a := f.do(prompt(f.request("POST", "/draft/1", "p")))
			if a.claimsComplete() || a.looksWhole() != (name == "whole") {
				t.Errorf("%+v", a)
			}
			if strings.HasSuffix(a.body, halfEvent) {
				t.Errorf("%q has part of an event", a.body)
			}
		})
	}
}

// Guards against a reset that counts as the end of an answer.
func TestUnframedAnswerThatIsResetIsNotComplete(t *testing.T) {
	f := newFixture(t, 1)
	reset := func(contentType, text string) func(*platformtest.Exchange) bool {
		return func(x *platformtest.Exchange) bool {
			x.UnframedHead(contentType)
			x.Write("%s", text)
			time.Sleep(crashWork)
			x.Reset()
			return false
		}
	}
	f.endpoint("e1", "pool", reset("text/event-stream", events(2)))
	f.endpoint("e2", "orders", reset("text/plain", "hal"))
	f.serve(2, nil)
	if a := f.do(prompt(f.request("POST", "/draft/1", "p"))); a.looksWhole() {
		t.Errorf("stream: %+v looks complete", a)
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.looksWhole() {
		t.Errorf("plain answer: %+v looks complete", a)
	}
}
