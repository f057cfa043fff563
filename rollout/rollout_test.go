package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// engineLoadTime is how long an engine takes to load weights.
const engineLoadTime = 5 * time.Second

// engine is an in-memory engine that accepts orders.
type engine struct {
	pool          *enginePool
	checksFencing bool

	state        endpoint.State
	unresponsive bool
}

// enginePool counts the concurrent loads and the state queries of its engines.
type enginePool struct {
	mu      sync.Mutex
	engines map[string]*engine
	loads   int
	peak    int
	queries int
}

func newPool(n int, version string, checks bool) *enginePool {
	p := &enginePool{engines: map[string]*engine{}}
	for i := range n {
		p.engines[fmt.Sprintf("127.0.0.1:%d", i+1)] = &engine{pool: p, checksFencing: checks, state: endpoint.State{
			Models: []endpoint.ModelState{{Model: "counter", Version: version}},
		}}
	}
	return p
}

func (p *enginePool) dial(address string) Engine { return p.engines[address] }

// State implements Engine.
func (e *engine) State(context.Context) (endpoint.State, error) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.pool.queries++
	if e.unresponsive {
		return endpoint.State{}, fault.New(fault.Unavailable, "start it", "the engine does not answer")
	}
	s := e.state
	s.Models, s.Loading = slices.Clone(s.Models), slices.Clone(s.Loading)
	return s, nil
}

// Order implements Engine.
func (e *engine) Order(_ context.Context, o endpoint.Order, ready func() error) error {
	if ready != nil {
		if err := ready(); err != nil {
			return err
		}
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.checksFencing && o.Fence < e.state.Fence {
		return fault.New(fault.StaleFence, "ask the holder", "fence %d is old", o.Fence)
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	switch o.Kind {
	case endpoint.OrderLoadModel:
		want := endpoint.ModelState{Model: o.Model, Version: o.Version}
		if slices.ContainsFunc(e.state.Models, func(m endpoint.ModelState) bool { return m.Model == o.Model && m.Version == o.Version }) {
			return nil
		}
		e.state.Loading = append(e.state.Loading, want)
		e.pool.loads++
		e.pool.peak = max(e.pool.peak, e.pool.loads)
		time.AfterFunc(engineLoadTime, func() { e.loaded(want) })
	case endpoint.OrderLoadAdapter:
		e.state.Models[0].Adapters = append(e.state.Models[0].Adapters, o.Adapter)
	case endpoint.OrderSetRole:
		e.state.Role = o.Role
	case endpoint.OrderUnloadModel:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m endpoint.ModelState) bool { return m.Model == o.Model })
	}
	return nil
}

func (e *engine) loaded(want endpoint.ModelState) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.pool.loads--
	same := func(m endpoint.ModelState) bool { return m.Model == want.Model }
	e.state.Loading = slices.DeleteFunc(e.state.Loading, same)
	e.state.Models = append(slices.DeleteFunc(e.state.Models, same), want)
}

func (p *enginePool) versions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, e := range p.engines {
		for _, m := range e.state.Models {
			list = append(list, m.Model+"@"+m.Version)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// records returns records that require a version of one model on n engines, with two
// concurrent loads.
func records(n int, version string, adapters ...string) func() *record.Snapshot {
	pool := &recordspb.EndpointPool{LoadsAtOnce: 2}
	for i := range n {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{
			Name: fmt.Sprintf("engine-%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Role: "prefill",
		})
	}
	s := record.NewSnapshot(1, []*recordspb.Record{
		{Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}},
		{Name: "counter", Spec: &recordspb.Record_Model{Model: &recordspb.Model{Version: version, Pool: "engines", Adapters: adapters}}},
	})
	return func() *record.Snapshot { return s }
}

// lease is held if fence is not 0.
type lease struct {
	mu    sync.Mutex
	fence uint64
}

func (l *lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence > 0
}

func (l *lease) Act(ctx context.Context, fence uint64, act func(context.Context, func() error) bool) bool {
	if held, ok := l.Held(); !ok || held != fence {
		return false
	}
	act(ctx, func() error { return nil })
	return true
}

func startManager(p *enginePool, l Lease, records func() *record.Snapshot) *Manager {
	m := NewManager(Config{Pool: "engines", Lease: l, Records: records, Dial: p.dial})
	m.Start()
	return m
}

func TestRolloutReachesAllWithinLoadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(9, "1", true)
		m := startManager(p, &lease{fence: 5}, records(9, "2", "bolts"))
		defer m.Stop()
		time.Sleep(engineLoadTime * 2)
		if got := p.versions(); !slices.Equal(got, []string{"counter@1", "counter@2"}) {
			t.Fatalf("versions %v in the middle of the rollout", got)
		}
		time.Sleep(time.Minute)
		if got := p.versions(); !slices.Equal(got, []string{"counter@2"}) {
			t.Fatalf("versions %v, want the new one", got)
		}
		got, ok := m.Progress()
		if !ok || got.Converged != 9 || len(got.Behind) != 0 {
			t.Fatalf("progress %+v", got)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.peak != 2 {
			t.Fatalf("%d loads at once, want 2", p.peak)
		}
		for name, e := range p.engines {
			if e.state.Role != "prefill" || !slices.Equal(e.state.Models[0].Adapters, []string{"bolts"}) {
				t.Fatalf("%s: %+v", name, e.state)
			}
		}
	})
}

// A lease holder is paused before it sends an order for the old version. Another
// instance takes over and rolls out the new version, and then the old order is
// sent. Endpoints that check fencing numbers must refuse it. Others load the old
// weights, and the new holder must bring them back to the new version.
func TestLateOrderOfFormerLeaseHolderIsUndone(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newPool(3, "1", checks)
			m := startManager(p, &lease{fence: 9}, records(3, "2"))
			defer m.Stop()
			time.Sleep(time.Minute)
			late := endpoint.Order{Fence: 5, Kind: endpoint.OrderLoadModel, Model: "counter", Version: "1"}
			err := p.engines["127.0.0.1:2"].Order(context.Background(), late, nil)
			if fault.Is(err, fault.StaleFence) != checks {
				t.Fatalf("checks fencing %v: got %v", checks, err)
			}
			time.Sleep(engineLoadTime + 100*time.Millisecond)
			if back := slices.Contains(p.versions(), "counter@1"); back == checks {
				t.Fatalf("checks fencing %v: the old weights were loaded: %v", checks, back)
			}
			time.Sleep(engineLoadTime + 2*idleInterval)
			if got := p.versions(); !slices.Equal(got, []string{"counter@2"}) {
				t.Fatalf("checks fencing %v: versions %v, want the new one to win", checks, got)
			}
		})
	}
}

// The lease moves while all endpoints are in the wanted state, so the new holder has
// nothing to order. It still has to send its fencing number, or the endpoints would
// accept a late order of the former holder.
func TestNewLeaseHolderSendsFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3, "2", true)
		l := &lease{fence: 5}
		wanted := records(3, "2")
		pool, _ := wanted().Pool("engines")
		pool.ChecksFencing = true
		m := startManager(p, l, wanted)
		defer m.Stop()
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		l.fence = 9
		l.mu.Unlock()
		time.Sleep(2 * idleInterval)
		p.mu.Lock()
		defer p.mu.Unlock()
		for name, e := range p.engines {
			if e.state.Fence != 9 || len(e.state.Loading) > 0 || p.peak > 0 {
				t.Fatalf("%s: %+v, %d loads", name, e.state, p.peak)
			}
		}
	})
}

// A former lease holder continues as if it still held the lease. It must stop sending
// orders to the pool at the first refusal for a stale fencing number.
func TestStaleLeaseHolderStopsSendingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3, "2", true)
		for _, e := range p.engines {
			e.state.Fence = 9
		}
		m := startManager(p, &lease{fence: 5}, records(3, "1"))
		defer m.Stop()
		time.Sleep(time.Minute)
		if got := p.versions(); !slices.Equal(got, []string{"counter@2"}) {
			t.Fatalf("versions %v", got)
		}
		if got, _ := m.Progress(); got.Refused == "" {
			t.Fatal("the progress does not report the refusal")
		}
	})
}

// Machines fail while they load. They must not count against the limit on
// concurrent loads forever, or the other endpoints would keep the old weights.
func TestUnresponsiveEndpointDoesNotBlockRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4, "1", true)
		m := startManager(p, &lease{fence: 5}, records(4, "2"))
		defer m.Stop()
		time.Sleep(time.Second)
		p.mu.Lock()
		for _, e := range p.engines {
			e.unresponsive = len(e.state.Loading) > 0
		}
		p.mu.Unlock()
		time.Sleep(unresponsiveTimeout + 4*engineLoadTime)
		if got, _ := m.Progress(); got.Converged != 2 || got.Unanswered != 2 {
			t.Fatalf("progress %+v, want the two others rolled out", got)
		}
	})
}

// Whatever the endpoints report, a plan must not exceed the limit on concurrent
// loads, must not send a load order to an endpoint that is loading or any order to
// one that does not answer, and must send at most one order per endpoint.
func TestPlanRespectsLimits(t *testing.T) {
	model := func(t *rapid.T) endpoint.ModelState {
		return endpoint.ModelState{
			Model:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"),
			Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := Wanted{Models: []WantedModel{{Model: "a", Version: "2", Adapters: []string{"x"}}, {Model: "b", Version: "1"}}}
		limits := Limits{LoadsAtOnce: rapid.IntRange(1, 3).Draw(t, "limit")}
		var observed []Observed
		var inFlight []InFlight
		before := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "endpoints") {
			o := Observed{Name: fmt.Sprintf("e%d", i), Answered: rapid.Bool().Draw(t, "answered"), Leaving: rapid.Bool().Draw(t, "leaving")}
			for range rapid.IntRange(0, 2).Draw(t, "models") {
				o.State.Models = append(o.State.Models, model(t))
			}
			if rapid.Bool().Draw(t, "loading") {
				o.State.Loading = append(o.State.Loading, model(t))
				before[o.Name] = true
			}
			if rapid.Bool().Draw(t, "in flight") {
				inFlight = append(inFlight, InFlight{Order: Order{Endpoint: o.Name, Order: endpoint.Order{Kind: endpoint.OrderLoadModel}}})
				before[o.Name] = true
			}
			observed = append(observed, o)
		}
		loads, ordered := len(before), map[string]bool{}
		for _, o := range Plan(w, observed, inFlight, limits) {
			i := slices.IndexFunc(observed, func(seen Observed) bool { return seen.Name == o.Endpoint })
			if !observed[i].Answered || observed[i].Leaving || ordered[o.Endpoint] {
				t.Fatalf("order for %+v, ordered before: %v", observed[i], ordered[o.Endpoint])
			}
			ordered[o.Endpoint] = true
			if usesWeights(o.Order.Kind) {
				loads++
				if before[o.Endpoint] {
					t.Fatalf("a second load for %s", o.Endpoint)
				}
			}
		}
		if loads > max(limits.LoadsAtOnce, len(before)) {
			t.Fatalf("%d endpoints load, %d are allowed", loads, limits.LoadsAtOnce)
		}
	})
}

// The lease holder of an idle pool of over a hundred endpoints must not send more
// state queries per second than that of a small pool.
func TestLargeIdlePoolQueryRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 120
		p := newPool(endpoints, "1", true)
		for _, e := range p.engines {
			e.state.Role = "prefill"
		}
		m := startManager(p, &lease{fence: 5}, records(endpoints, "1"))
		defer m.Stop()
		time.Sleep(time.Minute)
		p.mu.Lock()
		before := p.queries
		p.mu.Unlock()
		const minutes = 10
		time.Sleep(minutes * time.Minute)
		p.mu.Lock()
		defer p.mu.Unlock()
		// The interval may include one reconciliation more than the rate allows.
		if queries := p.queries - before; queries == 0 || queries > 11*60*minutes+endpoints {
			t.Fatalf("%d state queries in %d idle minutes", queries, minutes)
		}
	})
}

func TestPoolWithoutModelsGetsNoOrders(t *testing.T) {
	o := Observed{Name: "e", Answered: true, State: endpoint.State{Models: []endpoint.ModelState{{Model: "a", Version: "1"}}}}
	if got := Plan(Wanted{}, []Observed{o}, nil, Limits{LoadsAtOnce: 1}); len(got) != 0 {
		t.Fatalf("orders %v", got)
	}
}
