package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/overload"
	"github.com/sardinedock/sardinedock/route"
)

// listener wraps accepted connections to apply the limits in force and to count those open.
type listener struct {
	net.Listener
	limits func() route.Limits
	open   *atomic.Int64
	// gate, if set, decides which connections are taken.
	gate *overload.Gate
	// isInstance is set if the listener is for requests that other instances forward; connections from
	// other addresses are closed.
	isInstance func(netip.Addr) bool
	// slow, if set, bounds what is held for callers that read slowly.
	slow *SlowReaders
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
			closeUnread(c)
			continue
		}
		if err == nil {
			l.open.Add(1)
			return l.newConn(c), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (l *listener) newConn(c net.Conn) *callerConn {
	cc := &callerConn{Conn: c, limits: l.limits, open: l.open, fromInstance: l.isInstance != nil}
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

// closeUnread closes a connection with a reset, by which the caller knows that its request was not read.
func closeUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

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
	limits func() route.Limits
	// open counts all open connections; closing makes Close count this one once.
	open    *atomic.Int64
	closing sync.Once
	// fromInstance is set if another instance has made the connection, to forward requests.
	fromInstance bool
	// unread is set if the connection is to be closed with part of a request unread.
	unread atomic.Bool
	// started is set once bytes of the next request have been received.
	started bool
	// request is the ID of the request being answered; empty once a failure to write its answer has
	// been logged.
	request string
	// readAhead holds the bytes that watch read of the next request.
	readAhead []byte
	watch     watch
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

// Read implements net.Conn. Limits.IdleTimeout bounds the time between requests, and
// Limits.HeaderTimeout the time until the head has been received.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(c.readAhead) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.started = true
		return n, nil
	}
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.started = true
	}
	return n, err
}

// forwarded reports whether the requests on the connection are forwarded by another instance.
func (c *callerConn) forwarded() bool { return c.fromInstance }

func (c *callerConn) readTimeout() time.Duration {
	l := c.limits()
	if c.started {
		if l.HeaderTimeout > 0 {
			return l.HeaderTimeout
		}
		return defaultHeader
	}
	// Another instance closes its idle connections sooner than defaultIdle.
	if l.IdleTimeout > 0 && !c.fromInstance {
		return l.IdleTimeout
	}
	return defaultIdle
}

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
	if len(c.readAhead) > 0 {
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
		case isTimeout(err):
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
			c.readAhead = append(c.readAhead[:0], w.buf[0])
		}
	}
	c.started = false
}
