package monitor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// engine is an in-memory engine.
type engine struct {
	mu                 sync.Mutex
	state              endpoint.State
	hung               bool
	refusesConnections bool
	events             []endpoint.CacheEvent
	// broken ends the open streams when it is closed.
	broken chan struct{}
	opened []uint64
	// sendsHeartbeats makes the streams send heartbeats at the requested interval, but at
	// intervals of at least minInterval.
	sendsHeartbeats bool
	minInterval     time.Duration
	polls           int
}

func newEngine() *engine {
	return &engine{
		state:  endpoint.State{Incarnation: 1, Models: []endpoint.ModelState{{Model: "counter", Version: "1"}}},
		broken: make(chan struct{}),
	}
}

func (e *engine) change(fn func(*engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fn(e)
}

func (e *engine) State(ctx context.Context) (endpoint.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.refusesConnections {
		return endpoint.State{}, fault.Wrap(syscall.ECONNREFUSED, fault.Unavailable, "start it", "dial")
	}
	if e.hung {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return endpoint.State{}, ctx.Err()
	}
	return e.state, nil
}

func (e *engine) Load(context.Context) (endpoint.LoadReport, error) {
	return endpoint.LoadReport{Incarnation: 1, Running: 3}, nil
}

func (e *engine) Events(_ context.Context, after uint64, heartbeat time.Duration) (endpoint.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opened = append(e.opened, after)
	s := &stream{engine: e, broken: e.broken, closed: make(chan struct{})}
	if e.sendsHeartbeats {
		s.incarnation, s.heartbeat = e.state.Incarnation, max(heartbeat, e.minInterval)
	}
	for _, ev := range e.events {
		if ev.Seq > after {
			s.events = append(s.events, ev)
		}
	}
	return s, nil
}

type stream struct {
	engine      *engine
	incarnation uint64
	heartbeat   time.Duration

	events []endpoint.CacheEvent
	broken chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (s *stream) Next() (endpoint.CacheEvent, error) {
	if len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		return e, nil
	}
	var beat <-chan time.Time
	if s.heartbeat > 0 {
		ticker := time.NewTicker(s.heartbeat)
		defer ticker.Stop()
		beat = ticker.C
	}
	for {
		select {
		case <-beat:
			if s.engine.answers() {
				return endpoint.CacheEvent{Incarnation: s.incarnation, Op: endpoint.CacheHeartbeat}, nil
			}
			continue
		case <-s.broken:
		case <-s.closed:
		}
		break
	}
	return endpoint.CacheEvent{}, fault.New(fault.Broken, "open it again", "silent")
}

func (s *stream) Incarnation() uint64 { return s.incarnation }

func (e *engine) answers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.hung
}

func (s *stream) Close() { s.once.Do(func() { close(s.closed) }) }

var bounds = policy.HealthBounds{SuspectAfter: time.Second, ExpelAfter: 5 * time.Second}

// follow starts a monitor of one engine and runs the test in virtual time.
func follow(t *testing.T, test func(m *Monitor, e *engine, seen *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine()
		events := ring.New[Event]("test_monitor", 1024)
		m := New(Config{Dial: func(string) endpoint.Observer { return e }, Events: events})
		m.SetEndpoints([]Target{{Name: "engine-1", Pool: "engines", Address: "a", Bounds: bounds}})
		test(m, e, &recorder{events: events})
		m.Stop()
	})
}

// recorder collects the events published by the monitor.
type recorder struct {
	events   *ring.Ring[Event]
	statuses []StatusChanged
	cache    []uint64
	loads    int
}

// after advances the time and collects the events published until then.
func (r *recorder) after(d time.Duration) *recorder {
	time.Sleep(d)
	synctest.Wait()
	for r.events.Len() > 0 {
		switch e := (<-r.events.C()).(type) {
		case StatusChanged:
			r.statuses = append(r.statuses, e)
		case CacheChanged:
			r.cache = append(r.cache, e.Event.Seq)
		case LoadReported:
			r.loads++
		}
	}
	return r
}

func (r *recorder) last() StatusChanged { return r.statuses[len(r.statuses)-1] }

func TestLiveEndpointIsPublished(t *testing.T) {
	follow(t, func(_ *Monitor, _ *engine, seen *recorder) {
		got := seen.after(3 * time.Second).last()
		if got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE || got.Incarnation != 1 ||
			!slices.Equal(got.ModelVersions, []string{"counter@1"}) || got.Pool != "engines" {
			t.Fatalf("got %+v", got)
		}
		if seen.loads != 1 {
			t.Fatalf("%d load reports in 3 s, want the first", seen.loads)
		}
		if seen.after(10 * time.Second); seen.loads < 3 || seen.loads > 4 {
			t.Fatalf("%d load reports in 13 s, want one in 4 to 4.5 s", seen.loads)
		}
	})
}

// Guards against expelling an engine that pauses and resumes. It must get no new work
// meanwhile, but its cache is still there, so that callers must not notice anything else.
func TestPausedEngineIsSuspectedNotExpelled(t *testing.T) {
	follow(t, func(_ *Monitor, e *engine, seen *recorder) {
		seen.after(time.Second)
		e.change(func(e *engine) { e.hung = true })
		if got := seen.after(2 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT || got.Reason == "" {
			t.Fatalf("got %+v after two seconds without answers", got)
		}
		e.change(func(e *engine) { e.hung = false })
		if got := seen.after(time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
			t.Fatalf("got %+v after the pause", got)
		}
		for _, s := range seen.statuses {
			if s.Status == fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
				t.Fatal("a pause within the bound expelled the endpoint")
			}
		}
	})
}

// Guards against the cache state of a lost machine attracting requests to it.
func TestUnresponsiveEngineIsExpelled(t *testing.T) {
	follow(t, func(_ *Monitor, e *engine, seen *recorder) {
		seen.after(time.Second)
		e.change(func(e *engine) { e.hung = true })
		if got := seen.after(7 * time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED {
			t.Fatalf("got %+v", got)
		}
	})
}

// Guards against detecting only by a timeout that an engine's process has died and its
// machine refuses connections, and against missing the new incarnation with an empty cache
// that follows.
func TestRefusedConnectionIsDetectedAtOnce(t *testing.T) {
	follow(t, func(_ *Monitor, e *engine, seen *recorder) {
		seen.after(time.Second)
		e.change(func(e *engine) { e.refusesConnections = true })
		if got := seen.after(300 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT {
			t.Fatalf("got %+v", got)
		}
		e.change(func(e *engine) { e.refusesConnections, e.state.Incarnation = false, 2 })
		if got := seen.after(300 * time.Millisecond).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE || got.Incarnation != 2 {
			t.Fatalf("got %+v", got)
		}
	})
}

// Guards against losing cache events when a middlebox drops the stream's connection state:
// the stream must resume at the same event over a new connection, and a lost event must
// show as a gap.
func TestCacheStreamResumes(t *testing.T) {
	follow(t, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) { e.events = []endpoint.CacheEvent{{Seq: 1, Incarnation: 1}, {Seq: 2, Incarnation: 1}} })
		seen.after(time.Second)
		e.change(func(e *engine) {
			e.events = append(e.events, endpoint.CacheEvent{Seq: 4, Incarnation: 1})
			close(e.broken)
			e.broken = make(chan struct{})
		})
		seen.after(time.Second)
		if want := []uint64{1, 2, 4}; !slices.Equal(seen.cache, want) {
			t.Fatalf("events %v, want %v", seen.cache, want)
		}
		if want := []uint64{0, 2}; !slices.Equal(e.opened, want) {
			t.Fatalf("streams from %v, want %v", e.opened, want)
		}
	})
}

// Guards against missing the events of a restarted engine, which numbers them from the
// start again, by resuming at the old number.
func TestCacheStreamRestartsWithTheIncarnation(t *testing.T) {
	follow(t, func(_ *Monitor, e *engine, seen *recorder) {
		e.change(func(e *engine) { e.events = []endpoint.CacheEvent{{Seq: 90, Incarnation: 1}} })
		seen.after(time.Second)
		e.change(func(e *engine) {
			e.state.Incarnation = 2
			e.events = []endpoint.CacheEvent{{Seq: 1, Incarnation: 2}}
		})
		seen.after(time.Second)
		if want := []uint64{90, 1}; !slices.Equal(seen.cache, want) {
			t.Fatalf("events %v, want %v", seen.cache, want)
		}
	})
}

// Guards against following an endpoint that was removed by an operator or has another owner
// now, and against ignoring that it was marked as leaving.
func TestSetEndpoints(t *testing.T) {
	follow(t, func(m *Monitor, _ *engine, seen *recorder) {
		m.SetEndpoints([]Target{{Name: "engine-1", Pool: "engines", Address: "a", Bounds: bounds, Leaving: true}})
		if got := seen.after(time.Second).last(); got.Status != fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING {
			t.Fatalf("got %+v", got)
		}
		m.SetEndpoints(nil)
		seen.after(time.Second)
		published := len(seen.statuses)
		if seen.after(10 * time.Second); len(seen.statuses) != published || len(m.Dump()) != 0 {
			t.Fatal("a removed endpoint is still followed")
		}
	})
}

// BenchmarkFollow measures the processor time for following one endpoint for one second of
// the endpoint's time, without the connection.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{8, 64} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			e, events := newEngine(), ring.New[Event]("bench_monitor", 1024)
			watchers := make([]*watcher, n)
			for i := range watchers {
				t := Target{Name: fmt.Sprintf("engine-%d", i), Bounds: bounds}
				watchers[i] = &watcher{observer: e, events: events, target: t, health: policy.NewEndpointHealth(time.Now(), bounds)}
			}
			ctx := context.Background()
			for b.Loop() {
				for _, w := range watchers {
					for range pollDivisor {
						w.poll(ctx, w.target)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*n), "µs/endpoint-second")
		})
	}
}

// Guards against the real client hiding that a connection was refused: a crash would then
// be detected only by a timeout.
func TestClientExposesARefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	c := endpoint.NewClient(addr, time.Second, time.Second)
	if _, err := c.State(context.Background()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("got %v", err)
	}
}
