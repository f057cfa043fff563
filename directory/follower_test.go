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

// fakeStore holds one kind. Watches deliver changes unless the store is stalled or down.
type fakeStore struct {
	objectapi.Store
	mu      sync.Mutex
	version objectapi.Version
	objects map[string]objectapi.Object
	events  []objectapi.Object
	down    bool
	stalled bool
	// hangs reports that an outage leaves open watches waiting; otherwise it ends them with
	// an error.
	hangs         bool
	refuseWatches bool
	changed       chan struct{}
	reads         int
	watches       int
	// stalledWatches is how many of the watches, counted from the first, deliver nothing
	// any more.
	stalledWatches int
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
	if s.refuseWatches {
		return nil, errDown
	}
	ctx, cancel := context.WithCancel(ctx)
	return &fakeWatch{s, ctx, cancel, from, s.watches}, nil
}

// stallWatches makes the open watches deliver nothing any more, like connections whose
// state was dropped by a middlebox.
func (s *fakeStore) stallWatches() { s.change(func() { s.stalledWatches = s.watches }) }

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
		changed, down, stalled, hangs := w.s.changed, w.s.down, w.s.stalled || w.number <= w.s.stalledWatches, w.s.hangs
		for _, e := range w.s.events {
			if e.Version > w.from && !down && !stalled {
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

// follow runs a follower of the store and returns a function that reports whether the
// follower has an object of the given name.
func follow(t *testing.T, s *fakeStore, check time.Duration) func(name string) bool {
	t.Helper()
	has, _ := followHinted(t, s, check)
	return has
}

func followHinted(t *testing.T, s *fakeStore, check time.Duration) (func(name string) bool, *Follower) {
	t.Helper()
	return followWith(t, s, check, func(*Config) {})
}

// followWith is followHinted with a modified configuration.
func followWith(t *testing.T, s *fakeStore, check time.Duration, change func(*Config)) (func(name string) bool, *Follower) {
	t.Helper()
	var mu sync.Mutex
	now := map[string]bool{}
	cfg := Config{
		Store: s, Kind: "endpoints", MinExpiryOutage: 2400 * time.Millisecond,
		ReadInterval: check,
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

// Guards against a read for each hint while the store refuses this instance's calls: peers
// report a newer revision with every datagram, and a read for each costs hundreds of
// refused calls.
func TestHintsBackOffWhileTheStoreRefuses(t *testing.T) {
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

// Guards against a read for each hint whose change arrives a moment later. When a large
// fleet starts, all instances report each change at once, and reads at each report cost as
// many calls as there are instances times changes.
func TestHintFollowedByItsChangeCausesNoRead(t *testing.T) {
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
			t.Errorf("%d reads for 50 changes that the watch delivered", got)
		}
	})
}

// Guards against a lost change going unnoticed: a peer that watches the kind sends a
// change, but the one before it was lost. Without a read, the router would go on sending to
// an endpoint that was removed.
func TestMissedChangeIsReadAfterTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, time.Minute)
		time.Sleep(time.Second)
		s.change(func() { s.stalled = true })
		s.remove("a")
		s.put("c")
		f.ApplyPeerChange(objectapi.Object{Name: "c", Version: 4}, 3, true)
		time.Sleep(300 * time.Millisecond)
		if has("a") || !has("c") {
			t.Errorf("removed entry kept: %v, new entry known: %v", has("a"), has("c"))
		}
	})
}

// Guards against dropping live endpoints whose entries expired because the store was
// unreachable for some seconds and they could not renew them. A router that applied the
// empty list would reject every caller although all endpoints serve.
func TestEntriesExpiredInAnOutageAreKept(t *testing.T) {
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
			t.Errorf("two seconds after the outage: renewed entry kept: %v, missing entry kept: %v", has("a"), has("b"))
		}
	})
}

// Guards against a removal being mistaken for an expiry three seconds after an outage: an
// endpoint that leaves stops soon after its entry is removed, and the router would send it
// requests until then.
func TestRemovalAfterAnOutageIsAppliedAtOnce(t *testing.T) {
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
			t.Error("the removed entry is still kept")
		}
	})
}

// Guards against a removal being held back as an expiry for as long as no list has been
// answered since an outage, although the watch delivers changes again.
func TestRemovalIsAppliedWhenTheWatchSurvivedAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		s.hangs = true
		has := follow(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		// The last failing list call fails right before the store returns.
		time.Sleep(8500 * time.Millisecond)
		s.remove("a")
		s.setDown(false)
		time.Sleep(500 * time.Millisecond)
		s.put("a")
		time.Sleep(2700 * time.Millisecond)
		s.remove("a")
		time.Sleep(100 * time.Millisecond)
		if has("a") || !has("b") {
			t.Errorf("removed entry kept: %v, other entry kept: %v", has("a"), has("b"))
		}
	})
}

// Guards against a removal being held back by an instance whose only failed call was long
// ago and whose peers have read in its place since.
func TestRemovalIsAppliedWhilePeersReachTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followWith(t, s, 1500*time.Millisecond, func(cfg *Config) { cfg.Watches = func() bool { return false } })
		time.Sleep(time.Second)
		s.setDown(true)
		f.Hint(3)
		time.Sleep(300 * time.Millisecond)
		s.setDown(false)
		for range 20 {
			f.RecordPeerRead(time.Now())
			time.Sleep(500 * time.Millisecond)
		}
		s.remove("a")
		f.Hint(4)
		time.Sleep(500 * time.Millisecond)
		if has("a") || !has("b") {
			t.Errorf("removed entry kept: %v, other entry kept: %v", has("a"), has("b"))
		}
	})
}

// Guards against a single failed call counting as an outage: the removal that follows would
// be held back as an expiry, and the endpoint would get requests for two more seconds while
// it stops.
func TestSingleFailedCallIsNotAnOutage(t *testing.T) {
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
			t.Error("the removed entry is still kept")
		}
	})
}

// Guards against holding back a removal that a peer with an uninterrupted connection to the
// store reports as certain, while this instance has just had an outage: the endpoint would
// get requests while it stops.
func TestRemovalFromASteadyPeerIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(6 * time.Second)
		f.ApplyPeerChange(objectapi.Object{Name: "a", Version: 3, Deleted: true}, 2, true)
		f.ApplyPeerChange(objectapi.Object{Name: "b", Version: 4, Deleted: true}, 3, false)
		if has("a") || !has("b") {
			t.Errorf("removed entry kept: %v; entry that may have expired kept: %v", has("a"), has("b"))
		}
	})
}

// Guards against a watch that stays open and delivers nothing while an endpoint is removed.
// Without reads besides the watch, callers would be sent to the removed endpoint.
func TestStalledWatchIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has := follow(t, s, 500*time.Millisecond)
		time.Sleep(time.Second)
		s.change(func() { s.stalled = true })
		s.remove("a")
		time.Sleep(700 * time.Millisecond)
		if has("a") {
			t.Error("the entry is still kept 700 ms after its removal")
		}
	})
}

// Guards against each instance reading on its own schedule while a peer reads for all,
// which costs a fleet of hundreds as many calls a second; and against no instance reading
// after that peer has stopped, which would leave stalled watches unnoticed.
func TestPeerReadsReplaceOwnReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a", "b")
		has, f := followHinted(t, s, 500*time.Millisecond)
		// The instance's own reads come every half second. Halfway between two of them, it
		// is certain which reads came before the peer's.
		time.Sleep(1250 * time.Millisecond)
		s.change(func() { s.stalled = true })
		before := s.readCount()
		for range 20 {
			f.RecordPeerRead(time.Now())
			time.Sleep(400 * time.Millisecond)
		}
		if n := s.readCount() - before; n > 0 {
			t.Errorf("%d reads while a peer reads", n)
		}
		s.remove("a")
		time.Sleep(700 * time.Millisecond)
		if has("a") {
			t.Error("the instance does not read after the peer has stopped reading")
		}
	})
}

// Guards against retrying at once when the store answers reads and refuses watches, as it
// does when its history has been compacted. This would cost thousands of calls, each of
// which the operators pay for.
func TestRefusedWatchesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		s.refuseWatches = true
		follow(t, s, time.Second)
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches > 30 || s.reads > 45 {
			t.Errorf("%d watches and %d reads within 10 s", s.watches, s.reads)
		}
	})
}

// Guards against the tombstones growing with every endpoint that was ever removed until the
// router runs out of memory after months.
func TestTombstonesAreBounded(t *testing.T) {
	f := NewFollower(Config{Kind: "endpoints", Changed: func([]Change) {}})
	f.applyList(objectapi.Listing{Version: 1}, scheduled)
	for i := range 4 * maxTombstones {
		name := strconv.Itoa(i)
		f.applyEvent(objectapi.Object{Name: name, Version: objectapi.Version(2*i + 2)})
		f.applyEvent(objectapi.Object{Name: name, Version: objectapi.Version(2*i + 3), Deleted: true})
	}
	if len(f.tombstones) > maxTombstones || len(f.objects) > 0 {
		t.Errorf("%d tombstones, %d objects kept", len(f.tombstones), len(f.objects))
	}
	last := strconv.Itoa(4*maxTombstones - 1)
	f.applyEvent(objectapi.Object{Name: last, Version: 3})
	if len(f.objects) > 0 {
		t.Error("a stale event restored the object removed last")
	}
}

// Guards against forwarding changes received from peers. In a fleet of 62 instances of
// which three watch, forwarding each change to all others costs thousands of datagrams per
// change, which delay callers while a pool takes new weights.
func TestPeerChangesAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		var mu sync.Mutex
		var published []uint64
		f := NewFollower(Config{
			Store: s, Kind: "endpoints", ReadInterval: time.Minute,
			Watches: func() bool { return false },
			Changed: func([]Change) {},
			PublishRevision: func(_ string, revision uint64) {
				mu.Lock()
				defer mu.Unlock()
				published = append(published, revision)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		f.ApplyPeerChange(objectapi.Object{Name: "b", Version: 2}, 1, true)
		f.ApplyPeerChange(objectapi.Object{Name: "c", Version: 3}, 2, true)
		time.Sleep(time.Second)
		if f.Revision() == 0 || len(published) != 1 || published[0] != 1 {
			t.Errorf("published revisions %v, want only 1, from the own read", published)
		}
		cancel()
		done.Wait()
	})
}

// Guards against an instance that vouches for changes which its watch has not delivered: those made between two watches
// and undone before the next read.
func TestSpanHasNoGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore("a")
		_, f := followWith(t, s, time.Hour, func(*Config) {})
		synctest.Wait()
		s.put("b")
		synctest.Wait()
		before := f.Span()
		s.setDown(true)
		synctest.Wait()
		s.put("short-lived")
		s.remove("short-lived")
		s.setDown(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if after := f.Span(); before != (Span{From: 1, To: 2}) || after.From <= before.To {
			t.Errorf("span %+v, and %+v after an outage in which changes were not delivered", before, after)
		}
	})
}
