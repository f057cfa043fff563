package emulator

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"
)

// ServiceConfig describes a plain service's stand-in.
type ServiceConfig struct {
	Name string
	// WorkTime is how long one call takes.
	WorkTime time.Duration
	// Runs is shared by the endpoints of one service; nil makes one of its own.
	Runs *Ledger
	Pace Pace
}

// ServiceFaults are the faults that are in force at a plain service.
type ServiceFaults struct {
	// CrashBefore calls end in a crash before they take effect, CrashAfter
	// calls after it and before the answer. Each crash takes DownMS.
	CrashBefore int   `json:"crash_before"`
	CrashAfter  int   `json:"crash_after"`
	DownMS      int64 `json:"down_ms"`
	// SlowMS is added to every call.
	SlowMS int64 `json:"slow_ms"`
	// Silent takes calls, without effect, and never answers.
	Silent bool `json:"silent"`
	// SilentAfter calls take effect and are never answered.
	SilentAfter int `json:"silent_after"`
}

// Service is a plain service's stand-in. It counts the runs of each request by
// Idempotency-Key and by the marker in the body.
type Service struct {
	cfg  ServiceConfig
	gate *gate
	done chan struct{}

	mu     sync.Mutex
	faults ServiceFaults
	runs   int
	closed bool
}

// StartService listens on addr and serves until Close.
func StartService(addr string, cfg ServiceConfig) (*Service, error) {
	if cfg.Runs == nil {
		cfg.Runs = NewLedger()
	}
	s := &Service{cfg: cfg, done: make(chan struct{})}
	gate, err := openGate(addr, s.handle)
	if err != nil {
		return nil, err
	}
	s.gate = gate
	return s, nil
}

// Name returns the endpoint's name.
func (s *Service) Name() string { return s.cfg.Name }

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.gate.addr }

// Close stops the service and cuts its connections.
func (s *Service) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.gate.close()
	return nil
}

// Runs returns how many calls took effect here.
func (s *Service) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// SetFaults puts faults in force in place of all earlier ones.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SilenceOpen makes the connections that are open now silent for good.
func (s *Service) SilenceOpen() { s.gate.silenceOpen() }

// CutOpen closes the connections that are open now.
func (s *Service) CutOpen() { s.gate.cut() }

// Crash cuts every connection and refuses new ones for a time.
func (s *Service) Crash(down time.Duration) {
	_ = s.gate.down()
	s.restart(down)
}

func (s *Service) restart(down time.Duration) {
	s.cfg.Pace.sleep(down, s.done)
	_ = s.gate.up()
}

// crashUnder crashes the service under a call. It is down before the call's
// connection ends: a crash that came later would hit the caller's next call,
// which nobody ordered.
func (s *Service) crashUnder(ctx *fasthttp.RequestCtx, down time.Duration) {
	_ = s.gate.down()
	go s.restart(down)
	drop(ctx)
}

// ServiceAnswer is the text that the service answers a call with.
func ServiceAnswer(method, path string, body []byte) string {
	return fmt.Sprintf("%s %s %016x", method, path, xxh3.Hash(body))
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if what, ok := strings.CutPrefix(string(ctx.Path()), "/control/"); ok {
		s.control(ctx, what)
		return
	}
	f := s.take()
	if f.Silent {
		hold(ctx)
		return
	}
	down := time.Duration(f.DownMS) * time.Millisecond
	if f.CrashBefore > 0 {
		s.crashUnder(ctx, down)
		return
	}
	if !s.cfg.Pace.sleep(s.cfg.WorkTime+time.Duration(f.SlowMS)*time.Millisecond, s.done) {
		drop(ctx)
		return
	}
	s.effect(ctx)
	switch {
	case f.CrashAfter > 0:
		s.crashUnder(ctx, down)
	case f.SilentAfter > 0:
		hold(ctx)
	default:
		ctx.SetContentType("text/plain")
		ctx.SetBodyString(ServiceAnswer(string(ctx.Method()), string(ctx.Path()), ctx.PostBody()))
	}
}

// take returns the faults for one call and counts the ordered ones down.
func (s *Service) take() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	switch {
	case f.CrashBefore > 0:
		s.faults.CrashBefore--
	case f.CrashAfter > 0:
		s.faults.CrashAfter--
	case f.SilentAfter > 0:
		s.faults.SilentAfter--
	}
	return f
}

func (s *Service) effect(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	s.cfg.Runs.run(string(h.Peek("X-Request-Id")), markerOf(string(ctx.PostBody())), string(h.Peek("Idempotency-Key")))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

// control serves /control: GET or POST faults, POST crash, connections/cut and
// connections/silence.
func (s *Service) control(ctx *fasthttp.RequestCtx, what string) {
	switch what {
	case "faults":
		var f ServiceFaults
		if ctx.IsPost() && readJSON(ctx, &f) {
			s.SetFaults(f)
		}
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			writeJSON(ctx, s.Faults())
		}
	case "crash":
		var o crashOrder
		if readJSON(ctx, &o) {
			go s.Crash(time.Duration(o.DownMS) * time.Millisecond)
		}
	case "connections/cut":
		s.CutOpen()
	case "connections/silence":
		s.SilenceOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}
