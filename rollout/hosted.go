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
	// busyInterval is the time between plans while endpoints lack the wanted
	// weights, hostedIdleInterval otherwise.
	busyInterval       = 30 * time.Millisecond
	hostedIdleInterval = 200 * time.Millisecond
	// initialLoadTime is the estimated duration of a load before one was measured.
	initialLoadTime = 500 * time.Millisecond
	// pollInterval is the time between two queries of an endpoint whose load
	// should be complete. Its reports are up to 100 ms old.
	pollInterval = 100 * time.Millisecond
	// retryDelay is the time before an endpoint gets another order after one that
	// was refused or not answered.
	retryDelay = 300 * time.Millisecond
	// loadTimeout is how long an accepted order may take before it is sent
	// again.
	loadTimeout = 6 * time.Second
	// maxFailedReports is the number of unanswered report queries after which a
	// loading endpoint counts as down. Only few endpoints may load at a time, so
	// without it endpoints that crash during a rollout would use up that limit
	// and stop the rollout of the whole pool.
	maxFailedReports = 3
	// loadTimeWeight is the weight of the latest load in the moving average of
	// load times.
	loadTimeWeight = 0.3
)

// Control sends orders and queries to endpoints.
type Control interface {
	// Load sends an order. It calls ready before, and sends nothing if that returns an error. When ctx is done
	// without an answer, what the endpoint has not received is discarded.
	Load(ctx context.Context, t Target, o LoadOrder, ready func() error) (Verdict, error)
	Report(ctx context.Context, t Target) (Report, error)
}

// HostedConfig configures a Hosted.
type HostedConfig struct {
	// Self is this instance's name.
	Self    string
	Lease   Lease
	Control Control
	State   *balance.State
	// Pools returns the models of each service that has any, by service name.
	Pools func() map[string][]string
	// LoadExpected is called with an endpoint that is expected to start loading after
	// about d. It must not block.
	LoadExpected func(endpointID string, d time.Duration)
	// Loading is called with an endpoint that is loading and the expected
	// remaining time. SetLoaded is called with the version that an endpoint has
	// loaded. Neither may block.
	Loading   func(endpointID string, d time.Duration)
	SetLoaded func(endpointID, model string, version int64)
}

// Hosted brings the endpoints of hosted pools to the versions that operators
// request, while this instance holds the lease. SetWanted and Wanted are safe for
// concurrent use.
type Hosted struct {
	cfg HostedConfig

	mu       sync.Mutex
	wanted   map[string]int64
	targets  map[string]*target
	loadTime time.Duration
	fence    uint64
	// staleFence is the own fencing number that an endpoint refused as stale; no
	// more orders are sent with it.
	staleFence uint64
	wake       chan struct{}
	orders     sync.WaitGroup
}

// target is what the lease holder knows of one incarnation of an endpoint.
type target struct {
	// orders is the number of orders that the endpoint has accepted; it is valid
	// only if known is true.
	orders    uint64
	known     bool
	busyUntil time.Time
	loading   bool
}

// NewHosted returns a Hosted that is idle until Run.
func NewHosted(cfg HostedConfig) *Hosted {
	return &Hosted{cfg: cfg, wanted: map[string]int64{}, targets: map[string]*target{}, loadTime: initialLoadTime, wake: make(chan struct{}, 1)}
}

// SetWanted sets the version of a model that operators request. A version older than
// the current one is ignored.
func (h *Hosted) SetWanted(w Weights) {
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
	case h.wake <- struct{}{}:
	default:
	}
}

// Wanted returns the versions that operators request, by model.
func (h *Hosted) Wanted() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.wanted)
}

// Run sends orders until ctx is done, and waits for those in flight.
func (h *Hosted) Run(ctx context.Context) {
	defer h.orders.Wait()
	for ctx.Err() == nil {
		pause := hostedIdleInterval
		if fence, held := h.cfg.Lease.Held(); held && fence != h.currentStaleFence() {
			h.takeOver(fence)
			if h.reconcile(ctx, fence) {
				pause = busyInterval
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-h.wake:
		}
		timer.Stop()
	}
}

func (h *Hosted) currentStaleFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.staleFence
}

// takeOver resets the target states at the start of a lease term: other holders
// may have sent orders since an earlier term of this instance.
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

// reconcile plans once and sends the orders. It reports whether any endpoint still
// lacks the wanted version.
func (h *Hosted) reconcile(ctx context.Context, fence uint64) bool {
	now := time.Now()
	unfinished := false
	for service, models := range h.cfg.Pools() {
		for _, model := range models {
			want := h.Wanted()[model]
			if want == 0 {
				continue
			}
			list, behind := h.candidates(now, service, model, want)
			unfinished = unfinished || behind
			load, next := PlanLoads(now, want, list)
			for _, c := range load {
				h.markLoading(c)
				h.orders.Go(func() { h.runOrder(ctx, c.Target, Weights{model, want}, fence) })
			}
			if len(load) > 0 {
				h.announce(next)
			}
		}
	}
	return unfinished
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
			BusyUntil: t.busyUntil, Loading: t.loading, Unreliable: v.Suspected,
		})
		behind = behind || v.Versions[model] < want && !v.Draining
	}
	return list, behind
}

// announce calls LoadExpected for the endpoints that load next.
func (h *Hosted) announce(next []Candidate) {
	loadTime := h.averageLoadTime()
	for _, c := range next {
		h.cfg.LoadExpected(c.ID, loadTime)
	}
}

// markLoading counts the endpoint as loading from before its order is sent.
func (h *Hosted) markLoading(c Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[c.ID]
	t.loading = true
	t.busyUntil = time.Now().Add(loadTimeout)
}

// runOrder sends one order and waits for the load to end.
func (h *Hosted) runOrder(ctx context.Context, t Target, w Weights, fence uint64) {
	expect, ok := h.expectedOrders(ctx, t, w)
	if !ok {
		h.endOrder(t, retryDelay)
		return
	}
	var verdict Verdict
	sentAt := time.Now()
	began := h.cfg.Lease.Act(ctx, fence, func(ctx context.Context, check func() error) bool {
		o := LoadOrder{Weights: w, Mode: LoadAtOnce, Holder: h.cfg.Self, Fence: fence, Expect: &expect}
		var err error
		verdict, err = h.sendOrder(ctx, t, o, check)
		return verdict != Unanswered || settled(err)
	})
	if !began {
		h.endOrder(t, retryDelay)
		return
	}
	h.handleVerdict(ctx, t, w, verdict, fence, expect, sentAt)
}

// sendOrder sends one order. Its start is logged too, so that the logs show what was on its way when a
// term ended.
func (h *Hosted) sendOrder(ctx context.Context, t Target, o LoadOrder, check func() error) (Verdict, error) {
	ordersTotal.Inc()
	h.cfg.Loading(t.ID, h.averageLoadTime())
	sentAt := time.Now()
	fields := log.Fields{"endpoint": t.ID, "model": o.Model, "version": o.Version, "fence": o.Fence, "expect": *o.Expect}
	begun := log.WithFields(fields)
	if deadline, ok := ctx.Deadline(); ok {
		begun = begun.WithField("within_ms", time.Until(deadline).Milliseconds())
	}
	begun.Info("order begun")
	verdict, err := h.cfg.Control.Load(ctx, t, o, check)
	line := log.WithFields(fields).WithField("verdict", int(verdict)).WithField("ms", time.Since(sentAt).Milliseconds())
	if err != nil {
		line = line.WithField("why", err.Error())
	}
	line.Info("order")
	return verdict, err
}

// expectedOrders returns how many orders the endpoint has accepted so far. If that
// is not known it queries the endpoint. It returns false if the query failed, or
// shows that no order can be sent now because the endpoint is loading or already
// has the version.
func (h *Hosted) expectedOrders(ctx context.Context, t Target, w Weights) (uint64, bool) {
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
		orderFailures.Inc()
		return 0, false
	}
	h.setOrders(t, r.Orders, true)
	if v := r.Versions[w.Model]; v >= w.Version && !r.Loading {
		h.cfg.SetLoaded(t.ID, w.Model, v)
		return 0, false
	}
	return r.Orders, !r.Loading
}

func (h *Hosted) setOrders(t Target, orders uint64, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.targets[t.ID]; state != nil {
		state.orders, state.known = orders, known
	}
}

// endOrder marks an order as ended; the endpoint may get another one after delay.
func (h *Hosted) endOrder(t Target, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.targets[t.ID]; state != nil {
		state.loading = false
		state.busyUntil = time.Now().Add(delay)
	}
}

func (h *Hosted) handleVerdict(ctx context.Context, t Target, w Weights, v Verdict, fence, expect uint64, sentAt time.Time) {
	switch v {
	case Accepted:
		h.setOrders(t, expect+1, true)
		h.awaitLoad(ctx, t, w, sentAt)
		return
	case AlreadyLoaded:
		h.cfg.SetLoaded(t.ID, w.Model, w.Version)
		h.endOrder(t, 0)
		return
	case StaleFence:
		staleOrders.Inc()
		h.mu.Lock()
		h.staleFence = fence
		h.mu.Unlock()
	case Replaced:
		h.cfg.State.MarkReplaced(t.ID)
	}
	orderFailures.Inc()
	// Whatever the verdict, the number of accepted orders is no longer certain.
	h.setOrders(t, 0, false)
	h.endOrder(t, retryDelay)
}

// awaitLoad waits until the endpoint has loaded the new weights, is down, or
// loadTimeout has passed.
func (h *Hosted) awaitLoad(ctx context.Context, t Target, w Weights, sentAt time.Time) {
	_ = clock.Sleep(ctx, h.averageLoadTime()-time.Since(sentAt))
	failedReports := 0
	for ctx.Err() == nil && time.Since(sentAt) < loadTimeout {
		r, err := h.cfg.Control.Report(ctx, t)
		if err != nil {
			if failedReports++; failedReports >= maxFailedReports || fault.Is(err, fault.NotFound) {
				break
			}
		}
		if err == nil && r.Versions[w.Model] >= w.Version {
			h.recordLoadTime(time.Since(sentAt))
			h.cfg.SetLoaded(t.ID, w.Model, r.Versions[w.Model])
			h.endOrder(t, 0)
			return
		}
		if err == nil && !r.Loading {
			// The endpoint has restarted, or its report is older than the order.
			if time.Since(sentAt) > 2*h.averageLoadTime()+retryDelay {
				break
			}
		}
		h.cfg.Loading(t.ID, pollInterval)
		_ = clock.Sleep(ctx, pollInterval)
	}
	h.setOrders(t, 0, false)
	h.endOrder(t, retryDelay)
}

func (h *Hosted) averageLoadTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loadTime
}

func (h *Hosted) recordLoadTime(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadTime += time.Duration(loadTimeWeight * float64(took-h.loadTime))
}
