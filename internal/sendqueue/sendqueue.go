// Package sendqueue counts the bytes that wait for the peer of a connection to read them: those that a write has not
// passed to the kernel yet, and those that the kernel holds.
package sendqueue

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/internal/sockstate"
)

const (
	// pieceBytes is the size of one write to the kernel. Where the kernel does not report what it holds, only the end of
	// a write shows that the peer reads.
	pieceBytes = 32 << 10
	// kernelBytes bounds what the kernel holds for one connection that is written more at a time, or whose peer reads
	// slowly. The kernel allows twice the value for its own records. With 64 KiB a peer at a distance of 20 ms can
	// still read 25 Mbit/s.
	kernelBytes = 64 << 10
)

// State is what is known of a queue.
type State struct {
	// Pending is set while a write waits, Kernel is how many bytes the kernel holds.
	Pending bool
	Kernel  int64
	// Retained is the size of the data of the write that waits, none of which can be released before its end.
	Retained int64
	// Offered counts all bytes to be written, Read those that the peer has acknowledged or, where the kernel does not
	// report that, those that the kernel has taken.
	Offered, Read int64
}

// Queue is the sending side of one connection. Write is called by one goroutine at a time; the other methods may be
// called at any time by others.
type Queue struct {
	conn     net.Conn
	offered  atomic.Int64
	accepted atomic.Int64
	retained atomic.Int64
	limited  atomic.Bool
	closed   atomic.Bool
}

// New returns the queue of a connection.
func New(c net.Conn) *Queue { return &Queue{conn: c} }

// Write writes p in pieces. begun is called before the first, when p is counted. timeout bounds each piece; 0 is no
// bound.
func (q *Queue) Write(p []byte, timeout time.Duration, begun func(bytes int)) (int, error) {
	q.retained.Store(int64(len(p)))
	q.offered.Add(int64(len(p)))
	defer q.retained.Store(0)
	begun(len(p))
	if len(p) > kernelBytes {
		q.Limit()
	}
	written := 0
	for written < len(p) {
		if timeout > 0 {
			if err := q.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
				return written, err
			}
		}
		n, err := q.conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		q.accepted.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Limit bounds what the kernel holds from now on. It makes no difference if the kernel refuses.
func (q *Queue) Limit() {
	if c, ok := q.conn.(interface{ SetWriteBuffer(bytes int) error }); ok && !q.limited.Swap(true) {
		_ = c.SetWriteBuffer(kernelBytes)
	}
}

// Ended states that nothing more is written, and that what the kernel holds does not matter any more.
func (q *Queue) Ended() { q.closed.Store(true) }

// ResetOnClose has the connection reset when it is closed, so that the kernel releases what it holds at once.
func (q *Queue) ResetOnClose() {
	if c, ok := q.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
}

// CloseConn closes the connection.
func (q *Queue) CloseConn() { _ = q.conn.Close() }

// CloseWrite closes the direction to the peer, after what was written. It returns false if a write has failed, or if
// the connection has no such direction.
func (q *Queue) CloseWrite() bool {
	c, ok := q.conn.(interface{ CloseWrite() error })
	return ok && q.offered.Load() == q.accepted.Load() && c.CloseWrite() == nil
}

// PeerClosed reports whether the peer has closed or reset the connection.
func (q *Queue) PeerClosed() bool { return sockstate.Of(q.conn) == sockstate.Closed }

// State returns the state; false if the connection is closed.
func (q *Queue) State() (State, bool) {
	if q.closed.Load() {
		return State{}, false
	}
	// Read before offered, so that no byte counts as read that was not offered.
	accepted := q.accepted.Load()
	kernel, known := sockstate.Unsent(q.conn)
	s := State{Retained: q.retained.Load(), Offered: q.offered.Load()}
	s.Pending = s.Retained > 0
	switch {
	case known:
		s.Kernel, s.Read = int64(kernel), max(0, accepted-int64(kernel))
	case s.Pending:
		s.Kernel, s.Read = kernelBytes, accepted
	default:
		s.Read = s.Offered
	}
	return s, true
}

// Offered returns how many bytes were to be written since the connection was made.
func (q *Queue) Offered() int64 { return q.offered.Load() }
