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
	// monitorRing bounds what endpoints showed and the owner has not taken yet.
	monitorRing = 4096
	// ownedEvery is how often the followed endpoints are compared with those
	// that this instance owns.
	ownedEvery = 100 * time.Millisecond
	// cacheBatch bounds the cache events that go to the owner at once.
	cacheBatch = 256
)

// following joins the monitor to the placer: it follows the endpoints that
// this instance owns and hands on what they show.
type following struct {
	instance *Instance
	monitor  *monitor.Monitor
	events   *ring.Ring[monitor.Event]
	stop     context.CancelFunc
	done     sync.WaitGroup

	// told is what was told of each endpoint last. States are told to all
	// instances, so one that did not change is not told again.
	told map[string]*fleetpb.EndpointState
}

func (i *Instance) startMonitor() {
	f := &following{
		instance: i,
		events:   ring.New[monitor.Event]("monitor_events", monitorRing),
		told:     map[string]*fleetpb.EndpointState{},
	}
	f.monitor = monitor.New(monitor.Config{
		Dial:   func(addr string) endpoint.Observer { return i.clients.Engine(addr) },
		Events: f.events,
	})
	i.admin.Register("monitor", func() any { return f.monitor.Dump() })
	run, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.done.Go(func() { f.run(run) })
	i.following = f
	i.onKill = append(i.onKill, f.end)
}

// end stops to follow. It may be called twice.
func (f *following) end() {
	f.stop()
	f.done.Wait()
	f.monitor.Stop()
}

func (f *following) run(ctx context.Context) {
	ticker := time.NewTicker(ownedEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.follow()
		case e := <-f.events.C():
			f.take(ctx, e)
		}
	}
}

// follow gives the monitor the endpoints that this instance owns now.
func (f *following) follow() {
	s := f.instance.keeper.Snapshot()
	if s == nil {
		return
	}
	owned := map[string]bool{}
	for _, name := range f.instance.peers.placer.Owned() {
		owned[name] = true
	}
	for name := range f.told {
		if !owned[name] {
			delete(f.told, name)
		}
	}
	f.monitor.SetEndpoints(targets(s, owned))
}

// targets finds the owned endpoints in the records.
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

func (f *following) take(ctx context.Context, e monitor.Event) {
	duty := f.instance.peers.duty
	switch e := e.(type) {
	case monitor.StatusChanged:
		f.tell(ctx, e)
	case monitor.LoadReported:
		duty.Load(e.Endpoint, owner.LoadReport{
			Incarnation: e.Report.Incarnation, MeasuredAt: e.Report.MeasuredAt,
			Running: e.Report.Running, Waiting: e.Report.Waiting,
		})
	case monitor.CacheChanged:
		f.takeCache(ctx, e)
	}
}

// takeCache hands a run of cache events of one endpoint on together: they come
// in bursts, and the owner takes a batch in one turn.
func (f *following) takeCache(ctx context.Context, first monitor.CacheChanged) {
	batch := []owner.CacheEvent{cacheEvent(first.Event)}
	for len(batch) < cacheBatch {
		var next monitor.Event
		select {
		case next = <-f.events.C():
		default:
			f.instance.peers.duty.CacheEvents(first.Endpoint, batch)
			return
		}
		more, ok := next.(monitor.CacheChanged)
		if !ok || more.Endpoint != first.Endpoint {
			f.instance.peers.duty.CacheEvents(first.Endpoint, batch)
			f.take(ctx, next)
			return
		}
		batch = append(batch, cacheEvent(more.Event))
	}
	f.instance.peers.duty.CacheEvents(first.Endpoint, batch)
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

// tell shares a status that differs from the one told last.
func (f *following) tell(ctx context.Context, e monitor.StatusChanged) {
	s := &fleetpb.EndpointState{
		Pool: e.Pool, Status: e.Status, Incarnation: e.Incarnation,
		ModelVersions: e.ModelVersions, Reason: e.Reason,
	}
	if proto.Equal(s, f.told[e.Endpoint]) {
		return
	}
	f.told[e.Endpoint] = s
	f.instance.peers.placer.PublishEndpointState(ctx, e.Endpoint, s)
}
