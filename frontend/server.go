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

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
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
	// Requests bounds what requests occupy in sum until they are answered; nil for no bound.
	Requests *bufferlimit.Intake
	// MaxConnections bounds the connections of callers; 0 for no bound.
	MaxConnections int
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
	// conns are the connections of callers.
	conns *inbound.Connections
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
		conns:    inbound.NewConnections("caller", cfg.MaxConnections),
	}
	// There is no WriteTimeout: it would limit the whole answer and cut off long streams. The
	// listener sets a deadline for each write instead, and callerConn reads requests; the library parses their heads.
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		ReadBufferSize:        int(cfg.Limits.GetHeaderBytes()),
		// The set of connections has the bound; those that are being closed count here too.
		Concurrency:     2 * int(cfg.Limits.GetConnections()),
		CloseOnShutdown: true,
		// No read buffer is kept between requests.
		ReduceMemoryUsage: true,
		HeaderReceived:    inbound.HeadReceived,
		ConnState:         connectionState,
		ErrorHandler:      readFailed,
		Logger:            countLogger{},
	}
	go s.calls.cancelDisconnected(ctx)
	return s
}

// SetRecords sets the records for all later requests.
func (s *Server) SetRecords(r *record.Snapshot) { s.records.Store(r) }

// Serve serves callers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	writeTimeout := time.Duration(s.cfg.Limits.GetWriteTimeoutMs()) * time.Millisecond
	timeout := s.readTimeout()
	reading := &inbound.Config{
		HeadBytes: int(s.cfg.Limits.GetHeaderBytes()), Memory: s.cfg.Requests,
		Timeouts: func() inbound.Timeouts { return inbound.Timeouts{Idle: timeout, Head: timeout, Stall: timeout} },
	}
	return s.http.Serve(&listener{Listener: ln, writeTimeout: writeTimeout, reading: reading, conns: s.conns})
}

// readTimeout bounds the reading of one whole request.
func (s *Server) readTimeout() time.Duration {
	return time.Duration(s.cfg.Limits.GetReadTimeoutMs()) * time.Millisecond
}

// connectionState is the HTTP server's hook for the states of connections.
func connectionState(c net.Conn, state fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == fasthttp.StateClosed {
		cc.reader.Close()
	}
}

func (s *Server) silenceTimeout() time.Duration {
	return time.Duration(s.cfg.Limits.GetSilenceMs()) * time.Millisecond
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	framing := inbound.TakeFraming(&ctx.Request.Header)
	// The ID is set before any refusal, because a refusal without an ID could not be distinguished
	// apart from those of other attempts of the same caller.
	id := s.cfg.NewID()
	ctx.Response.Header.Set(headerRequestID, id)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	serve, err := s.handlerOf(ctx, id)
	if err == nil {
		err = s.receiveBody(ctx, framing)
	} else {
		leaveBody(ctx, framing)
	}
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	serve()
}

// handlerOf returns what serves a request, by its head.
func (s *Server) handlerOf(ctx *fasthttp.RequestCtx, id string) (serve func(), err error) {
	records := s.records.Load()
	if records == nil {
		return nil, errNoRecords
	}
	organisation, err := authenticate(ctx, records)
	if err != nil {
		return nil, err
	}
	switch path := string(ctx.Path()); {
	case path == "/v1/models":
		return func() { s.models(ctx, records, organisation) }, nil
	case strings.HasPrefix(path, modelsPath):
		return func() { s.model(ctx, records, organisation, path[len(modelsPath):]) }, nil
	case path == "/v1/completions" || path == "/v1/chat/completions":
		return func() { s.generate(ctx, records, organisation, id) }, nil
	case strings.HasPrefix(path, "/services/"):
		return func() { s.service(ctx, records, organisation, id) }, nil
	default:
		return nil, errNoPath(path)
	}
}

// receiveBody reads the body of a request. If it returns an error, nothing has been sent.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx, framing inbound.Framing) error {
	c := ctx.Conn().(*callerConn)
	body, err := c.reader.ReadBody(framing, int(s.cfg.Limits.GetBodyBytes()), c.reader.Began().Add(s.readTimeout()), c)
	if err != nil {
		ctx.SetConnectionClose()
		c.linger.Store(true)
		return readError(err)
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// leaveBody leaves the body of a refused request unread.
func leaveBody(ctx *fasthttp.RequestCtx, framing inbound.Framing) {
	if c := ctx.Conn().(*callerConn); framing.Length != 0 && !c.reader.LeaveRest(framing) {
		ctx.SetConnectionClose()
		c.linger.Store(true)
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
	Open     int  `json:"open"`
	Draining bool `json:"draining"`
	// Requests is what is held of requests until they are answered.
	Requests    bufferlimit.IntakeView  `json:"requests"`
	Connections inbound.ConnectionsView `json:"connections"`
	Oldest      []callDump              `json:"oldest"`
}

// Dump returns the open requests for the state dump.
func (s *Server) Dump() any {
	open, oldest := s.calls.dump()
	return serverDump{Open: open, Draining: s.draining.Load(), Requests: s.cfg.Requests.View(), Connections: s.conns.View(), Oldest: oldest}
}

// countLogger counts the messages that the HTTP library would log. They report broken
// connections and protocol errors of callers, of which there may be many.
type countLogger struct{}

var connectionErrors = metrics.GetOrCreateCounter("sardinedock_caller_connection_errors_total")

// Printf implements fasthttp.Logger.
func (countLogger) Printf(string, ...any) { connectionErrors.Inc() }
