package entry

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sockstate"
)

// sweepEvery is how often open callers' connections are looked at. A caller
// that went away holds its place at an engine for at most this long.
const disconnectCheckInterval = 250 * time.Millisecond

// maxDumped bounds the open calls that a dump lists.
const maxDumped = 100

// Causes for which a call ends before its answer.
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
	// keepRunning calls go on when their caller goes away: they are not
	// idempotent, so what became of them has to be found out and recorded.
	keepRunning bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
}

// cause is why the call's context ended, or nil while it has not.
func (c *call) cause() error {
	if c.ctx.Err() == nil {
		return nil
	}
	return context.Cause(c.ctx)
}

// calls are the open requests of a server. Any goroutine may use it.
type calls struct {
	mu   sync.Mutex
	open map[*call]struct{}
	// closed is the cause for which no call may go on.
	closed error
}

// begin opens a call that lasts at most for the timeout.
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

// end closes the call.
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

// sweep ends the calls whose callers have gone, until ctx ends. While nothing
// is written to a caller, nothing else would show that it has gone, and its
// request would hold a slot or a place in a queue for nobody.
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

// close ends every open call, and each one that is begun later, for the cause.
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
