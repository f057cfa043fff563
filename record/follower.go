package record

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// FollowerDump is the state of the goroutine that follows one kind of record.
type FollowerDump struct {
	Kind     Kind      `json:"kind"`
	Watching bool      `json:"watching"`
	Position uint64    `json:"position"`
	ListedAt time.Time `json:"listed_at"`
	// Failure is the last error, empty after a successful call.
	Failure string `json:"failure,omitempty"`
}

// task is what an instance does for one kind between lists.
type task int

const (
	// taskUnknown means that the members are not known yet.
	taskUnknown task = iota
	// taskWatch means that this instance watches the kind.
	taskWatch
	// taskIdle means that other instances watch the kind.
	taskIdle
)

// follower lists one kind of record periodically and watches it if this instance is
// assigned to.
type follower struct {
	cfg  ProviderConfig
	kind Kind
	// wake is signalled when the task has changed.
	wake chan struct{}

	position objectapi.Version
	delay    time.Duration

	mu       sync.Mutex
	task     task
	endWatch context.CancelFunc
	// attempted is set once the first call has succeeded or failed.
	attempted bool
	dump      FollowerDump
}

// setTask sets the task, cancels the watch if this instance is no longer assigned to
// it, and wakes the goroutine.
func (f *follower) setTask(t task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.task == t {
		return
	}
	f.task = t
	if t != taskWatch && f.endWatch != nil {
		f.endWatch()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) currentTask() task {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.task
}

// assumeWatch makes an instance watch if it has not received the members.
func (f *follower) assumeWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.task == taskUnknown {
		f.task = taskWatch
	}
}

func (f *follower) run(ctx context.Context, within time.Duration) {
	if clock.Sleep(ctx, time.Duration(rand.Float64()*float64(within))) != nil {
		return
	}
	for ctx.Err() == nil {
		if f.list(ctx) {
			f.followUntil(ctx, time.Now().Add(jitter(listInterval)))
		} else {
			f.backOff(ctx)
		}
	}
}

// followUntil performs the current task until the next list is due.
func (f *follower) followUntil(ctx context.Context, relist time.Time) {
	for ctx.Err() == nil && f.position > 0 && time.Now().Before(relist) {
		switch f.currentTask() {
		case taskWatch:
			f.watch(ctx, relist)
		case taskIdle:
			if f.failing() {
				relist = earlier(relist, time.Now().Add(jitter(recheckInterval)))
			}
			f.waitForTask(ctx, time.Until(relist))
		default:
			f.waitForTask(ctx, membersWait)
			f.assumeWatch()
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitForTask waits until the task changes, or for d.
func (f *follower) waitForTask(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list lists all records of the kind, offers them to the Registry and reports whether
// that succeeded.
func (f *follower) list(ctx context.Context) bool {
	listsTotal.Inc()
	listing, err := f.cfg.Store.List(ctx, string(f.kind))
	f.noteResult(err)
	if err != nil {
		return false
	}
	items := make([]Item, 0, len(listing.Objects))
	for _, obj := range listing.Objects {
		items = append(items, f.item(obj))
	}
	f.cfg.Registry.OfferListing(f.kind, uint64(listing.Version), items)
	for _, name := range f.cfg.Registry.withoutAccepted(f.kind) {
		f.noteResult(restoreAccepted(ctx, f.cfg.Store, f.cfg.Registry, f.kind, name))
	}
	f.advance(max(listing.Version, 1))
	f.mu.Lock()
	f.dump.ListedAt = time.Now()
	f.mu.Unlock()
	return true
}

func (f *follower) item(obj objectapi.Object) Item {
	return Item{Kind: f.kind, Name: obj.Name, Version: uint64(obj.Version), Value: obj.Value, Deleted: obj.Deleted}
}

// watch offers changes to the Registry until the watch ends, the next list is due or
// the task moves to another instance. It resumes from the last position, so no change
// is missed in between.
func (f *follower) watch(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	f.mu.Lock()
	f.endWatch = cancel
	if f.task != taskWatch {
		cancel()
	}
	f.mu.Unlock()
	watchesTotal.Inc()
	w, err := f.cfg.Store.Watch(ctx, string(f.kind), f.position)
	if err == nil {
		f.noteResult(nil)
		f.setWatching(true)
		err = f.receiveChanges(w)
		f.setWatching(false)
		w.Close()
	}
	if ctx.Err() != nil {
		return
	}
	if fault.Is(err, fault.Expired) {
		f.advance(0)
		return
	}
	f.noteResult(err)
	f.backOff(ctx)
}

// receiveChanges offers each change to the Registry and returns the error that ended the
// watch.
func (f *follower) receiveChanges(w objectapi.Watch) error {
	for {
		obj, err := w.Next()
		if err != nil {
			return err
		}
		f.cfg.Registry.Offer(f.item(obj))
		f.advance(obj.Version)
	}
}

func (f *follower) advance(position objectapi.Version) {
	f.position = position
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dump.Position = uint64(position)
}

func (f *follower) setWatching(watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dump.Kind, f.dump.Watching = f.kind, watching
}

// noteResult stores the last failure and resets the backoff after a success.
func (f *follower) noteResult(err error) {
	failure := ""
	if err != nil {
		providerFailures.Inc()
		failure = err.Error()
	} else {
		f.delay = 0
	}
	f.mu.Lock()
	f.dump.Kind = f.kind
	changed := !f.attempted || (f.dump.Failure == "") != (failure == "")
	f.attempted = true
	f.dump.Failure = failure
	f.mu.Unlock()
	if changed && f.cfg.ReachableChanged != nil {
		f.cfg.ReachableChanged()
	}
}

// failing reports whether the last call failed.
func (f *follower) failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dump.Failure != ""
}

// backOff waits after a failure, with exponential backoff. The client's circuit
// breaker bounds the calls that reach the object API; this bounds the calls to the
// client.
func (f *follower) backOff(ctx context.Context) {
	f.delay = min(max(2*f.delay, minBackoff), maxBackoff)
	_ = clock.Sleep(ctx, jitter(f.delay))
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}
