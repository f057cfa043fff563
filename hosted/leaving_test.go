package hosted

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/selfreport"
)

// leavingHeader is how an endpoint states in an answer that it leaves.
const leavingHeader = "Server-Leaving: 1"

// answerLeaving answers every request, stating that the endpoint leaves while leaving is set.
func answerLeaving(leaving *atomic.Bool) func(*platformtest.Exchange) bool {
	return func(x *platformtest.Exchange) bool {
		if leaving.Load() {
			x.AnswerWith(200, "ok", leavingHeader)
		} else {
			x.Answer(200, "ok")
		}
		return true
	}
}

// sendUntilServed sends requests through an instance until the endpoint has received one.
func (f *fixture) sendUntilServed(n int, e *platformtest.Endpoint) {
	f.t.Helper()
	before := e.Served()
	f.eventually("a request at the endpoint", func() bool {
		f.sendFrom(n)
		return e.Served() > before
	})
}

// Guards against new requests for an endpoint whose answer has stated that it leaves, while the
// platform's list says that it is ready.
func TestEndpointThatStatesItLeavesGetsNoMoreRequests(t *testing.T) {
	f := newFixture(t, 1)
	var leaving atomic.Bool
	leaving.Store(true)
	e1 := f.endpoint("e1", "orders", answerLeaving(&leaving))
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.sendUntilServed(0, e1)
	before := e1.Served()
	for range 30 {
		if a := f.sendFrom(0); a.status != 200 {
			t.Fatalf("%+v, want it served by the other endpoint", a)
		}
	}
	if n := e1.Served() - before; n > 0 {
		t.Errorf("%d requests reached the endpoint after it stated that it leaves", n)
	}
}

// Guards against reading the statement from complete answers only. Errors, rejections and streams
// carry it too.
func TestDepartureIsReadFromEveryKindOfAnswer(t *testing.T) {
	for name, handler := range map[string]func(*platformtest.Exchange) bool{
		"error":     func(x *platformtest.Exchange) bool { x.AnswerWith(500, "failed", leavingHeader); return true },
		"rejection": func(x *platformtest.Exchange) bool { x.Reject(503, leavingHeader); return true },
		"misdirected": func(x *platformtest.Exchange) bool {
			x.Reject(421, leavingHeader, "Sardinedock-Instance-Id: "+x.Endpoint.ID)
			return true
		},
		"stream": func(x *platformtest.Exchange) bool {
			x.StreamHead(leavingHeader)
			x.Event(1)
			x.End()
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			e1 := f.endpoint("e1", "orders", handler)
			f.endpoint("e2", "orders", ok)
			f.serve(2, nil)
			f.sendUntilServed(0, e1)
			// pause is longer than an endpoint that rejected a request is avoided.
			const pause = 400 * time.Millisecond
			time.Sleep(pause)
			before := e1.Served()
			for range 20 {
				f.sendFrom(0)
			}
			if n := e1.Served() - before; n > 0 {
				t.Errorf("%d requests reached the endpoint after it stated that it leaves", n)
			}
		})
	}
}

// Guards against an endpoint that is lost for good although its departure was called off: an instance
// that has not received it gets an answer without the statement.
func TestDepartureThatIsCalledOffEnds(t *testing.T) {
	f := newFixture(t, 2)
	var leaving atomic.Bool
	leaving.Store(true)
	e1 := f.endpoint("e1", "orders", answerLeaving(&leaving))
	f.serve(1, nil)
	f.sendUntilServed(0, e1)
	f.eventually("the departure known to all", func() bool {
		return f.instances[0].statements.departures.Holds("e1") && f.instances[1].statements.departures.Holds("e1")
	})
	leaving.Store(false)
	time.Sleep(2 * noticeDelay)
	now := time.Now()
	f.instances[1].statements.Observe(gateway.Report{Endpoint: "e1", Whole: true, SentAt: now, AnsweredAt: now.Add(time.Millisecond)})
	f.eventually("a request served through both", func() bool { return f.sendFrom(0).status == 200 && f.sendFrom(1).status == 200 })
}

// Guards against a stated leaving that is forgotten when the endpoint's entry in the store is
// written again and still says ready: the endpoint reports its leaving there seconds later.
func TestReadyEntryDoesNotEndAStatedLeaving(t *testing.T) {
	f := newFixture(t, 1)
	var leaving atomic.Bool
	leaving.Store(true)
	e1 := f.endpoint("e1", "orders", answerLeaving(&leaving))
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.sendUntilServed(0, e1)
	before := e1.Served()
	for heartbeat := range 5 {
		entry := e1.Entry("orders", "ready", map[string]int64{})
		entry["sequence"] = heartbeat + 2
		f.store.Put("servers", "e1", entry)
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			f.sendFrom(0)
		}
	}
	if n := e1.Served() - before; n > 0 {
		t.Errorf("%d requests reached the endpoint after it stated that it leaves", n)
	}
}

// Guards against requests from instances that have had no answer of an endpoint that leaves, and
// from one that starts later.
func TestStatedLeavingIsKnownToAllInstances(t *testing.T) {
	f := newFixture(t, 3)
	var leaving atomic.Bool
	leaving.Store(true)
	e1 := f.endpoint("e1", "orders", answerLeaving(&leaving))
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.sendUntilServed(0, e1)
	f.start("instance-late")
	f.eventually("the late instance ready", f.instances[3].Ready)
	// knownAfter is when every instance must know, less than what endpoints that leave allow.
	const knownAfter = 1500 * time.Millisecond
	time.Sleep(knownAfter)
	before := e1.Served()
	for n := range 40 {
		f.sendFrom(n % len(f.instances))
	}
	if n := e1.Served() - before; n > 0 {
		t.Errorf("%d requests reached the endpoint from instances that should know that it leaves", n)
	}
}

// Guards against round trips to schedulers that have missed an endpoint's statement that it leaves,
// place one request after the other there, and have each placement refused.
func TestSchedulerThatMissedADepartureDoesNotPlaceThere(t *testing.T) {
	f := largeFixture(t)
	f.endpoint("e3", "orders", ok)
	n := f.nonScheduler()
	f.callers[0] = f.callers[n]
	for _, i := range f.instances {
		f.eventually("the second endpoint listed", func() bool { _, ready := i.state.ListedReady("e3"); return ready })
	}
	now := time.Now()
	f.instances[n].statements.departures.Apply(selfreport.Statement[bool]{Endpoint: "e2", Value: true, SentAt: now, AnsweredAt: now})
	alone := placedAlone.Get()
	for range 20 {
		if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if placed := placedAlone.Get() - alone; placed > 0 {
		t.Errorf("%d of 20 requests were placed without a scheduler", placed)
	}
}
