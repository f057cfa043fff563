package instance

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

// startFleet runs n instances with one object API. The first is the others' seed.
func startFleet(tb testing.TB, store *emulator.Store, n int) []*Instance {
	tb.Helper()
	first := startInstance(tb, store, "entry-0", 10000)
	seed := first.Fleet()
	fleet := []*Instance{first}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k := 1; k < n; k++ {
		wg.Go(func() {
			i := startInstance(tb, store, fmt.Sprintf("entry-%d", k), 10000, seed)
			mu.Lock()
			defer mu.Unlock()
			fleet = append(fleet, i)
		})
	}
	wg.Wait()
	return fleet
}

// startInstance runs an instance whose leases have the given length in milliseconds.
func startInstance(tb testing.TB, store *emulator.Store, name string, lease int, seeds ...string) *Instance {
	tb.Helper()
	text := fmt.Sprintf("fleet: test\ninstance: %s\ndata_centre: accra-1\nplatform: {address: %q, lease_ms: %d}\nseeds: [%s]\n"+
		"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n",
		name, store.Addr(), lease, strings.Join(seeds, ", "))
	s, faults := settings.Parse([]byte(text))
	if len(faults) > 0 {
		panic(settings.Lines(name, faults))
	}
	i, err := Start(context.Background(), s)
	if err != nil {
		panic(err)
	}
	tb.Cleanup(func() { _ = i.Stop(context.Background()) })
	return i
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

// setClass writes the record whose change the tests follow.
func setClass(tb testing.TB, store *emulator.Store, wait int64) {
	tb.Helper()
	class := &recordspb.RequestClass{MaxWaitMs: wait, TimeoutMs: 1000}
	setRecord(tb, store, record.Classes, &recordspb.Record{
		SchemaVersion: 1, Name: "quote", Spec: &recordspb.Record_Class{Class: class},
	})
}

// awaitClass returns once the change is in force at all instances. If it never is, the test ends
// by the test binary's own timeout.
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

// The object API is down while instances start, and no peer has the records. The instances come
// up all the same, answer callers with Retry-After, and serve as soon as the object API is back.
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

// An operator edits a record. The change has to come into force at all instances, also if the
// object API was down in between, and an invalid edit must change nothing.
func TestRecordChangeReachesAllInstances(t *testing.T) {
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

// settleDuration is how long a fleet runs before it is measured.
const settleDuration = 10 * time.Second

// BenchmarkChangeInForce measures the time from an operator's write until the last of eight
// instances has it in force: with the object API reachable by all, and from the moment at which
// half of them lose it.
func BenchmarkChangeInForce(b *testing.B) {
	for _, cut := range []int{0, 4} {
		b.Run(fmt.Sprintf("cut=%d", cut), func(b *testing.B) {
			store := startObjectAPI(b)
			fleet := startFleet(b, store, 8)
			awaitClass(fleet, 1)
			awaitIdle(store, fleet)
			time.Sleep(settleDuration)
			var times []time.Duration
			for b.Loop() {
				store.SetFaults(emulator.StoreFaults{})
				awaitIdle(store, fleet)
				store.SetFaults(emulator.StoreFaults{CutInstances: cutInstances(cut, len(times))})
				wait := int64(len(times) + 2)
				start := time.Now()
				setClass(b, store, wait)
				awaitClass(fleet, wait)
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// cutInstances names n instances, different ones in each round.
func cutInstances(n, round int) []string {
	var names []string
	for k := range n {
		names = append(names, fmt.Sprintf("entry-%d", (round*3+k*(1+round%3*2))%8))
	}
	return names
}

// awaitIdle returns once every instance knows all others and knows that the object API is
// reachable by all, and only the chosen instances have watches open.
func awaitIdle(store *emulator.Store, fleet []*Instance) {
	for _, i := range fleet {
		for !allReachable(i, len(fleet)) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for store.Counts().Watches != record.WatchersPerKind*len(record.Kinds) {
		time.Sleep(10 * time.Millisecond)
	}
}

func allReachable(i *Instance, n int) bool {
	reachable := 0
	for _, m := range watchers(i.peers.node.View()) {
		if m.StoreReachable {
			reachable++
		}
	}
	return reachable == n
}

// BenchmarkStoreCallsAtRest counts the calls of eight instances to the object API while nothing
// changes. Each round takes ten seconds.
func BenchmarkStoreCallsAtRest(b *testing.B) {
	store := startObjectAPI(b)
	fleet := startFleet(b, store, 8)
	awaitClass(fleet, 1)
	awaitIdle(store, fleet)
	time.Sleep(settleDuration)
	before, start := store.Counts(), time.Now()
	for b.Loop() {
		time.Sleep(10 * time.Second)
	}
	after, took := store.Counts(), time.Since(start).Seconds()
	n := took * float64(len(fleet))
	b.ReportMetric(float64(after.Reads-before.Reads)/n, "reads/s/instance")
	b.ReportMetric(float64(after.Writes-before.Writes)/n, "writes/s/instance")
	b.ReportMetric(float64(after.Watches)/float64(len(fleet)), "watches/instance")
}
