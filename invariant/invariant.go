// Package invariant asserts what must always hold, in production too. A broken
// invariant is counted, kept for the state dump, and fatal in tests.
package invariant

import (
	"fmt"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// maxKept bounds the texts that the state dump shows.
const maxKept = 32

// Violation is one broken invariant.
type Violation struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

var (
	mu   sync.Mutex
	kept []Violation
)

// Check reports a violation of the named invariant unless ok. The detail is
// formatted only then. It returns ok, so that the caller can take a safe way
// out. In a test binary it panics, so that no run passes over a violation.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...), Count: 1}
	if testing.Testing() {
		panic("invariant " + v.Name + ": " + v.Detail)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_invariant_violations_total{name=%q}", name)).Inc()
	if keep(v) {
		log.WithField("invariant", name).Error(v.Detail)
	}
	return false
}

// keep remembers the violation; it reports whether it is the first of its name.
func keep(v Violation) bool {
	mu.Lock()
	defer mu.Unlock()
	for i := range kept {
		if kept[i].Name == v.Name {
			kept[i].Count++
			return false
		}
	}
	if len(kept) < maxKept {
		kept = append(kept, v)
	}
	return true
}

// Violations returns what was broken since the process started.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation(nil), kept...)
}
