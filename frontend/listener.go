package frontend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lingerTimeout and maxLingerBytes limit how much of a refused body is still read.
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 20
)

// listener sets a deadline for each write to a caller. If a caller stops reading, the
// connection's buffers fill up, the next write times out, and the engine's work for the caller
// is cancelled.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// acceptRetryDelay is the delay before Accept is retried after a transient error.
const acceptRetryDelay = 50 * time.Millisecond

var acceptFailures = metrics.GetOrCreateCounter("sardinedock_accept_failures_total")

// Accept implements net.Listener. It retries transient errors, because the HTTP server stops
// serving after any error of Accept: after a short lack of file descriptors the port would
// stay open, and callers would wait in its backlog without ever getting an answer.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for isTransient(err) {
		acceptFailures.Inc()
		time.Sleep(acceptRetryDelay)
		c, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, writeTimeout: l.writeTimeout}, nil
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
	linger       atomic.Bool
}

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
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.linger.Swap(false) && cw.CloseWrite() == nil {
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
