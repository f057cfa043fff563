// Package transport makes and serves drpc calls between instances. It limits the
// resources that one peer can use, replaces unresponsive connections, and refuses
// peers of another fleet.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// maxMessageBytes is the largest message. It fits one record of the largest
	// size that the object API stores, with its envelope.
	maxMessageBytes = 2 << 20
	// maxConnections limits the connections accepted. In a fleet of 360, each
	// instance has a few connections from each other one.
	maxConnections = 4096
	// serverIdleTimeout is how long a connection without calls is kept. It is
	// longer than clientIdleTimeout, so that the client closes a connection first
	// and makes no call on one that the server has closed.
	serverIdleTimeout = 90 * time.Second
	// handshakeTimeout limits TLS handshakes with unresponsive peers.
	handshakeTimeout = 2 * time.Second
)

// codeRefused is the drpc code of every error that a handler returns. By it the
// client knows that the server answered and that the connection works.
const codeRefused = 1

// Server serves the calls of peers. Calls from another fleet are counted and
// answered by an error.
type Server struct {
	drpc    *drpcserver.Server
	keys    *Keys
	traffic *Traffic
	// connSlots is a semaphore of the open connections.
	connSlots chan struct{}
}

// NewServer returns a server for the peers of the named fleet. If keys is nil, it
// does not use TLS.
func NewServer(fleet string, handler fleetpb.DRPCFleetServer, keys *Keys, traffic *Traffic) (*Server, error) {
	mux := drpcmux.New()
	if err := fleetpb.DRPCRegisterFleet(mux, &guard{fleet: fleet, next: handler}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "register the fleet service")
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: serverIdleTimeout,
	}}
	return &Server{
		drpc:      drpcserver.NewWithOptions(mux, options),
		keys:      keys,
		traffic:   traffic,
		connSlots: make(chan struct{}, maxConnections),
	}, nil
}

// Serve accepts connections until the listener is closed or ctx is done, and
// returns when all calls have ended.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			log.WithError(err).Error("accept peer connection")
			time.Sleep(handshakeTimeout / 10)
			continue
		}
		s.accept(ctx, conn)
	}
}

// accept serves the connection, or closes it if maxConnections are open: a peer that
// keeps opening connections would exhaust this instance's memory.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	select {
	case s.connSlots <- struct{}{}:
	default:
		refusedConnections.Inc()
		_ = conn.Close()
		return
	}
	s.traffic.Accepts.Add(1)
	go func() {
		defer func() { <-s.connSlots }()
		s.serveOne(ctx, &countedConn{conn, s.traffic})
	}()
}

// serveOne serves one connection, after the TLS handshake if there are keys.
func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.keys == nil {
		_ = s.drpc.ServeOne(ctx, conn)
		return
	}
	secured := tls.Server(conn, s.keys.config())
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(handshakeCtx); err != nil {
		return
	}
	_ = s.drpc.ServeOne(ctx, secured)
}

// guard refuses calls from another fleet: a wrong seed, or an address that was
// reassigned to another fleet's instance, would merge the states of two fleets.
type guard struct {
	fleet string
	next  fleetpb.DRPCFleetServer
}

var errOtherFleet = drpcerr.WithCode(errors.New("you belong to another fleet; check the settings' fleet and seeds"), codeRefused)

// serve passes a call on to next if the caller belongs to the guard's fleet.
func serve[In, Out any](ctx context.Context, g *guard, caller *fleetpb.Caller, in In, next func(context.Context, In) (Out, error)) (Out, error) {
	var zero Out
	if caller.GetFleet() != g.fleet {
		refusedFleet.Inc()
		return zero, errOtherFleet
	}
	out, err := next(ctx, in)
	if err != nil {
		return zero, drpcerr.WithCode(err, codeRefused)
	}
	return out, nil
}

func (g *guard) Ask(ctx context.Context, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return serve(ctx, g, in.GetCaller(), in, g.next.Ask)
}

func (g *guard) Report(ctx context.Context, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return serve(ctx, g, in.GetCaller(), in, g.next.Report)
}

func (g *guard) Exchange(ctx context.Context, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return serve(ctx, g, in.GetCaller(), in, g.next.Exchange)
}

func (g *guard) Warn(ctx context.Context, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	return serve(ctx, g, in.GetCaller(), in, g.next.Warn)
}

func (g *guard) HandOver(ctx context.Context, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	return serve(ctx, g, in.GetCaller(), in, g.next.HandOver)
}
