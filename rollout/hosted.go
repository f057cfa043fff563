package rollout

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	// tick is how often the plan is made while something is to be done, calm
	// otherwise.
	tick = 30 * time.Millisecond
	calm = 200 * time.Millisecond
	// firstLoadTime is how long a load is thought to take before one was seen.
	firstLoadTime = 500 * time.Millisecond
	// pollEvery is the time between two looks at an endpoint that should be done
	// loading. Reports are a tenth of a second old.
	pollEvery = 100 * time.Millisecond
	// againAfter is the wait after an order that was refused or not answered.
	againAfter = 300 * time.Millisecond
	// giveUpLoad is how long an accepted order is waited for before it is given
	// again.
	giveUpLoad = 6 * time.Second
	// maxMisses is after how many reports without an answer an endpoint counts as
	// gone while it loads. It would otherwise hold one of the few places of those
	// that may load at a time, and a crash during a rollout stop the whole pool.
	maxMisses = 3
	// loadTimeWeight is the weight of the newest load in the usual time.
	loadTimeWeight = 0.3
)

// Control gives orders to endpoints.
type Control interface {
	Load(ctx context.Context, t Target, o LoadOrder) (Verdict, error)
	Report(ctx context.Context, t Target) (Report, error)
}

// HostedConfig is what a Hosted duty needs.
type HostedConfig struct {
	// Self is this instance's name.
	Self    string
	Lease   Lease
	Control Control
	State   *balance.State
	// Pools returns the services with models, and these models.
	Pools func() map[string][]string
	// Soon is told which endpoint loads next, after about d.
	Soon func(endpointID string, d time.Duration)
	// Loading is told which endpoint loads, and for how much longer; Holds which
	// version an endpoint has. They must not block.
	Loading func(endpointID string, d time.Duration)
	Holds   func(endpointID, model string, version int64)
}

// Hosted brings the endpoints of hosted pools to the versions that operators
// name, while this instance holds the lease. Want may be called by any
// goroutine.
type Hosted struct {
	cfg HostedConfig

	mu       sync.Mutex
	wanted   map[string]int64
	targets  map[string]*target
	loadTime time.Duration
	fence    uint64
	fenced   uint64
	news     chan struct{}
	orders   sync.WaitGroup
}

// target is what the holder knows of one incarnation.
type target struct {
	// orders is the number of orders that it has taken; known says whether that
	// was read.
	orders    uint64
	known     bool
	busyUntil time.Time
	loading   bool
}

// NewHosted returns a duty that Run starts.
func NewHosted(cfg HostedConfig) *Hosted {
	return &Hosted{cfg: cfg, wanted: map[string]int64{}, targets: map[string]*target{}, loadTime: firstLoadTime, news: make(chan struct{}, 1)}
}

// Want says which version of a model operators have named. Older ones are
// skipped.
func (h *Hosted) Want(w Weights) {
	h.mu.Lock()
	newer := w.Version > h.wanted[w.Model]
	if newer {
		h.wanted[w.Model] = w.Version
	}
	h.mu.Unlock()
	if !newer {
		return
	}
	log.WithField("model", w.Model).WithField("version", w.Version).Info("weights named")
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// Wanted returns the versions that operators have named.
func (h *Hosted) Wanted() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.wanted)
}

// Run gives orders until ctx ends.
func (h *Hosted) Run(ctx context.Context) {
	defer h.orders.Wait()
	for ctx.Err() == nil {
		pause := calm
		if fence, held := h.cfg.Lease.Held(); held && fence != h.fencedOut() {
			h.takeOver(fence)
			if h.round(ctx, fence) {
				pause = tick
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.news:
		}
		timer.Stop()
	}
}

func (h *Hosted) fencedOut() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fenced
}

// takeOver forgets what an earlier term of this instance knew: others may have
// given orders since.
func (h *Hosted) takeOver(fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fence == fence {
		return
	}
	h.fence = fence
	h.targets = map[string]*target{}
	log.WithField("fence", fence).Info("rollout taken over")
}

// round plans once and sends the orders; it reports whether more is to come.
func (h *Hosted) round(ctx context.Context, fence uint64) bool {
	now := time.Now()
	open := false
	for service, models := range h.cfg.Pools() {
		for _, model := range models {
			want := h.Wanted()[model]
			if want == 0 {
				continue
			}
			list, behind := h.candidates(now, service, model, want)
			open = open || behind
			load, next := PlanLoads(now, want, list)
			for _, c := range load {
				h.begin(c)
				h.orders.Go(func() { h.order(ctx, c.Target, Weights{model, want}, fence) })
			}
			if len(load) > 0 {
				h.announce(next)
			}
		}
	}
	return open
}

func (h *Hosted) candidates(now time.Time, service, model string, want int64) (list []Candidate, behind bool) {
	views := h.cfg.State.Endpoints(service, now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range views {
		t, ok := h.targets[v.ID]
		if !ok {
			t = &target{}
			h.targets[v.ID] = t
		}
		list = append(list, Candidate{
			Target: Target{ID: v.ID, Name: v.Name, Born: v.Born, Address: v.Address}, Version: v.Versions[model], Running: v.Running, Draining: v.Draining,
			BusyUntil: t.busyUntil, Loading: t.loading, Doubtful: v.Suspected,
		})
		behind = behind || v.Versions[model] < want && !v.Draining
	}
	return list, behind
}

// announce tells which endpoints load next.
func (h *Hosted) announce(next []Candidate) {
	usual := h.usualTime()
	for _, c := range next {
		h.cfg.Soon(c.ID, usual)
	}
}

// begin counts the endpoint as loading before its order leaves.
func (h *Hosted) begin(c Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[c.ID]
	t.loading = true
	t.busyUntil = time.Now().Add(giveUpLoad)
}

// order gives one order and follows the load to its end.
func (h *Hosted) order(ctx context.Context, t Target, w Weights, fence uint64) {
	expect, ok := h.expected(ctx, t, w)
	if !ok {
		h.settle(t, againAfter)
		return
	}
	if now, held := h.cfg.Lease.Held(); !held || now != fence {
		h.settle(t, 0)
		return
	}
	ordersTotal.Inc()
	h.cfg.Loading(t.ID, h.usualTime())
	sentAt := time.Now()
	verdict, err := h.cfg.Control.Load(ctx, t, LoadOrder{Weights: w, Mode: LoadAtOnce, Holder: h.cfg.Self, Fence: fence, Expect: &expect})
	line := log.WithFields(log.Fields{"endpoint": t.ID, "model": w.Model, "version": w.Version, "fence": fence, "expect": expect, "verdict": int(verdict)})
	if err != nil {
		line = line.WithField("why", err.Error())
	}
	line.Info("order")
	h.judge(ctx, t, w, verdict, fence, expect, sentAt)
}

// expected returns how many orders the endpoint has taken. It asks where that is
// not known, and learns the version on the way.
func (h *Hosted) expected(ctx context.Context, t Target, w Weights) (uint64, bool) {
	h.mu.Lock()
	known := h.targets[t.ID]
	if known != nil && known.known {
		n := known.orders
		h.mu.Unlock()
		return n, true
	}
	h.mu.Unlock()
	r, err := h.cfg.Control.Report(ctx, t)
	if err != nil {
		orderFails.Inc()
		return 0, false
	}
	h.note(t, r.Orders, true)
	if v := r.Versions[w.Model]; v >= w.Version && !r.Loading {
		h.cfg.Holds(t.ID, w.Model, v)
		return 0, false
	}
	return r.Orders, !r.Loading
}

func (h *Hosted) note(t Target, orders uint64, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x := h.targets[t.ID]; x != nil {
		x.orders, x.known = orders, known
	}
}

// settle ends an order; the endpoint may get another one after the pause.
func (h *Hosted) settle(t Target, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if x := h.targets[t.ID]; x != nil {
		x.loading = false
		x.busyUntil = time.Now().Add(pause)
	}
}

func (h *Hosted) judge(ctx context.Context, t Target, w Weights, v Verdict, fence, expect uint64, sentAt time.Time) {
	switch v {
	case Accepted:
		h.note(t, expect+1, true)
		h.follow(ctx, t, w, sentAt)
		return
	case InPlace:
		h.cfg.Holds(t.ID, w.Model, w.Version)
		h.settle(t, 0)
		return
	case Fenced:
		staleOrders.Inc()
		h.mu.Lock()
		h.fenced = fence
		h.mu.Unlock()
	case Replaced:
		h.cfg.State.MarkDraining(t.ID)
	}
	orderFails.Inc()
	// Whatever the reason, the number of orders is not certain any more.
	h.note(t, 0, false)
	h.settle(t, againAfter)
}

// follow waits until the endpoint has the new weights.
func (h *Hosted) follow(ctx context.Context, t Target, w Weights, sentAt time.Time) {
	_ = clock.Sleep(ctx, h.usualTime()-time.Since(sentAt))
	misses := 0
	for ctx.Err() == nil && time.Since(sentAt) < giveUpLoad {
		r, err := h.cfg.Control.Report(ctx, t)
		if err != nil {
			if misses++; misses >= maxMisses || fault.Is(err, fault.NotFound) {
				break
			}
		}
		if err == nil && r.Versions[w.Model] >= w.Version {
			h.learn(time.Since(sentAt))
			h.cfg.Holds(t.ID, w.Model, r.Versions[w.Model])
			h.settle(t, 0)
			return
		}
		if err == nil && !r.Loading {
			// It has restarted, or the report is older than the order.
			if time.Since(sentAt) > 2*h.usualTime()+againAfter {
				break
			}
		}
		h.cfg.Loading(t.ID, pollEvery)
		_ = clock.Sleep(ctx, pollEvery)
	}
	h.note(t, 0, false)
	h.settle(t, againAfter)
}

func (h *Hosted) usualTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loadTime
}

func (h *Hosted) learn(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadTime += time.Duration(loadTimeWeight * float64(took-h.loadTime))
}
