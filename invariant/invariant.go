// Package invariant checks conditions that must always hold, in production too. A violation is
// counted and kept for the state dump; in tests it panics.
package invariant

import (
	"fmt"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// maxViolations bounds the number of violations in the state dump.
const maxViolations = 32

// Violation describes an invariant that did not hold.
type Violation struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

var (
	mu         sync.Mutex
	violations []Violation
)

// Check records a violation of the named invariant unless ok. The detail is formatted only in
// that case. It returns ok, so that the caller can take a safe path. In a test binary it panics,
// so that no test passes despite a violation.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...), Count: 1}
	if testing.Testing() {
		panic("invariant " + v.Name + ": " + v.Detail)
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_invariant_violations_total{name=%q}", name)).Inc()
	if record(v) {
		log.WithField("invariant", name).Error(v.Detail)
	}
	return false
}

// record stores the violation and reports whether it is the first of its name.
func record(v Violation) bool {
	mu.Lock()
	defer mu.Unlock()
	for i := range violations {
		if violations[i].Name == v.Name {
			violations[i].Count++
			return false
		}
	}
	if len(violations) < maxViolations {
		violations = append(violations, v)
	}
	return true
}

// Violations returns the violations since the process started.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation(nil), violations...)
}
