// Package logtest records log lines, for tests of what on-call finds.
package logtest

import (
	"slices"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Recorder keeps the lines of a test.
type Recorder struct {
	mu    sync.Mutex
	lines []log.Entry
}

// Record has all lines recorded until the test ends. Later ones are thrown away.
func Record(tb testing.TB) *Recorder {
	tb.Helper()
	r := &Recorder{}
	log.SetHandler(r)
	tb.Cleanup(func() { log.SetHandler(discard.New()) })
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

// Lines returns the fields of the lines that tell of an event, in order.
func (r *Recorder) Lines(event string) []log.Fields {
	var list []log.Fields
	for _, e := range r.All() {
		if e.Message == event {
			list = append(list, e.Fields)
		}
	}
	return list
}

// Any reports whether a line that tells of an event has fields that are asked for.
func (r *Recorder) Any(event string, ok func(log.Fields) bool) bool {
	return slices.ContainsFunc(r.Lines(event), ok)
}
