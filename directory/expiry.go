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

// maxHeldNames bounds the entry names in one log line.
const maxHeldNames = 5

// held collects removals that are held back so that they share one log line: in an outage,
// thousands of entries may expire at once.
type held struct {
	names    []string
	count    int
	revision objectapi.Version
	source   Source
}

// add records a removal that is held back.
func (h *held) add(name string, revision objectapi.Version, by Source) {
	heldTotal.Inc()
	if h.count++; len(h.names) < maxHeldNames {
		h.names = append(h.names, name)
	}
	h.revision, h.source = revision, by
}

// logHeld logs the removals held back since its last call. The caller holds f.mu.
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

// Held returns the number of entries that are missing in the store and kept for now.
func (f *Follower) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.expired)
}

// mayHaveExpired reports whether a removal may be an expiry caused by an outage. The caller
// holds f.mu.
func (f *Follower) mayHaveExpired() bool {
	return f.cfg.MinExpiryOutage > 0 && f.outages.mayHaveExpired(time.Now(), f.cfg.MinExpiryOutage)
}

// sweep drops expired entries that were not renewed in time.
func (f *Follower) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		f.mu.Lock()
		f.logHeld()
		changed := false
		if !f.mayHaveExpired() {
			for name := range f.expired {
				f.drop(name, f.revision, FromRead)
				changed = true
				log.WithField("kind", f.cfg.Kind).WithField("name", name).Info("lapsed entry gone")
			}
		}
		f.deliver(changed)
		f.mu.Unlock()
	}
}
