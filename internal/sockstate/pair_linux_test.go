package sockstate

import (
	"net"
	"testing"
)

// accept returns both ends of a connection that dial makes to the listener. They are closed with the test.
func accept(t *testing.T, ln net.Listener, dial func(network, address string) (net.Conn, error)) (near, far net.Conn) {
	t.Helper()
	t.Cleanup(func() { _ = ln.Close() })
	near, err := dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	far, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	return near, far
}
