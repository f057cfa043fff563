package emulator

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// maxEvents bounds the cache events that a reader can request again.
	maxEvents = 4096
	// maxLoadSamples bounds the load samples kept for reports that lag.
	maxLoadSamples = 4096
	// minHeartbeat is the shortest heartbeat interval that a reader may request.
	minHeartbeat = 10 * time.Millisecond
)

// eventLog holds the newest cache events of a process. The channel changed is closed and replaced
// at each new event.
type eventLog struct {
	events  []timedEvent
	changed chan struct{}
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newEventLog() eventLog { return eventLog{changed: make(chan struct{})} }

// publish assigns a sequence number to an event and appends it to the log, or drops it at the rate
// of EventLoss. A clear event is never dropped.
func (e *Engine) publish(p *process, op endpoint.CacheOp, blocks []prefix.Hash) {
	e.eventSeq++
	if op != endpoint.CacheClear && e.cfg.EventLoss > 0 && e.rng.Float64() < e.cfg.EventLoss {
		return
	}
	event := endpoint.CacheEvent{Seq: e.eventSeq, Incarnation: p.incarnation, Op: op, Blocks: make([]string, 0, len(blocks))}
	for _, b := range blocks {
		event.Blocks = append(event.Blocks, b.String())
	}
	log := &p.events
	log.events = append(log.events, timedEvent{time.Now(), event})
	if over := len(log.events) - maxEvents; over > 0 {
		log.events = log.events[over:]
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

// cacheEvents streams the events after a sequence number, each one delayed by EventLag.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx, p *process) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", "after is not a number")
		return
	}
	interval := e.heartbeatInterval(ctx)
	ctx.SetContentType("application/x-ndjson")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.streamEvents(w, p, after, interval)
		cutConn(conn)
	})
}

// heartbeatInterval returns the interval between heartbeats, before pace scaling: the engine's own,
// or the shorter one that the reader requested.
func (e *Engine) heartbeatInterval(ctx *fasthttp.RequestCtx) time.Duration {
	ms := ctx.QueryArgs().GetUintOrZero("heartbeat_ms")
	if ms == 0 {
		return e.cfg.Heartbeat
	}
	requested := max(time.Duration(ms)*time.Millisecond, minHeartbeat)
	return min(e.cfg.Pace.unscale(requested), e.cfg.Heartbeat)
}

// streamEvents writes events as they become due, and a heartbeat when no event was due for an
// interval.
func (e *Engine) streamEvents(w *bufio.Writer, p *process, after uint64, interval time.Duration) {
	if !heartbeat(w) {
		return
	}
	for e.waitWhileFrozen(p.done) {
		ready, wait, changed := e.eventsAfter(p, after)
		for _, event := range ready {
			line, err := json.Marshal(event)
			if err != nil {
				return
			}
			_, _ = w.Write(append(line, '\n'))
			after = event.Seq
		}
		if len(ready) > 0 && w.Flush() != nil {
			return
		}
		if wait > 0 {
			changed = p.done
		}
		idle := wait == 0 || wait > interval
		if idle {
			wait = interval
		}
		if e.cfg.Pace.sleep(wait, changed) && idle && !heartbeat(w) {
			return
		}
	}
}

// eventsAfter returns the events that are due, the time until the next one is due (0 if there is
// none), and a channel that is closed at the next event.
func (e *Engine) eventsAfter(p *process, after uint64) ([]endpoint.CacheEvent, time.Duration, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ready []endpoint.CacheEvent
	lag := e.cfg.Pace.Scale(e.cfg.EventLag)
	for _, t := range p.events.events {
		if t.event.Seq <= after {
			continue
		}
		if left := lag - time.Since(t.at); left > 0 {
			return ready, e.cfg.Pace.unscale(left), p.events.changed
		}
		ready = append(ready, t.event)
	}
	return ready, 0, p.events.changed
}

// loadSample is the load from a point in time on.
type loadSample struct {
	at     time.Time
	report endpoint.LoadReport
}

// sampleLoad records the current load.
func (e *Engine) sampleLoad(p *process) {
	now := time.Now()
	p.loads = append(p.loads, loadSample{now, endpoint.LoadReport{
		Incarnation:   p.incarnation,
		MeasuredAt:    now,
		Running:       p.running,
		Waiting:       p.waiting,
		WaitingTokens: p.waitTokens,
		FreeBlocks:    p.cache.free(),
	}})
	if over := len(p.loads) - maxLoadSamples; over > 0 {
		p.loads = p.loads[over:]
	}
}

// load returns the load as it was LoadLag ago.
func (e *Engine) load(p *process) endpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.cfg.Pace.Scale(e.cfg.LoadLag))
	last := 0
	for i, sample := range p.loads {
		if sample.at.After(asOf) {
			break
		}
		last = i
	}
	p.loads = p.loads[last:]
	return p.loads[0].report
}
