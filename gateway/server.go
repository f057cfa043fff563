// Package gateway serves callers by host and path: it finds the route, has an
// endpoint chosen, passes the request on unchanged and gives the caller the
// endpoint's whole answer.
package gateway

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Broadcaster sends other instances what this one does. Its methods do not block.
type Broadcaster interface {
	// ReportStage reports on a run that was placed by the instance named; empty for this
	// one.
	ReportStage(s *gossippb.RunStage, placedBy string)
	BroadcastNotice(*gossippb.Notice)
}

// Placer decides where requests go.
type Placer interface {
	// Place blocks while another instance decides, for some tens of ms at most. What is
	// to be sent now counts at its endpoint, at all instances that place requests. The
	// run has the name that is returned.
	Place(ctx context.Context, q balance.Query) (balance.RunID, balance.Decision)
	// Warm reports whether what endpoints hold is known where requests to a service are
	// decided, or need not be waited for.
	Warm(service string) bool
	// NotRun gives back what a run that was placed here was charged.
	NotRun(run balance.RunID)
}

// Peers tells what callers that are turned away because this instance ends can hope for.
type Peers interface {
	// TakesAgainIn returns how long it is until some other instance takes requests; 0
	// where one does now.
	TakesAgainIn(now time.Time) time.Duration
}

// Rates takes in what endpoints say of the rate of requests that they take. It must not
// block.
type Rates interface {
	// Said takes in what one answer says; unreadable is set where that is no rate, and
	// nothing is known of it then.
	Said(s ratelimit.Statement, unreadable error)
}

// Config is what a Server needs.
type Config struct {
	// DataCentre of this instance.
	DataCentre string
	// Table returns the records in force, or nil.
	Table       func() *route.Table
	State       *balance.State
	Budget      *policy.FleetRetries
	Guard       *CrashGuard
	Broadcaster Broadcaster
	Placer      Placer
	// Rates takes in what endpoints say of the rate that they take; nil ignores it.
	Rates   Rates
	Peers   Peers
	Dialect Dialect
	// Relay returns the connections to an endpoint's address.
	Relay func(address string) *endpoint.Relay
	// Started is when the process began; see warmBound.
	Started time.Time
	// HeaderBytes and BodyBytes bound what is read of a request, whatever the
	// records allow.
	HeaderBytes, BodyBytes int
}

// Server serves callers until Shutdown.
type Server struct {
	cfg  Config
	http *fasthttp.Server
	// drain is set once the instance was told to end.
	drain atomic.Pointer[policy.Drain]
	// ending says that the listener is closed and open requests are being finished.
	ending atomic.Bool
	open   openRequests
	// connections counts those of callers. The HTTP library's own count is one too low
	// once it has stopped listening, so that an instance would end before its last answer.
	connections atomic.Int64
	times       answerTimes
	silence     *silenceWatch
}

var (
	requestsTotal  = metrics.GetOrCreateCounter("sardinedock_gateway_requests_total")
	requestSeconds = metrics.GetOrCreateHistogram("sardinedock_gateway_request_seconds")
	waitSeconds    = metrics.GetOrCreateHistogram("sardinedock_gateway_wait_seconds")
	badConnections = metrics.GetOrCreateCounter("sardinedock_gateway_caller_connection_errors_total")
)

func answersTotal(status int) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_gateway_answers_total{status="` + strconv.Itoa(status) + `"}`)
}

// NewServer returns a server that Serve starts.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, silence: newSilenceWatch()}
	// Timeouts are the connection's own business, since the records may change
	// them at any time; see callerConn.
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          unreadable,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		ReadBufferSize:        cfg.HeaderBytes,
		MaxRequestBodySize:    cfg.BodyBytes,
		ReduceMemoryUsage:     true,
		// Header names go on as the caller wrote them.
		DisableHeaderNamesNormalizing: false,
		Logger:                        quietLogger{},
	}
	return s
}

// Serve answers the callers that ln accepts, until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(&listener{Listener: ln, limits: s.limits, open: &s.connections})
}

func (s *Server) limits() route.Limits {
	if t := s.cfg.Table(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

const (
	// recordsWait is how long a request waits for the first records. A read of the
	// store takes a tenth of that; one that fails is tried again within it.
	recordsWait = 300 * time.Millisecond
	// recordsLook is the time between two looks.
	recordsLook = 10 * time.Millisecond
)

// awaitRecords returns the records in force, or nil where there are none yet.
//
// Load: all instances start again together, and callers come before the first read
// of the store is answered. Harm prevented: all of them are turned away at once and
// come back at once, to be turned away for good.
func (s *Server) awaitRecords() *route.Table {
	t := s.cfg.Table()
	for until := time.Now().Add(recordsWait); t == nil && time.Now().Before(until); t = s.cfg.Table() {
		time.Sleep(recordsLook)
	}
	return t
}

// Drain closes connections after their answers, and has only requests taken that are
// expected to end before cutAt.
func (s *Server) Drain(cutAt time.Time) { s.drain.Store(&policy.Drain{AbortAt: cutAt}) }

// Ending reports whether Shutdown has begun.
func (s *Server) Ending() bool { return s.ending.Load() }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// Open returns the number of requests that are being served.
func (s *Server) Open() int { return s.open.count() }

// Shutdown stops accepting and waits for the open requests, until ctx ends. A request
// that still comes on a kept connection is refused: the time that is left may not do
// for it, and another instance takes it at once. Taken, it could be cut at ctx's end,
// and its caller would not learn whether it has run.
//
// What is open when ctx ends is cut, and its callers and the log are told, for lastWords
// at the most.
func (s *Server) Shutdown(ctx context.Context) error {
	s.ending.Store(true)
	err := s.http.ShutdownWithContext(ctx)
	if err == nil {
		return nil
	}
	cut := s.open.cancelAll(errCut)
	s.awaitLastWords()
	return fault.Wrap(err, fault.Unavailable, "give the process more time to end",
		"%d requests were open when the time to drain was over, %d could not be told", cut, s.Open())
}

const (
	// lastWords bounds how long answers that were cut are written.
	lastWords = 200 * time.Millisecond
	// lastWordsLook is the time between two looks at whether they are.
	lastWordsLook = 5 * time.Millisecond
)

// awaitLastWords waits until the answers to requests that were cut are written, each of
// which closes its connection.
func (s *Server) awaitLastWords() {
	for until := time.Now().Add(lastWords); s.Connections() > 0 && time.Now().Before(until); {
		time.Sleep(lastWordsLook)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	requestsTotal.Inc()
	if s.drain.Load() != nil {
		ctx.SetConnectionClose()
	}
	r := &request{srv: s, ctx: ctx, conn: ctx.Conn().(*callerConn), began: time.Now()}
	s.open.add(r)
	r.serve()
	if s.drain.Load() != nil {
		// Drain may have come while the request was served.
		ctx.SetConnectionClose()
	}
}

// quietLogger counts what the HTTP library would write a line about: broken and
// badly spoken connections, of which there may be many.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) { badConnections.Inc() }

// writeRefusal answers with the router's own word.
func writeRefusal(ctx *fasthttp.RequestCtx, r refusal) {
	ctx.Response.SetStatusCode(r.status)
	ctx.Response.Header.SetContentType("application/json")
	if r.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(`{"error":{"kind":`)
	body = strconv.AppendQuote(body, string(fault.KindOf(r.cause)))
	body = append(body, `,"message":`...)
	body = strconv.AppendQuote(body, r.cause.Error())
	body = append(body, `,"remedy":`...)
	body = strconv.AppendQuote(body, fault.Remedy(r.cause))
	ctx.Response.SetBody(append(body, `}}`...))
}
