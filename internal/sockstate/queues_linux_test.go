package sockstate

import (
	"net"
	"testing"
	"time"
)

// Bytes that the peer's application has not read wait at the peer until its buffer is full, then here. If they were
// not counted, memory that the kernel holds for slow peers would have no bound.
func TestQueuesOfAPeerThatDoesNotRead(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	near, far := accept(t, ln, net.Dial)
	if n, ok := Unsent(near); !ok || n != 0 {
		t.Fatalf("%d bytes unsent on a new connection, known: %v", n, ok)
	}
	_ = near.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	written, _ := near.Write(make([]byte, 64<<20))
	unsent, ok := Unsent(near)
	unread, okRead := Unread(far)
	if !ok || !okRead || unsent == 0 || unread == 0 || unsent+unread != written {
		t.Errorf("%d unsent and %d unread of %d bytes written", unsent, unread, written)
	}
	_ = near.Close()
	if _, ok := Unsent(near); ok {
		t.Error("the queue of a closed connection is known")
	}
	if _, ok := Unsent(nil); ok {
		t.Error("the queue of no connection is known")
	}
}
