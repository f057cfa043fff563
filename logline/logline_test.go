package logline

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(s.buf.String()), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		list = append(list, m)
	}
	return list
}

// The log collector stops reading. If logging blocked, the router would stop serving; if lines
// were dropped without a count, the on-call engineer would not see that lines are missing.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		h := New(out, "one")
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		start := time.Now()
		for range 3 * bufferLines {
			logger.Warn("endpoint gone")
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("logging blocked for %v", took)
		}
		close(out.release)
		time.Sleep(time.Second)
		logger.Info("request")
		h.Close()
		lines := out.lines(t)
		last := lines[len(lines)-1]
		if n, _ := last["dropped_before"].(float64); int(n)+len(lines)-1 != 3*bufferLines {
			t.Errorf("%d lines written and %v reported as dropped, of %d", len(lines), last["dropped_before"], 3*bufferLines)
		}
	})
}

// A burst of requests logs more lines than can be read. The rate must be limited, but warnings
// must be written all the same.
func TestRateLimitExemptsWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		close(out.release)
		h := New(out, "one")
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		for range 100 {
			for range 100 {
				logger.WithField("request", "r").Info("request")
			}
			logger.Warn("store lost")
			time.Sleep(10 * time.Millisecond)
		}
		h.Close()
		counts := map[string]int{}
		for _, l := range out.lines(t) {
			counts[l["event"].(string)]++
		}
		if most := burst + linesPerSecond; counts["request"] > most || counts["store lost"] != 100 {
			t.Errorf("lines %v, want at most %d requests and 100 warnings", counts, most)
		}
	})
}

// A process ends while a cancelled request or a background task still logs a line. If that
// panicked, callers' last answers would break off, and on-call would find a stack trace in place
// of the reason for the end.
func TestLineAfterCloseIsDiscarded(t *testing.T) {
	var out bytes.Buffer
	h := New(&out, "one")
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	logger.Info("stopped")
	var wg sync.WaitGroup
	const writers = 8
	for range writers {
		wg.Go(func() {
			for range 100 {
				logger.Warn("request")
			}
		})
	}
	h.Close()
	wg.Wait()
	if !strings.Contains(out.String(), `"stopped"`) {
		t.Errorf("the line logged before Close is lost: %q", out.String())
	}
}

// BenchmarkLine measures the cost of one line, which is part of the documented cost of a
// request.
func BenchmarkLine(b *testing.B) {
	h := New(&bytes.Buffer{}, "one")
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"request": "9c41d07be2a35f68", "route": "r-1", "status": 200, "ms": 42, "endpoint": "i-7f3a91c2"}).Info("request")
	}
}
