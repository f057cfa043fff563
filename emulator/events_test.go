package emulator_test

import (
	"context"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
)

// A reader of cache events needs heartbeats more often than the engine sends
// them by itself. Without them it would take the engine for silent, so that it
// asks for them; both ends must agree on how.
func TestHeartbeatsComeAsOftenAsAskedFor(t *testing.T) {
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
