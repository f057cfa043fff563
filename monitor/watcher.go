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
	// pollDivisor is the divisor of the suspicion bound that gives the poll interval: one
	// lost answer must not make an endpoint suspected.
	pollDivisor = 4
	// minPollInterval bounds the cost of polling, however short a record's suspicion bound is.
	minPollInterval = 50 * time.Millisecond
	// idleDivisor is the divisor of the suspicion bound that gives the time after which an
	// idle stream of cache events no longer shows that the endpoint is alive. The rest of
	// the bound is left for a poll over a new connection, so that no endpoint is suspected
	// because of its stream alone.
	idleDivisor = 2
	// statePollInterval and statePollJitter give the time between polls while the stream of
	// cache events shows that the endpoint is alive: up to 1.5 s, so that an engine's
	// notice that it is leaving takes effect on all instances within three seconds, one of
	// which is for the exchange between them. The jitter keeps the endpoints of a fleet
	// from being polled at the same moments.
	statePollInterval = 1200 * time.Millisecond
	statePollJitter   = 300 * time.Millisecond
	// loadReportInterval is the least time between load reports: an owner knows most of the
	// load from its own grants.
	loadReportInterval = 4 * time.Second
	// maxHeartbeatInterval bounds the heartbeat interval requested from engines: a stream must
	// not count as idle between two heartbeats.
	maxHeartbeatInterval = time.Second
	// statusRepeatInterval is how often an unchanged status is published again.
	statusRepeatInterval = time.Second
	// minReopenDelay and maxReopenDelay bound the backoff between attempts to open the
	// stream of cache events.
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = 2 * time.Second
)

var (
	pollsTotal   = metrics.GetOrCreateCounter("sardinedock_monitor_polls_total")
	pollFailures = metrics.GetOrCreateCounter("sardinedock_monitor_poll_failures_total")
	changesTotal = metrics.GetOrCreateCounter("sardinedock_monitor_status_changes_total")
	streamsTotal = metrics.GetOrCreateCounter("sardinedock_monitor_cache_streams_total")
)

// heartbeat is evidence from a stream of cache events that the endpoint is alive.
type heartbeat struct {
	at          time.Time
	incarnation uint64
}

// watcher follows one endpoint. One goroutine polls state and load and owns the health;
// another one, for each incarnation, reads the cache events.
type watcher struct {
	observer endpoint.Observer
	events   *ring.Ring[Event]
	cancel   context.CancelFunc
	done     sync.WaitGroup
	retarget chan struct{}

	health        *policy.EndpointHealth
	models        []string
	lastPublished time.Time
	lastLoad      time.Time
	// leaving is the engine's own report that it is leaving.
	leaving bool
	// pollFailing is set while polls fail. An open stream then does not show that the
	// endpoint is alive: requests need new connections.
	pollFailing bool
	// lastHeartbeat is the time of the last heartbeat in the stream of the current
	// incarnation.
	lastHeartbeat time.Time

	// heartbeats come from the stream; pollNow requests an immediate poll.
	heartbeats chan heartbeat
	pollNow    chan struct{}

	mu     sync.Mutex
	target Target
	dump   EndpointDump
}

// setTarget replaces the target. It returns false if the new target requires a new watcher.
func (w *watcher) setTarget(t Target) bool {
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

func (w *watcher) currentTarget() Target {
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
	w.health = policy.NewEndpointHealth(time.Now(), w.currentTarget().Bounds)
	stopCache := func() {}
	defer func() { stopCache() }()
	for ctx.Err() == nil {
		t := w.currentTarget()
		w.health.SetBounds(t.Bounds)
		_, before := w.health.Status()
		polled := time.Now()
		w.poll(ctx, t)
		if _, now := w.health.Status(); now != before {
			stopCache()
			stopCache = w.followCache(ctx, now)
		}
		w.waitForPoll(ctx, t, polled)
	}
}

func pollInterval(t Target) time.Duration {
	return max(t.Bounds.SuspectAfter/pollDivisor, minPollInterval)
}

// waitForPoll waits until the next poll is due. This is shortly after the stream of cache
// events has become idle, and at the latest when the polled state gets too old. An engine
// that sends heartbeats too rarely for the suspicion bound, or none, is polled as often as
// the bound requires.
func (w *watcher) waitForPoll(ctx context.Context, t Target, polled time.Time) {
	least := pollInterval(t)
	next := polled.Add(statePollInterval + time.Duration(rand.Float64()*float64(statePollJitter)))
	for {
		wait := min(time.Until(next), time.Until(w.lastHeartbeat.Add(t.Bounds.SuspectAfter/idleDivisor)))
		wait = max(wait, time.Until(polled.Add(least)))
		timer := time.NewTimer(max(wait, 0))
		select {
		case b := <-w.heartbeats:
			timer.Stop()
			w.onHeartbeat(t, b)
			continue
		case <-timer.C:
		case <-w.pollNow:
		case <-w.retarget:
		case <-ctx.Done():
		}
		timer.Stop()
		return
	}
}

// onHeartbeat records a heartbeat, unless it is from another incarnation than the one
// polled last or polls are failing.
func (w *watcher) onHeartbeat(t Target, b heartbeat) {
	if _, incarnation := w.health.Status(); b.incarnation != incarnation || w.pollFailing {
		return
	}
	w.lastHeartbeat = b.at
	w.mu.Lock()
	w.dump.Failure, w.dump.LastSeenAt = "", b.at
	w.mu.Unlock()
	changed := w.health.Seen(b.at, b.incarnation, t.Leaving || w.leaving)
	now := time.Now()
	changed = w.health.Tick(now) || changed
	if changed || now.Sub(w.lastPublished) >= statusRepeatInterval {
		w.publishStatus(now, t, changed)
	}
}

// poll requests the state once and updates the health with the answer or the failure. An
// answer that takes longer than two poll intervals counts as a failure.
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
	w.pollFailing = err != nil
	if err != nil {
		w.lastHeartbeat = time.Time{}
		pollFailures.Inc()
		changed = w.onPollFailure(now, err)
	} else {
		changed = w.onPollSuccess(now, t, s)
	}
	if changed || now.Sub(w.lastPublished) >= statusRepeatInterval {
		w.publishStatus(now, t, changed)
	}
	if changed || now.Sub(w.lastLoad) >= loadReportInterval {
		w.lastLoad = now
		w.load(ctx, t)
	}
}

// onPollFailure records a failed poll. A refused connection means that the machine is up
// and the process is not; anything else may be a pause.
func (w *watcher) onPollFailure(now time.Time, err error) bool {
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

func (w *watcher) onPollSuccess(now time.Time, t Target, s endpoint.State) bool {
	w.mu.Lock()
	w.dump.Failure, w.dump.LastSeenAt = "", now
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

func (w *watcher) publishStatus(now time.Time, t Target, changed bool) {
	w.lastPublished = now
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

// reason returns a description of the status for operators.
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

// statusMessage returns the status as it is encoded between instances.
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

// load publishes a load report. A failure is not evidence that the endpoint is dead: the
// call may use a connection whose state was dropped by a middlebox.
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

// followCache reads the cache events of one incarnation until the returned function is
// called. Each incarnation numbers its events from the start.
func (w *watcher) followCache(ctx context.Context, incarnation uint64) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	w.done.Go(func() {
		var seq uint64
		pause := minReopenDelay
		for ctx.Err() == nil {
			before := seq
			seq = w.readCache(ctx, incarnation, seq)
			pause = min(2*pause, maxReopenDelay)
			if seq > before {
				pause = minReopenDelay
			}
			_ = clock.Sleep(ctx, pause/2+time.Duration(rand.Float64()*float64(pause)))
		}
	})
	return cancel
}

// readCache reads one stream of events to its end and returns the last Seq. The client ends
// a stream that stops delivering, and the next one resumes at the same event on a new
// connection.
func (w *watcher) readCache(ctx context.Context, incarnation, seq uint64) uint64 {
	streamsTotal.Inc()
	t := w.currentTarget()
	stream, err := w.observer.Events(ctx, seq, min(pollInterval(t), maxHeartbeatInterval))
	if err != nil {
		return seq
	}
	// The end of a stream is the earliest sign of a crash.
	defer func() {
		if ctx.Err() == nil {
			w.requestPoll()
		}
	}()
	newer := stream.Incarnation() > incarnation
	if newer {
		w.requestPoll()
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	for {
		e, err := stream.Next()
		if err != nil || ctx.Err() != nil {
			return seq
		}
		// Another incarnation has to be polled, and a cleared cache may come with other
		// weights. If the polled state contradicts a newer incarnation that the stream
		// keeps reporting, the stream causes only one poll.
		if e.Op == endpoint.CacheClear || e.Incarnation > incarnation && !newer {
			newer = newer || e.Incarnation > incarnation
			w.requestPoll()
		}
		w.heartbeat(stream.Incarnation())
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

// heartbeat passes on a heartbeat of the stream. While one is pending, newer ones are
// dropped: at worst the endpoint is polled once more.
func (w *watcher) heartbeat(incarnation uint64) {
	select {
	case w.heartbeats <- heartbeat{time.Now(), incarnation}:
	default:
	}
}

// requestPoll requests an immediate poll of the state.
func (w *watcher) requestPoll() {
	select {
	case w.pollNow <- struct{}{}:
	default:
	}
}
