package emulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/prefix"
)

// endedJobs is how many ended requests an engine keeps for resuming.
const endedJobs = 1024

// codeNotStarted is an engine's word that a request was not started.
const codeNotStarted = "not_started"

// job is one request at an engine. The engine's mutex guards what changes.
type job struct {
	id       string
	chat     bool
	model    string
	priority int
	marker   string
	poison   bool
	tokens   []string
	blocks   []prefix.Hash
	prompt   int64
	like     cachedBlock

	cached  int64
	emitted int
	done    bool
	stopped bool
	stop    chan struct{}
	changed chan struct{}
}

// generate takes a request in.
func (e *Engine) generate(ctx *fasthttp.RequestCtx, l *life, chat bool, arrived time.Time) {
	var b body
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	text, err := b.text(chat)
	if err != nil {
		writeAPIError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	version, ok := e.loaded(l, b.Model)
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_model", "the model is not loaded")
		return
	}
	j := e.newJob(&b, text, version, chat)
	j.id = string(ctx.Request.Header.Peek("X-Request-Id"))
	if j.id == "" {
		j.id = fmt.Sprintf("%s-%d", e.cfg.Name, ctx.ID())
	}
	ctx.Response.Header.Set("X-Model-Version", version)
	if !e.enqueue(l, j, arrived) {
		writeAPIError(ctx, fasthttp.StatusTooManyRequests, codeNotStarted, "the queue is full")
		return
	}
	go e.run(l, j)
	if b.Stream {
		e.stream(ctx, l, j, 0)
		return
	}
	e.answerWhole(ctx, l, j)
}

// loaded returns the version of a model, named as model or model:adapter.
func (e *Engine) loaded(l *life, name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, adapter, hasAdapter := strings.Cut(name, ":")
	for _, m := range l.models {
		if m.Model != model {
			continue
		}
		for _, a := range m.Adapters {
			if a == adapter {
				return m.Version, true
			}
		}
		return m.Version, !hasAdapter
	}
	return "", false
}

func (e *Engine) newJob(b *body, text, version string, chat bool) *job {
	salt, ok := prefix.ParseHash(b.CacheSalt)
	if !ok {
		salt = prefix.Salt("", b.Model, version)
	}
	return &job{
		chat:     chat,
		model:    b.Model,
		priority: b.Priority,
		marker:   markerOf(text),
		poison:   strings.Contains(text, PoisonText),
		tokens:   b.answer(text),
		blocks:   prefix.Blocks(nil, salt, []byte(text), e.cfg.BlockTokens),
		prompt:   prefix.Tokens([]byte(text)),
		like:     cachedBlock{salt: salt.String(), model: b.Model, version: version},
		stop:     make(chan struct{}),
		changed:  make(chan struct{}),
	}
}

// enqueue takes the request into the queue, or refuses it.
func (e *Engine) enqueue(l *life, j *job, arrived time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.waiting >= e.cfg.Queue || e.life != l || e.closed {
		e.stats.Refused++
		return false
	}
	if !e.leaving.IsZero() {
		e.stats.LastStartAfterLeaving = max(e.stats.LastStartAfterLeaving, arrived.Sub(e.leaving))
	}
	l.jobs[j.id] = j
	l.waiting++
	l.waitTokens += j.prompt
	e.sampleLoad(l)
	return true
}

// run takes the request through slot, prefill and decoding.
func (e *Engine) run(l *life, j *job) {
	got := l.slots.acquire(j.priority, j.stop)
	e.started(l, j, got)
	if !got {
		return
	}
	defer e.finished(l, j)
	defer l.slots.release()
	if !e.prefill(l, j) {
		return
	}
	if j.poison {
		go e.Crash(e.cfg.DownTime)
		<-l.done
		return
	}
	for range j.tokens {
		if !e.compute(e.cfg.TokenTime, j.stop) {
			return
		}
		e.emit(j)
	}
}

func (e *Engine) started(l *life, j *job, got bool) {
	e.mu.Lock()
	l.waiting--
	l.waitTokens -= j.prompt
	if got {
		l.running++
		e.count(j, TokenStats{Runs: 1})
	} else {
		e.forget(l, j)
	}
	e.sampleLoad(l)
	e.mu.Unlock()
	if got {
		e.cfg.Shared.Runs.run(j.id, j.marker, "")
	}
}

// prefill computes the part of the prompt that is not cached.
func (e *Engine) prefill(l *life, j *job) bool {
	if !l.prefill.acquire(j.priority, j.stop) {
		return false
	}
	defer l.prefill.release()
	e.mu.Lock()
	depth, stale := l.cache.match(j.blocks, j.like)
	j.cached = int64(depth * e.cfg.BlockTokens)
	e.count(j, TokenStats{PromptTokens: j.prompt, CachedTokens: j.cached})
	e.stats.StaleBlocks += stale
	e.mu.Unlock()
	again := e.cfg.Shared.Blocks.compute(j.blocks[depth:])
	seconds := float64(j.prompt-j.cached) / e.cfg.PrefillRate
	if !e.compute(time.Duration(seconds*float64(time.Second)), j.stop) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(j, TokenStats{RecomputedTokens: int64(again * e.cfg.BlockTokens)})
	e.store(l, j.blocks, j.like)
	return true
}

// store puts blocks into the cache and publishes what changed.
func (e *Engine) store(l *life, blocks []prefix.Hash, like cachedBlock) {
	stored, evicted := l.cache.insert(blocks, like)
	if len(evicted) > 0 {
		e.publish(l, endpoint.CacheEvict, evicted)
	}
	if len(stored) > 0 {
		e.publish(l, endpoint.CacheStore, stored)
	}
}

// compute takes the time of some work at the engine's present pace.
func (e *Engine) compute(d time.Duration, stop <-chan struct{}) bool {
	if !e.awake(stop) {
		return false
	}
	e.mu.Lock()
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	e.mu.Unlock()
	return e.cfg.Pace.sleep(d, stop)
}

func (e *Engine) emit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.emitted++
	j.done = j.emitted == len(j.tokens)
	e.wake(j)
}

// wake tells the writers of a request's streams that something has changed.
func (e *Engine) wake(j *job) {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (e *Engine) finished(l *life, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.running--
	e.forget(l, j)
	e.sampleLoad(l)
}

// forget keeps an ended request for resuming, and gives up the oldest.
func (e *Engine) forget(l *life, j *job) {
	l.ended = append(l.ended, j.id)
	if len(l.ended) > endedJobs {
		if old, ok := l.jobs[l.ended[0]]; ok && (old.done || old.stopped) {
			delete(l.jobs, l.ended[0])
		}
		l.ended = l.ended[1:]
	}
}

// cancel ends the work on a request; false where there is none of that id.
func (e *Engine) cancel(l *life, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := l.jobs[id]
	if !ok {
		return false
	}
	e.halt(j)
	return true
}

// halt ends a request unless it has ended.
func (e *Engine) halt(j *job) {
	if j.done || j.stopped {
		return
	}
	j.stopped = true
	close(j.stop)
	e.wake(j)
}
