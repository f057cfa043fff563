package hosted

import (
	"sync/atomic"
	"testing"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Confirmations are turned away by a full endpoint, one after the other, until the
// fleet has no retries left for them. An engineer who looks at the last one finds a
// single send though other endpoints had room, and has to learn why from its line.
func TestLineTellsWhyARequestWasNotSentAgain(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixtureWith(t, 1, 0)
	full := func(x *platformtest.Exchange) bool { x.Reject(503); return true }
	f.endpoint("e1", "orders", full)
	f.endpoint("e2", "orders", full)
	f.serve(2, nil)
	const requests = 6
	for range requests {
		f.do(f.request("POST", "/confirm/1", "x"))
	}
	if !lines.Any("request", func(f log.Fields) bool { return f["retries"] == "used up" }) {
		t.Errorf("no line of %d refused requests tells that the retries are used up", requests)
	}
}

// A lookup breaks off at one endpoint and is rejected by the next. The rejection
// alone, as the line's reason, would hide the crash that began it.
func TestLineKeepsHowTheFirstSendFailed(t *testing.T) {
	lines := logtest.Record(t)
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
	if !lines.Any("request", func(f log.Fields) bool { return f["first_why"] != nil && f["first_why"] != f["why"] }) {
		t.Error("no line keeps how the first send failed")
	}
}
