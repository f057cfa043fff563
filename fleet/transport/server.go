// Package transport carries drpc calls between instances. It bounds what one
// peer can take, replaces connections that have gone silent, and refuses peers
// of another fleet.
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
	// maxMessageBytes holds one record of the largest size that the object
	// API stores, with room for its envelope.
	maxMessageBytes = 2 << 20
	// maxConnections bounds what peers can open here. At 360 instances each
	// has a few connections to each other one.
	maxConnections = 4096
	// serverIdle is how long a connection may bring no call. It is longer
	// than clientIdle, so that the client gives a connection up first and no
	// call runs into a closed one.
	serverIdle = 90 * time.Second
	// handshakeBound ends handshakes of peers that say nothing.
	handshakeBound = 2 * time.Second
)

// codeRefused is the drpc code of every error that a handler returns. It tells
// the client that the server has answered and that the connection is whole.
const codeRefused = 1

// Server serves the calls of peers. Calls of another fleet get an error and
// are counted.
type Server struct {
	drpc    *drpcserver.Server
	keys    *Keys
	traffic *Traffic
	slots   chan struct{}
}

// NewServer returns a server for the peers of the named fleet. Keys may be nil.
func NewServer(fleet string, handler fleetpb.DRPCFleetServer, keys *Keys, traffic *Traffic) (*Server, error) {
	mux := drpcmux.New()
	if err := fleetpb.DRPCRegisterFleet(mux, &guard{fleet: fleet, next: handler}); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "register the fleet service")
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: serverIdle,
	}}
	return &Server{
		drpc:    drpcserver.NewWithOptions(mux, options),
		keys:    keys,
		traffic: traffic,
		slots:   make(chan struct{}, maxConnections),
	}, nil
}

// Serve accepts connections until the listener is closed or ctx ends, and
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
			log.WithError(err).Error("accept a peer's connection")
			time.Sleep(handshakeBound / 10)
			continue
		}
		s.accept(ctx, conn)
	}
}

// accept serves the connection unless there are too many: a peer that opens
// connections without end would take this instance's memory.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	select {
	case s.slots <- struct{}{}:
	default:
		refusedConnections.Inc()
		_ = conn.Close()
		return
	}
	s.traffic.Accepts.Add(1)
	go func() {
		defer func() { <-s.slots }()
		s.serveOne(ctx, &countedConn{conn, s.traffic})
	}()
}

func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.keys == nil {
		_ = s.drpc.ServeOne(ctx, conn)
		return
	}
	secured := tls.Server(conn, s.keys.config())
	bounded, cancel := context.WithTimeout(ctx, handshakeBound)
	defer cancel()
	if err := secured.HandshakeContext(bounded); err != nil {
		return
	}
	_ = s.drpc.ServeOne(ctx, secured)
}

// guard refuses peers of another fleet: a wrong seed, or an address that was
// given to another fleet's instance, would join two fleets' states.
type guard struct {
	fleet string
	next  fleetpb.DRPCFleetServer
}

var errOtherFleet = drpcerr.WithCode(errors.New("you belong to another fleet; check the settings' fleet and seeds"), codeRefused)

func serve[In, Out any](ctx context.Context, g *guard, caller *fleetpb.Caller, in In, next func(context.Context, In) (Out, error)) (Out, error) {
	var none Out
	if caller.GetFleet() != g.fleet {
		refusedFleet.Inc()
		return none, errOtherFleet
	}
	out, err := next(ctx, in)
	if err != nil {
		return none, drpcerr.WithCode(err, codeRefused)
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
