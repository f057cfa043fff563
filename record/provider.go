package record

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/platform"
)

const (
	// listInterval is the mean time from one list to the next at an instance.
	// Lists find what neither watch nor peer has told; they are the safety
	// net, so they are rare: at 360 instances they cost 6 calls a second.
	listInterval = 5 * time.Minute
	// membersGrace is how long an instance that knows of no other waits with
	// its watches. In a herd of restarts all would watch everything otherwise.
	membersGrace = 2 * time.Second
	// firstPause and longestPause bound the time between attempts that fail.
	firstPause   = 100 * time.Millisecond
	longestPause = 4 * time.Second
)

var (
	listsTotal    = metrics.GetOrCreateCounter("sardinedock_record_lists_total")
	watchesTotal  = metrics.GetOrCreateCounter("sardinedock_record_watches_total")
	providerFails = metrics.GetOrCreateCounter("sardinedock_record_provider_failures_total")
)

// ProviderConfig is what a Provider needs.
type ProviderConfig struct {
	Store  platform.Store
	Keeper *Keeper
	// Self is this instance's name among the members.
	Self string
	// Spread returns the time over which the instances spread their first
	// lists; this one waits for a random part of it. It may call the object
	// API. Nil means no spread.
	Spread func(context.Context) time.Duration
}

// Provider follows the operators' records in the object API and offers them to
// the keeper. Each kind has a goroutine of its own.
type Provider struct {
	cfg       ProviderConfig
	followers []*follower
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewProvider returns a provider that does nothing before Start.
func NewProvider(cfg ProviderConfig) *Provider {
	p := &Provider{cfg: cfg}
	for _, kind := range Kinds {
		p.followers = append(p.followers, &follower{cfg: cfg, kind: kind, wake: make(chan struct{}, 1)})
	}
	return p
}

// Start begins to follow the records. It does not wait for the object API.
func (p *Provider) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() {
		within := p.spread(ctx)
		for _, f := range p.followers {
			p.done.Go(func() { f.run(ctx, within) })
		}
	})
}

func (p *Provider) spread(ctx context.Context) time.Duration {
	if p.cfg.Spread == nil {
		return 0
	}
	return p.cfg.Spread(ctx)
}

// Stop ends the duty and waits for its goroutines.
func (p *Provider) Stop() {
	p.cancel()
	p.done.Wait()
}

// SetMembers tells the live members, from which follows what this instance
// watches. Any goroutine may call it; it does not block.
func (p *Provider) SetMembers(members []Member) {
	for _, f := range p.followers {
		d := dutyRest
		if WatchDuty(members, p.cfg.Self, f.kind) {
			d = dutyWatch
		}
		f.setDuty(d)
	}
}

// StoreReachable reports whether the last call of each kind was answered. It is
// what this instance tells others of itself; see Member.
func (p *Provider) StoreReachable() bool {
	for _, d := range p.Dump() {
		if d.Failure != "" {
			return false
		}
	}
	return true
}

// Dump returns the state of each kind's follower.
func (p *Provider) Dump() []FollowerDump {
	list := make([]FollowerDump, 0, len(p.followers))
	for _, f := range p.followers {
		f.mu.Lock()
		list = append(list, f.dump)
		f.mu.Unlock()
	}
	return list
}

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

	position platform.Version
	pause    time.Duration

	mu       sync.Mutex
	duty     duty
	endWatch context.CancelFunc
	dump     FollowerDump
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
	if wait(ctx, time.Duration(rand.Float64()*float64(within))) != nil {
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
			f.rest(ctx, time.Until(relist))
		default:
			f.rest(ctx, membersGrace)
			f.assumeWatch()
		}
	}
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

func (f *follower) item(obj platform.Object) Item {
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
		f.setWatching(true)
		err = f.follow(w)
		f.setWatching(false)
		w.Close()
	}
	if ctx.Err() != nil {
		return
	}
	f.note(err)
	if fault.Is(err, fault.Expired) {
		f.advance(0)
		return
	}
	f.backOff(ctx)
}

// follow offers each change and returns the error that ended the watch.
func (f *follower) follow(w platform.Watch) error {
	for {
		obj, err := w.Next()
		if err != nil {
			return err
		}
		f.note(nil)
		f.cfg.Keeper.Offer(f.item(obj))
		f.advance(obj.Version)
	}
}

func (f *follower) advance(position platform.Version) {
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
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dump.Kind = f.kind
	if err == nil {
		f.dump.Failure, f.pause = "", 0
		return
	}
	providerFails.Inc()
	f.dump.Failure = err.Error()
}

// backOff pauses after a failure, longer each time. The client's breaker
// bounds what reaches the object API; this bounds the calls of the client.
func (f *follower) backOff(ctx context.Context) {
	f.pause = min(max(2*f.pause, firstPause), longestPause)
	_ = wait(ctx, spread(f.pause))
}

// spread returns a random part of d between a half and the whole and a half.
func spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
