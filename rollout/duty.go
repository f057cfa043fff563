package rollout

import (
	"context"
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
	// activeEvery and restEvery are the times between two looks at a pool,
	// while something is to be done and while nothing is. Each look asks every
	// endpoint of the pool once, so it is rare at rest; within it an order
	// that a former holder sent late is found and undone.
	activeEvery = 500 * time.Millisecond
	restEvery   = 3 * time.Second
	// activeEach and restEach are what each endpoint adds at least, so that the
	// holder of a large pool asks 50 times a second at most, and 10 at rest.
	activeEach = 20 * time.Millisecond
	restEach   = 100 * time.Millisecond
	// askTimeout bounds one question or order, asksAtOnce how many are open.
	askTimeout = 2 * time.Second
	asksAtOnce = 8
	// lagBound is how long an endpoint may answer without showing the effect of
	// an order that it took.
	lagBound = 2 * time.Second
	// giveUpAfter is how long an endpoint that does not answer counts as
	// loading. A lost machine must not hold up the others for good.
	giveUpAfter = 20 * time.Second
)

var (
	ordersTotal = metrics.GetOrCreateCounter("sardinedock_rollout_orders_total")
	orderFails  = metrics.GetOrCreateCounter("sardinedock_rollout_order_failures_total")
	staleOrders = metrics.GetOrCreateCounter("sardinedock_rollout_stale_fence_total")
)

// Engine is what a rollout needs of an engine.
type Engine interface {
	State(ctx context.Context) (endpoint.State, error)
	Order(ctx context.Context, o endpoint.Order) error
}

// Lease says whether this instance may act, and with which fencing number.
type Lease interface {
	Held() (fence uint64, ok bool)
}

// Config is what a Duty needs.
type Config struct {
	Pool  string
	Lease Lease
	// Records returns the records in force, or nil.
	Records func() *record.Snapshot
	// Dial returns the engine at an address.
	Dial func(address string) Engine
}

// Progress is how far the pool is, for operators.
type Progress struct {
	Pool string `json:"pool"`
	// At is when the endpoints were last asked.
	At time.Time `json:"at"`
	// Endpoints of the pool; Converged hold what is wanted, Loading load now,
	// Unanswered did not answer.
	Endpoints  int `json:"endpoints"`
	Converged  int `json:"converged"`
	Loading    int `json:"loading"`
	Unanswered int `json:"unanswered"`
	// Behind names endpoints that do not hold what is wanted.
	Behind []string `json:"behind,omitempty"`
	// Wanted lists the models as model@version.
	Wanted []string `json:"wanted"`
	// Since is when the pool last began or ended to differ from the records.
	Since time.Time `json:"since"`
	// Refused is the last order that an endpoint refused, and why.
	Refused string `json:"refused,omitempty"`
}

// Duty rolls one pool out while it holds the pool's lease. One goroutine does
// the work; Progress may be called by any.
type Duty struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	inFlight []InFlight
	// last is the newest state of each endpoint, so that one which stops
	// answering still counts as loading for a while.
	last map[string]lastState

	mu       sync.Mutex
	progress Progress
}

type lastState struct {
	state endpoint.State
	at    time.Time
}

// NewDuty returns a duty that does nothing before Start.
func NewDuty(cfg Config) *Duty {
	return &Duty{cfg: cfg, last: map[string]lastState{}, progress: Progress{Pool: cfg.Pool}}
}

// Start begins to look at the pool again and again.
func (d *Duty) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() {
		for ctx.Err() == nil {
			_ = clock.Sleep(ctx, d.round(ctx))
		}
	})
}

// Stop ends the duty and waits for its goroutine.
func (d *Duty) Stop() {
	d.cancel()
	d.done.Wait()
}

// Progress returns how far the pool was at the last look of this instance. ok
// is false if it does not hold the lease.
func (d *Duty) Progress() (p Progress, ok bool) {
	if _, held := d.cfg.Lease.Held(); !held {
		return Progress{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progress, !d.progress.At.IsZero()
}

// round looks at the pool once and sends what is due. It returns the time to
// the next look.
func (d *Duty) round(ctx context.Context) time.Duration {
	records := d.cfg.Records()
	fence, held := d.cfg.Lease.Held()
	if records == nil || !held {
		d.inFlight = nil
		return activeEvery
	}
	pool, ok := records.Pool(d.cfg.Pool)
	if !ok {
		return restEvery
	}
	wanted := WantedOf(records, d.cfg.Pool)
	observed := d.observe(ctx, pool.GetEndpoints())
	d.settle(time.Now(), observed)
	limits := Limits{LoadsAtOnce: int(pool.GetLoadsAtOnce())}
	if pool.GetChecksFencing() {
		limits.Fence = fence
	}
	orders := Plan(wanted, observed, d.inFlight, limits)
	d.note(wanted, observed)
	d.send(ctx, pool.GetEndpoints(), orders, fence)
	n := time.Duration(len(observed))
	if len(orders) == 0 && len(d.inFlight) == 0 && d.converged() {
		return max(restEvery, n*restEach)
	}
	return max(activeEvery, n*activeEach)
}

// observe asks all endpoints for their state, a few at a time.
func (d *Duty) observe(ctx context.Context, endpoints []*recordspb.Endpoint) []Observed {
	list := make([]Observed, len(endpoints))
	each(endpoints, func(i int, e *recordspb.Endpoint) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		s, err := d.cfg.Dial(e.GetAddress()).State(ctx)
		list[i] = Observed{Name: e.GetName(), Role: e.GetRole(), Leaving: e.GetLeaving(), Answered: err == nil, State: s}
	})
	d.remember(list, time.Now())
	return list
}

// remember puts the last state in place of the answers that did not come.
func (d *Duty) remember(list []Observed, now time.Time) {
	kept := make(map[string]lastState, len(list))
	for i, o := range list {
		last, ok := d.last[o.Name]
		switch {
		case o.Answered:
			kept[o.Name] = lastState{o.State, now}
		case ok && now.Sub(last.at) < giveUpAfter:
			kept[o.Name] = last
			list[i].State = last.state
		}
	}
	d.last = kept
}

// each calls fn for all endpoints, a bounded number at a time.
func each(endpoints []*recordspb.Endpoint, fn func(i int, e *recordspb.Endpoint)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, asksAtOnce)
	for i, e := range endpoints {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i, e)
		})
	}
	wg.Wait()
}

// settle forgets the orders whose effect is seen, those that an answering
// endpoint shows nothing of, and those that are given up.
func (d *Duty) settle(now time.Time, observed []Observed) {
	byName := make(map[string]Observed, len(observed))
	for _, o := range observed {
		byName[o.Name] = o
	}
	kept := d.inFlight[:0]
	for _, f := range d.inFlight {
		o, age := byName[f.Endpoint], now.Sub(f.Since)
		switch {
		case o.Answered && (f.seen(o.State) || age >= lagBound):
		case age >= giveUpAfter:
		default:
			kept = append(kept, f)
		}
	}
	d.inFlight = kept
}

// send sends the orders. Between the plan and an order this instance may have
// been paused for longer than the lease, so the lease is looked at once more.
func (d *Duty) send(ctx context.Context, endpoints []*recordspb.Endpoint, orders []Order, fence uint64) {
	addresses := map[string]string{}
	for _, e := range endpoints {
		addresses[e.GetName()] = e.GetAddress()
	}
	for _, o := range orders {
		if now, held := d.cfg.Lease.Held(); !held || now != fence {
			return
		}
		o.Order.Fence = fence
		d.inFlight = append(d.inFlight, InFlight{Order: o, Since: time.Now()})
		if !d.order(ctx, addresses[o.Endpoint], o) {
			return
		}
	}
}

// order sends one order. It reports false where a newer holder is at work.
func (d *Duty) order(ctx context.Context, address string, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ordersTotal.Inc()
	err := d.cfg.Dial(address).Order(ctx, o.Order)
	if err == nil {
		return true
	}
	orderFails.Inc()
	d.mu.Lock()
	d.progress.Refused = fmt.Sprintf("%s refused %s %s@%s: %v", o.Endpoint, o.Order.Kind, o.Order.Model, o.Order.Version, err)
	d.mu.Unlock()
	if fault.Is(err, fault.StaleFence) {
		staleOrders.Inc()
		return false
	}
	return true
}

func (d *Duty) converged() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.progress.Behind) == 0
}

// note keeps the progress and logs when the pool comes to differ from the
// records or to match them.
func (d *Duty) note(w Wanted, observed []Observed) {
	p := Progress{Pool: d.cfg.Pool, At: time.Now(), Endpoints: len(observed)}
	for _, m := range w.Models {
		p.Wanted = append(p.Wanted, m.Model+"@"+m.Version)
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
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.progress
	p.Since, p.Refused = before.Since, before.Refused
	if before.At.IsZero() || (len(before.Behind) == 0) != (len(p.Behind) == 0) {
		p.Since = p.At
		log.WithField("pool", p.Pool).WithField("behind", len(p.Behind)).Info("rollout state changed")
	}
	if len(p.Behind) == 0 {
		p.Refused = ""
	}
	d.progress = p
}
