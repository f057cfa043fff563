package status

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// checkInterval is how often the lease holder compares the current status with the written
	// one: a change is published within that time.
	checkInterval = 2 * time.Second
	// minWriteInterval bounds the rate of writes of one object, whatever the rate of changes.
	minWriteInterval = 5 * time.Second
	// refreshInterval is how often an object is written without a change, so that operators see
	// that its writer is alive.
	refreshInterval = time.Minute
	// writeTimeout bounds the calls to the object API of one check.
	writeTimeout = 5 * time.Second
)

var (
	writesTotal = metrics.GetOrCreateCounter("sardinedock_status_writes_total")
	writeFails  = metrics.GetOrCreateCounter("sardinedock_status_write_failures_total")
)

// Lease decides whether this instance writes the object.
type Lease interface {
	Held() (fence uint64, ok bool)
}

// Config configures a Writer.
type Config struct {
	Store objectapi.Store
	// Name is the name of the object.
	Name string
	// Self is this instance's name.
	Self  string
	Lease Lease
	// Describe returns the current status, without writer, time and decisions; ok is false while
	// there is no status yet. It must not block.
	Describe func() (o Object, ok bool)
}

// Writer writes one status object while this instance holds its lease. AddDecision is safe for
// concurrent use.
type Writer struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	loaded    bool
	version   objectapi.Version
	written   Object
	lastWrite time.Time

	mu        sync.Mutex
	decisions []Decision
}

// NewWriter returns a writer. It is idle until Start.
func NewWriter(cfg Config) *Writer { return &Writer{cfg: cfg} }

// Start starts a goroutine that writes the object while the lease is held.
func (w *Writer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.check(ctx)
			_ = clock.Sleep(ctx, checkInterval)
		}
	})
}

// Stop stops the writer and waits for its goroutine.
func (w *Writer) Stop() {
	w.cancel()
	w.done.Wait()
}

// AddDecision adds a decision to the object. It is written only if this instance holds the lease.
// When there are more than maxDecisions, the oldest are dropped.
func (w *Writer) AddDecision(at time.Time, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decisions = append(w.decisions, Decision{At: at, Text: text})
	if over := len(w.decisions) - maxDecisions; over > 0 {
		w.decisions = w.decisions[over:]
	}
}

func (w *Writer) takeDecisions() []Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.decisions
	w.decisions = nil
	return list
}

// check writes the object if this instance holds the lease and a write is due.
func (w *Writer) check(ctx context.Context) {
	if _, held := w.cfg.Lease.Held(); !held {
		// The lease holder reports the decisions; those made here meanwhile are known to it as
		// well.
		w.loaded = false
		w.takeDecisions()
		return
	}
	o, ok := w.cfg.Describe()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if !w.loaded && !w.read(ctx) {
		return
	}
	o.WrittenBy = w.cfg.Self
	if w.due(o) {
		w.write(ctx, o)
	}
}

// read loads the object that the previous holder of the lease has written.
func (w *Writer) read(ctx context.Context) bool {
	obj, err := w.cfg.Store.Get(ctx, Kind, w.cfg.Name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		writeFails.Inc()
		return false
	}
	w.version, w.written = obj.Version, Object{}
	if len(obj.Value) > 0 {
		// An object that cannot be decoded is overwritten.
		_ = json.Unmarshal(obj.Value, &w.written)
	}
	w.loaded = true
	return true
}

// due reports whether the object has to be written now.
func (w *Writer) due(o Object) bool {
	since := time.Since(w.lastWrite)
	if since < minWriteInterval {
		return false
	}
	w.mu.Lock()
	decided := len(w.decisions) > 0
	w.mu.Unlock()
	return decided || since >= refreshInterval || !o.same(w.written)
}

func (w *Writer) write(ctx context.Context, o Object) {
	added := w.takeDecisions()
	o.Decisions = joinDecisions(w.written.Decisions, added)
	o.WrittenAt = time.Now()
	w.lastWrite = o.WrittenAt
	value, err := json.Marshal(o)
	if err != nil {
		writeFails.Inc()
		return
	}
	writesTotal.Inc()
	version, err := w.cfg.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: w.cfg.Name, Value: value}, w.version)
	if err != nil {
		// Another holder may have written, or the reply was lost: the next check reads the
		// object again and writes the decisions then.
		writeFails.Inc()
		w.loaded = false
		for _, d := range added {
			w.AddDecision(d.At, d.Text)
		}
		return
	}
	w.version, w.written = version, o
}

// joinDecisions appends the decisions that are not in the written object yet: after a lost
// reply, decisions that were written are among the new ones again.
func joinDecisions(written, added []Decision) []Decision {
	list := slices.Clone(written)
	for _, d := range added {
		known := slices.ContainsFunc(written, func(s Decision) bool { return s.At.Equal(d.At) && s.Text == d.Text })
		if !known {
			list = append(list, d)
		}
	}
	return list[max(0, len(list)-maxDecisions):]
}
