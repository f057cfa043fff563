package instance

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Kill stops the instance as a crash does: its listeners and its callers' connections are closed
// at once, nothing is drained and peers are not notified. Open requests send nothing more.
func (i *Instance) Kill() {
	i.admin.SetReady(false)
	i.callers.closeAll()
	_ = i.adminLn.Close()
	i.provider.Stop()
	for _, end := range i.onKill {
		end()
	}
}

// trackingListener tracks its open connections, so that all can be closed.
type trackingListener struct {
	net.Listener

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func newTrackingListener(ln net.Listener) *trackingListener {
	return &trackingListener{Listener: ln, conns: map[net.Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// closeAll closes the listener and every connection that it accepted.
func (l *trackingListener) closeAll() {
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

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, which is needed to detect that a caller has disconnected.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// CloseWrite closes the writing side and leaves the reading side open.
func (c *trackedConn) CloseWrite() error {
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return cw.CloseWrite()
}
