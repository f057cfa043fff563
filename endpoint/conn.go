package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sockstate"
)

const (
	// idleBound is how long a connection may have been idle and still be used
	// again. What stands between the two ends forgets idle connections; a
	// second is far below the bounds that such boxes have.
	idleBound = time.Second
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 64
	// keepAliveProbes without an answer, one a second, end a connection whose
	// other end is gone or has forgotten it. A wait for a plain service's
	// answer has no other sign of life.
	keepAliveProbes = 3
	// unconfirmedBound is how long what was sent may stay unconfirmed.
	unconfirmedBound = 4 * time.Second
	// engineHeaderBytes and serviceHeaderBytes bound the head of an answer.
	// Each open stream holds a buffer of this size.
	engineHeaderBytes  = 4 << 10
	serviceHeaderBytes = 16 << 10
)

// conn is one connection to an endpoint. One goroutine may use it.
type conn struct {
	net.Conn
	br *bufio.Reader
	// silence bounds each read; 0 leaves it to the context.
	silence time.Duration
	idleAt  time.Time
	// keepIdle is how long the connection may stay idle.
	keepIdle time.Duration
	reused   bool
	// written counts the bytes that the kernel took.
	written int
	// stop unties the connection from the context of its request.
	stop func() bool
}

// Read refreshes the bound before each read, so that every byte that comes,
// a heartbeat's too, counts as life.
func (c *conn) Read(p []byte) (int, error) {
	if c.silence > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write counts what left, so that an error can say whether anything did.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// bind lets ctx end what blocks on the connection, by closing it.
func (c *conn) bind(ctx context.Context) {
	c.stop = context.AfterFunc(ctx, func() { _ = c.Conn.Close() })
}

// Silent reports whether an error of a call is that nothing came for too long.
func Silent(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// send writes one request. The error is of kind Unavailable only if no byte of
// it left.
func (c *conn) send(req *fasthttp.Request) error {
	c.written = 0
	bw := bufio.NewWriter(c)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	if err != nil && c.written == 0 {
		return fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "send to endpoint")
	}
	return broken(err)
}

// pool keeps idle connections to one endpoint. Any goroutine may use it.
type pool struct {
	addr        string
	dialTimeout time.Duration
	// headerBytes bounds the head of an answer.
	headerBytes int
	// keepIdle is how long a connection may have been idle and still be used
	// again; 0 means idleBound.
	keepIdle time.Duration

	mu   sync.Mutex
	idle []*conn
	// pruning is set while a prune is due.
	pruning bool
}

// get returns a connection bound to ctx: an idle one, or a new one where none
// is left or fresh is set. The error is of kind Unavailable.
func (p *pool) get(ctx context.Context, fresh bool, silence time.Duration) (*conn, error) {
	c := p.takeIdle(fresh)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	c.silence = silence
	c.bind(ctx)
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		Control:         sockstate.UserTimeout(unconfirmedBound),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes},
	}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "dial endpoint %s", p.addr)
	}
	c := &conn{Conn: nc}
	c.br = bufio.NewReaderSize(c, p.headerBytes)
	return c, nil
}

// takeIdle returns the connection used last that can still be used. An
// endpoint that restarted has closed its connections; a request sent on one of
// them would break, and nobody could say whether it ran. Asking the socket
// shows the close.
func (p *pool) takeIdle(fresh bool) *conn {
	if fresh {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.idleAt) < c.keepIdle && sockstate.Of(c.Conn) == sockstate.Idle {
			c.reused = true
			return c
		}
		_ = c.Conn.Close()
	}
	return nil
}

// put gives a connection back after a whole answer was read from it.
func (p *pool) put(c *conn) {
	if !c.stop() || c.br.Buffered() > 0 {
		_ = c.Conn.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	c.idleAt = time.Now()
	c.keepIdle = p.bound(c.keepIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = p.idle[0].Conn.Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.idle = append(p.idle, c)
	if !p.pruning {
		p.pruning = true
		time.AfterFunc(p.bound(0), p.prune)
	}
}

// bound is how long a connection stays usable whose endpoint closes it after
// stated; 0 where the endpoint does not say.
func (p *pool) bound(stated time.Duration) time.Duration {
	own := p.keepIdle
	if own == 0 {
		own = idleBound
	}
	if stated > 0 {
		return min(own, stated)
	}
	return own
}

// prune closes connections that were idle for too long to be used again. Kept
// open, those to hundreds of endpoints would use up the file descriptors that
// callers need.
func (p *pool) prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleAt) < c.keepIdle {
			kept = append(kept, c)
			continue
		}
		_ = c.Conn.Close()
	}
	p.idle = kept
	p.pruning = len(p.idle) > 0
	if p.pruning {
		time.AfterFunc(max(p.bound(0)/4, p.bound(0)-time.Since(p.idle[0].idleAt)), p.prune)
	}
}

// drop closes a connection that can't be used again.
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
