package emulator_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
)

// A process that restarts must find its port free, and connections must be refused while it is
// down.
func TestReservedPortRefusesUntilListenedOn(t *testing.T) {
	addr, release, err := emulator.ReservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range 3 {
		if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial: %v, want refused", err)
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		_ = ln.Close()
	}
}
