// Package logline writes structured log lines without blocking the goroutine that logs: lines go
// through a bounded buffer to one writer goroutine. If the buffer is full or the rate limit is
// exceeded, lines are dropped and counted, and the next line written has their number in the
// field dropped_before.
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
	// bufferLines bounds the lines that wait while the output is slow.
	bufferLines = 4096
	// linesPerSecond and burst limit the rate of lines. Warnings and errors are exempt.
	linesPerSecond = 400
	burst          = 1200
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

var (
	droppedTotal = metrics.GetOrCreateCounter("sardinedock_log_lines_dropped_total")
	writtenTotal = metrics.GetOrCreateCounter("sardinedock_log_lines_written_total")
)

// Handler implements log.Handler.
type Handler struct {
	instance string
	lines    chan []byte
	// closed is closed to stop the writer goroutine; done is closed when it has returned.
	closed, done chan struct{}
	closing      sync.Once

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped int
}

// New returns a handler that writes to out until Close.
func New(out io.Writer, instance string) *Handler {
	h := &Handler{instance: instance, lines: make(chan []byte, bufferLines), closed: make(chan struct{}), done: make(chan struct{}), tokens: burst, last: time.Now()}
	go h.write(out)
	return h
}

// HandleLog implements log.Handler. It does not block.
func (h *Handler) HandleLog(e *log.Entry) error {
	dropped, ok := h.allow(e)
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
		// The line would have carried the count of those dropped before it.
		h.addDropped(dropped + 1)
	}
	return nil
}

// allow applies the rate limit to a line. If ok, dropped is the number of lines dropped since
// the last allowed one.
func (h *Handler) allow(e *log.Entry) (dropped int, ok bool) {
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

func (h *Handler) addDropped(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropped += n
	droppedTotal.Inc()
}

// write collects lines and writes them to out until the handler is closed.
func (h *Handler) write(out io.Writer) {
	defer close(h.done)
	w := bufio.NewWriterSize(out, 64<<10)
	for {
		select {
		case line := <-h.lines:
			h.writeLine(w, line)
			h.collect(w)
			_ = w.Flush()
		case <-h.closed:
			h.drain(w)
			_ = w.Flush()
			return
		}
	}
}

// collect adds the lines that arrive within flushInterval.
func (h *Handler) collect(w *bufio.Writer) {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case line := <-h.lines:
			h.writeLine(w, line)
		case <-timer.C:
			return
		case <-h.closed:
			return
		}
	}
}

// drain adds the lines that are in the buffer.
func (h *Handler) drain(w *bufio.Writer) {
	for {
		select {
		case line := <-h.lines:
			h.writeLine(w, line)
		default:
			return
		}
	}
}

func (h *Handler) writeLine(w *bufio.Writer, line []byte) {
	writtenTotal.Inc()
	_, _ = w.Write(line)
}

// Close writes the buffered lines, waiting at most a second. Lines logged afterwards are
// discarded: requests and background tasks may still log for a moment.
func (h *Handler) Close() {
	h.closing.Do(func() { close(h.closed) })
	select {
	case <-h.done:
	case <-time.After(time.Second):
	}
}
