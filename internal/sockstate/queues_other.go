//go:build !linux

package sockstate

import "net"

// Unsent returns false: it is only implemented on Linux.
func Unsent(net.Conn) (int, bool) { return 0, false }

// Unread returns false: it is only implemented on Linux.
func Unread(net.Conn) (int, bool) { return 0, false }
