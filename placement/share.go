package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// shareQueueSize is the capacity of the queues between placement and the exchange, in both
// directions. If a queue is full its oldest entry is dropped: fingerprints and usage are
// published again, and endpoint states are replaced by the next observation.
const shareQueueSize = 1024

const (
	// handOverTimeout is how long the next owner may take to accept an endpoint;
	// handOverWorkers is the number of concurrent transfers.
	handOverTimeout = 2 * time.Second
	handOverWorkers = 8
	// handOverPoll is how often Wait checks whether all transfers are done.
	handOverPoll = 5 * time.Millisecond
)

var (
	handOversDone      = metrics.GetOrCreateCounter(`sardinedock_owner_hand_overs_total{result="done"}`)
	handOversFailed    = metrics.GetOrCreateCounter(`sardinedock_owner_hand_overs_total{result="failed"}`)
	publicationsFailed = metrics.GetOrCreateCounter("sardinedock_place_publications_failed_total")
)

// publication is a value to be published through the exchange.
type publication struct {
	key   exchange.Key
	value []byte
	ttl   time.Duration
}

func (f *Fleet) publish(kind fleetpb.ItemKind, name string, value []byte, ttl time.Duration) {
	f.outbox.Push(publication{exchange.Key{Kind: kind, Name: name}, value, ttl})
}

// HandleItems processes items that the exchange received. It does not block.
func (f *Fleet) HandleItems(items []exchange.Item) { f.inbox.Push(items) }

// PublishEndpointState applies the state that this instance observed of an endpoint it owns,
// and publishes it to all instances.
func (f *Fleet) PublishEndpointState(ctx context.Context, endpoint string, s *fleetpb.EndpointState) {
	f.states.update(endpoint, s)
	_ = f.cfg.OwnerServer.Status(ctx, endpoint, s)
	if value, err := (proto.MarshalOptions{Deterministic: true}).Marshal(s); err == nil {
		f.publish(fleetpb.ItemKind_ITEM_KIND_ENDPOINT, endpoint, value, 0)
	}
}

// Run runs the background tasks until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.reports.run(ctx) })
	wg.Go(func() { f.limits.run(ctx, f.cfg.Clock.Now) })
	wg.Go(func() { f.runOutbox(ctx) })
	wg.Go(func() { f.runInbox(ctx) })
	wg.Wait()
}

func (f *Fleet) runOutbox(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.outbox.C():
			if f.cfg.Publish(ctx, p.key, p.value, p.ttl) != nil {
				publicationsFailed.Inc()
			}
		}
	}
}

func (f *Fleet) runInbox(ctx context.Context) {
	expire := time.NewTicker(crashRetention / 10)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case items := <-f.inbox.C():
			for _, it := range items {
				f.merge(ctx, it)
			}
		case <-expire.C:
			f.guard.expire(f.cfg.Clock.Now())
		}
	}
}

func (f *Fleet) merge(ctx context.Context, it exchange.Item) {
	switch it.Key.Kind {
	case fleetpb.ItemKind_ITEM_KIND_ENDPOINT:
		s := &fleetpb.EndpointState{}
		if proto.Unmarshal(it.Value, s) != nil {
			return
		}
		f.states.update(it.Key.Name, s)
		_ = f.cfg.OwnerServer.Status(ctx, it.Key.Name, s)
	case fleetpb.ItemKind_ITEM_KIND_FINGERPRINT:
		f.guard.merge(f.cfg.Clock.Now(), it.Key.Name, it.Value, it.TTL)
	case fleetpb.ItemKind_ITEM_KIND_USAGE:
		f.limits.merge(it.Key.Name, it.Value)
	case fleetpb.ItemKind_ITEM_KIND_KEPT:
		f.mergeStored(it)
	}
}

// Fingerprint identifies a request's content.
type Fingerprint = owner.Fingerprint

// Lost records the requests that were in flight when an endpoint crashed.
func (f *Fleet) Lost(endpoint string, incarnation uint64, lost []owner.Fingerprint) {
	f.guard.recordCrash(f.cfg.Clock.Now(), endpoint, incarnation, false, lost...)
}

// Ask answers an ask from another instance.
func (f *Fleet) Ask(ctx context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return f.cfg.OwnerServer.Ask(ctx, in)
}

// Report applies reports from another instance.
func (f *Fleet) Report(_ context.Context, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	f.cfg.OwnerServer.Report(in.GetCaller().GetInstance(), in.GetEnds())
	return &fleetpb.ReportReply{}, nil
}

// HandOver accepts an endpoint's state from its former owner.
func (f *Fleet) HandOver(ctx context.Context, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	if err := f.cfg.OwnerServer.Restore(ctx, in.GetEndpoint(), in.GetKnowledge()); err != nil {
		return nil, err
	}
	return &fleetpb.HandOverReply{Accepted: true}, nil
}

// handOver is one endpoint's state to be sent to its next owner.
type handOver struct {
	endpoint, next string
	knowledge      []byte
	done           func()
}

// HandOvers sends the states of endpoints to their next owners. Enqueue is meant for
// OwnerServerConfig.HandOver.
type HandOvers struct {
	queue chan handOver
	open  atomic.Int64
}

// NewHandOvers returns an empty queue. Its capacity is enough for all endpoints of one
// instance.
func NewHandOvers() *HandOvers { return &HandOvers{queue: make(chan handOver, shareQueueSize)} }

// Enqueue queues an endpoint's state. If the queue is full the state is dropped, and the
// next owner starts without it.
func (h *HandOvers) Enqueue(endpoint, next string, knowledge []byte, done func()) {
	h.open.Add(1)
	select {
	case h.queue <- handOver{endpoint, next, knowledge, done}:
	default:
		go done()
		h.open.Add(-1)
		handOversFailed.Inc()
	}
}

// Wait blocks until all queued states are sent or have failed, or ctx ends.
func (h *HandOvers) Wait(ctx context.Context) {
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for h.open.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Run sends states to the next owners until ctx ends.
func (h *HandOvers) Run(ctx context.Context, f *Fleet) {
	var wg sync.WaitGroup
	for range handOverWorkers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case x := <-h.queue:
					f.sendHandOver(ctx, x)
					x.done()
					h.open.Add(-1)
				}
			}
		})
	}
	wg.Wait()
}

func (f *Fleet) sendHandOver(ctx context.Context, x handOver) {
	address, ok := f.routes.Load().address(x.next)
	if !ok {
		handOversFailed.Inc()
		return
	}
	in := &fleetpb.HandOverRequest{Caller: f.cfg.Caller, Endpoint: x.endpoint, Knowledge: x.knowledge}
	if _, err := f.cfg.Peers.HandOver(ctx, address, handOverTimeout, in); err != nil {
		handOversFailed.Inc()
		return
	}
	handOversDone.Inc()
}

// EndpointStates returns the states that owners published, by endpoint.
func (f *Fleet) EndpointStates() map[string]*fleetpb.EndpointState { return f.states.all() }

// FleetDump is the placer's part of the state dump.
type FleetDump struct {
	Pools              map[string]int    `json:"endpoints_by_pool"`
	EndpointStatus     map[string]string `json:"endpoint_status"`
	Running            map[string]int    `json:"running_here"`
	UnresponsiveOwners []string          `json:"silent_owners"`
	Limits             []string          `json:"limited_organisations"`
	Pending            map[string]int    `json:"reports_pending"`
	Owner              OwnerDump         `json:"owner"`
}

// Dump returns the current state.
func (f *Fleet) Dump(ctx context.Context) FleetDump {
	d := FleetDump{Pools: map[string]int{}, Pending: f.reports.counts(), Limits: f.limits.names(), Owner: f.cfg.OwnerServer.Dump(ctx)}
	for name, p := range f.routes.Load().pools {
		d.Pools[name] = len(p.endpoints)
	}
	d.EndpointStatus, d.Running, d.UnresponsiveOwners = f.states.dump()
	return d
}
