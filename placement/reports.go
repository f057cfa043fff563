package placement

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// reportInterval is how long reports are collected into one message. It delays the
	// owner's knowledge of a free slot by a few percent of the shortest request's duration.
	reportInterval = 10 * time.Millisecond
	// reportTimeout is how long an owner may take to answer; reportRetryDelay is the time
	// until the next attempt after a failure.
	reportTimeout    = time.Second
	reportRetryDelay = 500 * time.Millisecond
	// maxPending is the maximum number of reports kept for one owner that does not answer.
	// The oldest are dropped; their grants end by their timeout.
	maxPending = 4096
	// maxReports is the maximum number of reports in one message.
	maxReports = 512
)

var (
	reportsSent = metrics.GetOrCreateCounter("sardinedock_place_reports_total")
	reportsLost = metrics.GetOrCreateCounter("sardinedock_place_reports_lost_total")
)

// reporter sends the outcome of grants to their owners, in batches, and keeps reports until
// the owner has confirmed them. Adding a report never blocks.
type reporter struct {
	f    *Fleet
	wake chan struct{}

	mu      sync.Mutex
	pending map[string]*pendingReports
}

// pendingReports are the reports for one owner.
type pendingReports struct {
	ends    []*fleetpb.GrantEnd
	sending bool
	retryAt time.Time
}

func newReporter(f *Fleet) *reporter {
	return &reporter{f: f, wake: make(chan struct{}, 1), pending: map[string]*pendingReports{}}
}

// add queues a report for the owner that gave the grant and, if the endpoint has another
// owner now, for that one too, since the grant may have been handed over.
func (r *reporter) add(g Grant, end *fleetpb.GrantEnd) {
	r.queue(g.Owner, end)
	if now := r.f.routes.Load().owners[g.Endpoint]; now != g.Owner {
		r.queue(now, end)
	}
}

// withdraw cancels an ask, or the grant whose reply was lost. The request gets a new ask
// ID, so that a late withdrawal cannot cancel a later ask.
func (r *reporter) withdraw(t *placement, instance, endpoint string) {
	r.queue(instance, &fleetpb.GrantEnd{Endpoint: endpoint, RequestId: t.askID(), State: fleetpb.GrantState_GRANT_STATE_UNUSED})
	t.withdrawn++
}

// askID returns the ID that identifies the request at owners.
func (t *placement) askID() string {
	if t.withdrawn == 0 {
		return t.request.ID
	}
	return t.request.ID + "/" + strconv.Itoa(t.withdrawn)
}

func (r *reporter) queue(instance string, end *fleetpb.GrantEnd) {
	if instance == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pending[instance]
	if p == nil {
		p = &pendingReports{}
		r.pending[instance] = p
	}
	p.ends = append(p.ends, end)
	p.trim()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (p *pendingReports) trim() {
	if over := len(p.ends) - maxPending; over > 0 {
		p.ends = p.ends[over:]
		reportsLost.Add(over)
	}
}

// run sends reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
		r.flush(ctx)
	}
}

// flush starts a message to each owner that has reports and is not in a retry delay.
func (r *reporter) flush(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.f.cfg.Clock.Now()
	view := r.f.routes.Load().view
	for instance, p := range r.pending {
		if len(p.ends) == 0 && !p.sending {
			delete(r.pending, instance)
			continue
		}
		if p.sending || now.Before(p.retryAt) {
			continue
		}
		r.send(ctx, instance, p, view)
	}
}

// send sends one batch. The caller must hold mu.
func (r *reporter) send(ctx context.Context, instance string, p *pendingReports, view *member.View) {
	batch := p.ends[:min(len(p.ends), maxReports)]
	p.ends = p.ends[len(batch):]
	if instance == view.Self {
		r.f.cfg.OwnerServer.Report(instance, batch)
		r.wakeAfter(0)
		return
	}
	m, ok := view.Find(instance)
	if !ok || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
		delete(r.pending, instance)
		reportsLost.Add(len(batch) + len(p.ends))
		return
	}
	p.sending = true
	go r.deliver(ctx, instance, m.Address, p, batch)
}

func (r *reporter) deliver(ctx context.Context, instance, address string, p *pendingReports, batch []*fleetpb.GrantEnd) {
	_, err := r.f.cfg.Peers.Report(ctx, address, reportTimeout, &fleetpb.ReportRequest{Caller: r.f.cfg.Caller, Ends: batch})
	r.mu.Lock()
	defer r.mu.Unlock()
	p.sending = false
	if err == nil {
		reportsSent.Inc()
		if len(p.ends) > 0 {
			r.wakeAfter(0)
		}
		return
	}
	p.ends = append(append([]*fleetpb.GrantEnd(nil), batch...), p.ends...)
	p.trim()
	p.retryAt = r.f.cfg.Clock.Now().Add(reportRetryDelay)
	r.wakeAfter(reportRetryDelay)
}

// wakeAfter wakes run after a delay.
func (r *reporter) wakeAfter(after time.Duration) {
	time.AfterFunc(after, func() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	})
}

// counts returns the number of pending reports by owner.
func (r *reporter) counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int, len(r.pending))
	for instance, p := range r.pending {
		counts[instance] = len(p.ends)
	}
	return counts
}
