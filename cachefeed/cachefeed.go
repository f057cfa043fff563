// Package cachefeed follows what endpoints and stores say of the prompt parts that
// they hold. Each of them is followed by one instance, its owner, which tells the
// others; so an instance that starts knows what is cached where within moments,
// and an endpoint is asked once however many instances there are.
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
	// waitTime is how long a call waits for events; calls that wait for less than
	// 200 ms cost as much as a health check.
	waitTime = time.Second
	// pollEvery is the least time between two calls to one holder. Events are some
	// 100 ms late in any case.
	pollEvery = 100 * time.Millisecond
	// failPause is the wait after a call that failed.
	failPause = 500 * time.Millisecond
	// ownersEvery is how often it is looked at who follows whom.
	ownersEvery = 200 * time.Millisecond
	// wholeAfter is how long the word that peers have started is gathered before
	// everything is told again.
	wholeAfter = 150 * time.Millisecond
	// fewEvents in an answer mean that no more are there: less than a holder gives
	// out at a time, and more than come during a call.
	fewEvents = 100
	// catchUpWait is how long a call waits that may find nothing more.
	catchUpWait = 200 * time.Millisecond
	// settleTime is how long a starting instance waits before it takes anything on:
	// it would count itself alone, and each of a fleet that starts together would
	// follow everything at first.
	settleTime = 60 * time.Millisecond
	// partsPerMessage keeps a message within a datagram.
	partsPerMessage = 80
)

var (
	callsTotal = metrics.GetOrCreateCounter("sardinedock_cachefeed_calls_total")
	failsTotal = metrics.GetOrCreateCounter("sardinedock_cachefeed_call_failures_total")
	gapsTotal  = metrics.GetOrCreateCounter("sardinedock_cachefeed_gaps_total")
)

// Holder is an endpoint or a store that holds parts.
type Holder struct {
	// ID of the endpoint's incarnation, and the Name that the platform gives the
	// endpoint; both empty for a store.
	ID, Name string
	// Born is when the incarnation started, in ms since 1970; 0 where it does not say.
	Born    int64
	Address string
	// Model of the pool; empty for a store, which holds those of all.
	Model string
}

// name is what the holder is known by to balance.
func (h Holder) name() string {
	if h.ID == "" {
		return h.Address
	}
	return h.ID
}

// Change is one event of a cache. A part that is given up shrinks in several steps
// from its end; it counts as gone from the first, since the rest follows within half
// a second, before a request that is sent for it arrives. Counting on what is left
// for the moment had more parts read again.
type Change struct {
	Added  bool
	Scope  string
	Part   string
	Model  string
	Tokens int64
}

// Batch is what a holder says at a time.
type Batch struct {
	// Epoch changes when the holder starts anew.
	Epoch uint64
	// Next is where the next call goes on.
	Next uint64
	// Lost says that events before these are missing.
	Lost    bool
	Changes []Change
}

// Source reads events.
type Source interface {
	// Events returns what happened since; it blocks until there is something, at
	// most for wait. fault.NotFound: another holder has the address.
	Events(ctx context.Context, h Holder, since uint64, wait time.Duration) (Batch, error)
}

// Config is what a Feed needs.
type Config struct {
	Source Source
	// Owned returns the holders that this instance follows.
	Owned func() []Holder
	// Take takes in news here, Tell hands them to the other instances. Neither
	// may block.
	Take, Tell func(balance.CacheNews)
	// Held returns what a holder is known to hold.
	Held func(holder, model string) []balance.CachedPart
}

// Feed is the duty that follows the holders of this instance.
type Feed struct {
	cfg Config

	mu      sync.Mutex
	running map[Holder]context.CancelFunc
	// whole asks for everything to be told again.
	whole chan struct{}
}

// New returns a feed that Run starts.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, running: map[Holder]context.CancelFunc{}, whole: make(chan struct{}, 1)}
}

// TellWhole has everything told again, for peers that have started.
func (f *Feed) TellWhole() {
	select {
	case f.whole <- struct{}{}:
	default:
	}
}

// Run follows the holders until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(ownersEvery)
	defer ticker.Stop()
	_ = clock.Sleep(ctx, settleTime)
	for {
		f.assign(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.whole:
			_ = clock.Sleep(ctx, wholeAfter)
			f.tellAll()
		}
	}
}

// assign starts and ends the goroutines of the holders.
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

func (f *Feed) tellAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for h := range f.running {
		f.tell(balance.CacheNews{Holder: h.name(), Model: h.Model, Whole: true, Added: f.cfg.Held(h.name(), h.Model)})
	}
}

// follow reads one holder's events until ctx ends.
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
			_ = clock.Sleep(ctx, failPause)
			continue
		}
		if since > 0 && (b.Epoch != epoch || b.Lost) {
			// The holder has started anew, or events are missing: what was known
			// may be wrong in any part, so it is read from the start.
			gapsTotal.Inc()
			log.WithField("holder", h.name()).WithField("lost", b.Lost).Info("cache events missing; read anew")
			since, epoch = 0, b.Epoch
			continue
		}
		f.news(h, since == 0, b.Changes)
		since, epoch = b.Next, b.Epoch
		_ = clock.Sleep(ctx, pollEvery)
	}
}

// read returns the next events, or all that there are where since is 0. A holder
// gives out a few hundred at a time, the oldest first; what the first of them say
// of a part may long be past.
func (f *Feed) read(ctx context.Context, h Holder, since uint64) (Batch, error) {
	callsTotal.Inc()
	b, err := f.cfg.Source.Events(ctx, h, since, waitTime)
	if err != nil || since > 0 {
		return b, err
	}
	for n := len(b.Changes); n >= fewEvents && ctx.Err() == nil; {
		callsTotal.Inc()
		more, err := f.cfg.Source.Events(ctx, h, b.Next, catchUpWait)
		if err != nil {
			return Batch{}, err
		}
		if more.Epoch != b.Epoch || more.Lost {
			return Batch{}, fault.New(fault.Broken, "the events are read anew", "events went while they were read")
		}
		n = len(more.Changes)
		b.Changes = append(b.Changes, more.Changes...)
		b.Next = more.Next
	}
	return b, nil
}

// news hands on what a batch comes to in the end: of a part that came and went
// only the last counts.
func (f *Feed) news(h Holder, whole bool, changes []Change) {
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
	f.cfg.Take(n)
	f.tell(n)
}

// tell hands news to the other instances in messages that fit into a datagram.
func (f *Feed) tell(n balance.CacheNews) {
	part := balance.CacheNews{Holder: n.Holder, Model: n.Model, Whole: n.Whole}
	for {
		a, r := min(len(n.Added), partsPerMessage/2), min(len(n.Removed), partsPerMessage/2)
		part.Added, part.Removed = n.Added[:a], n.Removed[:r]
		f.cfg.Tell(part)
		n.Added, n.Removed = n.Added[a:], n.Removed[r:]
		if len(n.Added) == 0 && len(n.Removed) == 0 {
			return
		}
		part.Whole = false
	}
}
