package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/platform"
)

const (
	// listReadInterval is the least time between two reads, listReadWait how long a stream waits for one.
	listReadInterval = 200 * time.Millisecond
	listReadWait     = 300 * time.Millisecond
)

func listReadsTotal(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_release_checks_total{outcome="` + outcome + `"}`)
}

// listReads reads the changes of the list of endpoints from the store's history, for streams that go on at the only release
// that instances know of: an instance may have missed changes, and not know it, while it was paused or partitioned. Streams
// that wait at the same time share a read. It is safe for concurrent use.
type listReads struct {
	ctx   context.Context
	store *platform.Store

	mu sync.Mutex
	// next is the read that has not begun; nil if none is needed.
	next    *listRead
	running bool
}

// listRead is one read of the changes after a revision.
type listRead struct {
	since uint64
	done  chan struct{}
	// changes and err are set when done is closed.
	changes *origin.Delivered
	err     error
}

// releasesSince returns the releases of a service in the changes after a revision, by a read that begins after the call. ok is
// false if the store does not answer in time, or has no history back to there.
func (l *listReads) releasesSince(ctx context.Context, since uint64, service string) (releases []string, ok bool) {
	if since == 0 {
		return nil, false
	}
	r := l.join(since)
	timer := time.NewTimer(listReadWait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
	if r.err != nil {
		return nil, false
	}
	all, ok := r.changes.Since(since)
	return all[service], ok
}

// join returns the next read, which then covers the changes after the given revision.
func (l *listReads) join(since uint64) *listRead {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = &listRead{since: since, done: make(chan struct{})}
	}
	l.next.since = min(l.next.since, since)
	if !l.running {
		l.running = true
		go l.run()
	}
	return l.next
}

// run reads while streams wait.
func (l *listReads) run() {
	for {
		l.mu.Lock()
		r := l.next
		l.next, l.running = nil, r != nil
		l.mu.Unlock()
		if r == nil {
			return
		}
		l.read(r)
		close(r.done)
		_ = clock.Sleep(l.ctx, listReadInterval)
	}
}

func (l *listReads) read(r *listRead) {
	began := time.Now()
	r.changes, _, r.err = readDelivered(l.ctx, l.store, r.since)
	outcome := "read"
	if r.err != nil {
		outcome = "failed"
		log.WithField("since", r.since).WithField("ms", time.Since(began).Milliseconds()).WithField("why", r.err.Error()).
			Warn("changes of endpoints not read; streams that no instance knows are not resumed")
	}
	listReadsTotal(outcome).Inc()
}

// confirm reports whether the changes of the list after a revision show no other release of a service than the given one.
func (l *listReads) confirm(ctx context.Context, service, only string, since uint64) bool {
	releases, ok := l.releasesSince(ctx, since, service)
	return ok && !slices.ContainsFunc(releases, func(release string) bool { return release != only })
}
