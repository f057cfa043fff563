// Package entry serves callers: it reads their requests, has them placed and
// sent, and gives each caller the whole answer to its own request.
package entry

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Engine is what the server needs of a model engine.
type Engine interface {
	endpoint.Generator
	// State reads the engine's own word on a new connection.
	State(ctx context.Context) (endpoint.State, error)
}

// Service is what the server needs of an endpoint of a plain service.
type Service interface {
	// Do sends a call exactly once; see endpoint.Service.
	Do(ctx context.Context, r endpoint.ServiceRequest) (*endpoint.ServiceAnswer, error)
}

// Config is what a Server needs.
type Config struct {
	Limits *settingspb.Limits
	Placer place.Placer
	// Dial returns the engine at an address, DialService the plain service's
	// endpoint.
	Dial        func(address string) Engine
	DialService func(address string) Service
	// Claims of non-idempotent requests; nil is for tests of other matters, and
	// lets each resend run.
	Claims Claims
	// NewID returns a request id that no other request has.
	NewID func() string
}

// Server serves callers. Records may be replaced at any time.
type Server struct {
	cfg      Config
	records  atomic.Pointer[record.Snapshot]
	http     *fasthttp.Server
	calls    calls
	reruns   *rerunBudget
	versions *versions
	metrics  *counters
	draining atomic.Bool
	stop     context.CancelFunc
}

// NewServer returns a server without records; it answers 503 until SetRecords.
// Shutdown ends it.
func NewServer(cfg Config) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg:      cfg,
		calls:    calls{open: map[*call]struct{}{}},
		reruns:   newRerunBudget(),
		versions: newVersions(),
		metrics:  newCounters(),
		stop:     stop,
	}
	// No WriteTimeout: it would bound a whole answer, and cut long streams.
	// Listener bounds each write instead.
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        int(cfg.Limits.GetHeaderBytes()),
		MaxRequestBodySize:    int(cfg.Limits.GetBodyBytes()),
		ReadTimeout:           time.Duration(cfg.Limits.GetReadTimeoutMs()) * time.Millisecond,
		Concurrency:           int(cfg.Limits.GetConnections()),
		CloseOnShutdown:       true,
		ErrorHandler:          readFailed,
		Logger:                countLogger{},
	}
	go s.calls.cancelDisconnected(ctx)
	return s
}

// SetRecords puts records in force for the requests that come from now on.
func (s *Server) SetRecords(r *record.Snapshot) { s.records.Store(r) }

// Serve answers the callers that ln accepts, until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	writeTimeout := time.Duration(s.cfg.Limits.GetWriteTimeoutMs()) * time.Millisecond
	return s.http.Serve(&listener{Listener: ln, writeTimeout: writeTimeout})
}

func (s *Server) silenceTimeout() time.Duration {
	return time.Duration(s.cfg.Limits.GetSilenceMs()) * time.Millisecond
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	// Before anything is refused: a refusal without an id can't be told from one of the same
	// caller's other attempts.
	id := s.cfg.NewID()
	ctx.Response.Header.Set(headerRequestID, id)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	records := s.records.Load()
	if records == nil {
		s.refuse(ctx, errNoRecords)
		return
	}
	organisation, err := authenticate(ctx, records)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	switch path := string(ctx.Path()); {
	case path == "/v1/models":
		s.models(ctx, records, organisation)
	case strings.HasPrefix(path, modelsPath):
		s.model(ctx, records, organisation, path[len(modelsPath):])
	case path == "/v1/completions" || path == "/v1/chat/completions":
		s.generate(ctx, records, organisation, id)
	case strings.HasPrefix(path, "/services/"):
		s.service(ctx, records, organisation, id)
	default:
		s.refuse(ctx, errNoPath(path))
	}
}

// refuse answers a request of which nothing was sent. What is wrong with the
// request itself was wrong with earlier attempts under its key too; where the
// fault is this instance's, another one may have run such an attempt.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error) {
	tracker := outcome.New(false)
	status, _ := statusFor(err)
	if status >= fasthttp.StatusInternalServerError && len(ctx.Request.Header.Peek(headerKey)) > 0 {
		tracker.Keyed()
	}
	verdict := tracker.Finish()
	s.metrics.outcome(verdict)
	writeError(ctx, err, verdict)
}

// Drain tells callers, by closing connections after their answers, to go to
// other instances. Requests are still taken.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops listening and blocks until the open requests are done. When
// ctx ends first, what is open ends with an error that says so; no stream is
// cut without a word.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.stop()
	s.Drain()
	forced, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		s.calls.close(errDraining)
		time.AfterFunc(finalWriteTimeout, cancel)
	})
	defer stop()
	if err := s.http.ShutdownWithContext(forced); err != nil {
		return fault.Wrap(err, fault.Unavailable, "raise shutdown.drain_ms", "connections were open when the time to drain was over")
	}
	return nil
}

// Kill ends all work at once, as a crash would: what is open sends nothing any more, not even
// an order to cancel.
//
// Failure: a request of a killed instance that waits for an endpoint would go on to wait, with
// what the instance knew before, and reach an endpoint seconds later. That is seen as new work
// at one that leaves, and as an attempt that runs beside its caller's next one.
func (s *Server) Kill() {
	s.calls.close(errKilled)
	s.stop()
}

// endTimeout bounds the writing of the last words of a shutdown.
const finalWriteTimeout = 2 * time.Second

// serverDump is the server's part of the state dump.
type serverDump struct {
	Open     int        `json:"open"`
	Draining bool       `json:"draining"`
	Oldest   []callDump `json:"oldest"`
}

// Dump returns the open requests.
func (s *Server) Dump() any {
	open, oldest := s.calls.dump()
	return serverDump{Open: open, Draining: s.draining.Load(), Oldest: oldest}
}

// countLogger counts what the HTTP library would write a line about: broken
// and badly spoken connections, of which there may be many.
type countLogger struct{}

var connectionErrors = metrics.GetOrCreateCounter("sardinedock_caller_connection_errors_total")

// Printf implements fasthttp.Logger.
func (countLogger) Printf(string, ...any) { connectionErrors.Inc() }
