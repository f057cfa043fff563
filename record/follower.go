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

// FollowerDump is the state of the duty that follows one kind.
type FollowerDump struct {
	Kind     Kind      `json:"kind"`
	Watching bool      `json:"watching"`
	Position uint64    `json:"position"`
	ListedAt time.Time `json:"listed_at"`
	// Failure is the last error, empty once a call has succeeded.
	Failure string `json:"failure,omitempty"`
}

// duty says what an instance does for one kind between lists.
type duty int

const (
	// dutyUnknown: the members are not known yet.
	dutyUnknown duty = iota
	dutyWatch
	dutyRest
)

// follower follows one kind.
type follower struct {
	cfg  ProviderConfig
	kind Kind
	// wake tells that the duty has changed.
	wake chan struct{}

	position objectapi.Version
	pause    time.Duration

	mu       sync.Mutex
	duty     duty
	endWatch context.CancelFunc
	// asked is set with the first answer, or its absence.
	asked bool
	dump  FollowerDump
}

// setDuty passes a changed duty on and ends a watch that is no duty any more.
func (f *follower) setDuty(d duty) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duty == d {
		return
	}
	f.duty = d
	if d != dutyWatch && f.endWatch != nil {
		f.endWatch()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) currentDuty() duty {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duty
}

// assumeWatch makes an instance that nobody tells of members watch.
func (f *follower) assumeWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duty == dutyUnknown {
		f.duty = dutyWatch
	}
}

func (f *follower) run(ctx context.Context, within time.Duration) {
	if clock.Sleep(ctx, time.Duration(rand.Float64()*float64(within))) != nil {
		return
	}
	for ctx.Err() == nil {
		if f.list(ctx) {
			f.followUntil(ctx, time.Now().Add(spread(listInterval)))
		} else {
			f.backOff(ctx)
		}
	}
}

// followUntil does its duty until the next list is due.
func (f *follower) followUntil(ctx context.Context, relist time.Time) {
	for ctx.Err() == nil && f.position > 0 && time.Now().Before(relist) {
		switch f.currentDuty() {
		case dutyWatch:
			f.watch(ctx, relist)
		case dutyRest:
			if f.failing() {
				relist = earlier(relist, time.Now().Add(spread(recheckInterval)))
			}
			f.rest(ctx, time.Until(relist))
		default:
			f.rest(ctx, membersGrace)
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

// rest waits for another duty.
func (f *follower) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list reads all records of the kind and reports whether that worked.
func (f *follower) list(ctx context.Context) bool {
	listsTotal.Inc()
	listing, err := f.cfg.Store.List(ctx, string(f.kind))
	f.note(err)
	if err != nil {
		return false
	}
	items := make([]Item, 0, len(listing.Objects))
	for _, obj := range listing.Objects {
		items = append(items, f.item(obj))
	}
	f.cfg.Keeper.OfferListing(f.kind, uint64(listing.Version), items)
	for _, name := range f.cfg.Keeper.lacking(f.kind) {
		f.note(recall(ctx, f.cfg.Store, f.cfg.Keeper, f.kind, name))
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

// watch offers changes until the watch ends, the next list is due or the duty
// is another's. It goes on from the position, so nothing is missed between.
func (f *follower) watch(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	f.mu.Lock()
	f.endWatch = cancel
	if f.duty != dutyWatch {
		cancel()
	}
	f.mu.Unlock()
	watchesTotal.Inc()
	w, err := f.cfg.Store.Watch(ctx, string(f.kind), f.position)
	if err == nil {
		f.note(nil)
		f.setWatching(true)
		err = f.follow(w)
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
	f.note(err)
	f.backOff(ctx)
}

// follow offers each change and returns the error that ended the watch.
func (f *follower) follow(w objectapi.Watch) error {
	for {
		obj, err := w.Next()
		if err != nil {
			return err
		}
		f.cfg.Keeper.Offer(f.item(obj))
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

// note keeps the last failure and resets the pauses after a success.
func (f *follower) note(err error) {
	failure := ""
	if err != nil {
		providerFails.Inc()
		failure = err.Error()
	} else {
		f.pause = 0
	}
	f.mu.Lock()
	f.dump.Kind = f.kind
	changed := !f.asked || (f.dump.Failure == "") != (failure == "")
	f.asked = true
	f.dump.Failure = failure
	f.mu.Unlock()
	if changed && f.cfg.ReachableChanged != nil {
		f.cfg.ReachableChanged()
	}
}

// failing reports whether the last call was not answered.
func (f *follower) failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dump.Failure != ""
}

// backOff pauses after a failure, longer each time. The client's breaker
// bounds what reaches the object API; this bounds the calls of the client.
func (f *follower) backOff(ctx context.Context) {
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	_ = clock.Sleep(ctx, spread(f.pause))
}

// spread returns a random part of d between a half and the whole and a half.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}
