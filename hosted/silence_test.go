package hosted

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// An engine loses its power in the middle of two streams. Its connections stay open
// and bring nothing. A stream that may be resumed goes on at another engine before
// its caller gives up, and the other one is not run a second time. Nothing new is
// sent to the dark engine.
func TestSilentEndpointIsGivenUp(t *testing.T) {
	f := newFixture(t, 1)
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	var began atomic.Int64
	dark := f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		x.StreamHead()
		x.Event(1)
		began.Add(1)
		<-hang
		return false
	})
	f.serve(1, nil)
	check, draft := make(chan answer, 1), make(chan answer, 1)
	go func() { check <- f.do(prompt(f.request("POST", "/check/1", "x"))) }()
	go func() { draft <- f.do(prompt(f.request("POST", "/draft/1", "x"))) }()
	f.eventually("both streams begun", func() bool { return began.Load() == 2 })
	var drafts atomic.Int64
	other := f.endpoint("e2", "pool", func(x *platformtest.Exchange) bool {
		if strings.HasPrefix(string(x.Request.URI().Path()), "/draft/1") {
			drafts.Add(1)
		}
		x.StreamHead()
		if x.Header("Last-Event-Id") != "1" {
			x.Event(1)
		}
		x.Event(2)
		x.End()
		return true
	})
	dark.RefuseConnections()
	from := time.Now()
	a := <-check
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"; a.cut || a.body != want {
		t.Errorf("resumable stream: cut %v, %q", a.cut, a.body)
	}
	if took := time.Since(from); took > 1800*time.Millisecond {
		t.Errorf("it went on after %v, its caller gives up after 2 s", took)
	}
	served := dark.Served()
	for n := range 5 {
		if a := f.do(prompt(f.request("POST", "/check/2", "x"))); a.cut || a.status != 200 {
			t.Errorf("request %d after it: status %d, cut %v", n, a.status, a.cut)
		}
	}
	if dark.Served() != served || other.Served() == 0 {
		t.Errorf("%d requests were sent to the dark engine", dark.Served()-served)
	}
	if a := <-draft; !a.cut || drafts.Load() != 0 {
		t.Errorf("stream that may run once: cut %v, sent again %d times", a.cut, drafts.Load())
	}
}

// An engine reads a long prompt and brings nothing for a second, but takes
// connections. Given up, each long prompt would be read by one engine after the
// other.
func TestSlowEndpointIsNotGivenUp(t *testing.T) {
	f := newFixture(t, 1)
	slow := func(x *platformtest.Exchange) bool {
		time.Sleep(1200 * time.Millisecond)
		x.StreamHead()
		x.Event(1)
		x.End()
		return true
	}
	f.endpoint("e1", "pool", slow)
	f.endpoint("e2", "pool", slow)
	f.serve(2, nil)
	a := f.do(prompt(f.request("POST", "/check/1", "x")))
	if a.status != 200 || a.cut {
		t.Errorf("status %d, cut %v", a.status, a.cut)
	}
	for _, i := range f.instances {
		if n := i.state.Endpoints("pool", time.Now()); n[0].Suspected || n[1].Suspected {
			t.Error("an endpoint that works is in doubt")
		}
	}
}
