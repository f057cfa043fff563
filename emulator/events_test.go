package emulator_test

import (
	"context"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
)

// A reader of cache events needs heartbeats at a shorter interval than the engine's own, or it
// would take the engine for unresponsive. It requests the interval; client and engine must agree on
// how.
func TestHeartbeatsUseTheRequestedInterval(t *testing.T) {
	e, err := emulator.StartEngine("127.0.0.1:0", emulator.EngineConfig{Name: "e", Heartbeat: time.Hour, FirstIncarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	stream, err := endpoint.NewClient(e.Addr(), time.Minute, time.Minute).Events(context.Background(), 0, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if stream.Incarnation() != 7 {
		t.Fatalf("incarnation %d", stream.Incarnation())
	}
	for beats := 0; beats < 5; {
		event, err := stream.Next()
		if err != nil {
			t.Fatalf("after %d heartbeats: %v", beats, err)
		}
		if event.Incarnation != 7 {
			t.Fatalf("got %+v", event)
		}
		if event.Op == endpoint.CacheHeartbeat {
			beats++
		}
	}
}
