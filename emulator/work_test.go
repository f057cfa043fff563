package emulator

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/prefix"
)

// More engines load weights concurrently than the weight store serves at full speed. Each load must
// slow down, as in a rollout that takes much longer than its single loads.
func TestLoadsAboveTheLimitSlowDown(t *testing.T) {
	for _, c := range []struct {
		loads int
		want  time.Duration
	}{{1, 400 * time.Millisecond}, {2, 400 * time.Millisecond}, {4, 800 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			w := NewWeights(2)
			start := time.Now()
			var all sync.WaitGroup
			for range c.loads {
				all.Go(func() { w.load(400*time.Millisecond, 1, nil) })
			}
			all.Wait()
			// The first step of the first load is computed before the others have started.
			if got := time.Since(start); got > c.want || got < c.want*9/10 {
				t.Errorf("%d loads took %s, want about %s", c.loads, got, c.want)
			}
			if w.Peak() != c.loads {
				t.Errorf("peak %d, want %d", w.Peak(), c.loads)
			}
		})
	}
}

func TestSlotsAreGrantedByPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSemaphore(1)
		s.acquire(0, nil)
		var order []string
		var all sync.WaitGroup
		for i, priority := range []int{10, 0, 10, 0} {
			all.Go(func() {
				s.acquire(priority, nil)
				order = append(order, fmt.Sprintf("%d/%d", priority, i))
				s.release()
			})
			synctest.Wait()
		}
		cancelled := make(chan struct{})
		all.Go(func() {
			if s.acquire(-1, cancelled) {
				t.Error("a cancelled waiter got a slot")
			}
		})
		synctest.Wait()
		close(cancelled)
		synctest.Wait()
		s.release()
		all.Wait()
		if got := fmt.Sprint(order); got != "[0/1 0/3 10/0 10/2]" {
			t.Fatalf("order %s", got)
		}
	})
}

// Load reports are stale. A reader that takes them as current would send every request to the
// engine that was idle a moment ago.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{cfg: EngineConfig{LoadLag: time.Second}.withDefaults()}
		e.startProcess()
		e.mu.Lock()
		e.process.waiting = 5
		time.Sleep(time.Minute)
		e.sampleLoad(e.process)
		e.mu.Unlock()
		if got := e.load(e.process).Waiting; got != 0 {
			t.Fatalf("%d waiting before the lag has passed, want 0", got)
		}
		time.Sleep(time.Second)
		if got := e.load(e.process).Waiting; got != 5 {
			t.Fatalf("%d waiting after the lag, want 5", got)
		}
	})
}

// The least recently used blocks are evicted first, and within one prompt its end before its start.
func TestCacheEvictsTheEndOfTheOldestPrompt(t *testing.T) {
	c := newBlockCache(4)
	old, young := [3][16]byte{{1}, {2}, {3}}, [3][16]byte{{4}, {5}, {6}}
	var a, b []prefix.Hash
	for i := range old {
		a, b = append(a, prefix.Hash(old[i])), append(b, prefix.Hash(young[i]))
	}
	c.insert(a, cachedBlock{})
	_, evicted := c.insert(b, cachedBlock{})
	if len(evicted) != 2 || evicted[0] != a[2] || evicted[1] != a[1] {
		t.Fatalf("evicted %v", evicted)
	}
	if depth, _ := c.match(a, cachedBlock{}); depth != 1 {
		t.Fatalf("depth %d of the old prompt, want 1", depth)
	}
	if depth, stale := c.match(b, cachedBlock{version: "2"}); depth != 3 || stale != 3 {
		t.Fatalf("depth %d, stale %d under another version", depth, stale)
	}
}

// Work that spans several changes of speed takes as long as its parts do, between its usual time and
// Slowest times that, and two pieces of work take as long as one of their sum. Otherwise a varying
// endpoint would be faster or slower than its factors say, which it reports.
func TestWorkIsStretchedByTheFactorsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Speed{Slowest: rapid.Float64Range(1, 4).Draw(t, "slowest"), Interval: 200 * time.Millisecond, Seed: rapid.Uint64().Draw(t, "seed")}
		at := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "at"))
		first := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "first"))
		second := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "second"))
		whole := s.Stretch(at, first+second)
		if whole < first+second-time.Microsecond || whole > time.Duration(s.Slowest*float64(first+second))+time.Microsecond {
			t.Fatalf("%v of work take %v, slowest %v", first+second, whole, s.Slowest)
		}
		parts := s.Stretch(at, first)
		parts += s.Stretch(at+parts, second)
		if diff := (whole - parts).Abs(); diff > time.Microsecond {
			t.Fatalf("%v in one piece, %v in two", whole, parts)
		}
	})
}
