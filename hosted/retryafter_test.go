package hosted

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// arrivalsBetween returns how many arrivals were later than from and earlier than to.
func (a *arrivals) between(from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Guards against requests for an endpoint that has rejected one with Retry-After and wants nothing
// from this instance for that long.
func TestEndpointGetsNoRequestsBeforeItsRetryAfterEnds(t *testing.T) {
	const (
		// onTheWay is how long requests that were sent before the rejection may take to arrive.
		onTheWay   = 500 * time.Millisecond
		retryAfter = 2 * time.Second
		allowed    = 2
	)
	f := newFixture(t, 1)
	var got arrivals
	var rejectedAt atomic.Int64
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		got.add()
		rejectedAt.CompareAndSwap(0, time.Now().UnixNano())
		x.Reject(503, "Retry-After: 2")
		return true
	})
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.eventually("a rejection", func() bool { f.sendFrom(0); return rejectedAt.Load() > 0 })
	from := time.Unix(0, rejectedAt.Load())
	for time.Since(from) < retryAfter {
		if a := f.sendFrom(0); a.status != 200 {
			t.Fatalf("%+v, want it served by the other endpoint", a)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := got.between(from.Add(onTheWay), from.Add(retryAfter)); n > allowed {
		t.Errorf("%d requests in the time for which the endpoint wanted none, at most %d are allowed", n, allowed)
	}
}

// Guards against callers that wait, or use up their retries, while all endpoints of a service have
// asked for a pause that is longer than the callers can wait.
func TestCallersAreRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	f := newFixture(t, 1)
	reject := func(x *platformtest.Exchange) bool { x.Reject(503, "Retry-After: 20"); return true }
	e1, e2 := f.endpoint("e1", "orders", reject), f.endpoint("e2", "orders", reject)
	f.serve(2, nil)
	f.sendFrom(0)
	before := e1.Served() + e2.Served()
	began := time.Now()
	a := f.sendFrom(0)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	// patience is the caller's, of which it accepts a third as the time to wait.
	const patience = 3.0
	if a.status != 503 || err != nil || after <= 0.1 || after > patience/3 || time.Since(began) > 300*time.Millisecond {
		t.Errorf("status %d after %v, Retry-After %q", a.status, time.Since(began), a.header.Get("Retry-After"))
	}
	if n := e1.Served() + e2.Served() - before; n > 0 {
		t.Errorf("%d requests reached the endpoints", n)
	}
}

// Guards against a request that is refused although an endpoint's pause ends in time for it.
func TestCallerWaitsForTheEndOfAShortPause(t *testing.T) {
	f := newFixture(t, 1)
	var sends atomic.Int64
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		if sends.Add(1) == 1 {
			x.Reject(503, "Retry-After: 0.4")
		} else {
			x.Answer(200, "ok")
		}
		return true
	})
	f.serve(1, nil)
	f.sendFrom(0)
	if a := f.sendFrom(0); a.status != 200 {
		t.Errorf("%+v, want it served after the pause", a)
	}
}

// Guards against a pause that is kept from instances which were not asked for one, and against
// schedulers that place the requests of the instance that was asked at the endpoint all the same.
func TestPauseConcernsTheInstanceThatWasAsked(t *testing.T) {
	f := largeFixture(t)
	var ask atomic.Bool
	ask.Store(true)
	e3 := f.endpoint("e3", "orders", func(x *platformtest.Exchange) bool {
		if ask.CompareAndSwap(true, false) {
			x.Reject(503, "Retry-After: 30")
		} else {
			x.Answer(200, "ok")
		}
		return true
	})
	for _, i := range f.instances {
		f.eventually("the second endpoint listed", func() bool { _, ready := i.state.ListedReady("e3"); return ready })
	}
	n := f.nonScheduler()
	f.sendUntilServed(n, e3)
	const longerThanAnyRejectionIsAvoided = 400 * time.Millisecond
	time.Sleep(longerThanAnyRejectionIsAvoided)
	before, alone := e3.Served(), placedAlone.Get()
	for range 20 {
		if a := f.sendFrom(n); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if sent, placed := e3.Served()-before, placedAlone.Get()-alone; sent > 0 || placed > 0 {
		t.Errorf("%d requests of the asked instance reached the endpoint, %d were placed without a scheduler", sent, placed)
	}
	f.sendUntilServed((n+1)%len(f.instances), e3)
}

// Guards against a Retry-After that can't be read being mistaken for a pause, or logged for each
// response.
func TestUnreadableRetryAfterIsLoggedOnce(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	e1 := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		x.Reject(503, "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT")
		return true
	})
	f.serve(1, nil)
	f.eventually("three requests at the endpoint", func() bool { f.sendFrom(0); return e1.Served() >= 3 })
	if n := len(lines.Lines("endpoint's Retry-After not understood; it is avoided as after any rejection")); n != 1 {
		t.Errorf("%d lines about the unreadable time, want 1", n)
	}
}

// Guards against requests for an endpoint that restarted under its name and asked for a pause, or stated
// that it leaves, before the list showed its start.
func TestStatementsBeforeTheListShowsARestartHold(t *testing.T) {
	for _, header := range []string{leavingHeader, "Retry-After: 30"} {
		t.Run(header, func(t *testing.T) {
			f := newFixture(t, 1)
			e1 := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Reject(503, header); return true })
			// The other endpoint is the slower one, so that e1 is preferred.
			f.endpoint("e2", "orders", func(x *platformtest.Exchange) bool {
				time.Sleep(20 * time.Millisecond)
				x.Answer(200, "ok")
				return true
			})
			f.serve(2, nil)
			started := time.Now()
			f.sendUntilServed(0, e1)
			entry := e1.Entry("orders", "ready", map[string]int64{})
			entry["born"] = started.UnixMilli()
			f.store.Put("servers", "e1", entry)
			f.eventually("the new incarnation listed", func() bool {
				for _, v := range f.instances[0].state.Endpoints("orders", time.Now()) {
					if v.Name == "e1" && v.Born > 0 {
						return true
					}
				}
				return false
			})
			const longerThanAnyRejectionIsAvoided = 400 * time.Millisecond
			time.Sleep(longerThanAnyRejectionIsAvoided)
			before := e1.Served()
			for range 20 {
				f.sendFrom(0)
			}
			if n := e1.Served() - before; n > 0 {
				t.Errorf("%d requests reached the endpoint", n)
			}
		})
	}
}
