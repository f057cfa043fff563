package inbound

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/httphead"
	"github.com/sardinedock/sardinedock/overload"
)

// Errors of reading a request. None of them leaves the connection in a state in which it can be used again.
var (
	ErrTimeout   = fault.New(fault.Expired, "send the request sooner, or ask for more time", "the request was not received in time")
	ErrTooLarge  = fault.New(fault.TooLarge, "send a smaller body", "the body is over the limit")
	ErrLongHead  = fault.New(fault.TooLarge, "send fewer or shorter headers", "the headers are over the limit")
	ErrMalformed = fault.New(fault.BadRequest, "send a request that is whole and framed as HTTP/1.1 defines it", "the request is malformed")
	// ErrNoMemory ends a request that was chosen to be given up since the memory for requests is used up.
	ErrNoMemory = fault.New(fault.Unavailable, "send the request again later", "memory for requests is used up, and this one is among the largest that are not whole")
	// ErrGivenUp ends a request whose connection is needed for others.
	ErrGivenUp = fault.New(fault.Unavailable, "send the request again later", "too many connections are open, and the request was not whole")
)

const (
	// bufferBytes is the size of the buffer of a connection on which a request begins. Most heads fit into it.
	bufferBytes = 4 << 10
	// maxDiscarded bounds the rest of a refused request that is read and discarded so that its connection can be used again, and
	// discardTimeout the time for it.
	maxDiscarded   = 64 << 10
	discardTimeout = time.Second
	// suspendedGrace is the time for another look at a connection whose time-out has passed: while the process was suspended, bytes may
	// have arrived.
	suspendedGrace = 10 * time.Millisecond
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferBytes); return &b }}

// Timeouts bound how long a caller may take.
type Timeouts struct {
	// Idle bounds the time between two requests, Head that from the first byte of a request to the end of its head.
	Idle, Head time.Duration
	// Stall bounds the time without a byte in the middle of a body.
	Stall time.Duration
}

// Config configures the Readers of a server.
type Config struct {
	// HeadBytes bounds a head.
	HeadBytes int
	// Timeouts returns those in force.
	Timeouts func() Timeouts
	// Memory bounds what requests occupy in sum; nil for no bound.
	Memory *bufferlimit.Intake
	// RecycleBodies is set if nothing refers to a body any more after Release.
	RecycleBodies bool
}

// Reader reads the requests of one connection. Its methods are called from one goroutine, except GiveUp, Stage and RestLeft.
type Reader struct {
	conn net.Conn
	cfg  *Config
	// stop is interrupt.
	stop func()

	// buffer holds received bytes, of which those before used are consumed; nil while there are none. pooled is its memory if that is of
	// buffers, nil if it has grown.
	buffer []byte
	pooled *[]byte
	used   int
	// headLeft is how many bytes belong to a whole head that the HTTP library has not read yet.
	headLeft int
	// failed is returned to the HTTP library after the bytes of an unfinished head.
	failed error
	// began is when the head began to be read.
	began time.Time
	// rest is the framing of a body that nobody reads, restLeft is set while it is not discarded.
	rest     Framing
	restLeft atomic.Bool

	// bufferMemory and bodyMemory count what the buffer, beyond bufferBytes, and the body occupy.
	bufferMemory, bodyMemory memory
	// body is the memory of the last body if it is to be recycled; nil if not.
	body  []byte
	stage stage
	// givenUp is set once GiveUp has ended what the caller sends.
	givenUp atomic.Bool
}

// NewReader returns a Reader of c.
func NewReader(c net.Conn, cfg *Config) *Reader {
	r := &Reader{conn: c, cfg: cfg}
	r.stop = r.interrupt
	r.stage.set(overload.StageIdle)
	return r
}

// Began returns when the head that was read last began to arrive.
func (r *Reader) Began() time.Time { return r.began }

// Buffered returns how many bytes were received and not consumed.
func (r *Reader) Buffered() int {
	return len(r.buffer) - r.used
}

func (r *Reader) unread() []byte { return r.buffer[r.used:] }

// consume marks n bytes as consumed, and releases the buffer after the last one.
func (r *Reader) consume(n int) {
	if r.used += n; r.used < len(r.buffer) {
		return
	}
	r.dropBuffer()
	r.buffer, r.used = nil, 0
	r.bufferMemory.release()
}

// dropBuffer has the buffer's memory used again.
func (r *Reader) dropBuffer() {
	if r.pooled == nil {
		recycle(r.buffer)
		return
	}
	buffers.Put(r.pooled)
	r.pooled = nil
}

// Unread returns a byte, which was received on the connection after all others, to the Reader.
func (r *Reader) Unread(b byte) {
	r.needBuffer()
	r.buffer = append(r.buffer, b)
}

func (r *Reader) needBuffer() {
	if r.buffer == nil {
		r.pooled = buffers.Get().(*[]byte)
		r.buffer = (*r.pooled)[:0]
	}
}

// Read implements io.Reader for the HTTP library. It returns bytes of heads only: those of a head that is whole, or one byte of a
// head that is not, followed by the reason.
func (r *Reader) Read(p []byte) (int, error) {
	if r.headLeft == 0 {
		if r.failed != nil {
			return 0, r.failed
		}
		if err := r.awaitHead(); err != nil {
			if r.Buffered() == 0 {
				return 0, err
			}
			// The library answers only if it has read a byte of the request.
			r.headLeft, r.failed = 1, err
		}
	}
	n := copy(p, r.unread()[:r.headLeft])
	r.headLeft -= n
	r.consume(n)
	return n, nil
}

// awaitHead reads until there is a whole head.
func (r *Reader) awaitHead() error {
	r.Release()
	if err := r.discardRest(); err != nil {
		return err
	}
	t := r.cfg.Timeouts()
	if r.Buffered() == 0 {
		if !r.stage.enter(overload.StageIdle) {
			return ErrGivenUp
		}
		var first [1]byte
		if _, err := r.receive(first[:], time.Now().Add(t.Idle)); err != nil {
			return err
		}
		r.Unread(first[0])
	}
	if !r.stage.enter(overload.StageHead) {
		return ErrGivenUp
	}
	r.began = time.Now()
	deadline := r.began.Add(t.Head)
	for searched := 0; ; {
		b := r.unread()
		end, ok := httphead.End(b, searched)
		if !ok {
			return ErrMalformed
		}
		if end > 0 {
			r.headLeft = end
			break
		}
		searched = len(b)
		if len(b) > r.cfg.HeadBytes {
			return ErrLongHead
		}
		if err := r.fill(deadline); err != nil {
			return err
		}
	}
	if err := r.countLines(); err != nil {
		return err
	}
	if !r.bufferMemory.complete() || !r.stage.enter(overload.StageServed) {
		return r.interruption()
	}
	return nil
}

// fill receives more bytes into the buffer, which grows if it is full.
func (r *Reader) fill(deadline time.Time) error {
	r.needBuffer()
	if r.used > 0 {
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.used:])]
		r.used = 0
	}
	if len(r.buffer) == cap(r.buffer) {
		if err := r.growBuffer(); err != nil {
			return err
		}
	}
	n, err := r.receive(r.buffer[len(r.buffer):cap(r.buffer)], deadline)
	r.buffer = r.buffer[:len(r.buffer)+n]
	return err
}

// growBuffer doubles the capacity of the buffer.
func (r *Reader) growBuffer() error {
	capacity := 2 * cap(r.buffer)
	if err := r.count(capacity, &r.bufferMemory); err != nil {
		return err
	}
	grown := append(allocate(capacity), r.buffer...)
	if r.pooled == nil {
		r.bufferMemory.shrink(cap(r.buffer))
	}
	r.dropBuffer()
	r.buffer = grown
	return nil
}

// Release states that the body of the last request is not used any more. The next head implies it.
func (r *Reader) Release() {
	r.bodyMemory.release()
	recycle(r.body)
	r.body = nil
}

// Close releases all that is counted. The Reader is not used afterwards, nor is a body to be recycled.
func (r *Reader) Close() {
	r.Release()
	r.bufferMemory.release()
}

// interrupt ends the receive that is waiting, if one is.
func (r *Reader) interrupt() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) }

// interruption returns the reason for which the request is not to be received further; nil if there is none.
func (r *Reader) interruption() error {
	switch {
	case r.givenUp.Load():
		return ErrGivenUp
	case r.bodyMemory.full(), r.bufferMemory.full():
		return ErrNoMemory
	}
	return nil
}

// receive reads from the connection until the deadline, and once more if it has passed.
func (r *Reader) receive(p []byte, deadline time.Time) (int, error) {
	n, err := r.receiveUntil(p, deadline)
	if errors.Is(err, ErrTimeout) {
		n, err = r.receiveUntil(p, time.Now().Add(suspendedGrace))
	}
	return n, err
}

func (r *Reader) receiveUntil(p []byte, deadline time.Time) (int, error) {
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	// Whoever interrupts sets the reason before the deadline, so that it is found here or after the read.
	if err := r.interruption(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	if n > 0 || !endpoint.IsTimeout(err) {
		return n, err
	}
	if reason := r.interruption(); reason != nil {
		return 0, reason
	}
	return 0, ErrTimeout
}

// LeaveRest states that nobody reads the body of the request. It returns false if the connection has to be closed after the answer:
// there is too much left, or it is open whether the caller sends the body.
func (r *Reader) LeaveRest(f Framing) bool {
	if f.Continue && r.Buffered() == 0 || f.Length > maxDiscarded {
		return false
	}
	r.rest = f
	r.restLeft.Store(true)
	return true
}

// RestLeft reports whether a body that nobody reads may be on its way.
func (r *Reader) RestLeft() bool { return r.restLeft.Load() }

// discardRest reads what LeaveRest has left.
func (r *Reader) discardRest() error {
	f := r.rest
	if f == (Framing{}) {
		return nil
	}
	r.rest = Framing{}
	_, err := r.ReadBody(f, maxDiscarded, time.Now().Add(discardTimeout), nil)
	r.Release()
	if err != nil {
		// The refusal was the last answer on the connection.
		return io.EOF
	}
	r.restLeft.Store(false)
	return nil
}
