// Package sockstate asks a socket, without waiting and without taking data
// from it, whether its other end has closed it.
package sockstate

import (
	"errors"
	"net"
	"syscall"
)

// State is what a socket shows.
type State int

// The states.
const (
	// Quiet sockets are open and hold nothing to read. Sockets that can't be
	// asked count as quiet.
	Quiet State = iota
	// Readable sockets are open and hold data.
	Readable
	// Closed sockets were closed or reset by the other end.
	Closed
)

// Of returns the state of a connection. It may be called while other
// goroutines read or write.
func Of(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return Quiet
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
		return Quiet
	case err != nil || n == 0:
		return Closed
	}
	return Readable
}
