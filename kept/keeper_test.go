package kept

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

// store is an engine with its KV store. Exports are cut to the blocks that the
// engine has cached.
type store struct {
	mu       sync.Mutex
	cached   int
	kept     map[string]int
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
	s.kept[h.Handle] = n
	s.exported = append(s.exported, n)
	return n, nil
}

func (s *store) Import(_ context.Context, h endpoint.KVHandle) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.kept[h.Handle]; ok {
		return n, nil
	}
	return 0, fault.New(fault.NotFound, "none", "no such handle")
}

// rig runs a keeper in a bubble of virtual time.
type rig struct {
	keeper    *Keeper
	store     *store
	published []Prefix
}

func inBubble(t *testing.T, run func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{store: &store{cached: 1000, kept: map[string]int{}}}
		r.keeper = NewKeeper(Config{
			Clock:   clock.System{},
			Dial:    func(string) Engine { return r.store },
			Publish: func(_ context.Context, p Prefix, _ time.Duration) { r.published = append(r.published, p) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go r.keeper.Run(ctx)
		run(r)
	})
}

func (r *rig) use(chain []prefix.Hash, levels ...int) {
	r.keeper.Used(Use{Address: "engine", Chain: chain, Levels: levels})
	synctest.Wait()
}

func chain(blocks int, seed byte) []prefix.Hash {
	c := make([]prefix.Hash, blocks)
	for i := range c {
		c[i] = prefix.Hash{seed, byte(i), byte(i >> 8)}
	}
	return c
}

func TestEachLevelIsExportedOnceShortestFirst(t *testing.T) {
	inBubble(t, func(r *rig) {
		c := chain(100, 1)
		r.use(c, 10, 12, 80)
		r.use(c, 10, 12, 80)
		if want := []int{10, 80}; !slices.Equal(r.store.exported, want) {
			t.Fatalf("exported %v, want %v", r.store.exported, want)
		}
		if p, ok := r.keeper.Deepest(c); !ok || p.Blocks != 80 {
			t.Fatalf("deepest is %+v", p)
		}
		if len(r.published) != 2 || r.published[1] != (Prefix{c[79], 80}) {
			t.Fatalf("published %+v", r.published)
		}
	})
}

// The engine has evicted the end of a prompt before its export. If the catalog
// held the prefix under its whole length, each import would bring less than
// the placing counted on, and the caller would wait for the rest.
func TestShortExportStaysOutOfTheCatalog(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.store.cached = 40
		c := chain(100, 1)
		r.use(c, 80)
		if p, ok := r.keeper.Deepest(c); ok {
			t.Fatalf("the catalog holds %+v", p)
		}
		if len(r.published) != 0 {
			t.Fatalf("published %+v", r.published)
		}
	})
}

// The KV store has let a prefix go. Every request of the prefix would try the
// import first and be late by a round trip if the keeper went on believing.
func TestLostPrefixIsForgotten(t *testing.T) {
	inBubble(t, func(r *rig) {
		c := chain(20, 1)
		p := Prefix{c[19], 20}
		r.keeper.Heard(p, time.Minute)
		if got, ok := r.keeper.Deepest(c); !ok || got != p {
			t.Fatalf("deepest is %+v", got)
		}
		r.keeper.Import(context.Background(), "engine", prefix.Hash{}, p)
		if _, ok := r.keeper.Deepest(c); ok {
			t.Fatal("a prefix that the KV store does not have is still believed in")
		}
	})
}

func TestPrefixIsForgottenAfterItsTime(t *testing.T) {
	inBubble(t, func(r *rig) {
		c := chain(20, 1)
		r.keeper.Heard(Prefix{c[19], 20}, time.Minute)
		time.Sleep(time.Minute)
		if _, ok := r.keeper.Deepest(c); ok {
			t.Fatal("believed in after its time")
		}
	})
}

// A burst of new catalogues on the hour would have every engine write to the
// KV store at once, while it has to answer.
func TestExportsAreBounded(t *testing.T) {
	inBubble(t, func(r *rig) {
		for i := range 100 {
			r.use(chain(20, byte(i)), 20)
		}
		if n := len(r.store.exported); n != exportBurst {
			t.Fatalf("%d exports at once, want %d", n, exportBurst)
		}
		time.Sleep(4 * exportEvery)
		for i := range 100 {
			r.use(chain(20, byte(i)), 20)
		}
		if n := len(r.store.exported); n != exportBurst+4 {
			t.Fatalf("%d exports, want 4 more", n)
		}
	})
}

// An engine that is away must neither end the duty nor be asked for the
// deeper levels of the prompt.
func TestFailedExportIsTriedWithALaterUse(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.store.down = true
		c := chain(100, 1)
		r.use(c, 10, 80)
		r.store.down = false
		r.use(c, 10, 80)
		if want := []int{10, 80}; !slices.Equal(r.store.exported, want) {
			t.Fatalf("exported %v, want %v", r.store.exported, want)
		}
	})
}

func TestCatalogIsBounded(t *testing.T) {
	c := NewCatalog()
	now := time.Unix(0, 0)
	for i := range catalogLimit + 100 {
		c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), byte(i >> 16)}, 8}, now.Add(time.Duration(i)*time.Second))
	}
	if c.Len() != catalogLimit {
		t.Fatalf("%d entries, want %d", c.Len(), catalogLimit)
	}
}

func BenchmarkDeepest(b *testing.B) {
	c := NewCatalog()
	now := time.Unix(0, 0)
	for i := range catalogLimit {
		c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), 0, 1}, 8}, now.Add(time.Hour))
	}
	prompt := chain(200, 7)
	b.ReportAllocs()
	for b.Loop() {
		c.Deepest(now, prompt)
	}
}

// BenchmarkCatalogBytes tells what a known prefix takes in memory.
func BenchmarkCatalogBytes(b *testing.B) {
	now := time.Unix(0, 0)
	for b.Loop() {
		before := heap()
		c := NewCatalog()
		for i := range catalogLimit {
			c.Add(Prefix{prefix.Hash{byte(i), byte(i >> 8), 0, 1}, 8}, now.Add(time.Hour))
		}
		b.ReportMetric(float64(heap()-before)/catalogLimit, "B/prefix")
		runtime.KeepAlive(c)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
