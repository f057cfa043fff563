package frontend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/overload"
)

const (
	// lingerTimeout and maxLingerBytes limit how much of a refused body is still read.
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 20
)

// listener reads requests from callers and sets a deadline for each write to them. If a caller stops reading, the
// connection's buffers fill up, the next write times out, and the engine's work for the caller
// is cancelled.
type listener struct {
	net.Listener
	writeTimeout time.Duration
	reading      *inbound.Config
	conns        *inbound.Connections
}

// acceptRetryDelay is the delay before Accept is retried after a transient error.
const acceptRetryDelay = 50 * time.Millisecond

var acceptFailures = metrics.GetOrCreateCounter("sardinedock_accept_failures_total")

// Accept implements net.Listener. It retries transient errors, because the HTTP server stops
// serving after any error of Accept: after a short lack of file descriptors the port would
// stay open, and callers would wait in its backlog without ever getting an answer.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case isTransient(err):
			acceptFailures.Inc()
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return nil, err
		}
		cc := &callerConn{Conn: c, writeTimeout: l.writeTimeout, reader: inbound.NewReader(c, l.reading), conns: l.conns}
		if l.conns.Add(cc) {
			return cc, nil
		}
		inbound.CloseUnread(c)
	}
}

// isTransient reports whether err can pass without the listener being closed.
func isTransient(err error) bool {
	for _, e := range [...]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

type callerConn struct {
	net.Conn
	writeTimeout time.Duration
	reader       *inbound.Reader
	conns        *inbound.Connections
	linger       atomic.Bool
}

// Read implements net.Conn. The HTTP server gets heads only.
func (c *callerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Stage implements inbound.Connection.
func (c *callerConn) Stage() overload.Connection { return c.reader.Stage() }

// GiveUp implements inbound.Connection.
func (c *callerConn) GiveUp(in overload.Stage) bool { return c.reader.GiveUp(in, c.Conn) }

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The kernel resets a connection that is closed with unread data,
// and the reset can overtake the answer: a caller that sent too large a body would see a
// connection error instead of the status. After such a refusal the rest of the body is
// therefore read and discarded first.
func (c *callerConn) Close() error {
	c.conns.Remove(c)
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && (c.linger.Swap(false) || c.reader.RestLeft()) && c.conns.BeginLinger() {
		defer c.conns.EndLinger()
		if cw.CloseWrite() != nil {
			return c.Conn.Close()
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn; package sockstate uses it to detect disconnected
// callers.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
