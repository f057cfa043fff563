// Package frontend serves the router's own HTTP interface; on the users' platform package gateway
// serves callers instead. It parses the requests of callers, has them placed on endpoints, sends
// them, and streams the answers back. It resumes or reruns requests whose endpoint or connection
// fails, and it guards requests that must run at most once by claims on their idempotency keys.
package frontend

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
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Engine is the client of a model engine that the server uses.
type Engine interface {
	endpoint.Generator
	// State queries the engine's state on a new connection.
	State(ctx context.Context) (endpoint.State, error)
}

// Service is the client of an endpoint of a plain HTTP service.
type Service interface {
	// Do sends a call exactly once; see endpoint.Service.
	Do(ctx context.Context, r endpoint.ServiceRequest) (*endpoint.ServiceAnswer, error)
	// Probe makes a new connection and returns an error if that fails.
	Probe(ctx context.Context) error
}

// CrashGuard keeps calls that crash the endpoints of plain services from being run again, by any
// instance. Those that are placed by the Placer are guarded by it.
type CrashGuard interface {
	// CrashVerdict returns how to treat a call, and for how long that applies.
	CrashVerdict(content placement.Fingerprint) (policy.CrashVerdict, time.Duration)
	// CallCrashed records that an endpoint crashed while it ran a call. crash distinguishes it from other
	// crashes of the endpoint; alone is set if the call was a suspect, and the only one there.
	CallCrashed(content placement.Fingerprint, endpoint string, crash uint64, alone, repeatable bool)
	// CallCompleted clears a call that has run to its end.
	CallCompleted(content placement.Fingerprint)
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	Limits *settingspb.Limits
	Placer placement.Placer
	// Dial returns the client of the engine at address, DialService that of the service
	// endpoint.
	Dial        func(address string) Engine
	DialService func(address string) Service
	// Claims are the claims of non-idempotent requests. If nil, as in tests of other features,
	// each resend runs.
	Claims Claims
	// Crashes may be nil, as in tests of other features.
	Crashes CrashGuard
	// NewID returns a unique request ID.
	NewID func() string
}

// Server serves the HTTP interface for callers. Its records can be replaced at any time.
type Server struct {
	cfg      Config
	records  atomic.Pointer[record.Snapshot]
	http     *fasthttp.Server
	calls    calls
	reruns   *rerunBudget
	versions *versions
	suspects suspectCalls
	metrics  *counters
	draining atomic.Bool
	stop     context.CancelFunc
}

// NewServer returns a server without records; it answers 503 until SetRecords is called.
// Callers must call Shutdown or Kill to release its resources.
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
	// There is no WriteTimeout: it would limit the whole answer and cut off long streams. The
	// listener sets a deadline for each write instead.
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        int(cfg.Limits.GetHeaderBytes()),
		MaxRequestBodySize:    int(cfg.Limits.GetBodyBytes()),
		ReadTimeout:           time.Duration(cfg.Limits.GetReadTimeoutMs()) * time.Millisecond,
		Concurrency:           int(cfg.Limits.GetConnections()),
		CloseOnShutdown:       true,
		ErrorHandler:          readFailed,
		// Bodies are passed on as bytes, whatever their type is.
		DisablePreParseMultipartForm: true,
		Logger:                       countLogger{},
	}
	go s.calls.cancelDisconnected(ctx)
	return s
}

// SetRecords sets the records for all later requests.
func (s *Server) SetRecords(r *record.Snapshot) { s.records.Store(r) }

// Serve serves callers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	writeTimeout := time.Duration(s.cfg.Limits.GetWriteTimeoutMs()) * time.Millisecond
	return s.http.Serve(&listener{Listener: ln, writeTimeout: writeTimeout})
}

func (s *Server) silenceTimeout() time.Duration {
	return time.Duration(s.cfg.Limits.GetSilenceMs()) * time.Millisecond
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	// The ID is set before any refusal, because a refusal without an ID could not be distinguished
	// apart from those of other attempts of the same caller.
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

// refuse writes the error answer of a request that was not sent. An error in the request
// itself made earlier attempts with its key fail too, so the request did not run. After an
// error of this instance (5xx) the outcome of a request with a key is unknown, because another
// instance may have run an earlier attempt.
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

// Drain closes connections after their next answer, so that callers move to other instances.
// The server still accepts requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops listening and waits for the open requests. If ctx ends first, the open
// requests end with an explicit error; no stream is cut off without one.
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

// Kill ends all work at once, as a crash would. Open requests send nothing more, not even a
// cancellation to an engine. They must not go on waiting for an endpoint either: such a
// request would be sent seconds later, based on outdated state, possibly to an endpoint that
// is leaving, and would run concurrently with the caller's next attempt.
func (s *Server) Kill() {
	s.calls.close(errKilled)
	s.stop()
}

// finalWriteTimeout limits the time for writing the final errors during a shutdown.
const finalWriteTimeout = 2 * time.Second

// serverDump is the server's part of the state dump.
type serverDump struct {
	Open     int        `json:"open"`
	Draining bool       `json:"draining"`
	Oldest   []callDump `json:"oldest"`
}

// Dump returns the open requests for the state dump.
func (s *Server) Dump() any {
	open, oldest := s.calls.dump()
	return serverDump{Open: open, Draining: s.draining.Load(), Oldest: oldest}
}

// countLogger counts the messages that the HTTP library would log. They report broken
// connections and protocol errors of callers, of which there may be many.
type countLogger struct{}

var connectionErrors = metrics.GetOrCreateCounter("sardinedock_caller_connection_errors_total")

// Printf implements fasthttp.Logger.
func (countLogger) Printf(string, ...any) { connectionErrors.Inc() }
