package monitor

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// pollShare is the part of the suspicion bound after which an endpoint is
	// asked again: one lost answer must not make it a suspect.
	pollShare = 4
	// leastPoll bounds the cost of following, whatever a record says.
	leastPoll = 50 * time.Millisecond
	// silentShare is the part of the suspicion bound after which a quiet stream
	// of cache events is no sign of life any more. The other part is for asking
	// over a new connection, so that no endpoint is suspected on a stream's
	// word alone.
	silentShare = 2
	// stateEvery and stateSpread give the time between polls while the stream
	// of cache events shows life: up to 1.5 s, so that the word of an engine
	// that it is leaving is in force everywhere within three seconds, of which
	// the exchange takes another one. The spread keeps the endpoints of a fleet
	// from being asked in step.
	stateEvery  = 1200 * time.Millisecond
	stateSpread = 300 * time.Millisecond
	// loadEvery is the least time between load reports: an owner knows most of
	// the load from its own grants.
	loadEvery = 4 * time.Second
	// longestHeartbeat bounds what engines are asked for: a stream must not
	// count as silent between two heartbeats.
	longestHeartbeat = time.Second
	// repeatEvery is how often the status is told without a change.
	repeatEvery = time.Second
	// firstPause and longestPause bound the time between attempts to open the
	// stream of cache events.
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

var (
	pollsTotal   = metrics.GetOrCreateCounter("sardinedock_monitor_polls_total")
	pollFailures = metrics.GetOrCreateCounter("sardinedock_monitor_poll_failures_total")
	changesTotal = metrics.GetOrCreateCounter("sardinedock_monitor_status_changes_total")
	streamsTotal = metrics.GetOrCreateCounter("sardinedock_monitor_cache_streams_total")
)

// beat is a sign of life from a stream of cache events.
type beat struct {
	at          time.Time
	incarnation uint64
}

// watcher follows one endpoint. One goroutine asks for state and load and owns
// the health; another, for each incarnation, reads the cache events.
type watcher struct {
	observer endpoint.Observer
	events   *ring.Ring[Event]
	cancel   context.CancelFunc
	done     sync.WaitGroup
	retarget chan struct{}

	health *policy.EndpointHealth
	models []string
	told   time.Time
	loaded time.Time
	// leaving is the engine's own word.
	leaving bool
	// unanswered is set while polls fail. An open stream is no sign of life
	// then: requests need new connections.
	unanswered bool
	// streamHeard is when the stream of the present incarnation showed life.
	streamHeard time.Time

	// beats are the stream's signs of life, ask its word to poll at once.
	beats chan beat
	ask   chan struct{}

	mu     sync.Mutex
	target Target
	dump   EndpointDump
}

// set replaces the target; it reports false where that takes a new watcher.
func (w *watcher) set(t Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Address != w.target.Address || t.Pool != w.target.Pool {
		return false
	}
	if t == w.target {
		return true
	}
	w.target = t
	select {
	case w.retarget <- struct{}{}:
	default:
	}
	return true
}

func (w *watcher) current() Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.target
}

func (w *watcher) state() EndpointDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dump
}

func (w *watcher) run(ctx context.Context) {
	w.health = policy.NewEndpointHealth(time.Now(), w.current().Bounds)
	stopCache := func() {}
	defer func() { stopCache() }()
	for ctx.Err() == nil {
		t := w.current()
		w.health.SetBounds(t.Bounds)
		_, before := w.health.Status()
		polled := time.Now()
		w.poll(ctx, t)
		if _, now := w.health.Status(); now != before {
			stopCache()
			stopCache = w.followCache(ctx, now)
		}
		w.pause(ctx, t, polled)
	}
}

func pollInterval(t Target) time.Duration {
	return max(t.Bounds.SuspectAfter/pollShare, leastPoll)
}

// pause waits for the next poll: until shortly after the stream of cache
// events went quiet, but not longer than the state may be unknown. An engine
// that sends heartbeats too rarely for the bound, or none, is polled as often
// as the bound needs.
func (w *watcher) pause(ctx context.Context, t Target, polled time.Time) {
	least := pollInterval(t)
	next := polled.Add(stateEvery + time.Duration(rand.Float64()*float64(stateSpread)))
	for {
		wait := min(time.Until(next), time.Until(w.streamHeard.Add(t.Bounds.SuspectAfter/silentShare)))
		wait = max(wait, time.Until(polled.Add(least)))
		timer := time.NewTimer(max(wait, 0))
		select {
		case b := <-w.beats:
			timer.Stop()
			w.alive(t, b)
			continue
		case <-timer.C:
		case <-w.ask:
		case <-w.retarget:
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// alive takes a sign of life of the incarnation that was polled last.
func (w *watcher) alive(t Target, b beat) {
	if _, incarnation := w.health.Status(); b.incarnation != incarnation || w.unanswered {
		return
	}
	w.streamHeard = b.at
	w.mu.Lock()
	w.dump.Failure, w.dump.HeardAt = "", b.at
	w.mu.Unlock()
	changed := w.health.Seen(b.at, b.incarnation, t.Leaving || w.leaving)
	now := time.Now()
	changed = w.health.Tick(now) || changed
	if changed || now.Sub(w.told) >= repeatEvery {
		w.tell(now, t, changed)
	}
}

// poll asks once for the state and takes the answer, or its absence, into the
// health. An answer that takes longer than two polls counts as none.
func (w *watcher) poll(ctx context.Context, t Target) {
	pollsTotal.Inc()
	bounded, cancel := context.WithTimeout(ctx, 2*pollInterval(t))
	defer cancel()
	s, err := w.observer.State(bounded)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	changed := false
	w.unanswered = err != nil
	if err != nil {
		w.streamHeard = time.Time{}
		pollFailures.Inc()
		changed = w.failed(now, err)
	} else {
		changed = w.heard(now, t, s)
	}
	if changed || now.Sub(w.told) >= repeatEvery {
		w.tell(now, t, changed)
	}
	if changed || now.Sub(w.loaded) >= loadEvery {
		w.loaded = now
		w.load(ctx, t)
	}
}

// failed notes a poll without an answer. A refused connection is the word of
// the machine that the process is gone; anything else may be a pause.
func (w *watcher) failed(now time.Time, err error) bool {
	w.mu.Lock()
	w.dump.Failure = err.Error()
	w.mu.Unlock()
	changed := w.health.Tick(now)
	if errors.Is(err, syscall.ECONNREFUSED) {
		_, incarnation := w.health.Status()
		changed = w.health.Crashed(now, incarnation) || changed
	}
	return changed
}

func (w *watcher) heard(now time.Time, t Target, s endpoint.State) bool {
	w.mu.Lock()
	w.dump.Failure, w.dump.HeardAt = "", now
	w.mu.Unlock()
	w.leaving = s.Leaving
	changed := w.health.Seen(now, s.Incarnation, t.Leaving || s.Leaving)
	models := modelVersions(s)
	if !slices.Equal(models, w.models) {
		w.models = models
		changed = true
	}
	return changed
}

func modelVersions(s endpoint.State) []string {
	list := make([]string, 0, len(s.Models))
	for _, m := range s.Models {
		list = append(list, m.Model+"@"+m.Version)
	}
	slices.Sort(list)
	return list
}

func (w *watcher) tell(now time.Time, t Target, changed bool) {
	w.told = now
	if changed {
		changesTotal.Inc()
	}
	status, incarnation := w.health.Status()
	w.mu.Lock()
	w.dump.Status, w.dump.Incarnation, w.dump.ModelVersions = statusMessage(status).String(), incarnation, w.models
	failure := w.dump.Failure
	w.mu.Unlock()
	w.events.Push(StatusChanged{
		Endpoint: t.Name, Pool: t.Pool, Status: statusMessage(status), Incarnation: incarnation,
		ModelVersions: w.models, Reason: reason(status, failure),
	})
}

// reason says a status in words for operators.
func reason(status policy.EndpointStatus, failure string) string {
	switch status {
	case policy.EndpointSuspect:
		return "silent, gets no new work: " + failure
	case policy.EndpointExpelled:
		return "silent for long, its cache counts as lost: " + failure
	case policy.EndpointLeaving:
		return "leaving, gets no new work"
	}
	return ""
}

// statusMessage is a status as instances tell it to each other.
func statusMessage(s policy.EndpointStatus) fleetpb.EndpointStatus {
	switch s {
	case policy.EndpointLive:
		return fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE
	case policy.EndpointSuspect:
		return fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT
	case policy.EndpointLeaving:
		return fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING
	default:
		return fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED
	}
}

// load passes the load report on. It is never a sign of death: the report may
// come over a connection that something in between has forgotten.
func (w *watcher) load(ctx context.Context, t Target) {
	if status, _ := w.health.Status(); status != policy.EndpointLive {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, pollInterval(t))
	defer cancel()
	if r, err := w.observer.Load(bounded); err == nil {
		w.events.Push(LoadReported{Endpoint: t.Name, Report: r})
	}
}

// followCache reads the cache events of one incarnation until the returned
// function is called. Each incarnation counts its events from the start.
func (w *watcher) followCache(ctx context.Context, incarnation uint64) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	w.done.Go(func() {
		var seq uint64
		pause := firstPause
		for ctx.Err() == nil {
			before := seq
			seq = w.readCache(ctx, incarnation, seq)
			pause = min(2*pause, longestPause)
			if seq > before {
				pause = firstPause
			}
			_ = clock.Sleep(ctx, pause/2+time.Duration(rand.Float64()*float64(pause)))
		}
	})
	return cancel
}

// readCache reads one stream of events to its end and returns the last Seq.
// A stream that goes silent ends by the client's bound, and the next one is
// opened on a new connection where this one stood.
func (w *watcher) readCache(ctx context.Context, incarnation, seq uint64) uint64 {
	streamsTotal.Inc()
	t := w.current()
	stream, err := w.observer.Events(ctx, seq, min(pollInterval(t), longestHeartbeat))
	if err != nil {
		return seq
	}
	// The end of a stream is the first that shows of a crash.
	defer func() {
		if ctx.Err() == nil {
			w.askNow()
		}
	}()
	newer := stream.Incarnation() > incarnation
	if newer {
		w.askNow()
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	for {
		e, err := stream.Next()
		if err != nil || ctx.Err() != nil {
			return seq
		}
		// Another incarnation has to be polled, and an emptied cache may come
		// with other weights. A stream that goes on to tell of an incarnation
		// that the state denies has it polled once only.
		if e.Op == endpoint.CacheClear || e.Incarnation > incarnation && !newer {
			newer = newer || e.Incarnation > incarnation
			w.askNow()
		}
		w.beat(stream.Incarnation())
		if e.Incarnation != incarnation || e.Op == endpoint.CacheHeartbeat {
			continue
		}
		seq = e.Seq
		w.mu.Lock()
		w.dump.CacheSeq = seq
		w.mu.Unlock()
		w.events.Push(CacheChanged{Endpoint: t.Name, Event: e})
	}
}

// beat tells of a stream's sign of life. While one waits to be taken, newer
// ones are given up: at worst the endpoint is polled once more.
func (w *watcher) beat(incarnation uint64) {
	select {
	case w.beats <- beat{time.Now(), incarnation}:
	default:
	}
}

// askNow has the state polled at once.
func (w *watcher) askNow() {
	select {
	case w.ask <- struct{}{}:
	default:
	}
}
