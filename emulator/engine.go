package emulator

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// EngineConfig configures one emulated engine. Zero fields get the defaults of withDefaults.
type EngineConfig struct {
	// Name is the endpoint's name.
	Name string
	// Model and Version are loaded at start.
	Model, Version string
	// TokenTime is the decoding time of one token.
	TokenTime time.Duration
	// Slots is how many requests run concurrently, Queue how many may wait for a slot.
	Slots, Queue int
	// BlockTokens is the size of a block of the prefix cache in tokens, CacheBlocks the number of
	// blocks in it.
	BlockTokens, CacheBlocks int
	// PrefillRate is the number of uncached prompt tokens computed per second. Prefill runs for one
	// request at a time.
	PrefillRate float64
	// ImportRate is the number of tokens of exported KV cache that are imported per second.
	ImportRate float64
	// ChecksFencing rejects orders whose fencing number is lower than the highest one received.
	ChecksFencing bool
	// LoadLag and EventLag are the delays of load reports and cache events. EventLoss is the share
	// of cache events that are lost.
	LoadLag, EventLag time.Duration
	EventLoss         float64
	// LoadTime is how long it takes to load a model's weights.
	LoadTime time.Duration
	// Heartbeat is the interval between the comment lines of an idle stream.
	Heartbeat time.Duration
	// DownTime is how long the engine stays down after a request has crashed it.
	DownTime time.Duration
	// FirstIncarnation is the incarnation number of the first start.
	FirstIncarnation uint64
	Behaviour        Behaviour
	// Pace scales all durations and rates.
	Pace Pace
	// Seed seeds the faults that occur with a probability.
	Seed int64
	// Shared is the state that engines share; nil gives the engine a state of its own.
	Shared *Shared
}

// Shared is the state that the endpoints of one deployment share.
type Shared struct {
	Weights *Weights
	KV      *KVStore
	Runs    *Ledger
	Blocks  *BlockLedger
}

// NewShared returns an empty shared state, with a weight store that serves loadsAtOnce loads at
// full speed.
func NewShared(loadsAtOnce int) *Shared {
	return &Shared{Weights: NewWeights(loadsAtOnce), KV: NewKVStore(), Runs: NewLedger(), Blocks: NewBlockLedger()}
}

// withDefaults sets zero fields to the values of a mid-sized engine that decodes at a large model's
// usual speed.
func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.TokenTime, 20*time.Millisecond)
	setDefault(&c.Slots, 16)
	setDefault(&c.Queue, 256)
	setDefault(&c.BlockTokens, 64)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.PrefillRate, 20000)
	setDefault(&c.ImportRate, 10*c.PrefillRate)
	setDefault(&c.LoadTime, 400*time.Millisecond)
	setDefault(&c.Heartbeat, time.Second)
	setDefault(&c.DownTime, 2*time.Second)
	setDefault(&c.FirstIncarnation, 1)
	if c.Shared == nil {
		c.Shared = NewShared(1)
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine emulates a model engine. It answers each prompt with a text that is a function of the
// prompt, so that a caller can verify that the answer is its own.
type Engine struct {
	cfg       EngineConfig
	listener  *listener
	createdAt time.Time

	mu       sync.Mutex
	process  *process
	starts   uint64
	eventSeq uint64
	closed   bool
	faults   EngineFaults
	thawed   chan struct{}
	rng      *rand.Rand
	stats    EngineStats
	leaving  time.Time
}

// TokenStats counts runs and the prompt tokens processed for them.
type TokenStats struct {
	// Runs is the number of requests that got a slot.
	Runs int `json:"runs"`
	// PromptTokens is the total of all runs; CachedTokens is the part of it that was found in the
	// cache.
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// RecomputedTokens are the tokens of blocks that an engine computed although some engine had
	// computed the same block before.
	RecomputedTokens int64 `json:"recomputed_tokens"`
}

// Add adds other to s.
func (s *TokenStats) Add(other TokenStats) {
	s.Runs += other.Runs
	s.PromptTokens += other.PromptTokens
	s.CachedTokens += other.CachedTokens
	s.RecomputedTokens += other.RecomputedTokens
}

// maxGroups bounds the request groups that are counted separately.
const maxGroups = 64

// EngineStats counts what an engine did since it was created, across restarts.
type EngineStats struct {
	TokenStats
	// Groups counts by request group, which is the part of the caller's marker before the first
	// slash.
	Groups map[string]TokenStats `json:"groups"`
	// Refused is the number of requests that were rejected before they started.
	Refused int `json:"refused"`
	Crashes int `json:"crashes"`
	// StaleBlocks counts blocks that were matched under another salt, model or version than they
	// were computed under. It must stay 0.
	StaleBlocks int `json:"stale_blocks"`
	// LastStartAfterLeaving is the time from the engine's leaving notice to the arrival of its last
	// accepted request. Time that a request waited while the engine was frozen does not count.
	LastStartAfterLeaving time.Duration `json:"last_start_after_leaving_ns"`
}

// process is the state of the engine from one start to the next, all of which a crash loses. The
// engine's mutex guards it.
type process struct {
	incarnation uint64
	done        chan struct{}
	slots       *semaphore
	prefill     *semaphore
	cache       *blockCache
	models      []endpoint.ModelState
	loading     []endpoint.ModelState
	role        string
	fence       uint64
	jobs        map[string]*job
	ended       []string
	running     int
	waiting     int
	waitTokens  int64
	events      eventLog
	loads       []loadSample
}

// StartEngine listens on addr and serves until Close.
func StartEngine(addr string, cfg EngineConfig) (*Engine, error) {
	cfg = cfg.withDefaults()
	e := &Engine{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(cfg.Seed), 3)), thawed: make(chan struct{}), createdAt: time.Now()}
	e.starts = cfg.FirstIncarnation - 1
	e.startProcess()
	listener, err := listenHTTP(addr, cfg.Behaviour.ReadRate*cfg.Pace.factor(), e.handle)
	if err != nil {
		return nil, err
	}
	e.listener = listener
	return e, nil
}

// startProcess replaces the engine's process by an empty one with the next incarnation number.
func (e *Engine) startProcess() {
	e.starts++
	e.process = &process{
		incarnation: e.starts,
		done:        make(chan struct{}),
		slots:       newSemaphore(e.cfg.Slots),
		prefill:     newSemaphore(1),
		cache:       newBlockCache(e.cfg.CacheBlocks),
		models:      []endpoint.ModelState{{Model: e.cfg.Model, Version: e.cfg.Version}},
		jobs:        map[string]*job{},
		events:      newEventLog(),
	}
	e.publish(e.process, endpoint.CacheClear, nil)
	e.sampleLoad(e.process)
}

// Name returns the endpoint's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.listener.addr }

// Close stops the engine and closes its connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		e.endProcess()
	}
	e.mu.Unlock()
	e.listener.close()
	return nil
}

// Runs returns how often each request was started at all engines that share a ledger with this one,
// by the request id that the router assigned.
func (e *Engine) Runs() map[string]int { return e.cfg.Shared.Runs.copyIDs() }

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Groups = maps.Clone(e.stats.Groups)
	return stats
}

// count adds s to the engine's totals and to the totals of the job's group.
func (e *Engine) count(j *job, s TokenStats) {
	e.stats.Add(s)
	group, _, _ := strings.Cut(j.marker, "/")
	sum, ok := e.stats.Groups[group]
	if !ok && len(e.stats.Groups) >= maxGroups {
		return
	}
	sum.Add(s)
	if e.stats.Groups == nil {
		e.stats.Groups = map[string]TokenStats{}
	}
	e.stats.Groups[group] = sum
}

// Incarnation returns the number of the current start.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.incarnation
}

// age returns the emulated time since the engine was created.
func (e *Engine) age() time.Duration { return e.cfg.Pace.unscale(time.Since(e.createdAt)) }

// current returns the current process.
func (e *Engine) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, "/control/"); ok {
		e.control(ctx, rest)
		return
	}
	p := e.current()
	arrived := time.Now()
	if !e.waitWhileFrozen(p.done) {
		drop(ctx)
		return
	}
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
	ctx.Response.Header.Set("X-Engine-Incarnation", strconv.FormatUint(p.incarnation, 10))
	if e.cfg.Behaviour.ReportsLoad {
		e.mu.Lock()
		running, waiting := p.running, p.waiting
		e.mu.Unlock()
		ctx.Response.Header.Set(platformtest.LoadHeader, platformtest.LoadReport(running, waiting, e.cfg.Slots, e.cfg.Behaviour.Speed.Factor(e.age())))
	}
	switch path {
	case "/v1/completions":
		e.generate(ctx, p, false, arrived)
	case "/v1/chat/completions":
		e.generate(ctx, p, true, arrived)
	case "/v1/state":
		writeJSON(ctx, e.state(p))
	case "/v1/load":
		writeJSON(ctx, e.load(p))
	case "/v1/cache/events":
		e.cacheEvents(ctx, p)
	case "/v1/kv/export", "/v1/kv/import":
		e.transfer(ctx, p, path == "/v1/kv/export")
	case "/v1/orders":
		e.order(ctx, p)
	default:
		e.streamPath(ctx, p, path)
	}
}

// streamPath serves /v1/streams/ID and /v1/streams/ID/resume.
func (e *Engine) streamPath(ctx *fasthttp.RequestCtx, p *process, path string) {
	id, ok := strings.CutPrefix(path, "/v1/streams/")
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_path", "no such path")
		return
	}
	if id, ok := strings.CutSuffix(id, "/resume"); ok && ctx.IsPost() {
		e.resume(ctx, p, id)
		return
	}
	if !ctx.IsDelete() || !e.cancel(p, id) {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_stream", "no such stream")
	}
}

func (e *Engine) state(p *process) endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.State{
		Endpoint:    e.cfg.Name,
		Incarnation: p.incarnation,
		Role:        p.role,
		Leaving:     !e.leaving.IsZero(),
		Models:      append([]endpoint.ModelState(nil), p.models...),
		Loading:     append([]endpoint.ModelState(nil), p.loading...),
		Fence:       p.fence,
		BlockTokens: int64(e.cfg.BlockTokens),
		CacheBlocks: int64(e.cfg.CacheBlocks),
		Slots:       e.cfg.Slots,
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// apiError is the OpenAI API's error body.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeAPIError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	errorType := "invalid_request_error"
	if status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests {
		errorType = "server_error"
	}
	writeJSON(ctx, apiError{apiErrorBody{Message: message, Type: errorType, Code: code}})
	ctx.SetStatusCode(status)
}
