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

// eventsPerAnswer is how many events a holder returns in one answer.
const eventsPerAnswer = 300

// fakeHolder is a holder whose events are given by the test.
type fakeHolder struct {
	mu     sync.Mutex
	epoch  uint64
	lost   bool
	events []Change
	calls  int
}

func (h *fakeHolder) Events(ctx context.Context, _ Holder, since uint64, wait time.Duration) (Batch, error) {
	until := time.Now().Add(wait)
	h.mu.Lock()
	h.calls++
	h.mu.Unlock()
	for {
		h.mu.Lock()
		b := Batch{Epoch: h.epoch, Next: uint64(len(h.events)) + 1, Lost: h.lost && since > 0}
		if from := max(since, 1) - 1; from < uint64(len(h.events)) {
			to := min(from+eventsPerAnswer, uint64(len(h.events)))
			b.Changes, b.Next = append(b.Changes, h.events[from:to]...), to+1
		}
		h.lost = h.lost && since == 0
		h.mu.Unlock()
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

func (h *fakeHolder) add(changes ...Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, changes...)
}

func part(id string, added bool) Change {
	return Change{Added: added, Scope: "s", Part: id, Model: "m", Tokens: 100}
}

// run follows the holder. It returns functions that report whether a part is known and how
// many messages were published, and the feed.
func run(t *testing.T, h *fakeHolder) (has func(id string) bool, published func() int, feed *Feed) {
	t.Helper()
	state := balance.NewState(time.Second)
	state.SetEndpoints([]balance.Endpoint{{ID: "e", Address: "a:1", Service: "pool"}})
	var mu sync.Mutex
	messages := 0
	feed = New(Config{
		Source: h, Owned: func() []Holder { return []Holder{{ID: "e", Address: "a:1", Model: "m"}} },
		Apply: state.UpdateCache, KnownParts: state.CachedParts,
		Publish: func(balance.CacheNews) {
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
	published = func() int {
		mu.Lock()
		defer mu.Unlock()
		return messages
	}
	return has, published, feed
}

// Guards against relying on the parts of an endpoint that crashed and restarted under its
// address with an empty cache. Its event numbers start again, and only the changed epoch
// shows it; requests routed for the lost parts would read everything again.
func TestRestartedHolderIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 1}
		h.add(part("x", true), part("y", true))
		has, _, _ := run(t, h)
		time.Sleep(time.Second)
		if !has("x") || !has("y") {
			t.Fatal("the parts at the start are not known")
		}
		h.mu.Lock()
		h.epoch, h.events = 2, []Change{part("z", true)}
		h.mu.Unlock()
		time.Sleep(3 * time.Second)
		if has("x") || has("y") || !has("z") {
			t.Errorf("after the restart x %v, y %v, z %v", has("x"), has("y"), has("z"))
		}
	})
}

// Guards against relying on an evicted part after events were lost, an eviction among them:
// the remaining events must be read from the start.
func TestHolderIsReadAgainAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 1}
		h.add(part("x", true), part("y", true))
		has, _, _ := run(t, h)
		time.Sleep(time.Second)
		h.mu.Lock()
		h.events, h.lost = []Change{part("y", true), part("z", true), part("q", true)}, true
		h.mu.Unlock()
		time.Sleep(3 * time.Second)
		if has("x") || !has("y") || !has("q") {
			t.Errorf("after the gap x %v, y %v, q %v", has("x"), has("y"), has("q"))
		}
	})
}

// Guards against an instance relying on outdated parts until it has read on. A holder with
// thousands of events returns the oldest first, so its first answer alone may list parts
// that were evicted long ago.
func TestAllEventsAreReadBeforeAnyIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 1}
		h.add(part("old", true))
		for i := range 1000 {
			h.add(part(strconv.Itoa(i), true), part(strconv.Itoa(i), false))
		}
		h.add(part("old", false), part("new", true))
		has, _, _ := run(t, h)
		time.Sleep(startupDelay + catchUpTimeout + 50*time.Millisecond)
		if has("old") || !has("new") {
			t.Errorf("right after the start: evicted part known %v, newest part known %v", has("old"), has("new"))
		}
	})
}

// Guards against peers that have just started knowing of no cache, and against everything
// being sent once for each of several peers that start together.
func TestStartedPeersReceiveEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHolder{epoch: 1}
		h.add(part("x", true), part("y", true), part("y", false))
		has, published, feed := run(t, h)
		time.Sleep(time.Second)
		if !has("x") || has("y") {
			t.Fatalf("x %v, evicted y %v", has("x"), has("y"))
		}
		before := published()
		for range 5 {
			feed.Resync()
		}
		time.Sleep(time.Second)
		if got := published() - before; got < 1 || got > 2 {
			t.Errorf("%d messages for peers that started together", got)
		}
	})
}
