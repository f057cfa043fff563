package monitor

import (
	"slices"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// withHeartbeats follows an engine whose streams send heartbeats, and starts the test once
// they have been received.
func withHeartbeats(t *testing.T, minInterval time.Duration, test func(m *Monitor, e *engine, seen *recorder)) {
	follow(t, func(m *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) { e.sendsHeartbeats, e.minInterval = true, minInterval })
		seen.after(10 * time.Second)
		test(m, e, seen)
	})
}

func (e *engine) pollCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

// Guards against polling each endpoint several times a second although it sends heartbeats.
// With thousands of engines, this would cost more than everything else that an idle
// instance does.
func TestHeartbeatsReplacePolls(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		before, loads := e.pollCount(), seen.loads
		seen.after(60 * time.Second)
		if got := e.pollCount() - before; got < 40 || got > 51 {
			t.Fatalf("%d polls in a minute, want one in 1.2 to 1.5 s", got)
		}
		if got := seen.loads - loads; got < 10 || got > 16 {
			t.Fatalf("%d load reports in a minute, want one in 4 to 6 s", got)
		}
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was published as %+v", s)
			}
		}
	})
}

// Guards against an engine whose heartbeats come more rarely than the pool's suspicion
// bound being suspected between two of them.
func TestRareHeartbeatsAreSupplementedByPolls(t *testing.T) {
	withHeartbeats(t, 3*time.Second, func(_ *Monitor, e *engine, seen *recorder) {
		before := e.pollCount()
		seen.after(30 * time.Second)
		if got := e.pollCount() - before; got < 80 {
			t.Fatalf("%d polls in 30 s, want about three a second", got)
		}
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was published as %+v", s)
			}
		}
	})
}

// Guards against callers being sent to an engine that hangs with its connections open. It
// must be polled over a new connection and then suspected, within its bound plus at most
// half a bound for the answer that does not come.
func TestHungEngineIsPolledAndSuspected(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		before := e.pollCount()
		e.change(func(e *engine) { e.hung = true })
		if got := seen.after(1500 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
		if e.pollCount() == before {
			t.Fatal("suspected without a poll")
		}
		if got := seen.after(4 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
			t.Fatalf("got %+v", got)
		}
	})
}

// Guards against suspecting a live engine whose stream permanently stops delivering. It
// still serves its callers, so it must keep getting work.
func TestIdleStreamOfALiveEngineIsNotSuspected(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) {
			e.sendsHeartbeats = false
			close(e.broken)
			e.broken = make(chan struct{})
		})
		seen.after(30 * time.Second)
		for _, s := range seen.statuses {
			if s.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				t.Fatalf("a live engine was published as %+v", s)
			}
		}
	})
}

// Guards against an open stream hiding that an engine's machine accepts no new connections:
// requests to it would fail.
func TestOpenStreamDoesNotHideRefusedConnections(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) { e.refusesConnections = true })
		if got := seen.after(2500 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
		if got := seen.after(5 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
			t.Fatalf("got %+v", got)
		}
	})
}

// Guards against missing that an engine crashed and restarted with an empty cache between
// two polls. Its stale cache state would attract requests that it has to compute again.
func TestCrashBetweenPollsIsDetectedByTheStream(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
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

// Guards against taking the heartbeats of a restarted engine for those of its previous
// incarnation, whose stale cache state would keep attracting requests. The engine is down
// briefly, and its streams end with it.
func TestNewIncarnationIsDetectedDespiteHeartbeats(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) {
			e.refusesConnections = true
			close(e.broken)
			e.broken = make(chan struct{})
		})
		seen.after(100 * time.Millisecond)
		e.change(func(e *engine) { e.refusesConnections, e.state.Incarnation = false, 2 })
		got := seen.after(600 * time.Millisecond).last()
		if got.Incarnation != 2 || got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
			t.Fatalf("got %+v", got)
		}
	})
}

// Guards against missing that an engine is leaving because it continues to send heartbeats:
// new requests to it would be cut off when it stops.
func TestLeavingIsDetectedDespiteHeartbeats(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
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

// Guards against waiting for the next poll after an engine's process has died, its streams
// have ended and its machine refuses connections. This would cost callers a second or two.
func TestEndOfStreamCausesAnImmediatePoll(t *testing.T) {
	withHeartbeats(t, 0, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) {
			e.refusesConnections = true
			close(e.broken)
			e.broken = make(chan struct{})
		})
		if got := seen.after(100 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
	})
}
