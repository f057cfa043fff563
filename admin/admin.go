// Package admin serves health, metrics and the state dump of a process, on a
// listener apart from the callers'.
package admin

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/invariant"
)

// DumpFunc returns a duty's state as a value that encodes to JSON. It may be
// called by any goroutine, must not block for long and must hold no secrets.
type DumpFunc func() any

// Handler answers /livez, /readyz, /metrics and /debug/state.
type Handler struct {
	ready atomic.Bool

	mu       sync.Mutex
	dumps    map[string]DumpFunc
	required []condition
}

// condition has to hold for the process to be ready.
type condition struct {
	name  string
	holds func() bool
}

// NewHandler returns a handler that is not ready yet.
func NewHandler() *Handler {
	return &Handler{dumps: map[string]DumpFunc{}}
}

// SetReady says whether the balancer may send callers here.
func (h *Handler) SetReady(ready bool) { h.ready.Store(ready) }

// Require makes readiness depend on a condition too. The function may be called
// by any goroutine and must not block.
func (h *Handler) Require(name string, holds func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.required = append(h.required, condition{name, holds})
}

// missing names the first condition that does not hold.
func (h *Handler) missing() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.required {
		if !c.holds() {
			return c.name
		}
	}
	return ""
}

// Register adds a duty's state to the dump.
func (h *Handler) Register(duty string, dump DumpFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dumps[duty] = dump
}

// Serve answers one request.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/livez":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		h.readyz(ctx)
	case "/metrics":
		ctx.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(ctx, true)
	case "/debug/state":
		h.state(ctx)
	default:
		ctx.Error("no such path; use /livez, /readyz, /metrics or /debug/state\n", fasthttp.StatusNotFound)
	}
}

func (h *Handler) readyz(ctx *fasthttp.RequestCtx) {
	if !h.ready.Load() {
		ctx.Error("not ready: starting or ending\n", fasthttp.StatusServiceUnavailable)
		return
	}
	if name := h.missing(); name != "" {
		ctx.Error("not ready: no "+name+" yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (h *Handler) state(ctx *fasthttp.RequestCtx) {
	data, err := json.MarshalIndent(h.collect(), "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// dump is the whole state of a process.
type dump struct {
	Ready      bool                  `json:"ready"`
	Violations []invariant.Violation `json:"invariant_violations"`
	Duties     map[string]any        `json:"duties"`
}

func (h *Handler) collect() dump {
	h.mu.Lock()
	dumps := make(map[string]DumpFunc, len(h.dumps))
	for duty, fn := range h.dumps {
		dumps[duty] = fn
	}
	h.mu.Unlock()
	d := dump{Ready: h.ready.Load(), Violations: invariant.Violations(), Duties: map[string]any{}}
	for duty, fn := range dumps {
		d.Duties[duty] = fn()
	}
	return d
}
