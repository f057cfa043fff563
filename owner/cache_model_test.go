package owner

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/prefix"
)

// offeredCachedTokens returns the cached tokens in a probe's offer, with the learning
// period over.
func offeredCachedTokens(e *Endpoint, blocks []prefix.Hash) int64 {
	e.cacheKnown = true
	a := ask("probe", "a", false, blocks)
	a.Mode = Probe
	return e.Ask(epoch, a).Offers[0].CachedTokens
}

func runRequest(t *testing.T, e *Endpoint, blocks []prefix.Hash) {
	t.Helper()
	d := e.Ask(epoch, ask("warm", "a", false, blocks))
	if d.Kind != Granted {
		t.Fatalf("%+v", d)
	}
	e.FirstToken(epoch, d.Offer.GrantID, 0, time.Millisecond)
	e.End(epoch, End{GrantID: d.Offer.GrantID, Outcome: Done})
}

// Guards against stale cache estimates. If blocks of another organisation, of older weights
// or of a crashed engine counted as cached, requests would be sent to an endpoint that has
// to compute everything.
func TestStaleCacheModelIsDropped(t *testing.T) {
	blocks := chain("a", "1", 1, 10)
	tests := []struct {
		name   string
		change func(e *Endpoint)
		probe  []prefix.Hash
		want   int64
	}{
		{"the same prompt", func(*Endpoint) {}, blocks, 640},
		{"another organisation", func(*Endpoint) {}, chain("b", "1", 1, 10), 0},
		{"newer weights", func(*Endpoint) {}, chain("a", "2", 1, 10), 0},
		{"suspected for a while", func(e *Endpoint) { e.Status(epoch, suspect, 1); e.Status(epoch, live, 1) }, blocks, 640},
		{"another incarnation", func(e *Endpoint) { e.Status(epoch, live, 2) }, blocks, 0},
		{"expulsion", func(e *Endpoint) { e.Status(epoch, expelled, 1); e.Status(epoch, live, 1) }, blocks, 0},
		{"models loaded", func(e *Endpoint) { e.Models([]string{"m@1"}); e.Models([]string{"m@1", "m@2"}) }, blocks, 0},
		{"evicted", func(e *Endpoint) {
			e.CacheEvent(CacheEvent{Seq: 1, Incarnation: 1, Op: CacheEvict, Blocks: blocks[6:]})
		}, blocks, 384},
		{"a gap in the events", func(e *Endpoint) {
			e.CacheEvent(CacheEvent{Seq: 1, Incarnation: 1, Op: CacheStore})
			e.CacheEvent(CacheEvent{Seq: 3, Incarnation: 1, Op: CacheStore, Blocks: blocks[:2]})
		}, blocks, 2*64 + 8*32},
		{"events of another incarnation", func(e *Endpoint) {
			e.CacheEvent(CacheEvent{Seq: 9, Incarnation: 7, Op: CacheClear})
		}, blocks, 640},
		{"cleared", func(e *Endpoint) { e.CacheEvent(CacheEvent{Seq: 1, Incarnation: 1, Op: CacheClear}) }, blocks, 0},
	}
	for _, tt := range tests {
		e := New(config())
		e.Status(epoch, live, 1)
		runRequest(t, e, blocks)
		tt.change(e)
		if got := offeredCachedTokens(e, tt.probe); got != tt.want {
			t.Errorf("%s: %d tokens estimated as cached, want %d", tt.name, got, tt.want)
		}
	}
}

// A request that was granted but never sent must leave nothing in the cache model.
func TestUnusedGrantLeavesCacheModelUnchanged(t *testing.T) {
	e := New(config())
	blocks := chain("a", "1", 1, 10)
	d := e.Ask(epoch, ask("r", "a", false, blocks))
	e.End(epoch, End{GrantID: d.Offer.GrantID, Outcome: Unused})
	if got := offeredCachedTokens(e, blocks); got != 0 {
		t.Fatalf("%d tokens estimated as cached", got)
	}
}

// The cache model must never exceed its capacity and must keep the most recently used
// blocks.
func TestCacheModelIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newCacheModel(int64(rapid.IntRange(1, 120).Draw(t, "capacity")))
		var reference []blockKey
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			key := blockKey(rapid.IntRange(0, 150).Draw(t, "block"))
			if rapid.IntRange(0, 4).Draw(t, "forget") == 0 {
				k.forget(key)
				reference = without(reference, key)
				continue
			}
			k.touch(key)
			reference = append([]blockKey{key}, without(reference, key)...)
			reference = reference[:min(len(reference), k.capacity)]
		}
		var got []blockKey
		for i := k.newest; i != noBlock; i = k.blocks[i].next {
			got = append(got, k.blocks[i].key)
		}
		if len(got) != len(reference) || k.index.length != len(reference) || len(k.blocks) > k.capacity {
			t.Fatalf("%v with %d indexed in %d entries, want %v", got, k.index.length, len(k.blocks), reference)
		}
		for i := range got {
			if got[i] != reference[i] {
				t.Fatalf("%v, want %v", got, reference)
			}
		}
	})
}

func without(list []blockKey, key blockKey) []blockKey {
	var rest []blockKey
	for _, k := range list {
		if k != key {
			rest = append(rest, k)
		}
	}
	return rest
}

// Guards against a new owner that does not know what is cached and what is running after
// the former owner left: it would allocate slots that are in use.
func TestSnapshotRestoresCacheModelAndGrants(t *testing.T) {
	old := New(config())
	old.Status(epoch, live, 5)
	blocks := chain("a", "1", 1, 10)
	runRequest(t, old, blocks)
	held := old.Ask(epoch, ask("held", "a", true, blocks))
	data, err := old.Snapshot(epoch)
	if err != nil {
		t.Fatal(err)
	}
	cfg := config()
	cfg.FirstGrantID = 1 << 40
	next := New(cfg)
	if err := next.Restore(epoch, data); err != nil {
		t.Fatal(err)
	}
	if got := offeredCachedTokens(next, blocks); got != 640 {
		t.Errorf("%d tokens estimated as cached after Restore, want 640", got)
	}
	if next.inUse[laneUrgent] != 1 || next.incarnation != 5 {
		t.Errorf("%d urgent slots in use at incarnation %d", next.inUse[laneUrgent], next.incarnation)
	}
	next.End(epoch, End{GrantID: held.Offer.GrantID, Outcome: Done})
	if len(next.grants) != 0 {
		t.Error("End did not release a restored grant")
	}
	if err := next.Restore(epoch, []byte("junk")); err == nil {
		t.Error("Restore accepted an invalid snapshot")
	}
}

// An instance that was killed cannot release its grants and queued asks. They must be
// dropped when its lease expires, or its slots stay lost.
func TestUnresponsiveCallerLosesItsGrants(t *testing.T) {
	b := NewRegistry(testCosts)
	b.Add(config())
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		b.Ask(epoch, ask(id, "a", false, nil), []string{"engine-1"})
	}
	other := ask("other", "b", false, nil)
	other.Caller = "i2"
	if d := b.Ask(epoch, other, []string{"engine-1"}); d.Kind != Queued {
		t.Fatalf("%+v", d)
	}
	b.RenewLease(epoch.Add(callerLease), "i2")
	out := b.Tick(epoch.Add(callerLease + time.Second))
	if len(out) != 1 || out[0].Kind != Granted || out[0].Caller != "i2" {
		t.Fatalf("%+v", out)
	}
}

// A request that cannot start before its deadline must be refused in the call itself, with
// a time to retry after.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	e := New(config())
	for i, id := range []string{"1", "2", "3", "4", "5", "6"} {
		a := ask(id, "a", false, chain("a", "1", i, 200))
		e.Ask(epoch, a)
	}
	late := ask("late", "b", false, chain("b", "1", 9, 200))
	late.Deadline = epoch.Add(100 * time.Millisecond)
	d := e.Ask(epoch, late)
	if d.Kind != Refused || d.Reason != ReasonDeadline || d.RetryAfter < minRetryAfter {
		t.Fatalf("%+v", d)
	}
}

func BenchmarkAskAndEnd(b *testing.B) {
	e := New(Config{Name: "e", Slots: 32, UrgentSlots: 4, BlockTokens: 64, CacheBlocks: 8192, PrefillTokensPerSecond: 20000})
	blocks := chain("a", "1", 1, 200)
	b.ReportAllocs()
	for b.Loop() {
		d := e.Ask(epoch, ask("r", "a", false, blocks))
		e.FirstToken(epoch, d.Offer.GrantID, 0, time.Millisecond)
		e.End(epoch, End{GrantID: d.Offer.GrantID, Outcome: Done})
	}
}

// BenchmarkCacheModelBytes measures the memory per cached block.
func BenchmarkCacheModelBytes(b *testing.B) {
	const blocks = 100_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		k := newCacheModel(blocks)
		for i := range 2 * blocks {
			k.touch(blockKey(uint64(i) * 0x9e3779b97f4a7c15))
		}
		b.ReportMetric(float64(heap()-before)/float64(k.index.length), "bytes/block")
		runtime.KeepAlive(k)
	}
}

// BenchmarkGrantBytes measures the memory per open grant without its block hashes.
func BenchmarkGrantBytes(b *testing.B) {
	const grants = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		e := New(Config{Name: "e", Slots: grants, BlockTokens: 64, CacheBlocks: 64, PrefillTokensPerSecond: 1e12})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range grants {
			e.Ask(epoch, ask(strconv.Itoa(i), "a", false, nil))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(e.grants)), "bytes/grant")
		runtime.KeepAlive(e)
	}
}
