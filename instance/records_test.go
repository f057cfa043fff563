package instance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

// startFleet runs instances before one object API with one organisation.
func startFleet(tb testing.TB, store *emulator.Store, n int) []*Instance {
	tb.Helper()
	fleet := make([]*Instance, n)
	var wg sync.WaitGroup
	for k := range fleet {
		text := fmt.Sprintf("fleet: test\ninstance: entry-%d\ndata_centre: accra-1\nplatform: {address: %q}\n"+
			"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n", k, store.Addr())
		s, faults := settings.Parse([]byte(text))
		if len(faults) > 0 {
			tb.Fatal(faults)
		}
		wg.Go(func() {
			i, err := Start(context.Background(), s)
			if err != nil {
				tb.Error(err)
				return
			}
			tb.Cleanup(func() { _ = i.Stop(context.Background()) })
			fleet[k] = i
		})
	}
	wg.Wait()
	if tb.Failed() {
		tb.FailNow()
	}
	return fleet
}

func startObjectAPI(tb testing.TB) *emulator.Store {
	tb.Helper()
	store, err := emulator.StartStore("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = store.Close() })
	setClass(tb, store, 1)
	org := &recordspb.Organisation{KeyHashes: []string{record.HashKey("key")}, Weight: 1}
	setRecord(tb, store, record.Organisations, &recordspb.Record{
		SchemaVersion: 1, Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: org},
	})
	return store
}

func setRecord(tb testing.TB, store *emulator.Store, kind record.Kind, r *recordspb.Record) {
	tb.Helper()
	value, err := record.Marshal(r)
	if err != nil {
		tb.Fatal(err)
	}
	store.Set(string(kind), r.GetName(), value)
}

// setClass edits the record whose change the tests follow.
func setClass(tb testing.TB, store *emulator.Store, wait int64) {
	tb.Helper()
	class := &recordspb.RequestClass{MaxWaitMs: wait, TimeoutMs: 1000}
	setRecord(tb, store, record.Classes, &recordspb.Record{
		SchemaVersion: 1, Name: "quote", Spec: &recordspb.Record_Class{Class: class},
	})
}

// awaitClass returns once the change is in force at all instances. A test that
// waits for a change that never comes ends by the test binary's own timeout.
func awaitClass(fleet []*Instance, wait int64) {
	for _, i := range fleet {
		seen := make(chan struct{})
		var once sync.Once
		i.keeper.Subscribe(func(s *record.Snapshot) {
			if c, ok := s.Class("quote"); ok && c.GetMaxWaitMs() == wait {
				once.Do(func() { close(seen) })
			}
		})
		<-seen
	}
}

func modelsStatus(tb testing.TB, i *Instance) (int, string) {
	tb.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + i.Callers() + "/v1/models")
	req.Header.Set("Authorization", "Bearer key")
	if err := fasthttp.Do(req, resp); err != nil {
		tb.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
}

// The object API is away while instances start, and no peer can tell them the
// records. They come up all the same, tell callers when to come back, and
// serve as soon as the object API is there.
func TestStartWithTheObjectAPIDown(t *testing.T) {
	t.Parallel()
	store := startObjectAPI(t)
	if err := store.Down(); err != nil {
		t.Fatal(err)
	}
	fleet := startFleet(t, store, 1)
	if status, after := modelsStatus(t, fleet[0]); status != fasthttp.StatusServiceUnavailable || after == "" {
		t.Fatalf("status %d, Retry-After %q without records", status, after)
	}
	if err := store.Up(); err != nil {
		t.Fatal(err)
	}
	awaitClass(fleet, 1)
	if status, _ := modelsStatus(t, fleet[0]); status != fasthttp.StatusOK {
		t.Fatalf("status %d with records", status)
	}
}

// An operator edits a record. It has to come into force at all instances, also
// when the object API went away and came back in between, and a bad edit after
// it must change nothing.
func TestChangeIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	store := startObjectAPI(t)
	fleet := startFleet(t, store, 8)
	awaitClass(fleet, 1)
	setClass(t, store, 2)
	awaitClass(fleet, 2)
	store.SetFaults(emulator.StoreFaults{Outage: emulator.OutageRefuse})
	setClass(t, store, 3)
	store.SetFaults(emulator.StoreFaults{})
	awaitClass(fleet, 3)
	store.Set(string(record.Classes), "quote", []byte(`{"schemaVersion":1,"name":"quote","class":{"maxWaitMs":"-1"}}`))
	setClass(t, store, 4)
	awaitClass(fleet, 4)
}

// BenchmarkChangeInForce measures the time from an operator's write to the
// last of eight instances having it in force.
func BenchmarkChangeInForce(b *testing.B) {
	store := startObjectAPI(b)
	fleet := startFleet(b, store, 8)
	awaitClass(fleet, 1)
	time.Sleep(3 * time.Second)
	wait := int64(1)
	for b.Loop() {
		wait++
		setClass(b, store, wait)
		awaitClass(fleet, wait)
	}
}
