package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// Kind is the object kind of leases in the store.
const Kind = "leases"

const (
	// DefaultLength is how long a lease stays valid after its holder has stopped. Rollouts
	// and status updates may pause for that long; a shorter lease costs more writes.
	DefaultLength = 10 * time.Second
	// unfitDivisor gives the interval, Length/unfitDivisor, in which a holder checks whether it is
	// unfit.
	unfitDivisor = 10
	// releaseTimeout bounds the write that releases a lease at shutdown.
	releaseTimeout = 500 * time.Millisecond
)

var (
	takenTotal = metrics.GetOrCreateCounter("sardinedock_lease_taken_total")
	lostTotal  = metrics.GetOrCreateCounter("sardinedock_lease_lost_total")
	failsTotal = metrics.GetOrCreateCounter("sardinedock_lease_failures_total")
	doubtTotal = metrics.GetOrCreateCounter("sardinedock_lease_actions_in_doubt_total")
)

// endedTotal counts the terms that this instance ended by itself, by outcome.
func endedTotal(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_lease_given_up_total{outcome="` + outcome + `"}`)
}

// Config configures a Manager.
type Config struct {
	Store objectapi.Store
	// Name is the name of the lease object.
	Name string
	// Self is this instance's name.
	Self string
	// Length is the duration of the lease, which must be the same on all instances; 0 means
	// DefaultLength.
	Length time.Duration
	// Candidate reports whether this instance should try to acquire the lease. Only a few
	// should, since the reads of each one cost calls of the object API. The holder keeps
	// renewing regardless of Candidate. Nil means that it should.
	Candidate func() bool
	// Unfit reports whether a holder should give the lease to another instance, since it can't do what
	// the lease is for. Nil means that it need not.
	Unfit func() bool
	// Clock counts the time that the machine is suspended; nil means clock.Boot.
	Clock clock.Clock
}

// Manager acquires a lease and renews it in a goroutine of its own. Held may be called from
// any goroutine.
type Manager struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	// actionEnded is sent to when an action ends.
	actionEnded chan struct{}

	mu      sync.Mutex
	machine *Machine
	held    bool
}

// NewManager returns a Manager; call Start to run it.
func NewManager(cfg Config) *Manager {
	if cfg.Length == 0 {
		cfg.Length = DefaultLength
	}
	if cfg.Candidate == nil {
		cfg.Candidate = func() bool { return true }
	}
	if cfg.Unfit == nil {
		cfg.Unfit = func() bool { return false }
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.Boot{}
	}
	return &Manager{cfg: cfg, actionEnded: make(chan struct{}, 1), machine: NewMachine(cfg.Length, objectapi.NewAttempt)}
}

// Start begins to acquire the lease.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done.Go(func() { m.run(ctx) })
}

// Stop stops renewing and waits for the goroutine to end. The lease then expires unless
// Release is called.
func (m *Manager) Stop() {
	m.cancel()
	m.done.Wait()
}

// Held returns the fencing number while this instance can rely on holding the lease; see
// Machine.Held.
func (m *Manager) Held() (fence uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.machine.Held(m.cfg.Clock.Now())
	return uint64(f), ok
}

// errTermEnded is of kind Unavailable, as all errors of calls of which nothing was sent.
var errTermEnded = fault.New(fault.Unavailable, "the holder of the lease sends it", "the lease has ended before the call was sent")

// Act runs act, which makes a call under the lease whose effect others see, such as an order to an endpoint.
// The call has to be given up when ctx is done, so that it arrives before those of the next holder. act calls
// check right before it sends, and sends nothing if that returns an error. It reports whether the outcome
// is settled: answered, or nothing sent. Act returns false without a call of act if this instance doesn't hold the
// lease under the fencing number any more, or hardly any time is left.
func (m *Manager) Act(ctx context.Context, fence uint64, act func(ctx context.Context, check func() error) (settled bool)) bool {
	m.mu.Lock()
	now := m.cfg.Clock.Now()
	until, ok := m.machine.Begin(now, objectapi.Version(fence))
	m.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(m.cfg.Clock.Now()))
	defer cancel()
	settled := act(ctx, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.machine.MayAct(m.cfg.Clock.Now(), objectapi.Version(fence)) {
			return errTermEnded
		}
		return nil
	})
	if !settled {
		doubtTotal.Inc()
	}
	m.mu.Lock()
	m.machine.End(m.cfg.Clock.Now(), settled)
	m.mu.Unlock()
	select {
	case m.actionEnded <- struct{}{}:
	default:
	}
	return true
}

// Dump is the lease's part of the state dump.
type Dump struct {
	Lease string `json:"lease"`
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
	// Actions are the orders in progress under the lease. ReleaseBlocker is why it would be left to expire
	// if this instance gave it up now.
	Actions        int     `json:"actions"`
	ReleaseBlocker Blocker `json:"release_blocker,omitempty"`
}

// Dump returns the state of the lease on this instance.
func (m *Manager) Dump() Dump {
	fence, held := m.Held()
	m.mu.Lock()
	defer m.mu.Unlock()
	return Dump{Lease: m.cfg.Name, Held: held, Fence: fence, Actions: m.machine.open, ReleaseBlocker: m.machine.Blocker(m.cfg.Clock.Now())}
}

func (m *Manager) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.recordTransition()
		if m.isHolder() && m.cfg.Unfit() {
			m.giveUp("unfit")
			m.recordTransition()
		}
		if !m.isHolder() && !m.cfg.Candidate() {
			_ = clock.Sleep(ctx, m.cfg.Length/pollDivisor)
			continue
		}
		m.mu.Lock()
		now := m.cfg.Clock.Now()
		s := m.machine.Next(now)
		m.mu.Unlock()
		switch s.Kind {
		case StepWait:
			_ = clock.Sleep(ctx, min(s.At.Sub(now)+m.jitter(), m.cfg.Length/unfitDivisor))
		case StepRead:
			m.read(ctx)
		case StepWrite:
			m.write(ctx, s)
		}
	}
}

// isHolder reports whether this instance keeps the lease, or has kept it and has not yet
// read or written since.
func (m *Manager) isHolder() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.holds()
}

// jitter spreads the calls of instances that wait for the same moment.
func (m *Manager) jitter() time.Duration {
	return time.Duration(rand.Float64() * float64(m.cfg.Length) / 50)
}

func (m *Manager) read(ctx context.Context) {
	obj, err := m.cfg.Store.Get(ctx, Kind, m.cfg.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && !fault.Is(err, fault.NotFound) {
		failsTotal.Inc()
		m.machine.ReadFailed(m.cfg.Clock.Now())
		return
	}
	var v Value
	if err != nil || json.Unmarshal(obj.Value, &v) != nil {
		// The version of the object counts even if its value is missing or unreadable.
		v = Value{}
	}
	m.machine.Observed(m.cfg.Clock.Now(), obj, v)
}

func (m *Manager) write(ctx context.Context, s Step) {
	version, err := m.put(ctx, s, Value{Holder: m.cfg.Self})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		failsTotal.Inc()
		m.machine.WriteFailed(m.cfg.Clock.Now())
		return
	}
	m.machine.Wrote(m.cfg.Clock.Now(), s.Attempt, version)
}

func (m *Manager) put(ctx context.Context, s Step, v Value) (objectapi.Version, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	obj := objectapi.Object{Kind: Kind, Name: m.cfg.Name, Attempt: s.Attempt, Value: value}
	return m.cfg.Store.Put(ctx, obj, s.Expected)
}

// Release gives up the lease, if it is held, so that another instance can acquire it soon. It waits for
// the actions in progress, at most until the lease expires, and half a second more. Where an action is in doubt, or
// the term was short, the lease is left to expire. Callers from other goroutines have to call Stop before.
func (m *Manager) Release() { m.giveUp("stop") }

func (m *Manager) giveUp(why string) {
	m.mu.Lock()
	fence, held := m.machine.Held(m.cfg.Clock.Now())
	m.machine.Resign()
	open := m.machine.open
	m.mu.Unlock()
	if !held {
		return
	}
	began := m.cfg.Clock.Now()
	s, blocker := m.awaitRelease()
	outcome := "released"
	if blocker != NotBlocked {
		outcome = "left to expire"
	}
	endedTotal(outcome).Inc()
	log.WithFields(log.Fields{
		"lease": m.cfg.Name, "fence": uint64(fence), "why": why, "outcome": outcome, "blocker": string(blocker), "actions": open,
		"ms": m.cfg.Clock.Now().Sub(began).Milliseconds(),
	}).Info("lease given up")
	if blocker != NotBlocked {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := m.put(ctx, s, Value{Holder: m.cfg.Self, Released: true}); err != nil {
		failsTotal.Inc()
	}
}

// awaitRelease waits until no action is in progress, and returns the write that releases the lease, or why
// it can't be released.
func (m *Manager) awaitRelease() (Step, Blocker) {
	for {
		m.mu.Lock()
		now := m.cfg.Clock.Now()
		blocker := m.machine.Blocker(now)
		s, _ := m.machine.Release(now)
		left := m.machine.validUntil.Sub(now)
		m.mu.Unlock()
		if blocker != ActionsOpen {
			return s, blocker
		}
		select {
		case <-m.actionEnded:
		case <-time.After(left):
		}
	}
}

// recordTransition logs and counts that the lease was acquired or lost.
func (m *Manager) recordTransition() {
	fence, held := m.Held()
	m.mu.Lock()
	changed := held != m.held
	m.held = held
	m.mu.Unlock()
	if !changed {
		return
	}
	fields := log.WithField("lease", m.cfg.Name)
	if held {
		takenTotal.Inc()
		fields.WithField("fence", fence).Info("lease taken")
		return
	}
	lostTotal.Inc()
	fields.Warn("lease lost")
}
