// Package admin serves health checks, metrics and the state dump of a process, on a listener
// separate from the callers'.
package admin

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/invariant"
)

// DumpFunc returns the state of a component as a value that encodes to JSON. It must be safe for
// concurrent use, return quickly and leave out secrets.
type DumpFunc func() any

// Handler serves /livez, /readyz, /metrics and /debug/state.
type Handler struct {
	ready atomic.Bool

	mu       sync.Mutex
	dumps    map[string]DumpFunc
	required []requirement
}

// requirement is a named condition that must hold for the process to be ready.
type requirement struct {
	name  string
	holds func() bool
}

// NewHandler returns a handler that reports "not ready" until SetReady.
func NewHandler() *Handler {
	return &Handler{dumps: map[string]DumpFunc{}}
}

// SetReady sets whether the balancer may send callers to this process.
func (h *Handler) SetReady(ready bool) { h.ready.Store(ready) }

// Require makes readiness also depend on a condition. holds must be safe for concurrent use and
// must not block.
func (h *Handler) Require(name string, holds func() bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.required = append(h.required, requirement{name, holds})
}

// unmet returns the name of the first requirement that does not hold, or "".
func (h *Handler) unmet() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.required {
		if !c.holds() {
			return c.name
		}
	}
	return ""
}

// Register adds the state of a component to the dump.
func (h *Handler) Register(component string, dump DumpFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dumps[component] = dump
}

// Serve handles one request.
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
	if name := h.unmet(); name != "" {
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

// dump is the state of the whole process.
type dump struct {
	Ready      bool                  `json:"ready"`
	Violations []invariant.Violation `json:"invariant_violations"`
	Duties     map[string]any        `json:"duties"`
}

func (h *Handler) collect() dump {
	h.mu.Lock()
	dumps := make(map[string]DumpFunc, len(h.dumps))
	for component, fn := range h.dumps {
		dumps[component] = fn
	}
	h.mu.Unlock()
	d := dump{Ready: h.ready.Load(), Violations: invariant.Violations(), Duties: map[string]any{}}
	for component, fn := range dumps {
		d.Duties[component] = fn()
	}
	return d
}
