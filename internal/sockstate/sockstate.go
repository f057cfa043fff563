// Package sockstate checks, without blocking and without consuming data, whether the peer has
// closed a connection. It also sets the TCP user timeout of sockets.
package sockstate

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a socket as seen from this end.
type State int

// The states.
const (
	// Idle sockets are open with no data to read. Connections that don't give access to a
	// socket count as idle.
	Idle State = iota
	// Readable sockets are open with data to read.
	Readable
	// Closed sockets were closed or reset by the peer.
	Closed
)

// Of returns the state of a connection. It may be called concurrently with reads and writes.
func Of(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return Idle
	}
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	}
	return Readable
}
