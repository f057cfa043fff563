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

// maxEndedJobs is how many ended requests an engine keeps for resuming.
const maxEndedJobs = 1024

// codeNotStarted is the error code with which an engine states that a request was not started.
const codeNotStarted = "not_started"

// job is one request at an engine. The engine's mutex guards the fields that change: cached,
// emitted, done, stopped and changed.
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
	origin   cachedBlock

	cached  int64
	emitted int
	done    bool
	stopped bool
	stop    chan struct{}
	changed chan struct{}
}

// generate serves a completion or a chat completion.
func (e *Engine) generate(ctx *fasthttp.RequestCtx, p *process, chat bool, arrived time.Time) {
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
	version, ok := e.loaded(p, b.Model)
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
	if !e.enqueue(p, j, arrived) {
		writeAPIError(ctx, fasthttp.StatusTooManyRequests, codeNotStarted, "the queue is full")
		return
	}
	go e.run(p, j)
	if b.Stream {
		e.stream(ctx, p, j, 0)
		return
	}
	e.writeCompletion(ctx, p, j)
}

// loaded returns the version of a loaded model, given as model or model:adapter, and reports
// whether the model and the adapter are loaded.
func (e *Engine) loaded(p *process, name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, adapter, hasAdapter := strings.Cut(name, ":")
	for _, m := range p.models {
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
		origin:   cachedBlock{salt: salt.String(), model: b.Model, version: version},
		stop:     make(chan struct{}),
		changed:  make(chan struct{}),
	}
}

// enqueue adds the job to the queue. It returns false if the queue is full or the process has
// ended.
func (e *Engine) enqueue(p *process, j *job, arrived time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.waiting >= e.cfg.Queue || e.process != p || e.closed {
		e.stats.Refused++
		return false
	}
	if !e.leaving.IsZero() {
		e.stats.LastStartAfterLeaving = max(e.stats.LastStartAfterLeaving, arrived.Sub(e.leaving))
	}
	p.jobs[j.id] = j
	p.waiting++
	p.waitTokens += j.prompt
	e.sampleLoad(p)
	return true
}

// run processes the job: it waits for a slot, then does prefill and decoding.
func (e *Engine) run(p *process, j *job) {
	got := p.slots.acquire(j.priority, j.stop)
	e.started(p, j, got)
	if !got {
		return
	}
	defer e.finished(p, j)
	defer p.slots.release()
	if !e.prefill(p, j) {
		return
	}
	if j.poison {
		go e.Crash(e.cfg.DownTime)
		<-p.done
		return
	}
	for range j.tokens {
		if !e.compute(e.cfg.TokenTime, j.stop) {
			return
		}
		e.emit(j)
	}
}

func (e *Engine) started(p *process, j *job, got bool) {
	e.mu.Lock()
	p.waiting--
	p.waitTokens -= j.prompt
	if got {
		p.running++
		e.count(j, TokenStats{Runs: 1})
	} else {
		e.retainEnded(p, j)
	}
	e.sampleLoad(p)
	e.mu.Unlock()
	if got {
		e.cfg.Shared.Runs.run(j.id, j.marker, "")
	}
}

// prefill computes the part of the prompt that is not cached. It returns false if the job was
// stopped.
func (e *Engine) prefill(p *process, j *job) bool {
	if !p.prefill.acquire(j.priority, j.stop) {
		return false
	}
	defer p.prefill.release()
	e.mu.Lock()
	depth, stale := p.cache.match(j.blocks, j.origin)
	j.cached = int64(depth * e.cfg.BlockTokens)
	e.count(j, TokenStats{PromptTokens: j.prompt, CachedTokens: j.cached})
	e.stats.StaleBlocks += stale
	e.mu.Unlock()
	recomputed := e.cfg.Shared.Blocks.compute(j.blocks[depth:])
	seconds := float64(j.prompt-j.cached) / e.cfg.PrefillRate
	if !e.compute(time.Duration(seconds*float64(time.Second)), j.stop) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count(j, TokenStats{RecomputedTokens: int64(recomputed * e.cfg.BlockTokens)})
	e.store(p, j.blocks, j.origin)
	return true
}

// store adds blocks to the cache and publishes the changes.
func (e *Engine) store(p *process, blocks []prefix.Hash, origin cachedBlock) {
	stored, evicted := p.cache.insert(blocks, origin)
	if len(evicted) > 0 {
		e.publish(p, endpoint.CacheEvict, evicted)
	}
	if len(stored) > 0 {
		e.publish(p, endpoint.CacheStore, stored)
	}
}

// compute sleeps for the duration d of some work at the engine's current speed. It returns false if
// stop was closed first.
func (e *Engine) compute(d time.Duration, stop <-chan struct{}) bool {
	if !e.waitWhileFrozen(stop) {
		return false
	}
	e.mu.Lock()
	if e.faults.Slow > 0 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	e.mu.Unlock()
	return e.cfg.Pace.sleep(e.cfg.Behaviour.Speed.Stretch(e.age(), d), stop)
}

// emit marks the next token as generated.
func (e *Engine) emit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.emitted++
	j.done = j.emitted == len(j.tokens)
	e.notifyChange(j)
}

// notifyChange wakes the writers of the job's streams.
func (e *Engine) notifyChange(j *job) {
	close(j.changed)
	j.changed = make(chan struct{})
}

func (e *Engine) finished(p *process, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.running--
	e.retainEnded(p, j)
	e.sampleLoad(p)
}

// retainEnded keeps an ended job for resuming and drops the oldest one above the limit.
func (e *Engine) retainEnded(p *process, j *job) {
	p.ended = append(p.ended, j.id)
	if len(p.ended) > maxEndedJobs {
		if old, ok := p.jobs[p.ended[0]]; ok && (old.done || old.stopped) {
			delete(p.jobs, p.ended[0])
		}
		p.ended = p.ended[1:]
	}
}

// cancel stops a job. It returns false if there is none with that id.
func (e *Engine) cancel(p *process, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok {
		return false
	}
	e.halt(j)
	return true
}

// halt stops a job unless it has ended.
func (e *Engine) halt(j *job) {
	if j.done || j.stopped {
		return
	}
	j.stopped = true
	close(j.stop)
	e.notifyChange(j)
}
