// Package logtest records log lines, for tests of the lines that on-call relies on.
package logtest

import (
	"slices"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// installed redirects lines to the test that records them. It is set as the handler once, before
// any goroutine logs: goroutines of an instance that an earlier test has killed may still log
// while the next test starts to record.
var installed = &redirectHandler{target: discard.New()}

func init() { log.SetHandler(installed) }

// redirectHandler is a log handler whose target can be replaced while lines are logged.
type redirectHandler struct {
	mu     sync.RWMutex
	target log.Handler
}

// HandleLog implements log.Handler.
func (s *redirectHandler) HandleLog(e *log.Entry) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.target.HandleLog(e)
}

// Handle has lines handled by h until the test ends. Later ones are discarded.
func Handle(tb testing.TB, h log.Handler) {
	tb.Helper()
	installed.set(h)
	tb.Cleanup(func() { installed.set(discard.New()) })
}

func (s *redirectHandler) set(h log.Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target = h
}

// Recorder records the lines of a test.
type Recorder struct {
	mu    sync.Mutex
	lines []log.Entry
}

// Record records all lines until the test ends. Later ones are discarded.
func Record(tb testing.TB) *Recorder {
	tb.Helper()
	r := &Recorder{}
	Handle(tb, r)
	return r
}

// HandleLog implements log.Handler.
func (r *Recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, *e)
	return nil
}

// All returns all lines, in order.
func (r *Recorder) All() []log.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines)
}

// Lines returns the fields of the lines with the given event, in order.
func (r *Recorder) Lines(event string) []log.Fields {
	var list []log.Fields
	for _, e := range r.All() {
		if e.Message == event {
			list = append(list, e.Fields)
		}
	}
	return list
}

// Any reports whether ok accepts the fields of a line with the given event.
func (r *Recorder) Any(event string, ok func(log.Fields) bool) bool {
	return slices.ContainsFunc(r.Lines(event), ok)
}
