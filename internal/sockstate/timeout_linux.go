package sockstate

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// UserTimeout returns a Control function for net.Dialer and net.ListenConfig that sets
// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data is not acknowledged within
// timeout. When a middlebox has dropped a connection's state, small writes still succeed into
// the socket's buffer for minutes, and keep-alive probes are not sent while data is
// unacknowledged, so only this timeout detects the failure. Accepted connections inherit it from
// their listener.
func UserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, timeout) }
}

// SetUserTimeout sets TCP_USER_TIMEOUT on an open connection; see UserTimeout.
func SetUserTimeout(c net.Conn, timeout time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var err error
	ctrlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if ctrlErr != nil {
		return ctrlErr
	}
	return err
}
