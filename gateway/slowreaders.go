package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sendqueue"
)

const (
	// slowCheckInterval is the time between two looks at the connections with unread bytes.
	slowCheckInterval = 100 * time.Millisecond
	// minSlowCheckInterval is the same while so much is written that the bound may be exceeded in between.
	minSlowCheckInterval = 10 * time.Millisecond
	// streamBytes is what a stream holds besides the bytes to be written: the buffers of its reader, of the endpoint's
	// connection and of the HTTP library.
	streamBytes = 28 << 10
	// drainBytes is how much the kernel may still hold for a caller when its connection is closed and forgotten. With more,
	// the connection is kept until the caller has read it, since the kernel would keep it anyway and nothing would count it.
	drainBytes = 16 << 10
	// slowLines bounds the log lines on closed connections in a second.
	slowLines = 10
)

var (
	errReaderStalled = fault.New(fault.Broken, "read answers as they arrive", "the connection was reset: its peer has read nothing for too long")
	errReaderSlow    = fault.New(fault.Broken, "read answers as they arrive", "the connection was reset: its peer reads slowly, and memory for unread bytes is used up")

	slowHeld = metrics.GetOrCreateGauge("sardinedock_slow_readers_held_bytes", nil)
)

func slowClosed(peer string, r bufferlimit.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_slow_readers_closed_total{peer="` + peer + `",reason="` + r.String() + `"}`)
}

// SlowReaders bounds the memory that is held for callers and endpoints which read slowly: it looks at their connections,
// has package bufferlimit decide and closes those that it names. Writers take its lock when a connection gets its first unread
// bytes, and hold none while they write.
type SlowReaders struct {
	bound int64
	// estimate is the sum of held bytes when it was last determined, and all that was written since.
	estimate atomic.Int64
	// check asks Run for a look before the next interval is over.
	check chan struct{}
	view  atomic.Pointer[bufferlimit.View]

	mu     sync.Mutex
	nextID uint64
	peers  map[uint64]*sender
}

// NewSlowReaders returns a SlowReaders that keeps the sum of held bytes under bound. Run has to be called.
func NewSlowReaders(bound int64) *SlowReaders {
	s := &SlowReaders{bound: bound, check: make(chan struct{}, 1), peers: map[uint64]*sender{}}
	s.view.Store(&bufferlimit.View{Bound: bound})
	return s
}

// View returns the state for the state dump. It is the zero value for nil.
func (s *SlowReaders) View() bufferlimit.View {
	if s == nil {
		return bufferlimit.View{}
	}
	return *s.view.Load()
}

// The kinds of peer, in log lines and metrics.
const (
	peerCaller   = "caller"
	peerEndpoint = "endpoint"
	peerInstance = "instance"
)

// sender is a connection on which bytes may wait to be read by its peer.
type sender struct {
	slow  *SlowReaders
	queue *sendqueue.Queue
	// peer is peerCaller, peerEndpoint or peerInstance, address that of the peer.
	peer, address string
	// watched is set while the connection is in SlowReaders.peers.
	watched atomic.Bool
	// draining is set while the connection is only kept until its peer has read everything.
	draining atomic.Bool
	// use describes the request whose bytes are sent; nil between requests.
	use atomic.Pointer[sending]
	// closed is the error with which the connection was closed; nil before.
	closed atomic.Pointer[error]
}

// sending is the request for which a connection is written. Only source changes.
type sending struct {
	request string
	// extra is the memory that is occupied until the last byte is written, besides the bytes of the write.
	extra int64
	// maxStall is how long the peer may read nothing; 0 for any time.
	maxStall time.Duration
	// cancel cancels the request.
	cancel context.CancelCauseFunc
	// source is the answer whose stream is passed on; nil if none is.
	source atomic.Pointer[endpoint.Incoming]
}

func (s *SlowReaders) newSender(c net.Conn, peer string) *sender {
	return &sender{slow: s, queue: sendqueue.New(c), peer: peer, address: c.RemoteAddr().String()}
}

// write writes p to the connection.
func (x *sender) write(p []byte) (int, error) {
	n, err := x.queue.Write(p, 0, x.began)
	if cause := x.closed.Load(); cause != nil && err != nil {
		err = *cause
	}
	return n, err
}

// began is called when bytes are about to be written.
func (x *sender) began(n int) {
	s := x.slow
	if !x.watched.Swap(true) {
		s.mu.Lock()
		s.nextID++
		s.peers[s.nextID] = x
		s.mu.Unlock()
	}
	if s.estimate.Add(int64(n)) > s.bound {
		select {
		case s.check <- struct{}{}:
		default:
		}
	}
}

// drain ends the use of the connection by its owner. It returns true if the connection is closed later, when its peer has read
// what was written or is too slow.
func (x *sender) drain() bool {
	if x.draining.Load() {
		return true
	}
	q, open := x.queue.State()
	if !open || q.Kernel < drainBytes || x.closed.Load() != nil || !x.queue.CloseWrite() {
		x.queue.Ended()
		return false
	}
	x.draining.Store(true)
	x.began(0)
	return true
}

// drained closes a connection that was kept by drain, once nobody will read the rest or there is none.
func (x *sender) drained() {
	x.queue.Ended()
	x.queue.CloseConn()
}

// observe returns the state of the connection; false if it is closed.
func (x *sender) observe() (bufferlimit.Observation, bool) {
	q, open := x.queue.State()
	if !open || x.closed.Load() != nil {
		return bufferlimit.Observation{}, false
	}
	o := bufferlimit.Observation{Held: q.Retained + q.Kernel, Offered: q.Offered, Read: q.Read, MaxStall: writeTimeout}
	use := x.use.Load()
	if use == nil {
		return o, true
	}
	o.MaxStall = use.maxStall
	if q.Pending {
		o.Held += use.extra
	}
	if source := use.source.Load(); source != nil {
		o.Held += int64(source.Unread())
		if q.Pending {
			o.Held += streamBytes
		}
	}
	return o, true
}

// limit bounds what the kernel holds for a peer that does not read at once.
func (x *sender) limit() {
	x.queue.Limit()
	if use := x.use.Load(); use != nil {
		if source := use.source.Load(); source != nil {
			source.LimitUnread()
		}
	}
}

// reset closes the connection and cancels its request.
func (x *sender) reset(reason bufferlimit.Reason) {
	err := errReaderSlow
	if reason == bufferlimit.Stalled {
		err = errReaderStalled
	}
	x.closed.Store(&err)
	x.queue.ResetOnClose()
	// The cause has to be known before the first read or write fails.
	if use := x.use.Load(); use != nil && use.cancel != nil {
		use.cancel(err)
	}
	x.queue.CloseConn()
}

// Run looks at the connections until ctx is done.
func (s *SlowReaders) Run(ctx context.Context) {
	table := bufferlimit.NewTable(s.bound)
	lines := limitedLog{most: slowLines}
	tick := time.NewTicker(slowCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.check:
			if clock.Sleep(ctx, minSlowCheckInterval) != nil {
				return
			}
		}
		s.look(time.Now(), table, &lines)
	}
}

// look observes all watched connections and closes those that the table names.
func (s *SlowReaders) look(now time.Time, table *bufferlimit.Table, lines *limitedLog) {
	s.mu.Lock()
	peers := make(map[uint64]*sender, len(s.peers))
	for id, x := range s.peers {
		peers[id] = x
	}
	s.mu.Unlock()
	for id, x := range peers {
		o, open := x.observe()
		if x.draining.Load() && (o.Offered <= o.Read || x.queue.PeerClosed()) {
			x.drained()
			open = false
		}
		if !open || o.Offered <= o.Read {
			table.Forget(id)
			s.unwatch(id, x)
			if open && x.queue.Offered() != o.Offered {
				// More was written since, by a writer that may have found the connection watched.
				x.began(0)
			}
			continue
		}
		table.Observe(now, id, o)
		if table.UnreadFor(now, id) >= bufferlimit.Grace {
			x.limit()
		}
	}
	for _, c := range table.Decide(now) {
		x := peers[c.ID]
		x.reset(c.Reason)
		s.unwatch(c.ID, x)
		slowClosed(x.peer, c.Reason).Inc()
		logClosed(now, lines, x, c, table)
	}
	s.estimate.Store(table.Held())
	slowHeld.Set(float64(table.Held()))
	v := table.View(now)
	s.view.Store(&v)
}

// unwatch removes a connection.
func (s *SlowReaders) unwatch(id uint64, x *sender) {
	s.mu.Lock()
	delete(s.peers, id)
	s.mu.Unlock()
	x.watched.Store(false)
}

// logClosed writes the line on a connection that was closed.
func logClosed(now time.Time, lines *limitedLog, x *sender, c bufferlimit.Closing, table *bufferlimit.Table) {
	request := ""
	if use := x.use.Load(); use != nil {
		request = use.request
	}
	lines.write(now, log.Fields{
		"peer": x.peer, "address": x.address, "request": request, "reason": c.Reason.String(), "held": c.Held,
		"stalled_ms": c.Stalled.Milliseconds(), "rate": int64(c.Rate), "held_by_all": table.Held(), "bound": table.Bound(),
	}, "connection of a slow reader closed")
}
