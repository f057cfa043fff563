package gateway

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/quota"
)

// Guards against callers that miss their booking, since the time they are given was cut or spread, and against
// times for callers that have none.
func TestRetryAfterIsExactlyAsBooked(t *testing.T) {
	const due = 2 * time.Second
	for _, c := range []struct {
		decision quota.Decision
		after    time.Duration
		ok       func(time.Duration) bool
	}{
		{quota.Decision{Booked: true}, due, func(d time.Duration) bool { return d == due }},
		{quota.Decision{Final: true}, 0, func(d time.Duration) bool { return d == 0 }},
		{quota.Decision{}, due, func(d time.Duration) bool { return d > 0 && d <= 3*time.Second/retryShare }},
	} {
		r := request{call: Call{ID: "r"}, patience: time.Now().Add(3 * time.Second), quota: &c.decision}
		if d := r.quotaRetryAfter(c.after); !c.ok(d) {
			t.Errorf("%+v: told %v", c.decision, d)
		}
	}
}
