package directory

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// fakeStore holds one kind. Watches hear changes unless it is deaf or down.
type fakeStore struct {
	objectapi.Store
	mu      sync.Mutex
	version objectapi.Version
	objects map[string]objectapi.Object
	events  []objectapi.Object
	down    bool
	deaf    bool
	// hangs says that an outage keeps waiting watches waiting; else it breaks them.
	hangs   bool
	noWatch bool
	changed chan struct{}
	reads   int
	watches int
	// silenced is how many of the watches so far bring nothing any more.
	silenced int
}

func newFakeStore(names ...string) *fakeStore {
	s := &fakeStore{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
	for _, n := range names {
		s.put(n)
	}
	return s
}

func (s *fakeStore) change(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) put(name string) {
	s.change(func() {
		s.version++
		s.objects[name] = objectapi.Object{Name: name, Version: s.version}
		s.events = append(s.events, s.objects[name])
	})
}

func (s *fakeStore) remove(name string) {
	s.change(func() {
		s.version++
		delete(s.objects, name)
		s.events = append(s.events, objectapi.Object{Name: name, Version: s.version, Deleted: true})
	})
}

func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *fakeStore) setDown(down bool) { s.change(func() { s.down = down }) }

var errDown = fault.New(fault.Unavailable, "wait", "down")

func (s *fakeStore) List(context.Context, string) (objectapi.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return objectapi.Listing{}, errDown
	}
	l := objectapi.Listing{Version: s.version}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, from objectapi.Version) (objectapi.Watch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if s.noWatch {
		return nil, errDown
	}
	ctx, cancel := context.WithCancel(ctx)
	return &fakeWatch{s, ctx, cancel, from, s.watches}, nil
}

// silence has the open watches bring nothing any more, as connections do that something
// on the way has forgotten.
func (s *fakeStore) silence() { s.change(func() { s.silenced = s.watches }) }

type fakeWatch struct {
	s      *fakeStore
	ctx    context.Context
	cancel context.CancelFunc
	from   objectapi.Version
	// number counts the store's watches from 1.
	number int
}

func (w *fakeWatch) Close() { w.cancel() }

func (w *fakeWatch) Next() (objectapi.Object, error) {
	for {
		w.s.mu.Lock()
		changed, down, deaf, hangs := w.s.changed, w.s.down, w.s.deaf || w.number <= w.s.silenced, w.s.hangs
		for _, e := range w.s.events {
			if e.Version > w.from && !down && !deaf {
				w.from = e.Version
				w.s.mu.Unlock()
				return e, nil
			}
		}
		w.s.mu.Unlock()
		if down && !hangs {
			return objectapi.Object{}, errDown
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return objectapi.Object{}, errors.New("closed")
		}
	}
}

// follow runs a follower over the store and returns what it believes.
func follow(t *testing.T, s *fakeStore, check time.Duration) func(name string) bool {
	t.Helper()
	has, _ := followHinted(t, s, check)
	return has
}

func followHinted(t *testing.T, s *fakeStore, check time.Duration) (func(name string) bool, *Follower) {
	t.Helper()
	return followWith(t, s, check, func(*Config) {})
}

// followWith is followHinted with other settings.
func followWith(t *testing.T, s *fakeStore, check time.Duration, change func(*Config)) (func(name string) bool, *Follower) {
	t.Helper()
	var mu sync.Mutex
	now := map[string]bool{}
	cfg := Config{
		Store: s, Kind: "endpoints", LapseAfter: 2400 * time.Millisecond,
		Every: check,
		Changed: func(changes []Change) {
			mu.Lock()
			defer mu.Unlock()
			for _, obj := range changes {
				now[obj.Name] = !obj.Deleted
			}
		},
	}
	change(&cfg)
	f := NewFollower(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return func(name string) bool {
		mu.Lock()
		defer mu.Unlock()
		return now[name]
	}, f
}

// The store turns one router away, and its peers tell it of a newer revision with
// every datagram. A read for each of them costs hundreds of refused calls.
func TestHintsAreNotReadAgainWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		_, f := followHinted(t, s, 4*time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		for range 200 {
			f.Hint(100)
			time.Sleep(20 * time.Millisecond)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.reads > 30 {
			t.Errorf("%d reads within 4 s of hints", s.reads)
		}
	})
}

// A fleet of many instances starts, and each change is told by all of them at once.
// An instance that reads the kind at each such word, a moment before the change
// itself comes, makes as many calls as there are instances and changes.
func TestHintsThatChangesOvertakeCostNoRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		_, f := followHinted(t, s, time.Minute)
		time.Sleep(time.Second)
		s.mu.Lock()
		before := s.reads
		s.mu.Unlock()
		for i := range 50 {
			f.Hint(uint64(i) + 2)
			time.Sleep(5 * time.Millisecond)
			s.put("b")
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if got := s.reads - before; got > 0 {
			t.Errorf("%d reads for 50 changes that the watch brought", got)
		}
	})
}

// Another instance watches the kind for all and tells of a change, but the one
// before it was lost on the way. Without a look at the store the router would go
// on sending to an endpoint that was removed.
func TestLostChangeIsReadAfterTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, time.Minute)
		time.Sleep(time.Second)
		s.change(func() { s.deaf = true })
		s.remove("a")
		s.put("c")
		f.Take(objectapi.Object{Name: "c", Version: 4}, 3, true)
		time.Sleep(300 * time.Millisecond)
		if has("a") || !has("c") {
			t.Errorf("removed entry believed: %v, new one: %v", has("a"), has("c"))
		}
	})
}

// The store is away for some seconds, and the entries of endpoints that live
// lapse meanwhile, since they cannot renew them. If a router believes the empty
// list, it turns every caller away although all endpoints serve.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has := follow(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(4 * time.Second)
		s.remove("a")
		s.remove("b")
		s.setDown(false)
		time.Sleep(1500 * time.Millisecond)
		if !has("a") || !has("b") {
			t.Error("entries were dropped right after the outage")
		}
		s.put("a")
		time.Sleep(2 * time.Second)
		if !has("a") || has("b") {
			t.Errorf("two seconds after the return: renewed entry kept %v, missing entry kept %v", has("a"), has("b"))
		}
	})
}

// An endpoint leaves without a word three seconds after an outage: its entry is
// removed, and it stops soon after. A router that still takes entries for lapsed
// then sends requests to an endpoint that is about to go.
func TestEntryRemovedAfterAnOutageIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has := follow(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(4 * time.Second)
		s.setDown(false)
		time.Sleep(3500 * time.Millisecond)
		s.remove("a")
		time.Sleep(100 * time.Millisecond)
		if has("a") {
			t.Error("the entry is still believed")
		}
	})
}

// Guards against a removal being held back as a lapse for as long as no list has been answered
// since an outage, though the watch brings changes again.
func TestRemovalIsTakenWhereTheWatchHasOutlivedAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		s.hangs = true
		has := follow(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		// The list that fails last does so right before the store returns.
		time.Sleep(8500 * time.Millisecond)
		s.remove("a")
		s.setDown(false)
		time.Sleep(500 * time.Millisecond)
		s.put("a")
		time.Sleep(2700 * time.Millisecond)
		s.remove("a")
		time.Sleep(100 * time.Millisecond)
		if has("a") || !has("b") {
			t.Errorf("removed entry believed %v, the other one %v", has("a"), has("b"))
		}
	})
}

// Guards against an instance whose only failed call was long ago, and whose peers read in its
// place, holding the next removal back as a lapse.
func TestRemovalIsTakenWherePeersWereAnsweredAllTheWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followWith(t, s, 1500*time.Millisecond, func(cfg *Config) { cfg.Watches = func() bool { return false } })
		time.Sleep(time.Second)
		s.setDown(true)
		f.Hint(3)
		time.Sleep(300 * time.Millisecond)
		s.setDown(false)
		for range 20 {
			f.Checked(time.Now())
			time.Sleep(500 * time.Millisecond)
		}
		s.remove("a")
		f.Hint(4)
		time.Sleep(500 * time.Millisecond)
		if has("a") || !has("b") {
			t.Errorf("removed entry believed %v, the other one %v", has("a"), has("b"))
		}
	})
}

// One call of the store fails, and a moment later an endpoint leaves without a word.
// Taken for lapsed, it would get requests for two seconds more, while it ends.
func TestFailedCallIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has := follow(t, s, 200*time.Millisecond)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(300 * time.Millisecond)
		s.setDown(false)
		time.Sleep(700 * time.Millisecond)
		s.remove("a")
		time.Sleep(100 * time.Millisecond)
		if has("a") {
			t.Error("the entry is still believed")
		}
	})
}

// The store turned this instance away for seconds and serves it again, and just then
// an endpoint leaves. An instance that was served all the while tells that the entry
// was removed. Taken for lapsed all the same, it would get requests while it ends.
func TestRemovalThatASteadyPeerTellsIsNoLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(6 * time.Second)
		f.Take(objectapi.Object{Name: "a", Version: 3, Deleted: true}, 2, true)
		f.Take(objectapi.Object{Name: "b", Version: 4, Deleted: true}, 3, false)
		if has("a") || !has("b") {
			t.Errorf("removed entry believed %v; entry that may have lapsed kept %v", has("a"), has("b"))
		}
	})
}

// A watch stays open and hears nothing while an endpoint is removed. Callers are
// sent to an endpoint that has gone unless the kind is read besides.
func TestDeafWatchIsFoundOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has := follow(t, s, 500*time.Millisecond)
		time.Sleep(time.Second)
		s.change(func() { s.deaf = true })
		s.remove("a")
		time.Sleep(700 * time.Millisecond)
		if has("a") {
			t.Error("the entry is still believed 700 ms after its removal")
		}
	})
}

// One instance of a fleet reads a kind in turn and tells the others. Each of them
// reading too would cost a fleet of hundreds as many calls a second; none of them
// reading once it has gone would leave all of them deaf.
func TestReadsOfPeersStandForOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, 500*time.Millisecond)
		// Its own turns come each half second; between two of them, it is certain which
		// reads came before the peer's.
		time.Sleep(1250 * time.Millisecond)
		s.change(func() { s.deaf = true })
		before := s.readCount()
		for range 20 {
			f.Checked(time.Now())
			time.Sleep(400 * time.Millisecond)
		}
		if n := s.readCount() - before; n > 0 {
			t.Errorf("%d reads while a peer reads", n)
		}
		s.remove("a")
		time.Sleep(700 * time.Millisecond)
		if has("a") {
			t.Error("nobody reads once the peer has gone")
		}
	})
}

// The store answers reads and refuses watches, as it does when its history is
// gone. A router that tries again at once makes thousands of calls, each of
// which its operators pay for.
func TestRefusedWatchesAreNotHammered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		s.noWatch = true
		follow(t, s, time.Second)
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches > 30 || s.reads > 45 {
			t.Errorf("%d watches and %d reads within 10 s", s.watches, s.reads)
		}
	})
}

// Endpoints come and go for months. What a router remembers of those that went must
// not grow with them, or it runs out of memory one day.
func TestMemoryOfRemovedObjectsIsBounded(t *testing.T) {
	f := NewFollower(Config{Kind: "endpoints", Changed: func([]Change) {}})
	f.applyList(objectapi.Listing{Version: 1}, scheduled)
	for i := range 4 * maxTombstones {
		name := strconv.Itoa(i)
		f.applyEvent(objectapi.Object{Name: name, Version: objectapi.Version(2*i + 2)})
		f.applyEvent(objectapi.Object{Name: name, Version: objectapi.Version(2*i + 3), Deleted: true})
	}
	if len(f.tombstones) > maxTombstones || len(f.objects) > 0 {
		t.Errorf("%d removed objects remembered, %d objects held", len(f.tombstones), len(f.objects))
	}
	last := strconv.Itoa(4*maxTombstones - 1)
	f.applyEvent(objectapi.Object{Name: last, Version: 3})
	if len(f.objects) > 0 {
		t.Error("an old read brought back what was removed last")
	}
}

// A fleet of 62 instances hears of each change from the three that watch. If each of
// them tells all others at once that it has seen something newer, every change costs
// thousands of datagrams, and while a pool takes new weights callers wait behind these.
func TestWhatPeersTellIsNotToldOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		var mu sync.Mutex
		var told []uint64
		f := NewFollower(Config{
			Store: s, Kind: "endpoints", Every: time.Minute,
			Watches: func() bool { return false },
			Changed: func([]Change) {},
			Seen: func(_ string, revision uint64) {
				mu.Lock()
				defer mu.Unlock()
				told = append(told, revision)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		f.Take(objectapi.Object{Name: "b", Version: 2}, 1, true)
		f.Take(objectapi.Object{Name: "c", Version: 3}, 2, true)
		time.Sleep(time.Second)
		if f.Revision() == 0 || len(told) != 1 || told[0] != 1 {
			t.Errorf("told of revisions %v, want only 1, which the own read brought", told)
		}
		cancel()
		done.Wait()
	})
}
