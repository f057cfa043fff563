package cli

import (
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/status"
)

func TestStatusPrintsTheObjects(t *testing.T) {
	store, err := emulator.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	store.Set(status.Kind, status.PoolName("counters"), []byte(`{"written_by":"entry-1","version":7}`))
	store.Set(status.Kind, status.FleetName, []byte(`{"written_by":"entry-2","version":9}`))
	var out, errs strings.Builder
	if code := Run([]string{"status", "--store", store.Addr()}, &out, &errs); code != exitOK {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	fleet := strings.Index(out.String(), "fleet: records up to version 9")
	pool := strings.Index(out.String(), "pool.counters: records up to version 7")
	if fleet != 0 || pool < 0 {
		t.Fatalf("printed:\n%s", out.String())
	}
}

// The object API is down when an operator asks for the status. The command must report that
// instead of hanging.
func TestStatusWithTheObjectAPIDown(t *testing.T) {
	store, err := emulator.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := store.Addr()
	_ = store.Close()
	var out, errs strings.Builder
	if code := Run([]string{"status", "--store", addr}, &out, &errs); code != exitFailure {
		t.Fatalf("code %d: %s", code, errs.String())
	}
	if !strings.Contains(errs.String(), "remedy: check that the object API runs") {
		t.Fatalf("printed:\n%s", errs.String())
	}
}
