package kvoffload

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/prefix"
)

// store is an engine and its KV store. Exports are truncated to the blocks that the
// engine has cached.
type store struct {
	mu       sync.Mutex
	cached   int
	stored   map[string]int
	exported []int
	down     bool
}

func (s *store) Export(_ context.Context, h endpoint.KVHandle) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fault.New(fault.Unavailable, "none", "down")
	}
	n := min(len(h.Blocks), s.cached)
	s.stored[h.Handle] = n
	s.exported = append(s.exported, n)
	return n, nil
}

func (s *store) Import(_ context.Context, h endpoint.KVHandle) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.stored[h.Handle]; ok {
		return n, nil
	}
	return 0, fault.New(fault.NotFound, "none", "no such handle")
}

// fixture is a Coordinator with one engine, which runs in a synctest bubble.
type fixture struct {
	coordinator *Coordinator
	store       *store
	published   []Prefix
}

func runFixture(t *testing.T, run func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{store: &store{cached: 1000, stored: map[string]int{}}}
		f.coordinator = NewCoordinator(Config{
			Clock:   clock.System{},
			Dial:    func(string) Engine { return f.store },
			Publish: func(_ context.Context, p Prefix, _ time.Duration) { f.published = append(f.published, p) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.coordinator.Run(ctx)
		run(f)
	})
}

func (f *fixture) use(chain []prefix.Hash, levels ...int) {
	f.coordinator.AddUse(Use{Address: "engine", Chain: chain, Levels: levels})
	synctest.Wait()
}

func chain(blocks int, seed byte) []prefix.Hash {
	c := make([]prefix.Hash, blocks)
	for i := range c {
		c[i] = prefix.Hash{seed, byte(i), byte(i >> 8)}
	}
	return c
}

func TestLevelsAreExportedOnceShortestFirst(t *testing.T) {
	runFixture(t, func(f *fixture) {
		c := chain(100, 1)
		f.use(c, 10, 12, 80)
		f.use(c, 10, 12, 80)
		if want := []int{10, 80}; !slices.Equal(f.store.exported, want) {
			t.Fatalf("exported %v, want %v", f.store.exported, want)
		}
		if p, ok := f.coordinator.LongestPrefix(c); !ok || p.Blocks != 80 {
			t.Fatalf("longest prefix is %+v", p)
		}
		if len(f.published) != 2 || f.published[1] != (Prefix{c[79], 80}) {
			t.Fatalf("published %+v", f.published)
		}
	})
}

// The engine has evicted the end of a prompt before its export. If the catalog listed
// the prefix with its full length, each import would provide fewer blocks than the
// choice of endpoint assumed, and the caller would wait for the rest to be computed.
func TestTruncatedExportIsNotInCatalog(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.store.cached = 40
		c := chain(100, 1)
		f.use(c, 80)
		if p, ok := f.coordinator.LongestPrefix(c); ok {
			t.Fatalf("the catalog contains %+v", p)
		}
		if len(f.published) != 0 {
			t.Fatalf("published %+v", f.published)
		}
	})
}

// The KV store has evicted a prefix. If it stayed in the catalog, every request with the
// prefix would try the import first and be delayed by a round trip.
func TestEvictedPrefixIsRemovedFromCatalog(t *testing.T) {
	runFixture(t, func(f *fixture) {
		c := chain(20, 1)
		p := Prefix{c[19], 20}
		f.coordinator.AddRemote(p, time.Minute)
		if got, ok := f.coordinator.LongestPrefix(c); !ok || got != p {
			t.Fatalf("longest prefix is %+v", got)
		}
		f.coordinator.Import(context.Background(), "engine", prefix.Hash{}, p)
		if _, ok := f.coordinator.LongestPrefix(c); ok {
			t.Fatal("a prefix that the KV store does not have is still in the catalog")
		}
	})
}

func TestPrefixExpires(t *testing.T) {
	runFixture(t, func(f *fixture) {
		c := chain(20, 1)
		f.coordinator.AddRemote(Prefix{c[19], 20}, time.Minute)
		time.Sleep(time.Minute)
		if _, ok := f.coordinator.LongestPrefix(c); ok {
			t.Fatal("the prefix is still in the catalog after its expiry")
		}
	})
}

// Without a rate limit, a burst of new prompts on the hour would make every engine write
// to the KV store at once, while it is serving requests.
func TestExportRateIsLimited(t *testing.T) {
	runFixture(t, func(f *fixture) {
		for i := range 100 {
			f.use(chain(20, byte(i)), 20)
		}
		if n := len(f.store.exported); n != exportBurst {
			t.Fatalf("%d exports at once, want %d", n, exportBurst)
		}
		time.Sleep(4 * exportInterval)
		for i := range 100 {
			f.use(chain(20, byte(i)), 20)
		}
		if n := len(f.store.exported); n != exportBurst+4 {
			t.Fatalf("%d exports, want 4 more", n)
		}
	})
}

// A failed export must neither stop Run nor be followed by exports of the longer levels
// of the same prompt. It must be tried again with the next use.
func TestFailedExportIsRetriedAtNextUse(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.store.down = true
		c := chain(100, 1)
		f.use(c, 10, 80)
		f.store.down = false
		f.use(c, 10, 80)
		if want := []int{10, 80}; !slices.Equal(f.store.exported, want) {
			t.Fatalf("exported %v, want %v", f.store.exported, want)
		}
	})
}

func TestCatalogIsBounded(t *testing.T) {
	c := NewCatalog()
	now := time.Unix(0, 0)
	for i := range maxCatalogEntries + 100 {
		c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), byte(i >> 16)}, 8}, now.Add(time.Duration(i)*time.Second))
	}
	if c.Len() != maxCatalogEntries {
		t.Fatalf("%d entries, want %d", c.Len(), maxCatalogEntries)
	}
}

func BenchmarkLongestPrefix(b *testing.B) {
	c := NewCatalog()
	now := time.Unix(0, 0)
	for i := range maxCatalogEntries {
		c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), 0, 1}, 8}, now.Add(time.Hour))
	}
	prompt := chain(200, 7)
	b.ReportAllocs()
	for b.Loop() {
		c.LongestPrefix(now, prompt)
	}
}

// BenchmarkCatalogBytes measures the memory that a catalog entry takes.
func BenchmarkCatalogBytes(b *testing.B) {
	now := time.Unix(0, 0)
	for b.Loop() {
		before := heap()
		c := NewCatalog()
		for i := range maxCatalogEntries {
			c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), 0, 1}, 8}, now.Add(time.Hour))
		}
		b.ReportMetric(float64(heap()-before)/maxCatalogEntries, "B/prefix")
		runtime.KeepAlive(c)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
