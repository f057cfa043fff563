// Package bufferlimit decides which connections are closed because their peers do not read what an instance holds for
// them. It does no I/O and takes the time as an argument.
//
// The load pattern: many callers stop reading in the middle of answers, or endpoints read requests slowly, and what
// waits for them, in the process and in the kernel's buffers, would use up the memory of the instance, which serves
// others at the same time.
package bufferlimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinRate is the least rate, in bytes a second, at which a peer counts as reading. It is below the rate of a stream
	// of ten tokens a second, so that whoever reads at the speed at which models write is above it.
	MinRate = 256
	// Grace is how long a connection may hold bytes before it can be closed for the bound. A peer that reads needs a
	// few round trips for that.
	Grace = 100 * time.Millisecond
	// excess is the multiple of the bound above which connections within their grace can be closed too.
	excess = 2
	// rateInterval is the time over which the rate of reading is smoothed.
	rateInterval = time.Second
)

// Reason is why a connection is to be closed.
type Reason int

// The reasons.
const (
	// Stalled: the peer has read less than MinRate for as long as the connection may stall.
	Stalled Reason = iota
	// OverBound: the sum of all held bytes is over the bound, and the peer is among those that read slowest.
	OverBound
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string { return [...]string{"stalled", "bound"}[r] }

// Observation is the state of one connection. The counts start with the connection and only grow.
type Observation struct {
	// Held is how many bytes of memory are occupied because of what the peer has not read.
	Held int64
	// Offered counts the bytes to be read by the peer, Read those that it has read.
	Offered, Read int64
	// MaxStall is how long the peer may stall; 0 for any time.
	MaxStall time.Duration
}

// Closing is a connection to be closed.
type Closing struct {
	ID     uint64
	Reason Reason
	Held   int64
	// Stalled is how long the peer has read less than MinRate, Rate what it reads in bytes a second.
	Stalled time.Duration
	Rate    float64
}

// View is the state of a Table for the state dump.
type View struct {
	Bound int64 `json:"bound_bytes"`
	Held  int64 `json:"held_bytes"`
	// Connections is how many have unread bytes.
	Connections int   `json:"connections"`
	LargestHeld int64 `json:"largest_held_bytes"`
	// LongestStallMs is the longest time for which a peer has not read.
	LongestStallMs int64 `json:"longest_stall_ms"`
}

// Table keeps the state of all connections with unread bytes. It is not safe for concurrent use.
type Table struct {
	bound int64
	held  int64
	conns map[uint64]*connection
}

// connection is one with unread bytes.
type connection struct {
	Observation
	// began is when the first of the unread bytes was observed.
	began      time.Time
	observedAt time.Time
	rate       float64
	// markAt is when the peer was last known to read, and markRead what has to be read until it counts as reading
	// again.
	markAt   time.Time
	markRead int64
}

// NewTable returns a Table that limits the sum of held bytes to bound.
func NewTable(bound int64) *Table { return &Table{bound: bound, conns: map[uint64]*connection{}} }

// Held returns the sum of held bytes.
func (t *Table) Held() int64 { return t.held }

// Bound returns the limit of the sum.
func (t *Table) Bound() int64 { return t.bound }

// Observe records the state of a connection. One without unread bytes is forgotten.
func (t *Table) Observe(now time.Time, id uint64, o Observation) {
	if o.Offered <= o.Read {
		t.Forget(id)
		return
	}
	c := t.conns[id]
	if c == nil {
		c = &connection{Observation: o, began: now, observedAt: now}
		c.mark(now)
		t.conns[id] = c
		t.held += o.Held
		return
	}
	if d := now.Sub(c.observedAt); d > 0 {
		rate := float64(max(0, o.Read-c.Read)) / d.Seconds()
		c.rate += (rate - c.rate) * min(1, d.Seconds()/rateInterval.Seconds())
		c.observedAt = now
	}
	t.held += o.Held - c.Held
	c.Observation = o
	if o.Read >= c.markRead {
		c.mark(now)
	}
}

// mark starts a new period in which the peer has to read: all that was offered until now, or what MinRate requires for
// the time that it may stall, whichever is less. So a stream that has little to send does not count as stalled.
func (c *connection) mark(now time.Time) {
	required := max(1, int64(MinRate*c.MaxStall.Seconds()))
	c.markAt, c.markRead = now, min(c.Offered, c.Read+required)
}

// Forget removes a connection that was closed.
func (t *Table) Forget(id uint64) {
	if c := t.conns[id]; c != nil {
		t.held -= c.Held
		delete(t.conns, id)
	}
}

// Decide returns the connections that are to be closed now, and forgets them: those whose peers have stalled for too long,
// and as many others that the sum is not over the bound, the slowest first.
func (t *Table) Decide(now time.Time) []Closing {
	var list []Closing
	for id, c := range t.conns {
		if c.MaxStall > 0 && now.Sub(c.markAt) >= c.MaxStall {
			list = append(list, t.close(now, id, Stalled))
		}
	}
	// Maps have no order, and the same state has to lead to the same decision.
	slices.SortFunc(list, func(a, b Closing) int { return cmp.Compare(a.ID, b.ID) })
	if t.held <= t.bound {
		return list
	}
	for _, id := range t.slowest() {
		fresh := now.Sub(t.conns[id].began) < Grace
		if t.held <= t.bound || fresh && t.held <= excess*t.bound {
			continue
		}
		list = append(list, t.close(now, id, OverBound))
	}
	return list
}

func (t *Table) close(now time.Time, id uint64, reason Reason) Closing {
	c := t.conns[id]
	t.Forget(id)
	return Closing{ID: id, Reason: reason, Held: c.Held, Stalled: now.Sub(c.markAt), Rate: c.rate}
}

// slowest returns all connections, those that read least a second first, and of the same rate those that hold most.
// Rates below MinRate are the same.
func (t *Table) slowest() []uint64 {
	ids := make([]uint64, 0, len(t.conns))
	for id := range t.conns {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		x, y := t.conns[a], t.conns[b]
		return cmp.Or(cmp.Compare(max(x.rate, MinRate), max(y.rate, MinRate)), cmp.Compare(y.Held, x.Held), cmp.Compare(a, b))
	})
	return ids
}

// UnreadFor returns how long the connection has had unread bytes at each observation; 0 if it has none.
func (t *Table) UnreadFor(now time.Time, id uint64) time.Duration {
	c := t.conns[id]
	if c == nil {
		return 0
	}
	return now.Sub(c.began)
}

// View returns the state for the state dump.
func (t *Table) View(now time.Time) View {
	v := View{Bound: t.bound, Held: t.held, Connections: len(t.conns)}
	for _, c := range t.conns {
		v.LargestHeld = max(v.LargestHeld, c.Held)
		v.LongestStallMs = max(v.LongestStallMs, now.Sub(c.markAt).Milliseconds())
	}
	return v
}
