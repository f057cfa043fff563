//go:build !linux

package sockstate

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// UserTimeout returns nil: it is only implemented on Linux.
func UserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

// SetUserTimeout returns an error: it is only implemented on Linux.
func SetUserTimeout(net.Conn, time.Duration) error { return errors.ErrUnsupported }
