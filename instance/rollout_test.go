package instance

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
	"github.com/sardinedock/sardinedock/status"
)

func modelRecord(version string) *recordspb.Record {
	return &recordspb.Record{SchemaVersion: 1, Name: "counter", Spec: &recordspb.Record_Model{
		Model: &recordspb.Model{Version: version, Pool: "engines", MaxTokens: 100},
	}}
}

// startEngines runs the stand-ins of one pool whose weights load in 200 ms.
func startEngines(tb testing.TB, n int, checksFencing bool) *emulator.Emulator {
	tb.Helper()
	pool := &recordspb.EndpointPool{
		SuspectAfterMs: 1000, ExpelAfterMs: 5000, BlockTokens: 64, CacheBlocks: 4096, Slots: 16,
		PrefillTokensPerSecond: 20000, LoadsAtOnce: 2, ChecksFencing: checksFencing,
	}
	for i := range n {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%d", i+1), Address: "127.0.0.1:0"})
	}
	records := []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}}, modelRecord("1"),
	}
	e, err := emulator.StartWith("127.0.0.1:0", records, emulator.Config{Engine: emulator.EngineConfig{LoadTime: 200 * time.Millisecond}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(e.Close)
	return e
}

// startShortLease runs an instance that knows the others by its seeds.
func startShortLease(tb testing.TB, store *emulator.Store, name string, seeds ...string) *Instance {
	tb.Helper()
	text := fmt.Sprintf("fleet: test\ninstance: %s\ndata_centre: accra-1\nplatform: {address: %q, lease_ms: 1000}\nseeds: [%s]\n"+
		"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n", name, store.Addr(), strings.Join(seeds, ", "))
	s, faults := settings.Parse([]byte(text))
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	i, err := Start(context.Background(), s)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = i.Stop(context.Background()) })
	return i
}

// awaitState returns once the engine is as asked for. If it never is, the test
// ends by the test binary's own timeout, like all that wait here.
func awaitState(engine *emulator.Engine, ok func(endpoint.State) bool) {
	c := endpoint.NewClient(engine.Addr(), time.Second, time.Second)
	defer c.Close()
	for {
		if s, err := c.State(context.Background()); err == nil && ok(s) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// holds reports whether the engine holds that version of the one model.
func holds(version string) func(endpoint.State) bool {
	return func(s endpoint.State) bool { return len(s.Models) == 1 && s.Models[0].Version == version }
}

func awaitVersion(e *emulator.Emulator, version string) {
	for _, engine := range e.Engines {
		awaitState(engine, holds(version))
	}
}

// An operator names a new version of the weights, and the instance that rolls
// it out is lost in the middle. Another goes on, all endpoints end at the new
// version, and operators can read that. Then an order for the old version that
// the lost instance had in its hands arrives after all.
func TestRolloutOutlivesItsHolder(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks fencing %v", checks), func(t *testing.T) {
			t.Parallel()
			e := startEngines(t, 6, checks)
			first := startShortLease(t, e.Store, "entry-1")
			second := startShortLease(t, e.Store, "entry-2", first.Fleet())
			fence := awaitHolder(first, second)
			awaitStatus(t, e.Store, "rollout of counter@1: 6 of 6 endpoints have it")
			setRecord(t, e.Store, record.Models, modelRecord("2"))
			awaitState(e.Engines[0], holds("2"))
			holder, other := first, second
			if _, held := second.pools.lease("pool.engines"); held {
				holder, other = second, first
			}
			holder.Kill()
			awaitVersion(e, "2")
			next := awaitHolder(other)
			stale := endpoint.NewClient(e.Engines[0].Addr(), time.Second, time.Second)
			defer stale.Close()
			if checks {
				awaitState(e.Engines[0], func(s endpoint.State) bool { return s.Fence >= next })
			}
			err := stale.Order(context.Background(), endpoint.Order{Fence: fence, Kind: endpoint.OrderLoadModel, Model: "counter", Version: "1"})
			if fault.Is(err, fault.StaleFence) != checks {
				t.Fatalf("the late order ended with %v", err)
			}
			if !checks {
				awaitState(e.Engines[0], holds("1"))
			}
			awaitVersion(e, "2")
		})
	}
}

// awaitHolder returns the fence of the pool's lease once one of them holds it.
func awaitHolder(fleet ...*Instance) uint64 {
	for {
		for _, i := range fleet {
			if fence, held := i.pools.lease("pool.engines"); held {
				return fence
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func awaitStatus(tb testing.TB, store *emulator.Store, want string) {
	tb.Helper()
	c := platform.NewClient(platform.Config{Address: store.Addr(), Timeout: time.Second})
	for {
		var b strings.Builder
		list, err := status.Read(context.Background(), c)
		for _, n := range list {
			_ = n.WriteText(&b, time.Now())
		}
		if err == nil && strings.Contains(b.String(), want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
