package emulator

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// ServiceConfig configures an emulated plain service.
type ServiceConfig struct {
	Name string
	// WorkTime is the duration of one call.
	WorkTime time.Duration
	// DownTime is how long the service stays down after a call with PoisonText in its body has crashed
	// it; 0 means two seconds.
	DownTime time.Duration
	// Runs is shared by the endpoints of one service; nil creates a separate one.
	Runs      *Ledger
	Behaviour Behaviour
	Pace      Pace
}

// ServiceFaults are the faults injected at a plain service.
type ServiceFaults struct {
	// The next CrashBefore calls crash the service before they take effect, the next CrashAfter
	// calls after they took effect and before the response. Each crash lasts DownMS.
	CrashBefore int   `json:"crash_before"`
	CrashAfter  int   `json:"crash_after"`
	DownMS      int64 `json:"down_ms"`
	// SlowMS is added to the duration of every call.
	SlowMS int64 `json:"slow_ms"`
	// Silent accepts calls, without effect, and never responds.
	Silent bool `json:"silent"`
	// The next SilentAfter calls take effect and get no response.
	SilentAfter int `json:"silent_after"`
}

// Service emulates a plain service. It counts the runs of each request by Idempotency-Key and by
// the marker in the body.
type Service struct {
	cfg      ServiceConfig
	listener *listener
	done     chan struct{}
	// createdAt is the time from which the speed changes; open counts the calls being served.
	createdAt time.Time
	open      atomic.Int64

	mu      sync.Mutex
	faults  ServiceFaults
	runs    int
	crashes int
	closed  bool
}

// StartService listens on addr and serves until Close.
func StartService(addr string, cfg ServiceConfig) (*Service, error) {
	if cfg.Runs == nil {
		cfg.Runs = NewLedger()
	}
	setDefault(&cfg.DownTime, 2*time.Second)
	if cfg.Behaviour.WorkTime > 0 {
		cfg.WorkTime = cfg.Behaviour.WorkTime
	}
	s := &Service{cfg: cfg, done: make(chan struct{}), createdAt: time.Now()}
	listener, err := listenHTTP(addr, cfg.Behaviour.ReadRate*cfg.Pace.factor(), s.handle)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	return s, nil
}

// Name returns the endpoint's name.
func (s *Service) Name() string { return s.cfg.Name }

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.listener.addr }

// Close stops the service and closes its connections.
func (s *Service) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.done)
	}
	s.mu.Unlock()
	s.listener.close()
	return nil
}

// Runs returns how many calls took effect at this service.
func (s *Service) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// Crashes returns how often a call with PoisonText has crashed this service.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// SetFaults replaces all injected faults by f.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// StallOpen makes the currently open connections unresponsive without closing them.
func (s *Service) StallOpen() { s.listener.stallOpen() }

// CutOpen closes the currently open connections.
func (s *Service) CutOpen() { s.listener.cut() }

// Crash closes every connection and refuses new ones for the duration down.
func (s *Service) Crash(down time.Duration) {
	_ = s.listener.down()
	s.restart(down)
}

func (s *Service) restart(down time.Duration) {
	s.cfg.Pace.sleep(down, s.done)
	_ = s.listener.up()
}

// crashDuring crashes the service during a call. The service is down before the call's connection
// is closed: a crash that came later would also hit the caller's next call, which no fault was
// injected for.
func (s *Service) crashDuring(ctx *fasthttp.RequestCtx, down time.Duration) {
	_ = s.listener.down()
	go s.restart(down)
	drop(ctx)
}

// ServiceAnswer returns the text with which the service responds to a call.
func ServiceAnswer(method, path string, body []byte) string {
	return fmt.Sprintf("%s %s %016x", method, path, xxh3.Hash(body))
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if what, ok := strings.CutPrefix(string(ctx.Path()), "/control/"); ok {
		s.control(ctx, what)
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	f := s.nextFaults()
	if f.Silent {
		neverRespond(ctx)
		return
	}
	down := time.Duration(f.DownMS) * time.Millisecond
	if strings.Contains(string(ctx.PostBody()), PoisonText) {
		s.mu.Lock()
		s.crashes++
		s.mu.Unlock()
		s.crashDuring(ctx, s.cfg.DownTime)
		return
	}
	if f.CrashBefore > 0 {
		s.crashDuring(ctx, down)
		return
	}
	work := s.cfg.Behaviour.Speed.Stretch(s.age(), s.cfg.WorkTime+time.Duration(f.SlowMS)*time.Millisecond)
	if !s.cfg.Pace.sleep(work, s.done) {
		drop(ctx)
		return
	}
	if s.cfg.Behaviour.ReportsLoad {
		ctx.Response.Header.Set(platformtest.LoadHeader, platformtest.LoadReport(int(s.open.Load()), 0, 0, s.cfg.Behaviour.Speed.Factor(s.age())))
	}
	s.recordRun(ctx)
	switch {
	case f.CrashAfter > 0:
		s.crashDuring(ctx, down)
	case f.SilentAfter > 0:
		neverRespond(ctx)
	default:
		ctx.SetContentType("text/plain")
		ctx.SetBodyString(ServiceAnswer(string(ctx.Method()), string(ctx.Path()), ctx.PostBody()))
	}
}

// age returns the emulated time since the service was started.
func (s *Service) age() time.Duration { return s.cfg.Pace.unscale(time.Since(s.createdAt)) }

// nextFaults returns the faults for one call and decrements the counter of the fault that applies
// to it.
func (s *Service) nextFaults() ServiceFaults {
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

// recordRun counts a call that took effect.
func (s *Service) recordRun(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	s.cfg.Runs.run(string(h.Peek("X-Request-Id")), markerOf(string(ctx.PostBody())), string(h.Peek("Idempotency-Key")))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

// control serves /control/: GET and POST faults, POST crash, connections/cut and
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
		var o crashRequest
		if readJSON(ctx, &o) {
			go s.Crash(time.Duration(o.DownMS) * time.Millisecond)
		}
	case "connections/cut":
		s.CutOpen()
	case "connections/silence":
		s.StallOpen()
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}
