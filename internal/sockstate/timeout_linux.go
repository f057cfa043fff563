package sockstate

import (
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// UserTimeout returns a control function for net.Dialer and net.ListenConfig.
// A connection whose sent data the other end does not confirm within the bound
// is then broken. Where something in between has forgotten a connection, small
// writes go on to succeed into the socket's buffer for minutes, and keep-alive
// probes are not sent while data is unconfirmed; only this bound notices.
// Connections that a listener accepts inherit it.
func UserTimeout(bound time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		ctrl := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(bound.Milliseconds()))
		})
		if ctrl != nil {
			return ctrl
		}
		return err
	}
}
