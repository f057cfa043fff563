package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// clientIdleTimeout is how long an unused connection is kept.
	clientIdleTimeout = 30 * time.Second
	// maxIdlePerPeer is how many unused connections to one peer are kept.
	maxIdlePerPeer = 4
	// maxCallsPerPeer limits the open calls to one peer, including those whose
	// reply the peer delays. In a burst of requests for one hot endpoint, the
	// excess calls fail at once and the calling instance decides by its own view,
	// instead of overloading the endpoint's owner.
	maxCallsPerPeer = 256
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for production use.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client calls peers. It is safe for concurrent use. A call blocks at most for its
// timeout. The peer may receive a call twice, so that all messages have to be
// idempotent.
type Client struct {
	dial    Dialer
	keys    *Keys
	traffic *Traffic

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// peer is the client's state for one address.
type peer struct {
	idle      []idleConn
	openCalls int
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewClient returns a client without connections. If keys is nil, it does not use
// TLS.
func NewClient(dial Dialer, keys *Keys, traffic *Traffic) *Client {
	return &Client{dial: dial, keys: keys, traffic: traffic, peers: map[string]*peer{}}
}

// Close closes all idle connections. Open calls continue until their timeout at
// the longest.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.peers {
		c.closeIdleLocked(address)
	}
}

// Ask calls the peer's Ask.
func (c *Client) Ask(ctx context.Context, address string, timeout time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return call(ctx, c, address, timeout, in, fleetpb.DRPCFleetClient.Ask)
}

// Report calls the peer's Report.
func (c *Client) Report(ctx context.Context, address string, timeout time.Duration, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return call(ctx, c, address, timeout, in, fleetpb.DRPCFleetClient.Report)
}

// Exchange calls the peer's Exchange.
func (c *Client) Exchange(ctx context.Context, address string, timeout time.Duration, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return call(ctx, c, address, timeout, in, fleetpb.DRPCFleetClient.Exchange)
}

// Warn calls the peer's Warn.
func (c *Client) Warn(ctx context.Context, address string, timeout time.Duration, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	return call(ctx, c, address, timeout, in, fleetpb.DRPCFleetClient.Warn)
}

// HandOver calls the peer's HandOver.
func (c *Client) HandOver(ctx context.Context, address string, timeout time.Duration, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	return call(ctx, c, address, timeout, in, fleetpb.DRPCFleetClient.HandOver)
}

type method[In, Out any] func(fleetpb.DRPCFleetClient, context.Context, In) (Out, error)

// call runs one call. A middlebox, such as a NAT gateway, may have lost the state
// of a reused connection: calls on it then get no answer, while new connections
// work. So a call on a reused connection gets half of the timeout, and if it fails
// the rest is for a second try on a new connection. The peer's other idle
// connections are closed too, as they took the same path.
func call[In, Out any](ctx context.Context, c *Client, address string, timeout time.Duration, in In, do method[In, Out]) (Out, error) {
	var zero Out
	if !c.acquire(address) {
		callsRefused.Inc()
		return zero, fault.New(fault.Overloaded, "ask another instance", "too many open calls to %s", address)
	}
	defer c.release(address)
	c.traffic.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if conn := c.takeIdle(address); conn != nil {
		halfCtx, cancelHalf := context.WithTimeout(ctx, timeout/2)
		out, err := do(fleetpb.NewDRPCFleetClient(conn), halfCtx, in)
		cancelHalf()
		if answered(err) {
			c.putIdle(address, conn)
			return out, wrapRefusal(err, address)
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return zero, c.wrapFailure(ctx.Err(), address)
		}
		c.closeIdle(address)
		staleConnections.Inc()
	}
	return callOnNewConn(ctx, c, address, in, do)
}

// callOnNewConn runs one call on a new connection, which is kept if it works.
func callOnNewConn[In, Out any](ctx context.Context, c *Client, address string, in In, do method[In, Out]) (Out, error) {
	var zero Out
	conn, err := c.open(ctx, address)
	if err != nil {
		return zero, c.wrapFailure(err, address)
	}
	out, err := do(fleetpb.NewDRPCFleetClient(conn), ctx, in)
	if !answered(err) {
		_ = conn.Close()
		return zero, c.wrapFailure(err, address)
	}
	c.putIdle(address, conn)
	return out, wrapRefusal(err, address)
}

// answered reports whether the peer answered the call, be it by an error. If not,
// the connection failed.
func answered(err error) bool { return err == nil || drpcerr.Code(err) == codeRefused }

// wrapRefusal wraps the error that a peer answered with. It returns nil for nil.
func wrapRefusal(err error, address string) error {
	return fault.Wrap(err, fault.Unauthorized, "check the peer's fleet name", "instance %s refused the call", address)
}

// wrapFailure counts the failure of a call without an answer and wraps its error.
func (c *Client) wrapFailure(err error, address string) error {
	c.traffic.CallsFailed.Add(1)
	callFailures.Inc()
	return fault.Wrap(err, fault.Unavailable, "check that the instance runs and can be reached", "call instance %s", address)
}

// open dials the peer and, with keys, does the TLS handshake.
func (c *Client) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dials.Inc()
	c.traffic.Dials.Add(1)
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = &countedConn{raw, c.traffic}
	if c.keys != nil {
		secured := tls.Client(conn, c.keys.config())
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		conn = secured
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}}), nil
}

// acquire registers a call to the peer. It returns false if too many are open.
func (c *Client) acquire(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	if p.openCalls >= maxCallsPerPeer {
		return false
	}
	p.openCalls++
	return true
}

// release ends a call that acquire registered.
func (c *Client) release(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	p.openCalls--
	if p.openCalls == 0 && len(p.idle) == 0 {
		delete(c.peers, address)
	}
}

// takeIdle removes and returns the most recently used idle connection to the peer,
// or returns nil.
func (c *Client) takeIdle(address string) *drpcconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-last.conn.Closed():
			continue
		default:
		}
		if time.Since(last.since) < clientIdleTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// putIdle keeps the connection for later calls, or closes it if enough are kept.
func (c *Client) putIdle(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if c.closed || len(p.idle) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn, time.Now()})
}

func (c *Client) closeIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdleLocked(address)
}

// closeIdleLocked closes the peer's idle connections. The caller holds c.mu.
func (c *Client) closeIdleLocked(address string) {
	p := c.peers[address]
	if p == nil {
		return
	}
	for _, i := range p.idle {
		_ = i.conn.Close()
	}
	p.idle = nil
}

// Sweep closes connections that were idle for too long. It is to be called
// regularly, so that the state of peers that left the fleet is freed.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		kept := p.idle[:0]
		for _, i := range p.idle {
			if time.Since(i.since) < clientIdleTimeout {
				kept = append(kept, i)
				continue
			}
			_ = i.conn.Close()
		}
		p.idle = kept
		if p.openCalls == 0 && len(p.idle) == 0 {
			delete(c.peers, address)
		}
	}
}
