// Package gateway serves callers' HTTP requests: it matches the route by host and path, has an
// endpoint chosen, passes the request on unchanged and returns the endpoint's complete answer.
package gateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/overload"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/reachability"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Broadcaster sends messages about this instance's requests to the other instances. Its methods do
// not block.
type Broadcaster interface {
	// ReportStage reports a stage of a run; placedBy names the instance that placed the run, empty
	// for this one.
	ReportStage(s *gossippb.RunStage, placedBy string)
	BroadcastNotice(*gossippb.Notice)
	// ReportLostServices announces the services of which this instance reaches no endpoint.
	ReportLostServices(services []string)
}

// Placer chooses the endpoints of requests.
type Placer interface {
	// Place may block while another instance decides, for some tens of ms at most. A request that
	// is to be sent now is counted at its endpoint by all instances that place requests, under the
	// returned RunID.
	Place(ctx context.Context, q balance.Query) (balance.RunID, balance.Decision)
	// Warm reports whether the instance that places a service's requests knows the cache contents
	// of its endpoints, or need not wait for them.
	Warm(service string) bool
	// NotRun refunds the quota charge of a run that was placed here and did not run.
	NotRun(run balance.RunID)
}

// Peers provides the expected availability of the other instances.
type Peers interface {
	// AvailableIn returns the expected time until some instance accepts requests; 0 if another one
	// does now.
	AvailableIn(now time.Time) time.Duration
	// Forwarder returns an instance through which requests for a service can be sent, other than those
	// that were tried. Each call counts a request there until ForwardEnded.
	Forwarder(service string, tried []string) (Forwarder, bool)
	ForwardEnded(name string)
	// ForwarderFailed is called when no connection to an instance could be made.
	ForwarderFailed(name string)
	// IsInstance reports whether an address belongs to another instance.
	IsInstance(ip netip.Addr) bool
}

// Report is what an endpoint stated about itself in one response.
type Report struct {
	Endpoint string
	// SentAt is when the request was sent, and AnsweredAt when the header of the response arrived.
	SentAt, AnsweredAt time.Time
	// Whole reports whether the endpoint states in such responses all that it has to state, so that
	// what is missing does not apply any more.
	Whole bool
	// Leaving is set if the endpoint leaves and wants no further requests.
	Leaving bool
	// Rate is the request rate that the endpoint accepts from all instances together. RateError is
	// set if the stated rate could not be parsed.
	Rate      ratelimit.Rate
	RateError error
	// Brittle is set if the endpoint fails if it has to reject too many requests.
	Brittle bool
	// Pause is how long the endpoint wants no requests from this instance; 0 if it does not say.
	// PauseError is set if the stated time could not be parsed.
	Pause      time.Duration
	PauseError error
	// Ran is set if the endpoint has run the request.
	Ran bool
}

// Statements keeps what endpoints state about themselves. Its methods do not block.
type Statements interface {
	// Observe is called with each response that an endpoint has written itself.
	Observe(Report)
	// Admit reports whether the endpoint may be sent a request now, and counts it if so. It is called
	// right before the send, since the endpoint may have stated otherwise after it was chosen.
	Admit(endpointID string) bool
}

// Config configures a Server.
type Config struct {
	// Instance is the name of this one.
	Instance string
	// DataCentre of this instance.
	DataCentre string
	// Table returns the records in force, or nil before the first.
	Table  func() *route.Table
	State  *balance.State
	Budget *policy.FleetRetries
	Guard  *CrashGuard
	// Gate decides which new connections of callers are taken; nil for all.
	Gate *overload.Gate
	// Paths are the endpoints that this instance reaches.
	Paths       *reachability.Table
	Broadcaster Broadcaster
	Placer      Placer
	Statements  Statements
	Peers       Peers
	Origins     Origins
	Dialect     Dialect
	// Relay returns the connections to an endpoint's address.
	Relay func(address string) *endpoint.Relay
	// PeerRelay returns the connections to the address at which another instance serves forwarded
	// requests.
	PeerRelay func(address string) *endpoint.Relay
	// Slow bounds what is held for callers and endpoints that read slowly; nil for no bound.
	Slow *SlowReaders
	// PriceQuotas is set if requests carry a key by which their organisation's quota prices them.
	PriceQuotas bool
	// Started is when the process started; see warmUpTimeout.
	Started time.Time
	// HeaderBytes and BodyBytes bound the sizes of any request, whatever the records allow.
	HeaderBytes, BodyBytes int
	// Requests bounds what requests occupy in sum; nil for no bound.
	Requests *bufferlimit.Intake
	// MaxConnections bounds the connections of callers, MaxForwarded those of other instances; 0 for no bound.
	MaxConnections, MaxForwarded int
}

// Server serves callers until Shutdown.
type Server struct {
	cfg  Config
	http *fasthttp.Server
	// drain is set once Drain was called.
	drain atomic.Pointer[policy.Drain]
	// shuttingDown is set once Shutdown was called: the listener is closed and open requests
	// finish.
	shuttingDown atomic.Bool
	open         openRequests
	// connections counts callers' connections. The HTTP library's own count is one too low after it
	// has stopped listening, so that an instance would exit before its last answer is written.
	connections atomic.Int64
	times       answerTimes
	activity    *activityWatch
	crashChecks crashChecks
	// endChecks are the checks of endpoints whose answers have ended with their connections.
	endChecks crashChecks
	pathLog   pathLog
	// forwardedOpen is the number of forwarded requests that are being served.
	forwardedOpen atomic.Int64
	// callers and instances are the connections of callers and of other instances.
	callers, instances *inbound.Connections

	mu        sync.Mutex
	listeners []*listener
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

// NewServer returns a Server that accepts no connections before Serve is called.
func NewServer(cfg Config) *Server {
	s := &Server{
		cfg: cfg, activity: newActivityWatch(),
		callers: inbound.NewConnections(peerCaller, cfg.MaxConnections), instances: inbound.NewConnections(peerInstance, cfg.MaxForwarded),
	}
	// callerConn reads requests; the library parses their heads.
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          handleUnreadable,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		ReadBufferSize:        cfg.HeaderBytes,
		ReduceMemoryUsage:     true,
		HeaderReceived:        inbound.HeadReceived,
		ConnState:             connectionState,
		// Header names are normalized and passed on in that form, not as the caller capitalized
		// them.
		DisableHeaderNamesNormalizing: false,
		Logger:                        countingLogger{},
	}
	return s
}

// Serve answers requests on the connections that ln accepts, until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.serve(&listener{Listener: ln, open: &s.connections, gate: s.cfg.Gate, slow: s.cfg.Slow, reading: s.reading(false), conns: s.callers})
}

func (s *Server) serve(l *listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	return s.http.Serve(l)
}

// reading returns how requests of callers, or of other instances, are read.
func (s *Server) reading(fromInstance bool) *inbound.Config {
	return &inbound.Config{
		HeadBytes: s.cfg.HeaderBytes,
		// The records may change them at any time.
		Timeouts: func() inbound.Timeouts { return timeouts(s.limits(), fromInstance) },
		Memory:   s.cfg.Requests,
		// Sends copy the body, and a request has ended with its answer.
		RecycleBodies: true,
	}
}

// connectionState is the HTTP server's hook for the states of connections.
func connectionState(c net.Conn, state fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && (state == fasthttp.StateClosed || state == fasthttp.StateHijacked) {
		cc.reader.Close()
	}
}

func (s *Server) limits() route.Limits {
	if t := s.cfg.Table(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

const (
	// recordsWait is how long a request waits for the first records. A read of the store takes a
	// tenth of that; a failed one is retried within it.
	recordsWait = 300 * time.Millisecond
	// recordsPoll is the polling interval of awaitRecords.
	recordsPoll = 10 * time.Millisecond
)

// awaitRecords returns the records in force, or nil if there are none within recordsWait.
//
// When all instances start together, callers arrive before the first read of the store has
// finished. Refused at once, they would retry at once, be refused again and give up.
func (s *Server) awaitRecords() *route.Table {
	t := s.cfg.Table()
	for until := time.Now().Add(recordsWait); t == nil && time.Now().Before(until); t = s.cfg.Table() {
		time.Sleep(recordsPoll)
	}
	return t
}

// Drain closes connections after their current answers, and refuses requests that are not expected
// to finish before abortAt.
func (s *Server) Drain(abortAt time.Time) { s.drain.Store(&policy.Drain{AbortAt: abortAt}) }

// ShuttingDown reports whether Shutdown has begun.
func (s *Server) ShuttingDown() bool { return s.shuttingDown.Load() }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// ViewConnections returns the state of the connections of callers and of other instances.
func (s *Server) ViewConnections() (callers, instances inbound.ConnectionsView) {
	return s.callers.View(), s.instances.View()
}

// Open returns the number of requests that are being served.
func (s *Server) Open() int { return s.open.count() }

// Shutdown stops accepting connections and waits for the open requests until ctx is done. A request
// that arrives on a persistent connection is refused, so that another instance serves it at once:
// here it might be aborted when ctx is done, and its caller would not learn whether it has run.
//
// Requests that are open when ctx is done are aborted. Their answers and log lines are written for
// at most abortFlushTimeout.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	s.awaitHeads(ctx)
	err := s.http.ShutdownWithContext(ctx)
	if err == nil {
		return nil
	}
	aborted := s.open.cancelAll(errAborted)
	s.awaitAbortedAnswers()
	return fault.Wrap(err, fault.Unavailable, "give the process more time to end",
		"%d requests were open when the time to drain was over, %d could not be told", aborted, s.Open())
}

// awaitHeads closes the listeners and waits until no head is unfinished, so that requests which have begun to arrive are refused by an
// answer. The HTTP library takes connections without a whole head for idle, and closes them.
func (s *Server) awaitHeads(ctx context.Context) {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	limits := timeouts(s.limits(), false)
	for until := time.Now().Add(limits.Head); time.Now().Before(until); {
		if s.callers.Count(overload.StageHead)+s.instances.Count(overload.StageHead) == 0 || clock.Sleep(ctx, abortFlushPoll) != nil {
			return
		}
	}
}

const (
	// abortFlushTimeout bounds the time for writing the answers of aborted requests.
	abortFlushTimeout = 200 * time.Millisecond
	// abortFlushPoll is the polling interval of awaitAbortedAnswers and of awaitHeads.
	abortFlushPoll = 5 * time.Millisecond
)

// awaitAbortedAnswers waits until the answers to aborted requests are written, each of which closes
// its connection.
func (s *Server) awaitAbortedAnswers() {
	for until := time.Now().Add(abortFlushTimeout); s.Connections() > 0 && time.Now().Before(until); {
		time.Sleep(abortFlushPoll)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	requestsTotal.Inc()
	if s.drain.Load() != nil {
		ctx.SetConnectionClose()
	}
	r := &request{srv: s, ctx: ctx, conn: ctx.Conn().(*callerConn), began: time.Now()}
	if r.conn.forwarded() {
		s.forwardedOpen.Add(1)
	}
	s.open.add(r)
	r.serve()
	if r.unframed != nil {
		r.writeUnframed()
	}
	if s.drain.Load() != nil {
		// Drain may have been called while the request was served.
		ctx.SetConnectionClose()
	}
}

// countingLogger counts the connection and protocol errors for which the HTTP library would log a
// line each, since there may be many.
type countingLogger struct{}

// Printf implements fasthttp.Logger.
func (countingLogger) Printf(string, ...any) { badConnections.Inc() }

// writeRefusal writes an answer of the gateway's own.
func writeRefusal(ctx *fasthttp.RequestCtx, r refusal) {
	ctx.Response.SetStatusCode(r.status)
	ctx.Response.Header.SetContentType("application/json")
	if reason := forwardRefusal(r.cause); reason != "" {
		ctx.Response.Header.Set(headerForwardRefused, reason)
	}
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
