package record

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// listInterval is the mean time between two lists of a kind at an instance.
	// Lists find changes that neither a watch nor a peer delivered. They are
	// only a fallback and therefore rare: at 360 instances they cost 6 calls a
	// second.
	listInterval = 5 * time.Minute
	// recheckInterval is the mean time after which an instance whose last call
	// to the object API failed, and that has nothing to watch, lists again. During
	// an outage the client's circuit breaker lets one call through at a time.
	recheckInterval = 5 * time.Second
	// membersWait is how long an instance waits for the list of members before it
	// watches all kinds. Without it, every instance would watch every kind when
	// many restart at once.
	membersWait = 2 * time.Second
	// minBackoff and maxBackoff bound the mean delay after a failed attempt.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 4 * time.Second
)

var (
	listsTotal       = metrics.GetOrCreateCounter("sardinedock_record_lists_total")
	watchesTotal     = metrics.GetOrCreateCounter("sardinedock_record_watches_total")
	providerFailures = metrics.GetOrCreateCounter("sardinedock_record_provider_failures_total")
)

// ProviderConfig configures a Provider.
type ProviderConfig struct {
	Store    objectapi.Store
	Registry *Registry
	// Self is this instance's name among the members.
	Self string
	// Spread returns the interval over which the instances spread their first
	// lists; this instance waits for a random part of it. It may call the object
	// API. Nil means no wait.
	Spread func(context.Context) time.Duration
	// ReachableChanged is called when the result of StoreReachable may have
	// changed. It must not block. It may be nil.
	ReachableChanged func()
}

// Provider reads the operators' records from the object API, by lists and watches, and
// offers them to the Registry. Each kind has its own goroutine.
type Provider struct {
	cfg       ProviderConfig
	followers []*follower
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewProvider returns a Provider that is idle until Start.
func NewProvider(cfg ProviderConfig) *Provider {
	p := &Provider{cfg: cfg}
	for _, kind := range Kinds {
		p.followers = append(p.followers, &follower{cfg: cfg, kind: kind, wake: make(chan struct{}, 1)})
	}
	return p
}

// Start starts to read the records. It does not wait for the object API.
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

// Stop stops reading and waits for the goroutines.
func (p *Provider) Stop() {
	p.cancel()
	p.done.Wait()
}

// SetMembers sets the live members, which determine the kinds that this instance
// watches. It is safe for concurrent use and does not block.
func (p *Provider) SetMembers(members []Member) {
	for _, f := range p.followers {
		d := taskIdle
		if IsWatcher(members, p.cfg.Self, f.kind) {
			d = taskWatch
		}
		f.setTask(d)
	}
}

// StoreReachable reports whether the last call for each kind succeeded. The instance
// publishes it to the other members; see Member.
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
