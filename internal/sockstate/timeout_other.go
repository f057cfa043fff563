//go:build !linux

package sockstate

import (
	"syscall"
	"time"
)

// UserTimeout does nothing where the system has no such bound.
func UserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
