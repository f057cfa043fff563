package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
)

// Hint says that a revision exists somewhere; the kind is read at once if it is
// newer than what is known here.
func (f *Follower) Hint(revision uint64) {
	f.mu.Lock()
	f.hinted = max(f.hinted, objectapi.Version(revision))
	newer := f.behind()
	f.mu.Unlock()
	if newer {
		f.readSoon()
	}
}

// behind reports whether somebody has told of a newer revision; the mutex is held.
func (f *Follower) behind() bool { return f.hinted > max(f.revision, f.lastChange) }

// awaitHinted waits for the change that a hint tells of. It reports whether the
// change has come by itself.
func (f *Follower) awaitHinted(ctx context.Context) bool {
	f.mu.Lock()
	told := f.hinted
	f.mu.Unlock()
	_ = clock.Sleep(ctx, hintPause+rand.N(hintPause))
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.missed && told <= max(f.revision, f.lastChange)
}

// again looks after newer hints that came during the wait for one.
func (f *Follower) again() {
	f.mu.Lock()
	newer := f.behind()
	f.mu.Unlock()
	if newer {
		f.readSoon()
	}
}

func (f *Follower) readSoon() {
	select {
	case f.hint <- struct{}{}:
	default:
	}
}

// Take takes in a change that another instance's watch has heard of. before is
// the revision of the kind's last change before it; if that one is not known
// here, the kind is read. steady says that the other instance knows a removal from a
// lapse, whatever outage there was here.
func (f *Follower) Take(obj objectapi.Object, before uint64, steady bool) {
	f.mu.Lock()
	f.storeAnswered(time.Now())
	missed := objectapi.Version(before) > max(f.revision, f.lastChange)
	f.missed = f.missed || missed
	switch {
	case !f.listed:
	case obj.Deleted && steady:
		f.drop(obj.Name, obj.Version, FromPeer)
		f.tell(len(f.changes) > 0)
	default:
		f.apply(obj, FromPeer)
	}
	f.mu.Unlock()
	if missed {
		f.readSoon()
	}
}
