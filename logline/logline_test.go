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

// stuck is an output whose reader stands still until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *stuck) lines(t *testing.T) []map[string]any {
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

// Whoever collects the logs stops reading. A router that waits for it stops serving;
// one that drops lines without a word leaves the on-call engineer with a gap that
// does not show.
func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		h := New(out, "one")
		logger := &log.Logger{Handler: h, Level: log.InfoLevel}
		began := time.Now()
		for range 3 * ringSize {
			logger.Warn("endpoint gone")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("logging waited for %v", took)
		}
		close(out.release)
		time.Sleep(time.Second)
		logger.Info("request")
		h.Close()
		lines := out.lines(t)
		last := lines[len(lines)-1]
		if n, _ := last["dropped_before"].(float64); int(n)+len(lines)-1 != 3*ringSize {
			t.Errorf("%d lines written and %v told as dropped, of %d", len(lines), last["dropped_before"], 3*ringSize)
		}
	})
}

// A burst of requests writes more lines than anybody reads. The volume is bounded,
// and warnings come through all the same.
func TestVolumeIsBoundedButForWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
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

// A process ends while a request that was cut, or a duty, still writes its line. Were that
// to panic, callers' last answers would break off, and on-call would find a stack trace
// where the reason for the end should be.
func TestLineAfterTheCloseIsThrownAway(t *testing.T) {
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
		t.Errorf("the line before the close is lost: %q", out.String())
	}
}

// The cost of one line, for the page on what a request costs.
func BenchmarkLine(b *testing.B) {
	h := New(&bytes.Buffer{}, "one")
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"request": "9c41d07be2a35f68", "route": "r-1", "status": 200, "ms": 42, "endpoint": "i-7f3a91c2"}).Info("request")
	}
}
