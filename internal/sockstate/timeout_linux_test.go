package sockstate

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// A middlebox drops the state of a caller's connection. The timeout that detects this is set on
// the listener and must apply to each accepted connection.
func TestAcceptedConnectionsInheritUserTimeout(t *testing.T) {
	const timeout = 7 * time.Second
	lc := net.ListenConfig{Control: UserTimeout(timeout)}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{Control: UserTimeout(timeout)}
	near, far := accept(t, ln, d.Dial)
	for name, c := range map[string]net.Conn{"dialled": near, "accepted": far} {
		if got := userTimeout(t, c); got != timeout {
			t.Errorf("%s connection: user timeout %v, want %v", name, got, timeout)
		}
	}
}

func userTimeout(t *testing.T, c net.Conn) time.Duration {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	if err := raw.Control(func(fd uintptr) { ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// A caller closes its connection while nothing is written to it, so no write error shows it.
func TestStates(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	near, far := accept(t, ln, net.Dial)
	if got := Of(far); got != Idle {
		t.Fatalf("open connection: state %d", got)
	}
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for Of(far) == Idle {
	}
	if got := Of(far); got != Readable {
		t.Fatalf("connection with data: state %d", got)
	}
	var one [1]byte
	if n, err := far.Read(one[:]); n != 1 || err != nil {
		t.Fatalf("Of consumed the data: read %d, %v", n, err)
	}
	_ = near.Close()
	for Of(far) == Idle {
	}
	if got := Of(far); got != Closed {
		t.Fatalf("closed connection: state %d", got)
	}
}
