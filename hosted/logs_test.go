package hosted

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// lineRecorder keeps the lines of requests.
type lineRecorder struct {
	mu    sync.Mutex
	lines []log.Fields
}

// recordLines has all lines recorded until the test ends.
func recordLines(t *testing.T) *lineRecorder {
	r := &lineRecorder{}
	log.SetHandler(r)
	t.Cleanup(func() { log.SetHandler(discard.New()) })
	return r
}

// HandleLog implements log.Handler.
func (r *lineRecorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Message == "request" {
		r.lines = append(r.lines, e.Fields)
	}
	return nil
}

func (r *lineRecorder) any(ok func(log.Fields) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.lines, ok)
}

// Confirmations are turned away by a full endpoint, one after the other, until the
// fleet has no retries left for them. An engineer who looks at the last one finds a
// single send though other endpoints had room, and has to learn why from its line.
func TestLineTellsWhyARequestWasNotSentAgain(t *testing.T) {
	lines := recordLines(t)
	f := newFixtureWith(t, 1, 0)
	full := func(x *platformtest.Exchange) bool { x.Reject(503); return true }
	f.endpoint("e1", "orders", full)
	f.endpoint("e2", "orders", full)
	f.serve(2, nil)
	const requests = 6
	for range requests {
		f.do(f.request("POST", "/confirm/1", "x"))
	}
	if !lines.any(func(f log.Fields) bool { return f["retries"] == "used up" }) {
		t.Errorf("no line of %d refused requests tells that the retries are used up", requests)
	}
}

// A lookup breaks off at one endpoint and is rejected by the next. The rejection
// alone, as the line's reason, would hide the crash that began it.
func TestLineKeepsHowTheFirstSendFailed(t *testing.T) {
	lines := recordLines(t)
	f := newFixture(t, 1)
	var sends atomic.Int64
	handler := func(x *platformtest.Exchange) bool {
		if sends.Add(1) == 1 {
			return false
		}
		x.Reject(503)
		return true
	}
	f.endpoint("e1", "orders", handler)
	f.endpoint("e2", "orders", handler)
	f.serve(2, nil)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 502 {
		t.Fatalf("status %d", a.status)
	}
	if !lines.any(func(f log.Fields) bool { return f["first_why"] != nil && f["first_why"] != f["why"] }) {
		t.Error("no line keeps how the first send failed")
	}
}
