package frontend

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sockstate"
)

// disconnectCheckInterval is how often the connections of open calls are checked. A caller
// that has disconnected occupies its slot at an engine for at most this long.
const disconnectCheckInterval = 250 * time.Millisecond

// maxDumped limits the open calls listed in a state dump.
const maxDumped = 100

// Causes that end a call before its answer is complete.
var (
	errCallerClosed = fault.New(fault.Broken, "none: the caller has gone", "the caller closed its connection")
	errTimeout      = fault.New(fault.Unknown, "raise timeout_ms in the class's record, or ask for less", "the class's timeout has passed")
	errKilled       = fault.New(fault.Broken, "send the request again", "this instance was killed")
	errDraining     = fault.New(fault.Broken, "send the request again", "this instance ends and its time to drain is over")
)

// call is one open request of a caller.
type call struct {
	id           string
	organisation string
	class        string
	started      time.Time
	conn         net.Conn
	// keepRunning is set for non-idempotent calls. They go on after their caller has
	// disconnected, because their outcome must be found out and recorded.
	keepRunning bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
}

// cause returns the error that ended the call's context, or nil while it has not ended.
func (c *call) cause() error {
	if c.ctx.Err() == nil {
		return nil
	}
	return context.Cause(c.ctx)
}

// calls is the set of open requests of a server. It is safe for concurrent use.
type calls struct {
	mu   sync.Mutex
	open map[*call]struct{}
	// closed, if not nil, is the cause with which every new call is cancelled.
	closed error
}

// begin registers a call and starts its timeout.
func (cs *calls) begin(c *call, timeout time.Duration) {
	c.started = time.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	c.cancel = cancel
	c.ctx, c.stop = context.WithTimeoutCause(ctx, timeout, errTimeout)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c] = struct{}{}
	if cs.closed != nil {
		cancel(cs.closed)
	}
}

// end releases and unregisters the call.
func (cs *calls) end(c *call) {
	c.stop()
	c.cancel(context.Canceled)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, c)
}

// snapshot returns the open calls, oldest first.
func (cs *calls) snapshot() []*call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	list := make([]*call, 0, len(cs.open))
	for c := range cs.open {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].started.Before(list[j].started) })
	return list
}

// cancelDisconnected cancels the calls whose callers have disconnected, until ctx ends.
// Without it, a disconnect would go unnoticed as long as nothing is written to the caller, and
// the request would keep its slot or its place in a queue.
func (cs *calls) cancelDisconnected(ctx context.Context) {
	t := time.NewTicker(disconnectCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, c := range cs.snapshot() {
			if !c.keepRunning && sockstate.Of(c.conn) == sockstate.Closed {
				c.cancel(errCallerClosed)
			}
		}
	}
}

// close cancels every open and every later call with the cause.
func (cs *calls) close(cause error) {
	cs.mu.Lock()
	cs.closed = cause
	cs.mu.Unlock()
	for _, c := range cs.snapshot() {
		c.cancel(cause)
	}
}

// callDump is one open call in the state dump.
type callDump struct {
	ID           string  `json:"id"`
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	AgeSeconds   float64 `json:"age_s"`
	KeepRunning  bool    `json:"keep_running"`
}

func (cs *calls) dump() (open int, oldest []callDump) {
	list := cs.snapshot()
	for _, c := range list[:min(len(list), maxDumped)] {
		oldest = append(oldest, callDump{c.id, c.organisation, c.class, time.Since(c.started).Seconds(), c.keepRunning})
	}
	return len(list), oldest
}
