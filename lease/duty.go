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

// Kind is the kind of the lease objects.
const Kind = "leases"

const (
	// DefaultLength is how long a lease outlives its holder. Rollouts and
	// status may rest for that long; a shorter one costs more writes.
	DefaultLength = 10 * time.Second
	// releaseTimeout bounds the write that releases a lease at the end.
	releaseTimeout = 500 * time.Millisecond
)

var (
	takenTotal = metrics.GetOrCreateCounter("sardinedock_lease_taken_total")
	lostTotal  = metrics.GetOrCreateCounter("sardinedock_lease_lost_total")
	failsTotal = metrics.GetOrCreateCounter("sardinedock_lease_failures_total")
)

// Config is what a Duty needs.
type Config struct {
	Store objectapi.Store
	// Name of the lease object.
	Name string
	// Self is this instance's name.
	Self string
	// Length of the lease, the same at all instances; 0 means DefaultLength.
	Length time.Duration
	// Candidate reports whether this instance should try for the lease. Only a
	// few should, since each one's reads cost the object API. A holder goes on
	// whatever it says. Nil means yes.
	Candidate func() bool
}

// Duty tries for a lease and keeps it. One goroutine does the work; Held may be
// called by any.
type Duty struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	machine *Machine
	held    bool
}

// NewDuty returns a duty that does nothing before Start.
func NewDuty(cfg Config) *Duty {
	if cfg.Length == 0 {
		cfg.Length = DefaultLength
	}
	if cfg.Candidate == nil {
		cfg.Candidate = func() bool { return true }
	}
	return &Duty{cfg: cfg, machine: NewMachine(cfg.Length, objectapi.NewAttempt)}
}

// Start begins to try for the lease.
func (d *Duty) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { d.run(ctx) })
}

// Stop ends the duty and waits for its goroutine. The lease then ends by time,
// or by Release.
func (d *Duty) Stop() {
	d.cancel()
	d.done.Wait()
}

// Held returns the fencing number while this instance may believe that it
// holds the lease; see Machine.Held.
func (d *Duty) Held() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.machine.Held(time.Now())
	return uint64(f), ok
}

// Dump is the duty's part of the state dump.
type Dump struct {
	Lease string `json:"lease"`
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
}

// Dump returns the duty's state.
func (d *Duty) Dump() Dump {
	fence, held := d.Held()
	return Dump{Lease: d.cfg.Name, Held: held, Fence: fence}
}

func (d *Duty) run(ctx context.Context) {
	for ctx.Err() == nil {
		d.note()
		if !d.busy() && !d.cfg.Candidate() {
			_ = clock.Sleep(ctx, d.cfg.Length/pollShare)
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

// busy reports whether this instance is the holder, or was until now.
func (d *Duty) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.mine
}

// jitter keeps the instances that wait for one moment from coming together.
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
		// A value that cannot be read has a version all the same.
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

// Release gives the lease up after Stop, if it is held, so that another
// instance takes it soon. It blocks for half a second at most.
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

// note logs and counts when the lease came or went.
func (d *Duty) note() {
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
