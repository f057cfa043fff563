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

// maxTimedRoutes bounds the routes whose response times are recorded, since operators may add any
// number of routes. When it is reached, the records of all routes are dropped.
const maxTimedRoutes = 1024

// answerTimes records response times by route name.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]*policy.ResponseTimes
}

func (t *answerTimes) of(route string) *policy.ResponseTimes {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.routes[route]
	if times == nil {
		if len(t.routes) >= maxTimedRoutes || t.routes == nil {
			t.routes = map[string]*policy.ResponseTimes{}
		}
		times = &policy.ResponseTimes{}
		t.routes[route] = times
	}
	return times
}

// recordResponseTime records the time from the first send to the end of the answer. Answers to
// disconnected callers and failures of endpoints are left out, since they do not show how long an
// answer takes; requests that timed out are included.
func (r *request) recordResponseTime() {
	if r.sentAt.IsZero() {
		return
	}
	status := r.ctx.Response.StatusCode()
	answered := status < fasthttp.StatusInternalServerError && status != statusCallerDisconnected
	if answered || errors.Is(context.Cause(r.reqCtx), errTimeout) {
		r.srv.times.of(r.route.Name).Record(time.Since(r.sentAt))
	}
}

// checkDrain returns an error if the instance is draining and the request, if sent now, is not
// expected to finish before open requests are aborted.
func (r *request) checkDrain(now time.Time) error {
	d := r.srv.drain.Load()
	if d == nil || r.ran > 0 {
		return nil
	}
	usual, known := r.srv.times.of(r.route.Name).Estimate()
	if d.Accepts(now, r.deadline, usual, known) {
		return nil
	}
	return errShuttingDown
}

// shutdownRetryAfter returns when a caller that is refused because this instance shuts down should
// retry: at once if another instance accepts requests, otherwise when the first is expected to
// accept them again.
//
// When all instances are restarted in turn, faster than each is back, callers that are sent from
// one draining instance to the next would use up their few retries within milliseconds, although an
// instance would accept them a second later.
func (r *request) shutdownRetryAfter(now time.Time) time.Duration {
	wait := r.srv.cfg.Peers.AvailableIn(now)
	if r.route != nil {
		wait = min(wait, r.patience.Sub(now)/retryShare)
	}
	return max(wait, minRetryAfter)
}

// errShuttingDown refuses a request because this instance is shutting down.
var errShuttingDown = fault.New(fault.Unavailable, "send the request again; another instance takes it", "this instance ends")
