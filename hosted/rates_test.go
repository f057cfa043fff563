package hosted

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/ratelimit"
)

// namesLimit answers every request, with the limit that is set.
func namesLimit(limit *atomic.Pointer[string]) func(*platformtest.Exchange) bool {
	return func(x *platformtest.Exchange) bool {
		if text := limit.Load(); text != nil {
			x.AnswerLimited(200, "ok", *text)
		} else {
			x.Answer(200, "ok")
		}
		return true
	}
}

func (f *fixture) knowRate(want ratelimit.Rate) bool {
	for _, i := range f.instances {
		if i.rates.registry.Rate("e1") != want {
			return false
		}
	}
	return true
}

// sendFrom sends one request through an instance.
func (f *fixture) sendFrom(n int) answer {
	f.t.Helper()
	req := f.request("GET", "/stock/1", "")
	req.URL.Host = f.callers[n]
	return f.do(req)
}

// Guards against a limit that only the instances know which have had an answer with it, and
// against one that stays in force once the endpoint names it no more.
func TestLimitOfAnEndpointIsKnownToAllInstances(t *testing.T) {
	f := newFixture(t, 3)
	var limit atomic.Pointer[string]
	f.endpoint("e1", "orders", namesLimit(&limit))
	f.serve(1, nil)
	text := "1.3"
	limit.Store(&text)
	f.sendFrom(0)
	named := ratelimit.Rate{Limited: true, PerSecond: 1.3}
	f.eventually("the limit at all instances", func() bool { return f.knowRate(named) })
	f.start("instance-late")
	f.eventually("the limit at an instance that has just started", func() bool { return f.knowRate(named) })
	limit.Store(nil)
	time.Sleep(2 * noticeDelay)
	f.sendFrom(1)
	f.eventually("no limit at any instance", func() bool { return f.knowRate(ratelimit.Rate{}) })
}

// Guards against a value that can't be read lifting the limit in force, and against a line
// for each such answer.
func TestUnreadableLimitLeavesTheOneInForce(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	var limit atomic.Pointer[string]
	f.endpoint("e1", "orders", namesLimit(&limit))
	f.serve(1, nil)
	text, bad := "50", "many"
	limit.Store(&text)
	f.sendFrom(0)
	limit.Store(&bad)
	for range 3 {
		f.sendFrom(0)
	}
	if !f.knowRate(ratelimit.Rate{Limited: true, PerSecond: 50}) {
		t.Errorf("limit %v", f.instances[0].rates.registry.Rate("e1"))
	}
	warnings := 0
	for _, l := range lines.All() {
		if strings.HasPrefix(l.Message, "endpoint's rate limit not understood") {
			warnings++
		}
	}
	if warnings != 1 {
		t.Errorf("%d lines about the limit that can't be read, want 1", warnings)
	}
}
