package instance

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/monitor"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// monitorEventBuffer bounds the monitor's events that are not processed yet.
	monitorEventBuffer = 4096
	// ownedInterval is how often the monitored endpoints are compared with those that this
	// instance owns.
	ownedInterval = 100 * time.Millisecond
	// maxCacheBatch bounds the cache events that are passed to the owner at once.
	maxCacheBatch = 256
)

// monitorBridge connects the monitor to the placer: it has the endpoints monitored that this
// instance owns and passes the monitor's events on to the owner server and the peers.
type monitorBridge struct {
	instance *Instance
	monitor  *monitor.Monitor
	events   *ring.Ring[monitor.Event]
	cancel   context.CancelFunc
	done     sync.WaitGroup

	// published is the state published last for each endpoint. States go to all instances, so an
	// unchanged one is not published again.
	published map[string]*fleetpb.EndpointState
}

func (i *Instance) startMonitor() {
	b := &monitorBridge{
		instance:  i,
		events:    ring.New[monitor.Event]("monitor_events", monitorEventBuffer),
		published: map[string]*fleetpb.EndpointState{},
	}
	b.monitor = monitor.New(monitor.Config{
		Dial:   func(addr string) endpoint.Observer { return i.clients.Engine(addr) },
		Events: b.events,
	})
	i.admin.Register("monitor", func() any { return b.monitor.Dump() })
	run, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.done.Go(func() { b.run(run) })
	i.monitorBridge = b
	i.onKill = append(i.onKill, b.stop)
}

// stop stops the monitor. It may be called twice.
func (b *monitorBridge) stop() {
	b.cancel()
	b.done.Wait()
	b.monitor.Stop()
}

func (b *monitorBridge) run(ctx context.Context) {
	ticker := time.NewTicker(ownedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.updateTargets()
		case e := <-b.events.C():
			b.handleEvent(ctx, e)
		}
	}
}

// updateTargets passes the endpoints that this instance owns now to the monitor.
func (b *monitorBridge) updateTargets() {
	s := b.instance.keeper.Snapshot()
	if s == nil {
		return
	}
	owned := map[string]bool{}
	for _, name := range b.instance.peers.placer.Owned() {
		owned[name] = true
	}
	for name := range b.published {
		if !owned[name] {
			delete(b.published, name)
		}
	}
	b.monitor.SetEndpoints(targets(s, owned))
}

// targets returns the monitor's targets for the owned endpoints, read from the records.
func targets(s *record.Snapshot, owned map[string]bool) []monitor.Target {
	var list []monitor.Target
	for _, name := range s.PoolNames() {
		pool, _ := s.Pool(name)
		bounds := policy.HealthBounds{
			SuspectAfter: time.Duration(pool.GetSuspectAfterMs()) * time.Millisecond,
			ExpelAfter:   time.Duration(pool.GetExpelAfterMs()) * time.Millisecond,
		}
		for _, e := range pool.GetEndpoints() {
			if owned[e.GetName()] {
				list = append(list, monitor.Target{
					Name: e.GetName(), Pool: name, Address: e.GetAddress(), Leaving: e.GetLeaving(), Bounds: bounds,
				})
			}
		}
	}
	return list
}

func (b *monitorBridge) handleEvent(ctx context.Context, e monitor.Event) {
	ownerServer := b.instance.peers.ownerServer
	switch e := e.(type) {
	case monitor.StatusChanged:
		b.publishStatus(ctx, e)
	case monitor.LoadReported:
		ownerServer.Load(e.Endpoint, owner.LoadReport{
			Incarnation: e.Report.Incarnation, MeasuredAt: e.Report.MeasuredAt,
			Running: e.Report.Running, Waiting: e.Report.Waiting,
		})
	case monitor.CacheChanged:
		b.handleCacheEvents(ctx, e)
	}
}

// handleCacheEvents passes consecutive cache events of one endpoint on as one batch: they come
// in bursts, and the owner processes a batch at once.
func (b *monitorBridge) handleCacheEvents(ctx context.Context, first monitor.CacheChanged) {
	batch := []owner.CacheEvent{cacheEvent(first.Event)}
	for len(batch) < maxCacheBatch {
		var next monitor.Event
		select {
		case next = <-b.events.C():
		default:
			b.instance.peers.ownerServer.CacheEvents(first.Endpoint, batch)
			return
		}
		more, ok := next.(monitor.CacheChanged)
		if !ok || more.Endpoint != first.Endpoint {
			b.instance.peers.ownerServer.CacheEvents(first.Endpoint, batch)
			b.handleEvent(ctx, next)
			return
		}
		batch = append(batch, cacheEvent(more.Event))
	}
	b.instance.peers.ownerServer.CacheEvents(first.Endpoint, batch)
}

func cacheEvent(e endpoint.CacheEvent) owner.CacheEvent {
	out := owner.CacheEvent{Seq: e.Seq, Incarnation: e.Incarnation}
	switch e.Op {
	case endpoint.CacheEvict:
		out.Op = owner.CacheEvict
	case endpoint.CacheClear:
		out.Op = owner.CacheClear
	}
	for _, text := range e.Blocks {
		if h, ok := prefix.ParseHash(text); ok {
			out.Blocks = append(out.Blocks, h)
		}
	}
	return out
}

// publishStatus publishes an endpoint's state if it differs from the one published last.
func (b *monitorBridge) publishStatus(ctx context.Context, e monitor.StatusChanged) {
	s := &fleetpb.EndpointState{
		Pool: e.Pool, Status: e.Status, Incarnation: e.Incarnation,
		ModelVersions: e.ModelVersions, Reason: e.Reason,
	}
	if proto.Equal(s, b.published[e.Endpoint]) {
		return
	}
	b.published[e.Endpoint] = s
	b.instance.peers.placer.PublishEndpointState(ctx, e.Endpoint, s)
}
