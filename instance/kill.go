package instance

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Kill ends the instance as a crash does: its listeners and its callers'
// connections are closed at once, nothing is drained and nobody is told. Requests
// that are open send nothing any more.
func (i *Instance) Kill() {
	i.admin.SetReady(false)
	i.callers.cut()
	_ = i.adminLn.Close()
	i.provider.Stop()
	for _, end := range i.onKill {
		end()
	}
}

// cutListener remembers its open connections, so that all can be closed.
type cutListener struct {
	net.Listener

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func newCutListener(ln net.Listener) *cutListener {
	return &cutListener{Listener: ln, conns: map[net.Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &cutConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// cut closes the listener and every connection that it accepted.
func (l *cutListener) cut() {
	_ = l.Close()
	l.mu.Lock()
	l.closed = true
	open := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// cutConn leaves its listener's list when it is closed.
type cutConn struct {
	net.Conn
	listener *cutListener
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, by which a caller that has gone is seen.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// CloseWrite ends what is written and leaves the reading open.
func (c *cutConn) CloseWrite() error {
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return cw.CloseWrite()
}
