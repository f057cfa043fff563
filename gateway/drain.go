package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
)

// maxRoutesTimed bounds the routes whose answers are timed. Operators may add routes
// without end; when there are more, what was learned of all is thrown away.
const maxRoutesTimed = 1024

// answerTimes keeps how long answers take, by the name of their route.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]*policy.ResponseTimes
}

func (t *answerTimes) of(route string) *policy.ResponseTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[route]
	if times == nil {
		if len(t.routes) >= maxRoutesTimed || t.routes == nil {
			t.routes = map[string]*policy.ResponseTimes{}
		}
		times = &policy.ResponseTimes{}
		t.routes[route] = times
	}
	return times
}

// timed notes how long the answer took, from its first send on. Failures of endpoints, and
// answers whose callers left, say nothing of it; one that its time has ended does.
func (r *request) timed() {
	if r.sentAt.IsZero() {
		return
	}
	status := r.ctx.Response.StatusCode()
	whole := status < fasthttp.StatusInternalServerError && status != statusCallerGone
	if whole || errors.Is(context.Cause(r.life), errTimeout) {
		r.srv.times.of(r.route.Name).Record(time.Since(r.sentAt))
	}
}

// mayStart returns an error where the instance was told to end and the request, if it was
// sent now, would not be expected to end before open answers are cut.
func (r *request) mayStart(now time.Time) error {
	d := r.srv.drain.Load()
	if d == nil || r.ran > 0 {
		return nil
	}
	usual, known := r.srv.times.of(r.route.Name).Estimate()
	if d.Accepts(now, r.deadline, usual, known) {
		return nil
	}
	return errEnding
}

// returnElsewhere is when a caller that is turned away since this instance ends should come
// back: at once, to another instance, or when the first of them takes requests again.
//
// Load: all instances are restarted in turn, faster than one is back. Harm prevented:
// callers that are sent from one ending instance to the next use up the few times that
// they try, within milliseconds, while an instance that takes them is a second away.
func (r *request) returnElsewhere(now time.Time) time.Duration {
	wait := r.srv.cfg.Peers.TakesAgainIn(now)
	if r.route != nil {
		wait = min(wait, r.patience.Sub(now)/returnShare)
	}
	return max(wait, leastReturn)
}

// errEnding ends a request that this instance, told to end, does not take any more.
var errEnding = fault.New(fault.Unavailable, "send the request again; another instance takes it", "this instance ends")
