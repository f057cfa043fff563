package monitor

import (
	"context"
	"sort"
	"sync"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ring"
)

// Config configures a Monitor.
type Config struct {
	// Dial returns an observer of the engine at an address. The heartbeats in its Events
	// replace most polls. Its State must use a new connection for each call, so that an
	// open connection that permanently stopped delivering does not make its engine appear
	// dead.
	Dial func(address string) endpoint.Observer
	// Events receives the events. When it is full, the oldest are dropped: a status is
	// repeated, and a lost cache event shows as a gap in the sequence numbers.
	Events *ring.Ring[Event]
}

// Target is an endpoint to follow.
type Target struct {
	Name    string
	Pool    string
	Address string
	// Leaving reports that the endpoint's record excludes it from new work.
	Leaving bool
	Bounds  policy.HealthBounds
}

// Monitor follows a set of endpoints, each in its own goroutines. All methods may be called
// from any goroutine.
type Monitor struct {
	cfg Config

	mu       sync.Mutex
	watchers map[string]*watcher
	stopped  bool
}

// New returns a monitor that follows no endpoints.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, watchers: map[string]*watcher{}}
}

// SetEndpoints replaces the set of followed endpoints. The state of those that remain is
// kept. It does not block on I/O.
func (m *Monitor) SetEndpoints(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	wanted := make(map[string]Target, len(targets))
	for _, t := range targets {
		wanted[t.Name] = t
	}
	for name, w := range m.watchers {
		if t, ok := wanted[name]; ok && w.setTarget(t) {
			continue
		}
		w.cancel()
		delete(m.watchers, name)
	}
	for name, t := range wanted {
		if m.watchers[name] == nil {
			m.watchers[name] = startWatcher(m.cfg, t)
		}
	}
}

// Stop stops following all endpoints and waits for the goroutines.
func (m *Monitor) Stop() {
	m.mu.Lock()
	m.stopped = true
	watchers := m.watchers
	m.watchers = map[string]*watcher{}
	m.mu.Unlock()
	for _, w := range watchers {
		w.cancel()
	}
	for _, w := range watchers {
		w.done.Wait()
	}
}

// Dump returns the state of each followed endpoint, sorted by name.
func (m *Monitor) Dump() []EndpointDump {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]EndpointDump, 0, len(m.watchers))
	for _, w := range m.watchers {
		list = append(list, w.state())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Endpoint < list[j].Endpoint })
	return list
}

func startWatcher(cfg Config, t Target) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{
		observer:   cfg.Dial(t.Address),
		events:     cfg.Events,
		cancel:     cancel,
		target:     t,
		retarget:   make(chan struct{}, 1),
		heartbeats: make(chan heartbeat, 1),
		pollNow:    make(chan struct{}, 1),
	}
	w.dump = EndpointDump{Endpoint: t.Name, Pool: t.Pool}
	w.done.Go(func() { w.run(ctx) })
	return w
}
