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
	// keptEvents bounds the cache events that can be asked for again.
	keptEvents = 4096
	// keptLoads bounds the load samples between now and the lag.
	keptLoads = 4096
	// leastHeartbeat bounds what readers may ask for.
	leastHeartbeat = 10 * time.Millisecond
)

// eventLog is the newest cache events of a life.
type eventLog struct {
	events  []timedEvent
	changed chan struct{}
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newEventLog() eventLog { return eventLog{changed: make(chan struct{})} }

// publish numbers an event and keeps it, or loses it where that is ordered.
func (e *Engine) publish(l *life, op endpoint.CacheOp, blocks []prefix.Hash) {
	e.eventSeq++
	if op != endpoint.CacheClear && e.cfg.EventLoss > 0 && e.rng.Float64() < e.cfg.EventLoss {
		return
	}
	event := endpoint.CacheEvent{Seq: e.eventSeq, Incarnation: l.incarnation, Op: op, Blocks: make([]string, 0, len(blocks))}
	for _, b := range blocks {
		event.Blocks = append(event.Blocks, b.String())
	}
	log := &l.events
	log.events = append(log.events, timedEvent{time.Now(), event})
	if over := len(log.events) - keptEvents; over > 0 {
		log.events = log.events[over:]
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

// cacheEvents streams the events after a number, each not before its lag.
func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx, l *life) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", "after is not a number")
		return
	}
	beat := e.heartbeatOf(ctx)
	ctx.SetContentType("application/x-ndjson")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.followEvents(w, l, after, beat)
		cutConn(conn)
	})
}

// heartbeatOf returns the time between heartbeats, before the pace: the
// engine's own, or the shorter one that the reader asked for.
func (e *Engine) heartbeatOf(ctx *fasthttp.RequestCtx) time.Duration {
	ms := ctx.QueryArgs().GetUintOrZero("heartbeat_ms")
	if ms == 0 {
		return e.cfg.Heartbeat
	}
	asked := max(time.Duration(ms)*time.Millisecond, leastHeartbeat)
	return min(e.cfg.Pace.unscale(asked), e.cfg.Heartbeat)
}

func (e *Engine) followEvents(w *bufio.Writer, l *life, after uint64, beat time.Duration) {
	if !heartbeat(w) {
		return
	}
	for e.awake(l.done) {
		ready, wait, changed := e.eventsAfter(l, after)
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
			changed = l.done
		}
		whole := wait == 0 || wait > beat
		if whole {
			wait = beat
		}
		if e.cfg.Pace.sleep(wait, changed) && whole && !heartbeat(w) {
			return
		}
	}
}

// eventsAfter returns the events that are due, the time until the next one is
// (0 if there is none), and a channel that is closed at the next event.
func (e *Engine) eventsAfter(l *life, after uint64) ([]endpoint.CacheEvent, time.Duration, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ready []endpoint.CacheEvent
	lag := e.cfg.Pace.Scale(e.cfg.EventLag)
	for _, t := range l.events.events {
		if t.event.Seq <= after {
			continue
		}
		if left := lag - time.Since(t.at); left > 0 {
			return ready, e.cfg.Pace.unscale(left), l.events.changed
		}
		ready = append(ready, t.event)
	}
	return ready, 0, l.events.changed
}

// loadSample is the load from a moment on.
type loadSample struct {
	at     time.Time
	report endpoint.LoadReport
}

// sampleLoad notes a change of the load.
func (e *Engine) sampleLoad(l *life) {
	now := time.Now()
	l.loads = append(l.loads, loadSample{now, endpoint.LoadReport{
		Incarnation:   l.incarnation,
		MeasuredAt:    now,
		Running:       l.running,
		Waiting:       l.waiting,
		WaitingTokens: l.waitTokens,
		FreeBlocks:    l.cache.free(),
	}})
	if over := len(l.loads) - keptLoads; over > 0 {
		l.loads = l.loads[over:]
	}
}

// load returns the load as it was at the lag.
func (e *Engine) load(l *life) endpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := time.Now().Add(-e.cfg.Pace.Scale(e.cfg.LoadLag))
	last := 0
	for i, sample := range l.loads {
		if sample.at.After(seen) {
			break
		}
		last = i
	}
	l.loads = l.loads[last:]
	return l.loads[0].report
}
