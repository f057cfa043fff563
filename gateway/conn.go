package gateway

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/overload"
	"github.com/sardinedock/sardinedock/route"
)

// listener wraps accepted connections to read requests from them and to count those open.
type listener struct {
	net.Listener
	open *atomic.Int64
	// gate, if set, decides which connections are taken.
	gate *overload.Gate
	// isInstance is set if the listener is for requests that other instances forward; connections from
	// other addresses are closed.
	isInstance func(netip.Addr) bool
	// slow, if set, bounds what is held for callers that read slowly.
	slow *SlowReaders
	// reading configures the reading of requests.
	reading *inbound.Config
	// conns bounds the number of connections.
	conns *inbound.Connections

	closing  sync.Once
	closeErr error
}

// Close implements net.Listener. It may be called again.
func (l *listener) Close() error {
	l.closing.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// acceptRetryDelay is the delay after a failed Accept, for example when the process has no free
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Accept implements net.Listener. The HTTP server stops at any error, so every error but the
// listener's closing is retried.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil && !l.accepts(c) {
			_ = c.Close()
			continue
		}
		if err == nil && l.gate != nil && !l.gate.Admit(time.Now()) {
			connectionsShed.Inc()
			inbound.CloseUnread(c)
			continue
		}
		if err == nil {
			cc := l.newConn(c)
			if !l.conns.Add(cc) {
				inbound.CloseUnread(c)
				continue
			}
			l.open.Add(1)
			return cc, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (l *listener) newConn(c net.Conn) *callerConn {
	cc := &callerConn{Conn: c, open: l.open, fromInstance: l.isInstance != nil, reader: inbound.NewReader(c, l.reading), conns: l.conns}
	if l.slow != nil {
		peer := peerCaller
		if cc.fromInstance {
			peer = peerInstance
		}
		cc.sender = l.slow.newSender(c, peer)
	}
	return cc
}

var connectionsShed = metrics.GetOrCreateCounter("sardinedock_gateway_connections_closed_unread_total")

// accepts reports whether a connection may be made from its address.
func (l *listener) accepts(c net.Conn) bool {
	if l.isInstance == nil {
		return true
	}
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	return err == nil && l.isInstance(from.Addr().Unmap())
}

// callerConn is a caller's connection. The HTTP server reads and writes it from one goroutine;
// while a request is served, watch reads it from another.
type callerConn struct {
	net.Conn
	// reader reads the requests.
	reader *inbound.Reader
	// conns has the connection until it is closed.
	conns *inbound.Connections
	// open counts all open connections; closing makes Close count this one once.
	open    *atomic.Int64
	closing sync.Once
	// fromInstance is set if another instance has made the connection, to forward requests.
	fromInstance bool
	// unread is set if the connection is to be closed with part of a request unread.
	unread atomic.Bool
	// request is the ID of the request being answered; empty once a failure to write its answer has
	// been logged.
	request string
	watch   watch
	// unframed is the answer without framing that ends the connection; nil if there is none.
	unframed atomic.Pointer[unframedAnswer]
	// sender counts what the caller has not read; nil if that has no bound.
	sender *sender
}

// watch detects that the caller closes its connection during a request.
type watch struct {
	wg      sync.WaitGroup
	running bool
	buf     [1]byte
	got     bool
}

const (
	// writeTimeout bounds one write to a caller that has stopped reading. With a bound on memory, it is how long a caller
	// may read nothing of an answer that is not a stream.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds how long the rest of a refused request is read and discarded.
	lingerTimeout = time.Second
	// defaultIdle and defaultHeader apply until the first records are loaded.
	defaultIdle   = 15 * time.Second
	defaultHeader = 5 * time.Second
)

// Read implements net.Conn. The HTTP server gets heads only.
func (c *callerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// timeouts returns how long callers may take for a request. Other instances close their idle connections sooner than defaultIdle.
func timeouts(l route.Limits, fromInstance bool) inbound.Timeouts {
	t := inbound.Timeouts{Idle: defaultIdle, Head: cmp.Or(l.HeaderTimeout, defaultHeader)}
	if l.IdleTimeout > 0 && !fromInstance {
		t.Idle = l.IdleTimeout
	}
	t.Stall = t.Head
	return t
}

// Stage implements inbound.Connection.
func (c *callerConn) Stage() overload.Connection { return c.reader.Stage() }

// GiveUp implements inbound.Connection.
func (c *callerConn) GiveUp(in overload.Stage) bool { return c.reader.GiveUp(in, c.Conn) }

// forwarded reports whether the requests on the connection are forwarded by another instance.
func (c *callerConn) forwarded() bool { return c.fromInstance }

// Write implements net.Conn. Once a caller that stops reading has filled its buffers, the next
// write fails after writeTimeout, which also ends the endpoint's work on the request.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.sender != nil {
		n, err := c.sender.write(p)
		if err != nil && c.sender.closed.Load() == nil {
			c.logUndelivered(err)
		}
		return n, err
	}
	err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n := 0
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	if err != nil {
		c.logUndelivered(err)
	}
	return n, err
}

// sends states for which request bytes are written from now on; nil for none.
func (c *callerConn) sends(s *sending) {
	if c.sender != nil {
		c.sender.use.Store(s)
	}
}

// logUndelivered logs, once for each request, that its answer could not be written. The request's
// own log line has the status that was decided, not whether the caller received it.
func (c *callerConn) logUndelivered(err error) {
	if c.request == "" {
		return
	}
	log.WithField("request", c.request).WithField("caller", c.RemoteAddr().String()).WithField("why", err.Error()).Info("answer not delivered")
	c.request = ""
}

// watchClose calls cancel when the caller closes its connection. Call stopWatch before the
// connection is read again.
func (c *callerConn) watchClose(cancel context.CancelCauseFunc) {
	if c.reader.Buffered() > 0 {
		return
	}
	w := &c.watch
	w.running, w.got = true, false
	if c.SetReadDeadline(time.Time{}) != nil {
		cancel(errCallerDisconnected)
		w.running = false
		return
	}
	w.wg.Go(func() {
		n, err := c.Conn.Read(w.buf[:])
		switch {
		case n == 1:
			w.got = true
		case endpoint.IsTimeout(err):
		default:
			cancel(errCallerDisconnected)
		}
	})
}

// stopWatch ends watchClose and prepares the connection for the next request.
func (c *callerConn) stopWatch() {
	w := &c.watch
	if w.running {
		w.running = false
		_ = c.SetReadDeadline(time.Unix(1, 0))
		w.wg.Wait()
		if w.got {
			c.reader.Unread(w.buf[0])
		}
	}
}
