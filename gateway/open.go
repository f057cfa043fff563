package gateway

import (
	"context"
	"sync"

	"github.com/sardinedock/sardinedock/fault"
)

// openRequests is the set of requests being served. It is safe for concurrent use.
type openRequests struct {
	mu   sync.Mutex
	list map[*request]bool
	// aborted is the cause with which cancelAll aborted all requests; nil before.
	aborted error
}

func (o *openRequests) add(r *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.list == nil {
		o.list = map[*request]bool{}
	}
	o.list[r] = true
}

func (o *openRequests) remove(r *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.list[r] && r.conn.forwarded() {
		r.srv.forwardedOpen.Add(-1)
	}
	delete(o.list, r)
}

// started sets the function that cancels the request. A request that starts after cancelAll is
// cancelled at once.
func (o *openRequests) started(r *request, cancel context.CancelCauseFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.cancel = cancel
	if o.aborted != nil {
		cancel(o.aborted)
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list)
}

// cancelAll aborts all open requests and returns their number.
func (o *openRequests) cancelAll(cause error) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.aborted = cause
	for r := range o.list {
		if r.cancel != nil {
			r.cancel(cause)
		}
	}
	return len(o.list)
}

// errAborted ends the requests that are still open when the drain time is over.
//
// Without this final answer and its log line, the process would exit in the middle of an answer:
// the caller's connection would break as in a crash, and no log line would have the request's ID,
// so that on-call could not distinguish it from a request that never arrived.
var errAborted = fault.New(fault.Broken, "look up whether it has run; give the process more time to end", "cut: this instance has ended")
