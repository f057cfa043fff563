package monitor

import (
	"context"
	"sort"
	"sync"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ring"
)

// Config is what a Monitor needs.
type Config struct {
	// Dial returns what reads the engine at an address. Its Events bring the
	// heartbeats that stand for most polls. Its State must use a
	// new connection at each call, so that an open connection which went
	// silent for good does not pass for a dead engine.
	Dial func(address string) endpoint.Observer
	// Events takes what the endpoints show. When it is full the oldest are
	// given up: a status comes again, a lost cache event shows as a gap.
	Events *ring.Ring[Event]
}

// Target is an endpoint to follow.
type Target struct {
	Name    string
	Pool    string
	Address string
	// Leaving is the record's word that it gets no new work.
	Leaving bool
	Bounds  policy.HealthBounds
}

// Monitor follows a set of endpoints, each by goroutines of its own. All
// methods may be called by any goroutine.
type Monitor struct {
	cfg Config

	mu       sync.Mutex
	watchers map[string]*watcher
	stopped  bool
}

// New returns a monitor that follows nothing.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, watchers: map[string]*watcher{}}
}

// SetEndpoints replaces the set of endpoints that are followed. What is known
// of those that stay is kept. It does not block on I/O.
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
		if t, ok := wanted[name]; ok && w.set(t) {
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

// Stop ends all following and waits for the goroutines.
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

// Dump returns the state of each followed endpoint, in order of name.
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
		observer: cfg.Dial(t.Address),
		events:   cfg.Events,
		cancel:   cancel,
		target:   t,
		retarget: make(chan struct{}, 1),
		beats:    make(chan beat, 1),
		ask:      make(chan struct{}, 1),
	}
	w.dump = EndpointDump{Endpoint: t.Name, Pool: t.Pool}
	w.done.Go(func() { w.run(ctx) })
	return w
}
