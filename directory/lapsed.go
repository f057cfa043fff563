package directory

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
)

// mayHaveLapsed reports whether an entry that is missing now may be one whose
// owner lives and could not renew it. A call or two that failed are no outage: an
// entry that goes then has been removed, and its owner is about to end.
func (f *Follower) mayHaveLapsed() bool {
	switch {
	case f.cfg.LapseAfter == 0 || f.lostAt.IsZero():
		return false
	case !f.reachable:
		return time.Since(f.lostAt) >= f.cfg.LapseAfter
	}
	return f.outage >= f.cfg.LapseAfter && time.Since(f.backAt) < lapsedGrace
}

// sweep drops lapsed entries that nobody has renewed in time.
func (f *Follower) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) == nil {
		f.mu.Lock()
		changed := false
		if !f.mayHaveLapsed() {
			for name := range f.lapsed {
				f.drop(name, f.revision)
				changed = true
				log.WithField("kind", f.cfg.Kind).WithField("name", name).Info("lapsed entry gone")
			}
		}
		f.tell(changed)
		f.mu.Unlock()
	}
}
