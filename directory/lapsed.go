package directory

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
)

var heldTotal = metrics.GetOrCreateCounter("sardinedock_directory_removals_held_total")

// maxHeldNames bounds the entries that one line names.
const maxHeldNames = 5

// held gathers removals that are held back, for one line about all of them: an outage may
// let thousands of entries lapse at once.
type held struct {
	names    []string
	count    int
	revision objectapi.Version
	source   Source
}

// note adds a removal.
func (h *held) note(name string, revision objectapi.Version, by Source) {
	heldTotal.Inc()
	if h.count++; len(h.names) < maxHeldNames {
		h.names = append(h.names, name)
	}
	h.revision, h.source = revision, by
}

// logHeld writes the line about the removals held back since the last one; the mutex is held.
func (f *Follower) logHeld() {
	if f.held.count == 0 {
		return
	}
	log.WithFields(log.Fields{
		"kind": f.cfg.Kind, "entries": f.held.names, "count": f.held.count, "revision": uint64(f.held.revision), "source": f.held.source,
		"outage_ms": f.outages.length.Milliseconds(), "ended_ms_ago": time.Since(f.outages.endedAt).Milliseconds(),
	}).Info("removals held back: entries may have lapsed in an outage of the store")
	f.held = held{}
}

// Held returns how many entries are missing in the store and kept for now.
func (f *Follower) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lapsed)
}

// mayHaveLapsed reports whether a removal may be a lapse; the mutex is held.
func (f *Follower) mayHaveLapsed() bool {
	return f.cfg.LapseAfter > 0 && f.outages.mayHaveLapsed(time.Now(), f.cfg.LapseAfter)
}

// sweep drops lapsed entries that nobody has renewed in time.
func (f *Follower) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) == nil {
		f.mu.Lock()
		f.logHeld()
		changed := false
		if !f.mayHaveLapsed() {
			for name := range f.lapsed {
				f.drop(name, f.revision, FromRead)
				changed = true
				log.WithField("kind", f.cfg.Kind).WithField("name", name).Info("lapsed entry gone")
			}
		}
		f.tell(changed)
		f.mu.Unlock()
	}
}
