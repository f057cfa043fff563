package record

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// listInterval is the mean time from one list to the next at an instance.
	// Lists find what neither watch nor peer has told; they are the safety
	// net, so they are rare: at 360 instances they cost 6 calls a second.
	listInterval = 5 * time.Minute
	// recheckInterval is the mean time after which an instance that the object
	// API did not answer, and that has nothing to watch, asks again. The
	// client's breaker makes that one call at a time during an outage.
	recheckInterval = 5 * time.Second
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
	Store  objectapi.Store
	Keeper *Keeper
	// Self is this instance's name among the members.
	Self string
	// Spread returns the time over which the instances spread their first
	// lists; this one waits for a random part of it. It may call the object
	// API. Nil means no spread.
	Spread func(context.Context) time.Duration
	// ReachableChanged is called when StoreReachable may have changed. It must
	// not block. Nil is allowed.
	ReachableChanged func()
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
