package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const (
	// activeInterval and idleInterval are the times between two reconciliations
	// of a pool, while it differs from the records and while it matches them.
	// Each one queries every endpoint of the pool once, so they are rare when
	// idle. An order that a former lease holder sent late is found and undone
	// within idleInterval.
	activeInterval = 500 * time.Millisecond
	idleInterval   = 3 * time.Second
	// activePerEndpoint and idlePerEndpoint are the least time per endpoint of
	// the pool, so that the lease holder of a large pool sends at most 50
	// queries a second, and 10 when idle.
	activePerEndpoint = 20 * time.Millisecond
	idlePerEndpoint   = 100 * time.Millisecond
	// callTimeout bounds one state query or order; maxConcurrentCalls is the
	// number of state queries in flight.
	callTimeout        = 2 * time.Second
	maxConcurrentCalls = 8
	// effectTimeout is how long after an order an endpoint's reported state may
	// lack the order's effect before the order counts as lost.
	effectTimeout = 2 * time.Second
	// unresponsiveTimeout is how long an endpoint that does not answer still
	// counts as loading. Without it a lost machine would block the rollout of
	// the other endpoints forever.
	unresponsiveTimeout = 20 * time.Second
)

var (
	ordersTotal   = metrics.GetOrCreateCounter("sardinedock_rollout_orders_total")
	orderFailures = metrics.GetOrCreateCounter("sardinedock_rollout_order_failures_total")
	staleOrders   = metrics.GetOrCreateCounter("sardinedock_rollout_stale_fence_total")
)

// Engine is the part of an engine's interface that a rollout uses.
type Engine interface {
	State(ctx context.Context) (endpoint.State, error)
	Order(ctx context.Context, o endpoint.Order, ready func() error) error
}

// Lease is the pool's lease; see lease.Manager.
type Lease interface {
	// Held reports whether this instance holds the lease, and with which fencing number.
	Held() (fence uint64, ok bool)
	// Act runs act, which sends an order under the lease. It returns false without a call of act if no order may be
	// sent under the fencing number.
	Act(ctx context.Context, fence uint64, act func(ctx context.Context, check func() error) (settled bool)) bool
}

// settled reports whether the outcome of a call that sent an order is known: it was answered, or nothing
// was sent. Any other order may still arrive.
func settled(err error) bool {
	var answered *endpoint.StatusError
	return err == nil || fault.Is(err, fault.Unavailable) || errors.As(err, &answered)
}

// Config configures a Manager.
type Config struct {
	Pool  string
	Lease Lease
	// Records returns the records in force, or nil if there are none yet.
	Records func() *record.Snapshot
	// Dial returns a client of the engine at an address.
	Dial func(address string) Engine
}

// Progress is the state of a pool's rollout, for operators.
type Progress struct {
	Pool string `json:"pool"`
	// At is when the endpoints' states were last queried.
	At time.Time `json:"at"`
	// Endpoints is the number of endpoints in the pool. Converged counts those
	// in the wanted state, Loading those loading weights now, and Unanswered
	// those that did not answer.
	Endpoints  int `json:"endpoints"`
	Converged  int `json:"converged"`
	Loading    int `json:"loading"`
	Unanswered int `json:"unanswered"`
	// Behind names the endpoints that are not in the wanted state.
	Behind []string `json:"behind,omitempty"`
	// Wanted lists the models as model@version.
	Wanted []string `json:"wanted"`
	// Since is when the pool last started or stopped differing from the records.
	Since time.Time `json:"since"`
	// Refused is the last order that an endpoint refused, and why.
	Refused string `json:"refused,omitempty"`
}

// Manager brings the endpoints of one pool to the state in the records while this
// instance holds the pool's lease. It works in one goroutine of its own; Progress
// is safe for concurrent use.
type Manager struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	inFlight []InFlight
	// last is the latest state of each endpoint, so that one that stops
	// answering while it loads still counts as loading until
	// unresponsiveTimeout.
	last map[string]lastState

	mu       sync.Mutex
	progress Progress
}

type lastState struct {
	state endpoint.State
	at    time.Time
}

// NewManager returns a Manager that is idle until Start.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, last: map[string]lastState{}, progress: Progress{Pool: cfg.Pool}}
}

// Start starts to reconcile the pool periodically.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() {
		for ctx.Err() == nil {
			_ = clock.Sleep(ctx, m.reconcile(ctx))
		}
	})
}

// Stop stops the reconciliation and waits for its goroutine.
func (m *Manager) Stop() {
	m.cancel()
	m.done.Wait()
}

// Progress returns the progress as of this instance's last reconciliation. ok is
// false if the instance does not hold the lease or has not queried the pool yet.
func (m *Manager) Progress() (p Progress, ok bool) {
	if _, held := m.cfg.Lease.Held(); !held {
		return Progress{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.progress, !m.progress.At.IsZero()
}

// reconcile queries the pool's endpoints once and sends the orders that are due.
// It returns the time to wait before the next call.
func (m *Manager) reconcile(ctx context.Context) time.Duration {
	records := m.cfg.Records()
	fence, held := m.cfg.Lease.Held()
	if records == nil || !held {
		m.inFlight = nil
		return activeInterval
	}
	pool, ok := records.Pool(m.cfg.Pool)
	if !ok {
		return idleInterval
	}
	wanted := WantedOf(records, m.cfg.Pool)
	observed := m.observe(ctx, pool.GetEndpoints())
	m.dropFinished(time.Now(), observed)
	limits := Limits{LoadsAtOnce: int(pool.GetLoadsAtOnce())}
	if pool.GetChecksFencing() {
		limits.Fence = fence
	}
	orders := Plan(wanted, observed, m.inFlight, limits)
	m.updateProgress(wanted, observed)
	m.send(ctx, pool.GetEndpoints(), orders, fence)
	n := time.Duration(len(observed))
	if len(orders) == 0 && len(m.inFlight) == 0 && m.converged() {
		return max(idleInterval, n*idlePerEndpoint)
	}
	return max(activeInterval, n*activePerEndpoint)
}

// observe queries the state of all endpoints, with bounded concurrency.
func (m *Manager) observe(ctx context.Context, endpoints []*recordspb.Endpoint) []Observed {
	list := make([]Observed, len(endpoints))
	forEach(endpoints, func(i int, e *recordspb.Endpoint) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s, err := m.cfg.Dial(e.GetAddress()).State(ctx)
		list[i] = Observed{Name: e.GetName(), Role: e.GetRole(), Leaving: e.GetLeaving(), Answered: err == nil, State: s}
	})
	m.fillMissing(list, time.Now())
	return list
}

// fillMissing uses the last known state for endpoints that did not answer, until
// unresponsiveTimeout.
func (m *Manager) fillMissing(list []Observed, now time.Time) {
	remaining := make(map[string]lastState, len(list))
	for i, o := range list {
		last, ok := m.last[o.Name]
		switch {
		case o.Answered:
			remaining[o.Name] = lastState{o.State, now}
		case ok && now.Sub(last.at) < unresponsiveTimeout:
			remaining[o.Name] = last
			list[i].State = last.state
		}
	}
	m.last = remaining
}

// forEach calls fn for all endpoints, at most maxConcurrentCalls at a time, and
// waits for them.
func forEach(endpoints []*recordspb.Endpoint, fn func(i int, e *recordspb.Endpoint)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i, e := range endpoints {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i, e)
		})
	}
	wg.Wait()
}

// dropFinished removes orders from inFlight: those whose effect is visible, those
// whose endpoint answers but has not shown an effect within effectTimeout, and those
// whose endpoint has been unresponsive for unresponsiveTimeout.
func (m *Manager) dropFinished(now time.Time, observed []Observed) {
	byName := make(map[string]Observed, len(observed))
	for _, o := range observed {
		byName[o.Name] = o
	}
	remaining := m.inFlight[:0]
	for _, f := range m.inFlight {
		o, age := byName[f.Endpoint], now.Sub(f.Since)
		switch {
		case o.Answered && (f.visible(o.State) || age >= effectTimeout):
		case age >= unresponsiveTimeout:
		default:
			remaining = append(remaining, f)
		}
	}
	m.inFlight = remaining
}

// send sends the orders, each under the lease: this instance may have been paused for longer than the
// lease since the plan was made.
func (m *Manager) send(ctx context.Context, endpoints []*recordspb.Endpoint, orders []Order, fence uint64) {
	addresses := map[string]string{}
	for _, e := range endpoints {
		addresses[e.GetName()] = e.GetAddress()
	}
	for _, o := range orders {
		o.Order.Fence = fence
		goOn := false
		m.cfg.Lease.Act(ctx, fence, func(ctx context.Context, check func() error) bool {
			m.inFlight = append(m.inFlight, InFlight{Order: o, Since: time.Now()})
			err := m.sendOrder(ctx, addresses[o.Endpoint], o, check)
			goOn = !fault.Is(err, fault.StaleFence)
			return settled(err)
		})
		if !goOn {
			return
		}
	}
}

// sendOrder sends one order. An error of kind fault.StaleFence means that the endpoint has already seen a
// newer lease holder.
func (m *Manager) sendOrder(ctx context.Context, address string, o Order, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ordersTotal.Inc()
	err := m.cfg.Dial(address).Order(ctx, o.Order, check)
	if err == nil {
		return nil
	}
	orderFailures.Inc()
	m.mu.Lock()
	m.progress.Refused = fmt.Sprintf("%s refused %s %s@%s: %v", o.Endpoint, o.Order.Kind, o.Order.Model, o.Order.Version, err)
	m.mu.Unlock()
	if fault.Is(err, fault.StaleFence) {
		staleOrders.Inc()
	}
	return err
}

func (m *Manager) converged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.progress.Behind) == 0
}

// updateProgress stores the progress and logs when the pool starts or stops
// differing from the records.
func (m *Manager) updateProgress(w Wanted, observed []Observed) {
	p := Progress{Pool: m.cfg.Pool, At: time.Now(), Endpoints: len(observed)}
	for _, model := range w.Models {
		p.Wanted = append(p.Wanted, model.Model+"@"+model.Version)
	}
	for _, o := range observed {
		switch {
		case Converged(w, o):
			p.Converged++
			continue
		case !o.Answered:
			p.Unanswered++
		case len(o.State.Loading) > 0:
			p.Loading++
		}
		p.Behind = append(p.Behind, o.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.progress
	p.Since, p.Refused = before.Since, before.Refused
	if before.At.IsZero() || (len(before.Behind) == 0) != (len(p.Behind) == 0) {
		p.Since = p.At
		log.WithField("pool", p.Pool).WithField("behind", len(p.Behind)).Info("rollout state changed")
	}
	if len(p.Behind) == 0 {
		p.Refused = ""
	}
	m.progress = p
}
