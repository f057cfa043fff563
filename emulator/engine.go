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
)

// EngineConfig describes one engine stand-in. Fields that are zero get the
// defaults of withDefaults.
type EngineConfig struct {
	// Name is the endpoint's name.
	Name string
	// Model and Version are loaded at start.
	Model, Version string
	// TokenTime is the time from one token of a request to the next.
	TokenTime time.Duration
	// Slots is how many requests run at a time, Queue how many wait for one.
	Slots, Queue int
	// BlockTokens and CacheBlocks size the prefix cache.
	BlockTokens, CacheBlocks int
	// PrefillRate is the uncached prompt tokens that are computed in a second,
	// one request after the other.
	PrefillRate float64
	// ImportRate is the tokens of kept KV cache that are taken in in a second.
	ImportRate float64
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// LoadLag and EventLag are how old load reports and cache events are, and
	// EventLoss is the share of cache events that are lost.
	LoadLag, EventLag time.Duration
	EventLoss         float64
	// LoadTime is how long weights take to load.
	LoadTime time.Duration
	// Heartbeat is the time between the comment lines of a stream that waits.
	Heartbeat time.Duration
	// DownTime is how long the engine stays away when a request crashes it.
	DownTime time.Duration
	// FirstIncarnation is the number of the first start.
	FirstIncarnation uint64
	// Pace scales all durations and rates.
	Pace Pace
	// Seed of the faults that come with a probability.
	Seed int64
	// Shared is what engines have in common; nil makes one of its own.
	Shared *Shared
}

// Shared is what the endpoints of one deployment have in common.
type Shared struct {
	Weights *Weights
	KV      *KVStore
	Runs    *Ledger
	Blocks  *BlockLedger
}

// NewShared returns the common parts, with a weight store that serves
// loadsAtOnce loads at full pace.
func NewShared(loadsAtOnce int) *Shared {
	return &Shared{Weights: NewWeights(loadsAtOnce), KV: NewKVStore(), Runs: NewLedger(), Blocks: NewBlockLedger()}
}

// withDefaults fills in a mid-sized engine that decodes at a large model's
// usual pace.
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

// Engine is a model engine's stand-in. It answers each prompt with a text that
// is a function of the prompt, so that a caller can tell its own answer.
type Engine struct {
	cfg  EngineConfig
	gate *gate

	mu       sync.Mutex
	life     *life
	lives    uint64
	eventSeq uint64
	closed   bool
	faults   EngineFaults
	thawed   chan struct{}
	rng      *rand.Rand
	stats    EngineStats
	leaving  time.Time
}

// TokenStats counts runs and what was computed for them.
type TokenStats struct {
	// Runs is how many requests got a slot.
	Runs int `json:"runs"`
	// PromptTokens of all runs, and of them CachedTokens found in the cache.
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	// RecomputedTokens are those of blocks that some engine had computed
	// before under the same name.
	RecomputedTokens int64 `json:"recomputed_tokens"`
}

// Add adds other to s.
func (s *TokenStats) Add(other TokenStats) {
	s.Runs += other.Runs
	s.PromptTokens += other.PromptTokens
	s.CachedTokens += other.CachedTokens
	s.RecomputedTokens += other.RecomputedTokens
}

// maxGroups bounds the groups of requests that are counted apart.
const maxGroups = 64

// EngineStats counts what an engine did since it was made, over all starts.
type EngineStats struct {
	TokenStats
	// Groups counts by the part of the callers' markers before the first
	// slash.
	Groups map[string]TokenStats `json:"groups"`
	// Refused is how many were refused unstarted.
	Refused int `json:"refused"`
	Crashes int `json:"crashes"`
	// StaleBlocks were matched under another salt, model or version than they
	// were computed under. It must stay 0.
	StaleBlocks int `json:"stale_blocks"`
	// LastStartAfterLeaving is how long after the engine said that it leaves
	// its last request came, not counting a wait while it was frozen.
	LastStartAfterLeaving time.Duration `json:"last_start_after_leaving_ns"`
}

// life is the time from one start of the engine to the next. All that an
// engine loses in a crash is in here; the engine's mutex guards it.
type life struct {
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
	e := &Engine{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(cfg.Seed), 3)), thawed: make(chan struct{})}
	e.lives = cfg.FirstIncarnation - 1
	e.begin()
	gate, err := openGate(addr, e.handle)
	if err != nil {
		return nil, err
	}
	e.gate = gate
	return e, nil
}

// begin starts an empty life.
func (e *Engine) begin() {
	e.lives++
	e.life = &life{
		incarnation: e.lives,
		done:        make(chan struct{}),
		slots:       newSemaphore(e.cfg.Slots),
		prefill:     newSemaphore(1),
		cache:       newBlockCache(e.cfg.CacheBlocks),
		models:      []endpoint.ModelState{{Model: e.cfg.Model, Version: e.cfg.Version}},
		jobs:        map[string]*job{},
		events:      newEventLog(),
	}
	e.publish(e.life, endpoint.CacheClear, nil)
	e.sampleLoad(e.life)
}

// Name returns the endpoint's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.gate.addr }

// Close stops the engine and cuts its connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		e.endLife()
	}
	e.mu.Unlock()
	e.gate.close()
	return nil
}

// Runs returns how often each request was started, by the router's id, at all
// engines that share a ledger with this one.
func (e *Engine) Runs() map[string]int { return e.cfg.Shared.Runs.copyIDs() }

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Groups = maps.Clone(e.stats.Groups)
	return stats
}

// count adds to the counts of all requests and of the request's group.
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

// Incarnation returns the number of the present start.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life.incarnation
}

// current returns the present life.
func (e *Engine) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, "/control/"); ok {
		e.control(ctx, rest)
		return
	}
	l := e.current()
	arrived := time.Now()
	if !e.awake(l.done) {
		drop(ctx)
		return
	}
	ctx.Response.Header.Set("X-Engine-Incarnation", strconv.FormatUint(l.incarnation, 10))
	switch path {
	case "/v1/completions":
		e.generate(ctx, l, false, arrived)
	case "/v1/chat/completions":
		e.generate(ctx, l, true, arrived)
	case "/v1/state":
		writeJSON(ctx, e.state(l))
	case "/v1/load":
		writeJSON(ctx, e.load(l))
	case "/v1/cache/events":
		e.cacheEvents(ctx, l)
	case "/v1/kv/export", "/v1/kv/import":
		e.transfer(ctx, l, path == "/v1/kv/export")
	case "/v1/orders":
		e.order(ctx, l)
	default:
		e.streamPath(ctx, l, path)
	}
}

// streamPath serves /v1/streams/ID and /v1/streams/ID/resume.
func (e *Engine) streamPath(ctx *fasthttp.RequestCtx, l *life, path string) {
	id, ok := strings.CutPrefix(path, "/v1/streams/")
	if !ok {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_path", "no such path")
		return
	}
	if id, ok := strings.CutSuffix(id, "/resume"); ok && ctx.IsPost() {
		e.resume(ctx, l, id)
		return
	}
	if !ctx.IsDelete() || !e.cancel(l, id) {
		writeAPIError(ctx, fasthttp.StatusNotFound, "no_such_stream", "no such stream")
	}
}

func (e *Engine) state(l *life) endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.State{
		Endpoint:    e.cfg.Name,
		Incarnation: l.incarnation,
		Role:        l.role,
		Leaving:     !e.leaving.IsZero(),
		Models:      append([]endpoint.ModelState(nil), l.models...),
		Loading:     append([]endpoint.ModelState(nil), l.loading...),
		Fence:       l.fence,
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

// apiError is the published API's error body.
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
