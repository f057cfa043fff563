//go:build !linux

package sockstate

import (
	"syscall"
	"time"
)

// UserTimeout returns nil: it is only implemented on Linux.
func UserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
