package cachefeed

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/prefix"
)

// atATime is how many events a holder gives out in one answer.
const atATime = 300

// script is a holder whose events are given by the test.
type script struct {
	mu     sync.Mutex
	epoch  uint64
	lost   bool
	events []Change
	calls  int
}

func (s *script) Events(ctx context.Context, _ Holder, since uint64, wait time.Duration) (Batch, error) {
	until := time.Now().Add(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		b := Batch{Epoch: s.epoch, Next: uint64(len(s.events)) + 1, Lost: s.lost && since > 0}
		if from := max(since, 1) - 1; from < uint64(len(s.events)) {
			to := min(from+atATime, uint64(len(s.events)))
			b.Changes, b.Next = append(b.Changes, s.events[from:to]...), to+1
		}
		s.lost = s.lost && since == 0
		s.mu.Unlock()
		if len(b.Changes) > 0 || b.Lost || !time.Now().Before(until) {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *script) add(changes ...Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, changes...)
}

func part(id string, added bool) Change {
	return Change{Added: added, Scope: "s", Part: id, Model: "m", Tokens: 100}
}

// run follows the holder and returns what is believed of it, and what was told.
func run(t *testing.T, s *script) (has func(id string) bool, told func() int, feed *Feed) {
	t.Helper()
	state := balance.NewState(time.Second)
	state.SetEndpoints([]balance.Endpoint{{ID: "e", Address: "a:1", Service: "pool"}})
	var mu sync.Mutex
	messages := 0
	feed = New(Config{
		Source: s, Owned: func() []Holder { return []Holder{{ID: "e", Address: "a:1", Model: "m"}} },
		Take: state.UpdateCache, Held: state.CachedParts,
		Tell: func(balance.CacheNews) {
			mu.Lock()
			defer mu.Unlock()
			messages++
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { feed.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	has = func(id string) bool {
		for _, p := range state.CachedParts("e", "m") {
			if p.Key == prefix.KeyOf("s", "m", id) {
				return true
			}
		}
		return false
	}
	told = func() int {
		mu.Lock()
		defer mu.Unlock()
		return messages
	}
	return has, told, feed
}

// An endpoint crashes and comes back under its address with an empty cache. Its
// numbers of events start anew, and without a look at its epoch the router counts
// on parts that are gone: requests sent there for them read everything again.
func TestRestartedHolderIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{epoch: 1}
		s.add(part("x", true), part("y", true))
		has, _, _ := run(t, s)
		time.Sleep(time.Second)
		if !has("x") || !has("y") {
			t.Fatal("the parts at the start are not known")
		}
		s.mu.Lock()
		s.epoch, s.events = 2, []Change{part("z", true)}
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		if has("x") || has("y") || !has("z") {
			t.Errorf("after the restart x %v, y %v, z %v", has("x"), has("y"), has("z"))
		}
	})
}

// Events are lost on the way, an eviction among them. The router has to read what
// is left from the start, or it goes on counting on the evicted part.
func TestGapIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{epoch: 1}
		s.add(part("x", true), part("y", true))
		has, _, _ := run(t, s)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.events, s.lost = []Change{part("y", true), part("z", true), part("q", true)}, true
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		if has("x") || !has("y") || !has("q") {
			t.Errorf("after the gap x %v, y %v, q %v", has("x"), has("y"), has("q"))
		}
	})
}

// A holder has thousands of events to tell and gives out the oldest ones first. An
// instance that goes by the first answer alone counts on parts that are long gone,
// for as long as it takes to read on.
func TestAllEventsAreReadBeforeAnyCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{epoch: 1}
		s.add(part("old", true))
		for i := range 1000 {
			s.add(part(strconv.Itoa(i), true), part(strconv.Itoa(i), false))
		}
		s.add(part("old", false), part("new", true))
		has, _, _ := run(t, s)
		time.Sleep(settleTime + catchUpWait + 50*time.Millisecond)
		if has("old") || !has("new") {
			t.Errorf("right after the start: evicted part known %v, newest part known %v", has("old"), has("new"))
		}
	})
}

// Peers that have just started know of no cache; they are told everything, once
// for however many of them start together.
func TestStartedPeersAreToldEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{epoch: 1}
		s.add(part("x", true), part("y", true), part("y", false))
		has, told, feed := run(t, s)
		time.Sleep(time.Second)
		if !has("x") || has("y") {
			t.Fatalf("x %v, evicted y %v", has("x"), has("y"))
		}
		before := told()
		for range 5 {
			feed.TellWhole()
		}
		time.Sleep(time.Second)
		if got := told() - before; got < 1 || got > 2 {
			t.Errorf("%d messages for peers that started together", got)
		}
	})
}
