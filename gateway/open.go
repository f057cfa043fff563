package gateway

import (
	"context"
	"sync"

	"github.com/sardinedock/sardinedock/fault"
)

// openRequests are the requests that are being served. Any goroutine may use it.
type openRequests struct {
	mu   sync.Mutex
	list map[*request]bool
	// cut is why all of them were ended; nil before.
	cut error
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
	delete(o.list, r)
}

// started sets how the life of a request is ended. One that starts after all were ended
// ends at once.
func (o *openRequests) started(r *request, cancel context.CancelCauseFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.cancel = cancel
	if o.cut != nil {
		cancel(o.cut)
	}
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list)
}

// cancelAll ends all requests and returns how many there are.
func (o *openRequests) cancelAll(cause error) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut = cause
	for r := range o.list {
		if r.cancel != nil {
			r.cancel(cause)
		}
	}
	return len(o.list)
}

// errCut ends the requests that are open when the time to end is over.
//
// Failure: the process ends in the middle of an answer. Without a last word the caller's
// connection just breaks, as in a crash, and no line of any log has the request's id, so
// that on-call can't tell it from one that never came.
var errCut = fault.New(fault.Broken, "look up whether it has run; give the process more time to end", "cut: this instance has ended")
