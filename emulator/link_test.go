package emulator_test

import (
	"io"
	"net"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
)

// A middlebox between two processes drops the state of a connection. What is written to it is lost
// and nothing comes back, while a new connection works.
func TestLinkDropsOpenConnectionsSilently(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	received := make(chan string, 4)
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [1]byte
				for {
					if _, err := io.ReadFull(conn, b[:]); err != nil {
						return
					}
					received <- string(b[:])
				}
			}()
		}
	}()
	link, err := emulator.StartLink("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	send := func(conn net.Conn, text string) {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Error(err)
		}
	}
	old, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = old.Close() }()
	send(old, "a")
	if got := <-received; got != "a" {
		t.Fatalf("got %q", got)
	}
	link.StallOpen()
	send(old, "b")
	fresh, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fresh.Close() }()
	send(fresh, "c")
	if got := <-received; got != "c" {
		t.Fatalf("got %q, want only what the new connection sent", got)
	}
}
