package sockstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unsent returns how many written bytes the peer of a connection has not acknowledged, which the kernel holds. It
// returns false if that is not known. It may be called concurrently with reads and writes.
func Unsent(c net.Conn) (int, bool) { return queue(c, unix.SIOCOUTQ) }

// Unread returns how many received bytes the kernel holds until they are read. It returns false if that is not known.
func Unread(c net.Conn) (int, bool) { return queue(c, unix.SIOCINQ) }

func queue(c net.Conn, request uint) (int, bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var n int
	if ctrlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), request) }); ctrlErr != nil || err != nil {
		return 0, false
	}
	return max(n, 0), true
}
