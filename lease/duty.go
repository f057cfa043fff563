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
	// releaseTimeout bounds the write that releases a lease at shutdown.
	releaseTimeout = 500 * time.Millisecond
)

var (
	takenTotal = metrics.GetOrCreateCounter("sardinedock_lease_taken_total")
	lostTotal  = metrics.GetOrCreateCounter("sardinedock_lease_lost_total")
	failsTotal = metrics.GetOrCreateCounter("sardinedock_lease_failures_total")
)

// Config configures a Duty.
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
}

// Duty acquires a lease and renews it in a goroutine of its own. Held may be called from
// any goroutine.
type Duty struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	machine *Machine
	held    bool
}

// NewDuty returns a Duty; call Start to run it.
func NewDuty(cfg Config) *Duty {
	if cfg.Length == 0 {
		cfg.Length = DefaultLength
	}
	if cfg.Candidate == nil {
		cfg.Candidate = func() bool { return true }
	}
	return &Duty{cfg: cfg, machine: NewMachine(cfg.Length, objectapi.NewAttempt)}
}

// Start begins to acquire the lease.
func (d *Duty) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { d.run(ctx) })
}

// Stop stops renewing and waits for the goroutine to end. The lease then expires unless
// Release is called.
func (d *Duty) Stop() {
	d.cancel()
	d.done.Wait()
}

// Held returns the fencing number while this instance can rely on holding the lease; see
// Machine.Held.
func (d *Duty) Held() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.machine.Held(time.Now())
	return uint64(f), ok
}

// Dump is the lease's part of the state dump.
type Dump struct {
	Lease string `json:"lease"`
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
}

// Dump returns the state of the lease on this instance.
func (d *Duty) Dump() Dump {
	fence, held := d.Held()
	return Dump{Lease: d.cfg.Name, Held: held, Fence: fence}
}

func (d *Duty) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.recordTransition()
		if !d.isHolder() && !d.cfg.Candidate() {
			_ = clock.Sleep(ctx, d.cfg.Length/pollDivisor)
			continue
		}
		d.mu.Lock()
		s := d.machine.Next(time.Now())
		d.mu.Unlock()
		switch s.Kind {
		case StepWait:
			_ = clock.Sleep(ctx, time.Until(s.At)+d.jitter())
		case StepRead:
			d.read(ctx)
		case StepWrite:
			d.write(ctx, s)
		}
	}
}

// isHolder reports whether this instance holds the lease, or has held it and has not yet
// read or written since.
func (d *Duty) isHolder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.own
}

// jitter spreads the calls of instances that wait for the same moment.
func (d *Duty) jitter() time.Duration {
	return time.Duration(rand.Float64() * float64(d.cfg.Length) / 50)
}

func (d *Duty) read(ctx context.Context) {
	obj, err := d.cfg.Store.Get(ctx, Kind, d.cfg.Name)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && !fault.Is(err, fault.NotFound) {
		failsTotal.Inc()
		d.machine.ReadFailed(time.Now())
		return
	}
	var v Value
	if err != nil || json.Unmarshal(obj.Value, &v) != nil {
		// The version of the object counts even if its value is missing or unreadable.
		v = Value{}
	}
	d.machine.Observed(time.Now(), obj, v)
}

func (d *Duty) write(ctx context.Context, s Step) {
	version, err := d.put(ctx, s, Value{Holder: d.cfg.Self})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		failsTotal.Inc()
		d.machine.WriteFailed(time.Now())
		return
	}
	d.machine.Wrote(time.Now(), s.Attempt, version)
}

func (d *Duty) put(ctx context.Context, s Step, v Value) (objectapi.Version, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	obj := objectapi.Object{Kind: Kind, Name: d.cfg.Name, Attempt: s.Attempt, Value: value}
	return d.cfg.Store.Put(ctx, obj, s.Expected)
}

// Release gives up the lease after Stop, if it is held, so that another instance can
// acquire it soon. It blocks for at most half a second.
func (d *Duty) Release() {
	d.mu.Lock()
	s, ok := d.machine.Release(time.Now())
	d.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := d.put(ctx, s, Value{Holder: d.cfg.Self, Released: true}); err != nil {
		failsTotal.Inc()
	}
}

// recordTransition logs and counts that the lease was acquired or lost.
func (d *Duty) recordTransition() {
	fence, held := d.Held()
	d.mu.Lock()
	changed := held != d.held
	d.held = held
	d.mu.Unlock()
	if !changed {
		return
	}
	fields := log.WithField("lease", d.cfg.Name)
	if held {
		takenTotal.Inc()
		fields.WithField("fence", fence).Info("lease taken")
		return
	}
	lostTotal.Inc()
	fields.Warn("lease lost")
}
