package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/attribution"
	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sockstate"
)

const (
	// defaultIdleTimeout is how long a connection may have been idle and still be reused. NATs
	// and firewalls on the way drop idle connections silently; a second is far below their
	// time-outs.
	defaultIdleTimeout = time.Second
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns = 64
	// keepAliveProbes is the number of unanswered probes, one per second, after which a
	// connection is closed because its peer is unreachable or no longer knows it. While a plain
	// service computes its answer, nothing else shows that the connection is alive.
	keepAliveProbes = 3
	// unackedTimeout is how long sent data may stay unacknowledged. On Linux it also decides when
	// keep-alive probes give up, whatever their number; the two are the same time.
	unackedTimeout = 4 * time.Second
	// engineHeaderBytes and serviceHeaderBytes bound the header of a response. Each open stream
	// holds a buffer of this size.
	engineHeaderBytes  = 4 << 10
	serviceHeaderBytes = 16 << 10
)

// conn is one connection to an endpoint. It is not safe for concurrent use.
type conn struct {
	net.Conn
	br *bufio.Reader
	// readTimeout bounds each read; 0 leaves the bound to the context.
	readTimeout time.Duration
	// madeAt is when the connection was made.
	madeAt time.Time
	idleAt time.Time
	// idleTimeout is how long the connection may stay idle and still be reused.
	idleTimeout time.Duration
	reused      bool
	// written counts the bytes accepted by the kernel, received those that were read from it.
	written, received int
	// limited is set once the kernel's buffer for received bytes was bounded, which can't be undone.
	limited atomic.Bool
	// intake bounds the bodies that are read whole; nil for sharedIntake.
	intake *bufferlimit.Intake
	// history is what was sent on it.
	history attribution.History
	// aborts is set while the connection is reset when it is closed.
	aborts bool
	// stop detaches the connection from the context of its request.
	stop func() bool
}

// Read renews the deadline before each read, so that every byte received, also of a heartbeat,
// shows that the connection is alive.
func (c *conn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}

// Write counts the bytes written, so that an error can state whether any were sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// bind closes the connection when ctx is done, which ends blocking calls on it.
func (c *conn) bind(ctx context.Context) {
	c.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}

// lingerer is a connection whose close can be turned into a reset.
type lingerer interface{ SetLinger(seconds int) error }

// abortOnClose has the kernel discard unacknowledged data when the connection is closed, or at the
// deadline of ctx at the latest, until keepOnClose is called.
func (c *conn) abortOnClose(ctx context.Context) {
	l, ok := c.Conn.(lingerer)
	if !ok {
		return
	}
	c.aborts = true
	_ = l.SetLinger(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = sockstate.SetUserTimeout(c.Conn, min(max(time.Until(deadline), time.Millisecond), unackedTimeout))
	}
}

// keepOnClose undoes abortOnClose once a response was read.
func (c *conn) keepOnClose() {
	if l, ok := c.Conn.(lingerer); ok && c.aborts {
		c.aborts = false
		_ = l.SetLinger(-1)
		_ = sockstate.SetUserTimeout(c.Conn, unackedTimeout)
	}
}

// IsTimeout reports whether err is a time-out, such as that of a read on which nothing was received
// within the bound.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// send writes one request with the given ID. The error is of kind Unavailable only if no byte of it was sent.
func (c *conn) send(req *fasthttp.Request, id string) error {
	c.history.Add(id)
	c.written = 0
	bw := bufio.NewWriter(c)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err != nil && c.written == 0 {
		return fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "send to endpoint")
	}
	return brokenError(err)
}

// Dialer makes a TCP connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// pool keeps idle connections to one endpoint. It is safe for concurrent use.
type pool struct {
	addr        string
	dialTimeout time.Duration
	// dialer replaces the dial of a new connection, if set.
	dialer Dialer
	// headerBytes bounds the header of a response.
	headerBytes int
	// intake bounds the bodies that are read whole, of all connections that share it; nil for sharedIntake.
	intake *bufferlimit.Intake
	// idleTimeout is how long a connection may have been idle and still be reused; 0 means
	// defaultIdleTimeout.
	idleTimeout time.Duration
	// maxIdle returns the maximum number of idle connections, at most maxIdleConns; nil means
	// maxIdleConns.
	maxIdle func() int

	mu   sync.Mutex
	idle []*conn
	// pruning is set while a call of prune is scheduled.
	pruning bool
}

// use is what a connection is needed for.
type use struct {
	// fresh requires a new connection.
	fresh bool
	// request is the ID of the request; empty if it has none. No connection on which it was sent before is used.
	request string
	// readTimeout is conn.readTimeout.
	readTimeout time.Duration
}

// get returns a connection bound to ctx: an idle one, or a new one if there is none or u.fresh is
// set. The error is of kind Unavailable.
func (p *pool) get(ctx context.Context, u use) (*conn, error) {
	c := p.takeIdle(u)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	c.readTimeout = u.readTimeout
	c.bind(ctx)
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		Control:         sockstate.UserTimeout(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes},
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	if p.dialer != nil {
		dial = p.dialer
	}
	nc, err := dial(ctx, p.addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "dial endpoint %s", p.addr)
	}
	c := &conn{Conn: nc, madeAt: time.Now(), intake: p.intake}
	c.br = bufio.NewReaderSize(c, p.headerBytes)
	return c, nil
}

// probe makes a new connection and keeps it for the next request.
func (p *pool) probe(ctx context.Context) error {
	c, err := p.get(ctx, use{fresh: true})
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// takeIdle returns the most recently used connection that can be reused. An endpoint that
// restarted has closed its connections; a request sent on one of them would fail without it
// being known whether it ran. The state of the socket shows that the peer has closed it.
func (p *pool) takeIdle(u use) *conn {
	if u.fresh {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := len(p.idle) - 1; k >= 0; k-- {
		c := p.idle[k]
		if c.history.Carried(u.request) {
			continue
		}
		p.idle = slices.Delete(p.idle, k, k+1)
		if time.Since(c.idleAt) < c.idleTimeout && sockstate.Of(c.Conn) == sockstate.Idle {
			c.reused = true
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

// hasIdle reports whether takeIdle would return a connection.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *conn) bool {
		return time.Since(c.idleAt) < c.idleTimeout && sockstate.Of(c.Conn) == sockstate.Idle
	})
}

// put returns a connection to the pool after a whole response was read from it.
func (p *pool) put(c *conn) {
	if !c.stop() || c.br.Buffered() > 0 || c.limited.Load() || c.history.Full() {
		_ = c.Conn.Close()
		return
	}
	c.keepOnClose()
	_ = c.SetReadDeadline(time.Time{})
	c.idleAt = time.Now()
	c.idleTimeout = p.idleLimit(c.idleTimeout)
	limit := maxIdleConns
	if p.maxIdle != nil {
		limit = min(limit, p.maxIdle())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	if excess := len(p.idle) - limit; excess > 0 {
		for _, oldest := range p.idle[:excess] {
			_ = oldest.Conn.Close()
		}
		p.idle = append(p.idle[:0], p.idle[excess:]...)
	}
	if !p.pruning {
		p.pruning = true
		time.AfterFunc(p.idleLimit(0), p.prune)
	}
}

// idleLimit returns how long a connection may be idle and still be reused: the pool's own limit,
// or the one taken from the endpoint's Keep-Alive header if that is shorter. stated is 0 if the
// endpoint states none.
func (p *pool) idleLimit(stated time.Duration) time.Duration {
	own := p.idleTimeout
	if own == 0 {
		own = defaultIdleTimeout
	}
	if stated > 0 {
		return min(own, stated)
	}
	return own
}

// prune closes connections that were idle for too long to be reused. Kept open, those to
// hundreds of endpoints would use up the file descriptors needed for callers.
func (p *pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleAt) < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
	}
	p.idle = kept
	p.pruning = len(p.idle) > 0
	if p.pruning {
		time.AfterFunc(max(p.idleLimit(0)/4, p.idleLimit(0)-time.Since(p.idle[0].idleAt)), p.prune)
	}
}

// drop closes a connection that can't be reused.
func (c *conn) drop() {
	c.stop()
	_ = c.Conn.Close()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Conn.Close()
	}
	p.idle = nil
}
