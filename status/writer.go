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
	// lookEvery is how often the holder compares what it would write with what
	// stands there: a change is told within that time.
	lookEvery = 2 * time.Second
	// leastPause bounds the writes of one object, however much changes.
	leastPause = 5 * time.Second
	// refreshEvery is how often an object is written without a change, so that
	// operators see that somebody still tells.
	refreshEvery = time.Minute
	// writeTimeout bounds one look.
	writeTimeout = 5 * time.Second
)

var (
	writesTotal = metrics.GetOrCreateCounter("sardinedock_status_writes_total")
	writeFails  = metrics.GetOrCreateCounter("sardinedock_status_write_failures_total")
)

// Lease says whether this instance writes the object.
type Lease interface {
	Held() (fence uint64, ok bool)
}

// Config is what a Writer needs.
type Config struct {
	Store objectapi.Store
	// Name of the object.
	Name string
	// Self is this instance's name.
	Self  string
	Lease Lease
	// Describe returns what is to be told now, without writer, time and
	// decisions; ok is false while nothing can be told. It must not block.
	Describe func() (o Object, ok bool)
}

// Writer keeps one status object while this instance holds its lease. One
// goroutine does the work; Decided may be called by any.
type Writer struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	known   bool
	version objectapi.Version
	stands  Object
	wrote   time.Time

	mu        sync.Mutex
	decisions []Decision
}

// NewWriter returns a writer that does nothing before Start.
func NewWriter(cfg Config) *Writer { return &Writer{cfg: cfg} }

// Start begins to write while the lease is held.
func (w *Writer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.look(ctx)
			_ = clock.Sleep(ctx, lookEvery)
		}
	})
}

// Stop ends the writer and waits for its goroutine.
func (w *Writer) Stop() {
	w.cancel()
	w.done.Wait()
}

// Decided adds a decision to the object. Only the holder of the lease tells it;
// a full list gives up the oldest.
func (w *Writer) Decided(at time.Time, text string) {
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

// look writes the object if this instance has to and something is to be told.
func (w *Writer) look(ctx context.Context) {
	if _, held := w.cfg.Lease.Held(); !held {
		// The holder tells; what was decided here in the meantime is its to
		// see as well.
		w.known = false
		w.takeDecisions()
		return
	}
	o, ok := w.cfg.Describe()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if !w.known && !w.read(ctx) {
		return
	}
	o.WrittenBy = w.cfg.Self
	if w.due(o) {
		w.write(ctx, o)
	}
}

// read takes over what the former holder has written.
func (w *Writer) read(ctx context.Context) bool {
	obj, err := w.cfg.Store.Get(ctx, Kind, w.cfg.Name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		writeFails.Inc()
		return false
	}
	w.version, w.stands = obj.Version, Object{}
	if len(obj.Value) > 0 {
		// An object that cannot be read is written anew.
		_ = json.Unmarshal(obj.Value, &w.stands)
	}
	w.known = true
	return true
}

// due reports whether the object has to be written now.
func (w *Writer) due(o Object) bool {
	since := time.Since(w.wrote)
	if since < leastPause {
		return false
	}
	w.mu.Lock()
	decided := len(w.decisions) > 0
	w.mu.Unlock()
	return decided || since >= refreshEvery || !o.same(w.stands)
}

func (w *Writer) write(ctx context.Context, o Object) {
	fresh := w.takeDecisions()
	o.Decisions = joinDecisions(w.stands.Decisions, fresh)
	o.WrittenAt = time.Now()
	w.wrote = o.WrittenAt
	value, err := json.Marshal(o)
	if err != nil {
		writeFails.Inc()
		return
	}
	writesTotal.Inc()
	version, err := w.cfg.Store.Put(ctx, objectapi.Object{Kind: Kind, Name: w.cfg.Name, Value: value}, w.version)
	if err != nil {
		// Another holder may have written, or the reply was lost: the next look
		// reads what stands there. The decisions are told then.
		writeFails.Inc()
		w.known = false
		for _, d := range fresh {
			w.Decided(d.At, d.Text)
		}
		return
	}
	w.version, w.stands = version, o
}

// joinDecisions appends those that do not stand there yet: after a lost reply
// the decisions that were told are among the fresh ones again.
func joinDecisions(stand, fresh []Decision) []Decision {
	list := slices.Clone(stand)
	for _, d := range fresh {
		known := slices.ContainsFunc(stand, func(s Decision) bool { return s.At.Equal(d.At) && s.Text == d.Text })
		if !known {
			list = append(list, d)
		}
	}
	return list[max(0, len(list)-maxDecisions):]
}
