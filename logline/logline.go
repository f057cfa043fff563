// Package logline writes structured log lines without ever holding up the
// goroutine that logs: lines go through a bounded ring to one writer. When the
// ring is full, or more lines come than the rate allows, lines are dropped and
// counted, and the next line that is written tells how many.
package logline

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// ringSize bounds the lines that wait for a slow reader of the output.
	ringSize = 4096
	// linesPerSecond bounds what is written; burst may come at once. Warnings
	// and errors are not counted against it.
	linesPerSecond = 400
	burst          = 1200
	// flushEvery is how long lines are gathered for one write.
	flushEvery = 100 * time.Millisecond
)

var (
	droppedTotal = metrics.GetOrCreateCounter("sardinedock_log_lines_dropped_total")
	writtenTotal = metrics.GetOrCreateCounter("sardinedock_log_lines_written_total")
)

// Handler implements log.Handler.
type Handler struct {
	instance string
	lines    chan []byte
	// closed tells the writer to end, done that it has.
	closed, done chan struct{}
	closing      sync.Once

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped int
}

// New returns a handler that writes to out until Close.
func New(out io.Writer, instance string) *Handler {
	h := &Handler{instance: instance, lines: make(chan []byte, ringSize), closed: make(chan struct{}), done: make(chan struct{}), tokens: burst, last: time.Now()}
	go h.write(out)
	return h
}

// HandleLog implements log.Handler. It does not block.
func (h *Handler) HandleLog(e *log.Entry) error {
	dropped, ok := h.admit(e)
	if !ok {
		return nil
	}
	line := make(map[string]any, len(e.Fields)+5)
	for k, v := range e.Fields {
		line[k] = v
	}
	line["at"] = e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z")
	line["level"] = e.Level.String()
	line["instance"] = h.instance
	line["event"] = e.Message
	if dropped > 0 {
		line["dropped_before"] = dropped
	}
	data, err := json.Marshal(line)
	if err != nil {
		data = []byte(`{"level":"error","event":"log line not encoded"}`)
	}
	select {
	case h.lines <- append(data, '\n'):
	default:
		// The line would have told of those dropped before it.
		h.drop(dropped + 1)
	}
	return nil
}

// admit takes a line out of the rate. It returns how many were dropped since
// the last one that was admitted.
func (h *Handler) admit(e *log.Entry) (dropped int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.tokens = min(h.tokens+now.Sub(h.last).Seconds()*linesPerSecond, burst)
	h.last = now
	if e.Level < log.WarnLevel {
		if h.tokens < 1 {
			h.dropped++
			droppedTotal.Inc()
			return 0, false
		}
		h.tokens--
	}
	dropped, h.dropped = h.dropped, 0
	return dropped, true
}

func (h *Handler) drop(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropped += n
	droppedTotal.Inc()
}

// write gathers lines and writes them.
func (h *Handler) write(out io.Writer) {
	defer close(h.done)
	w := bufio.NewWriterSize(out, 64<<10)
	for {
		select {
		case line := <-h.lines:
			h.put(w, line)
			h.gather(w)
			_ = w.Flush()
		case <-h.closed:
			h.drain(w)
			_ = w.Flush()
			return
		}
	}
}

// gather adds the lines that come within flushEvery.
func (h *Handler) gather(w *bufio.Writer) {
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	for {
		select {
		case line := <-h.lines:
			h.put(w, line)
		case <-timer.C:
			return
		case <-h.closed:
			return
		}
	}
}

// drain adds the lines that wait.
func (h *Handler) drain(w *bufio.Writer) {
	for {
		select {
		case line := <-h.lines:
			h.put(w, line)
		default:
			return
		}
	}
}

func (h *Handler) put(w *bufio.Writer, line []byte) {
	writtenTotal.Inc()
	_, _ = w.Write(line)
}

// Close writes what waits, for a second at the most. Lines that are logged afterwards are
// thrown away: requests and duties may outlast it by a moment.
func (h *Handler) Close() {
	h.closing.Do(func() { close(h.closed) })
	select {
	case <-h.done:
	case <-time.After(time.Second):
	}
}
