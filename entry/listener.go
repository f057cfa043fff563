package entry

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
	// lingerTime and lingerBytes bound what is still read of a refused body.
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 20
)

// listener bounds each write to a caller. A caller that stops reading fills
// its connection's buffers, and the next write ends after the bound; the
// engine's work for it is then cancelled.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// acceptPause is the wait before another try where no connection could be
// accepted.
const acceptRetryDelay = 50 * time.Millisecond

var acceptFailures = metrics.GetOrCreateCounter("sardinedock_accept_failures_total")

// Accept implements net.Listener. The HTTP server takes any error for the end
// of the listener. A moment without free file descriptors would then end the
// serving for good, while the port stays open and callers wait in its queue
// without an answer; so such errors are waited out here.
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

// passing reports whether an error of accept says nothing of the listener.
func isTransient(err error) bool {
	for _, e := range [...]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// callerConn is a caller's connection.
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

// Close implements net.Conn. A connection that is closed with unread data in
// it is reset, and the reset can overtake the refusal: a caller that sends too
// large a body would see a broken connection in place of the status that says
// so. After such a refusal the rest is therefore read and thrown away first.
func (c *callerConn) Close() error {
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.linger.Swap(false) && cw.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, by which a caller that has gone is seen.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
