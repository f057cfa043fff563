package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
)

// Hint reports a revision that exists in the store. If it is newer than what is known here,
// the kind is read unless the change arrives first.
func (f *Follower) Hint(revision uint64) {
	f.mu.Lock()
	f.newestHint = max(f.newestHint, objectapi.Version(revision))
	newer := f.behind()
	f.mu.Unlock()
	if newer {
		f.requestRead()
	}
}

// behind reports whether a peer has reported a newer revision. The caller holds f.mu.
func (f *Follower) behind() bool { return f.newestHint > max(f.revision, f.lastChange) }

// awaitHintedChange waits for the change that a hint announced, and reports whether it
// arrived without a read.
func (f *Follower) awaitHintedChange(ctx context.Context) bool {
	f.mu.Lock()
	target := f.newestHint
	f.mu.Unlock()
	_ = clock.Sleep(ctx, hintDelay+rand.N(hintDelay))
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.missed && target <= max(f.revision, f.lastChange)
}

// rehint requests a read if newer hints arrived while awaitHintedChange was waiting.
func (f *Follower) rehint() {
	f.mu.Lock()
	newer := f.behind()
	f.mu.Unlock()
	if newer {
		f.requestRead()
	}
}

func (f *Follower) requestRead() {
	select {
	case f.hint <- struct{}{}:
	default:
	}
}

// ApplyPeerChange applies a change received from another instance. before is the revision
// of the kind's previous change; if that is not known here, the kind is read. steady
// reports that the sender can distinguish a removal from an expiry, so that a removal is
// applied at once even after an outage here.
func (f *Follower) ApplyPeerChange(obj objectapi.Object, before uint64, steady bool) {
	f.mu.Lock()
	f.storeAnswered(time.Now())
	missed := objectapi.Version(before) > max(f.revision, f.lastChange)
	f.missed = f.missed || missed
	switch {
	case !f.listed:
	case obj.Deleted && steady:
		f.drop(obj.Name, obj.Version, FromPeer)
		f.deliver(len(f.changes) > 0)
	default:
		f.apply(obj, FromPeer)
	}
	f.mu.Unlock()
	if missed {
		f.requestRead()
	}
}
