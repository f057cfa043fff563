// Package cachefeed follows the cache events of endpoints and stores, which report the
// prompt parts that they hold. Each endpoint or store is followed by one instance, its
// owner, which forwards the events to the others. So an instance that starts learns the
// contents of all caches within moments, and an endpoint is polled once however many
// instances there are.
package cachefeed

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// longPollTimeout is how long a call waits for events. Calls that wait for less than
	// 200 ms cost as much as a health check.
	longPollTimeout = time.Second
	// minPollInterval is the least time between two calls to one holder. Events are about
	// 100 ms late in any case.
	minPollInterval = 100 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 500 * time.Millisecond
	// assignInterval is how often the assignment of holders to instances is checked.
	assignInterval = 200 * time.Millisecond
	// resyncDelay is how long notices that peers have started are collected before
	// everything is sent again.
	resyncDelay = 150 * time.Millisecond
	// minFullPage is the number of events below which an answer is the last one: it is less
	// than a holder returns at a time, and more than occur during a call.
	minFullPage = 100
	// catchUpTimeout is how long a call waits for events when there may be no more.
	catchUpTimeout = 200 * time.Millisecond
	// startupDelay is how long a starting instance waits before it follows any holder. It
	// does not know its peers yet, so each instance of a fleet that starts together would
	// follow all holders at first.
	startupDelay = 60 * time.Millisecond
	// partsPerMessage keeps a message within a datagram.
	partsPerMessage = 80
)

var (
	callsTotal = metrics.GetOrCreateCounter("sardinedock_cachefeed_calls_total")
	failsTotal = metrics.GetOrCreateCounter("sardinedock_cachefeed_call_failures_total")
	gapsTotal  = metrics.GetOrCreateCounter("sardinedock_cachefeed_gaps_total")
)

// Holder is an endpoint or a store that holds prompt parts.
type Holder struct {
	// ID is the id of the endpoint's incarnation, and Name the name that the platform gives
	// the endpoint; both are empty for a store.
	ID, Name string
	// Born is when the incarnation started, in ms since 1970; 0 if the endpoint does not
	// report it.
	Born    int64
	Address string
	// Model is the model of the pool; empty for a store, which holds parts of all models.
	Model string
}

// name returns the name of the holder in package balance: its ID, or the address of a store.
func (h Holder) name() string {
	if h.ID == "" {
		return h.Address
	}
	return h.ID
}

// Change is one event of a cache. A part that is evicted shrinks in several steps from its
// end. It counts as removed from the first step, since the rest follows within half a
// second, before a request that is routed because of it arrives. Relying on what was left
// for the moment caused more parts to be read again.
type Change struct {
	Added  bool
	Scope  string
	Part   string
	Model  string
	Tokens int64
}

// Batch is the result of one call to a holder.
type Batch struct {
	// Epoch changes when the holder restarts.
	Epoch uint64
	// Next is the position at which the next call continues.
	Next uint64
	// Lost reports that events before these are missing.
	Lost    bool
	Changes []Change
}

// Source reads events.
type Source interface {
	// Events returns the events starting at position since. It blocks until there are any,
	// for at most wait. The error is fault.NotFound if the address belongs to another
	// holder.
	Events(ctx context.Context, h Holder, since uint64, wait time.Duration) (Batch, error)
}

// Config configures a Feed.
type Config struct {
	Source Source
	// Owned returns the holders that this instance follows.
	Owned func() []Holder
	// Apply applies an update on this instance, Publish sends it to the other instances.
	// Neither may block.
	Apply, Publish func(balance.CacheNews)
	// KnownParts returns the parts that a holder is known to hold.
	KnownParts func(holder, model string) []balance.CachedPart
}

// Feed follows the holders that this instance owns.
type Feed struct {
	cfg Config

	mu      sync.Mutex
	running map[Holder]context.CancelFunc
	// resync requests that the known parts of all holders are sent again.
	resync chan struct{}
}

// New returns a feed; call Run to start it.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, running: map[Holder]context.CancelFunc{}, resync: make(chan struct{}, 1)}
}

// Resync sends the known parts of all holders again, for peers that have started.
func (f *Feed) Resync() {
	select {
	case f.resync <- struct{}{}:
	default:
	}
}

// Run follows the holders until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	_ = clock.Sleep(ctx, startupDelay)
	for {
		f.assign(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.resync:
			_ = clock.Sleep(ctx, resyncDelay)
			f.resendAll()
		}
	}
}

// assign starts following newly owned holders and stops following those that are no longer
// owned.
func (f *Feed) assign(ctx context.Context, wg *sync.WaitGroup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	owned := map[Holder]bool{}
	for _, h := range f.cfg.Owned() {
		owned[h] = true
		if f.running[h] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		f.running[h] = cancel
		wg.Go(func() { f.follow(ctx, h) })
	}
	for h, cancel := range f.running {
		if !owned[h] {
			cancel()
			delete(f.running, h)
		}
	}
}

func (f *Feed) resendAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for h := range f.running {
		f.publish(balance.CacheNews{Holder: h.name(), Model: h.Model, Whole: true, Added: f.cfg.KnownParts(h.name(), h.Model)})
	}
}

// follow reads one holder's events until ctx ends, or until its address belongs to another
// holder.
func (f *Feed) follow(ctx context.Context, h Holder) {
	var since, epoch uint64
	for ctx.Err() == nil {
		b, err := f.read(ctx, h, since)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failsTotal.Inc()
			if fault.Is(err, fault.NotFound) {
				return
			}
			_ = clock.Sleep(ctx, retryDelay)
			continue
		}
		if since > 0 && (b.Epoch != epoch || b.Lost) {
			// The holder has restarted, or events are missing. Any part of the known state
			// may be wrong, so the events are read again from the start.
			gapsTotal.Inc()
			log.WithField("holder", h.name()).WithField("lost", b.Lost).Info("cache events missing; reading all events again")
			since, epoch = 0, b.Epoch
			continue
		}
		f.applyBatch(h, since == 0, b.Changes)
		since, epoch = b.Next, b.Epoch
		_ = clock.Sleep(ctx, minPollInterval)
	}
}

// read returns the next events, or all available events if since is 0. A holder returns a
// few hundred at a time, the oldest first, so the state given by the first of them may be
// long outdated.
func (f *Feed) read(ctx context.Context, h Holder, since uint64) (Batch, error) {
	callsTotal.Inc()
	b, err := f.cfg.Source.Events(ctx, h, since, longPollTimeout)
	if err != nil || since > 0 {
		return b, err
	}
	for n := len(b.Changes); n >= minFullPage && ctx.Err() == nil; {
		callsTotal.Inc()
		more, err := f.cfg.Source.Events(ctx, h, b.Next, catchUpTimeout)
		if err != nil {
			return Batch{}, err
		}
		if more.Epoch != b.Epoch || more.Lost {
			return Batch{}, fault.New(fault.Broken, "the events are read again from the start", "events were dropped while they were read")
		}
		n = len(more.Changes)
		b.Changes = append(b.Changes, more.Changes...)
		b.Next = more.Next
	}
	return b, nil
}

// applyBatch applies and publishes the net effect of a batch: only the last change of each
// part counts.
func (f *Feed) applyBatch(h Holder, whole bool, changes []Change) {
	if len(changes) == 0 && !whole {
		return
	}
	last := make(map[prefix.PartKey]int, len(changes))
	for i, c := range changes {
		last[prefix.KeyOf(c.Scope, c.Model, c.Part)] = i
	}
	n := balance.CacheNews{Holder: h.name(), Model: h.Model, Whole: whole}
	for i := len(changes) - 1; i >= 0; i-- {
		c := changes[i]
		key := prefix.KeyOf(c.Scope, c.Model, c.Part)
		switch {
		case last[key] != i:
		case c.Added:
			n.Added = append(n.Added, balance.CachedPart{Key: key, Tokens: c.Tokens})
		case !whole:
			n.Removed = append(n.Removed, key)
		}
	}
	f.cfg.Apply(n)
	f.publish(n)
}

// publish sends an update to the other instances in messages that fit into a datagram.
func (f *Feed) publish(n balance.CacheNews) {
	part := balance.CacheNews{Holder: n.Holder, Model: n.Model, Whole: n.Whole}
	for {
		a, r := min(len(n.Added), partsPerMessage/2), min(len(n.Removed), partsPerMessage/2)
		part.Added, part.Removed = n.Added[:a], n.Removed[:r]
		f.cfg.Publish(part)
		n.Added, n.Removed = n.Added[a:], n.Removed[r:]
		if len(n.Added) == 0 && len(n.Removed) == 0 {
			return
		}
		part.Whole = false
	}
}
