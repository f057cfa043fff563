package monitor

import (
	"slices"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// beating follows an engine whose streams send heartbeats, from a moment on
// when they have shown life.
func beating(t *testing.T, slowest time.Duration, test func(m *Monitor, e *engine, seen *log)) {
	follow(t, func(m *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) { e.beats, e.slowest = true, slowest })
		seen.after(10 * time.Second)
		test(m, e, seen)
	})
}

func (e *engine) polled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

// Thousands of engines are followed. Asking each of them several times a second
// costs more than all else that an instance does at rest.
func TestHeartbeatsStandForPolls(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		before, loads := e.polled(), seen.loads
		seen.after(60 * time.Second)
		if got := e.polled() - before; got < 40 || got > 51 {
			t.Fatalf("%d polls in a minute, want one in 1.2 to 1.5 s", got)
		}
		if got := seen.loads - loads; got < 10 || got > 16 {
			t.Fatalf("%d load reports in a minute, want one in 4 to 6 s", got)
		}
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was told as %+v", s)
			}
		}
	})
}

// An engine's heartbeats come more rarely than the pool's bound allows. Taking
// them for enough would make it a suspect between two of them.
func TestRareHeartbeatsArePolledBetween(t *testing.T) {
	beating(t, 3*time.Second, func(_ *Monitor, e *engine, seen *log) {
		before := e.polled()
		seen.after(30 * time.Second)
		if got := e.polled() - before; got < 80 {
			t.Fatalf("%d polls in 30 s, want about three a second", got)
		}
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was told as %+v", s)
			}
		}
	})
}

// An engine hangs with its connections open. Callers would be sent to it and
// wait; it is asked over a new connection and then suspected, both by its bound
// and half a bound at most for the answer that does not come.
func TestSilenceOfTheStreamIsCheckedAndSuspected(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		before := e.polled()
		e.change(func(e *engine) { e.silent = true })
		if got := seen.after(1500 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
		if e.polled() == before {
			t.Fatal("suspected without being asked")
		}
		if got := seen.after(4 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
			t.Fatalf("got %+v", got)
		}
	})
}

// The stream goes silent for good while the engine lives. Nothing is wrong with
// it for its callers, so that it must go on getting work.
func TestSilentStreamOfALiveEngine(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) {
			e.beats = false
			close(e.broken)
			e.broken = make(chan struct{})
		})
		seen.after(30 * time.Second)
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was told as %+v", s)
			}
		}
	})
}

// An engine's machine takes no new connections while the open stream goes on.
// Requests to it fail, whatever the stream says.
func TestStreamIsNoLifeWithoutNewConnections(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) { e.refuses = true })
		if got := seen.after(2500 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
		if got := seen.after(5 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
			t.Fatalf("got %+v", got)
		}
	})
}

// An engine crashes between two polls and is back, empty, before the next. What
// was known of its cache would draw requests that it has to compute anew.
func TestQuickCrashIsSeenByTheStream(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) {
			e.state.Incarnation = 2
			e.events = []endpoint.CacheEvent{{Seq: 1, Incarnation: 2, Op: endpoint.CacheClear}}
			close(e.broken)
			e.broken = make(chan struct{})
		})
		got := seen.after(300 * time.Millisecond).last()
		if got.Incarnation != 2 || !slices.Equal(seen.cache, []uint64{1}) {
			t.Fatalf("got %+v, events %v", got, seen.cache)
		}
	})
}

// An engine is gone for a moment and comes back empty, and its streams with it.
// The heartbeats of the new life must not pass for those of the life before,
// whose cache would go on to draw requests.
func TestHeartbeatsOfAnotherIncarnation(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) {
			e.refuses = true
			close(e.broken)
			e.broken = make(chan struct{})
		})
		seen.after(100 * time.Millisecond)
		e.change(func(e *engine) { e.refuses, e.state.Incarnation = false, 2 })
		got := seen.after(600 * time.Millisecond).last()
		if got.Incarnation != 2 || got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
			t.Fatalf("got %+v", got)
		}
	})
}

// An engine says that it leaves and goes on to send heartbeats. New requests to
// it would be cut when it ends.
func TestLeavingIsKnownInTimeBesideHeartbeats(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) { e.state.Leaving = true })
		if got := seen.after(1600 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING {
			t.Fatalf("got %+v", got)
		}
		seen.after(10 * time.Second)
		if got := seen.last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING {
			t.Fatalf("a heartbeat made it %+v", got)
		}
	})
}

// An engine's process dies, its streams break and its machine refuses
// connections. Waiting for the next poll would cost callers a second or two.
func TestBreakOfTheStreamIsAskedAboutAtOnce(t *testing.T) {
	beating(t, 0, func(_ *Monitor, e *engine, seen *log) {
		e.change(func(e *engine) {
			e.refuses = true
			close(e.broken)
			e.broken = make(chan struct{})
		})
		if got := seen.after(100 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
	})
}
