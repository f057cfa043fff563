package inbound

import (
	"net"
	"time"

	"github.com/sardinedock/sardinedock/overload"
)

// CloseUnread closes a connection with a reset, by which the client knows that its request was not read.
func CloseUnread(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Limit returns a listener that has at most most connections open: for a new one, those are closed that were made first. It is for
// requests that take no time, such as those for health and metrics. from names the clients in log lines and metrics.
func Limit(ln net.Listener, from string, most int) net.Listener {
	return &limitedListener{ln, NewConnections(from, most)}
}

type limitedListener struct {
	net.Listener
	conns *Connections
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := &limitedConn{Conn: c, conns: l.conns, since: time.Now()}
		if l.conns.Add(limited) {
			return limited, nil
		}
		CloseUnread(c)
	}
}

type limitedConn struct {
	net.Conn
	conns *Connections
	since time.Time
}

// Stage implements Connection. What is asked for takes no time, so that no connection counts as in use.
func (c *limitedConn) Stage() overload.Connection {
	return overload.Connection{Stage: overload.StageIdle, Since: c.since}
}

// GiveUp implements Connection.
func (c *limitedConn) GiveUp(overload.Stage) bool {
	_ = c.Conn.Close()
	return true
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.conns.Remove(c)
	return c.Conn.Close()
}
