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
	// clientIdle is how long a connection is kept without a call.
	clientIdle = 30 * time.Second
	// idlePerPeer connections are kept for the next calls.
	idlePerPeer = 4
	// callsPerPeer bounds the open calls to one peer, held-back replies
	// included. A burst of requests for one hot endpoint then fails over to
	// the caller's own view at once instead of burying the endpoint's owner.
	callsPerPeer = 256
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer of production.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Client calls peers. All methods may be called by any goroutine; they block
// at most for their bound. Every call may reach the peer twice, so that all
// messages are idempotent.
type Client struct {
	dial    Dialer
	keys    *Keys
	traffic *Traffic

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// peer is what the client holds for one address.
type peer struct {
	idle []idleConn
	open int
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// NewClient returns a client without connections. Keys may be nil.
func NewClient(dial Dialer, keys *Keys, traffic *Traffic) *Client {
	return &Client{dial: dial, keys: keys, traffic: traffic, peers: map[string]*peer{}}
}

// Close ends all idle connections; open calls end by their bound.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address := range c.peers {
		c.dropIdle(address)
	}
}

// Ask calls the peer's Ask.
func (c *Client) Ask(ctx context.Context, address string, bound time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	return call(ctx, c, address, bound, in, fleetpb.DRPCFleetClient.Ask)
}

// Report calls the peer's Report.
func (c *Client) Report(ctx context.Context, address string, bound time.Duration, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	return call(ctx, c, address, bound, in, fleetpb.DRPCFleetClient.Report)
}

// Exchange calls the peer's Exchange.
func (c *Client) Exchange(ctx context.Context, address string, bound time.Duration, in *fleetpb.ExchangeRequest) (*fleetpb.ExchangeReply, error) {
	return call(ctx, c, address, bound, in, fleetpb.DRPCFleetClient.Exchange)
}

// Warn calls the peer's Warn.
func (c *Client) Warn(ctx context.Context, address string, bound time.Duration, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	return call(ctx, c, address, bound, in, fleetpb.DRPCFleetClient.Warn)
}

// HandOver calls the peer's HandOver.
func (c *Client) HandOver(ctx context.Context, address string, bound time.Duration, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	return call(ctx, c, address, bound, in, fleetpb.DRPCFleetClient.HandOver)
}

type method[In, Out any] func(fleetpb.DRPCFleetClient, context.Context, In) (Out, error)

// call runs one call. A connection that was used before may have been
// forgotten by something between the two ends: calls on it then get no answer,
// while new connections work. So a reused connection gets half of the bound,
// and what is left goes to a new one; the peer's other idle connections are
// dropped with it, as they went the same way.
func call[In, Out any](ctx context.Context, c *Client, address string, bound time.Duration, in In, do method[In, Out]) (Out, error) {
	var none Out
	if !c.begin(address) {
		callsRefused.Inc()
		return none, fault.New(fault.Overloaded, "ask another instance", "too many open calls to %s", address)
	}
	defer c.end(address)
	c.traffic.Calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if conn := c.takeIdle(address); conn != nil {
		half, cancelHalf := context.WithTimeout(ctx, bound/2)
		out, err := do(fleetpb.NewDRPCFleetClient(conn), half, in)
		cancelHalf()
		if answered(err) {
			c.putIdle(address, conn)
			return out, refused(err, address)
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return none, c.lost(ctx.Err(), address)
		}
		c.drop(address)
		staleConnections.Inc()
	}
	return callNew(ctx, c, address, in, do)
}

func callNew[In, Out any](ctx context.Context, c *Client, address string, in In, do method[In, Out]) (Out, error) {
	var none Out
	conn, err := c.open(ctx, address)
	if err != nil {
		return none, c.lost(err, address)
	}
	out, err := do(fleetpb.NewDRPCFleetClient(conn), ctx, in)
	if !answered(err) {
		_ = conn.Close()
		return none, c.lost(err, address)
	}
	c.putIdle(address, conn)
	return out, refused(err, address)
}

// answered tells a peer's refusal, which came over a whole connection, from
// the failure of the connection.
func answered(err error) bool { return err == nil || drpcerr.Code(err) == codeRefused }

func refused(err error, address string) error {
	return fault.Wrap(err, fault.Unauthorized, "check the peer's fleet name", "instance %s refused the call", address)
}

func (c *Client) lost(err error, address string) error {
	c.traffic.CallsLost.Add(1)
	callFailures.Inc()
	return fault.Wrap(err, fault.Unavailable, "check that the instance runs and can be reached", "call instance %s", address)
}

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

func (c *Client) begin(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	if p.open >= callsPerPeer {
		return false
	}
	p.open++
	return true
}

func (c *Client) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	p.open--
	if p.open == 0 && len(p.idle) == 0 {
		delete(c.peers, address)
	}
}

// takeIdle returns the connection that was used last, or nil.
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
		if time.Since(last.since) < clientIdle {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (c *Client) putIdle(address string, conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if c.closed || len(p.idle) >= idlePerPeer {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn, time.Now()})
}

func (c *Client) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropIdle(address)
}

func (c *Client) dropIdle(address string) {
	p := c.peers[address]
	if p == nil {
		return
	}
	for _, i := range p.idle {
		_ = i.conn.Close()
	}
	p.idle = nil
}

// Sweep closes connections that were idle for too long. The fleet's duty calls
// it now and then, so that peers which are gone keep nothing here.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		kept := p.idle[:0]
		for _, i := range p.idle {
			if time.Since(i.since) < clientIdle {
				kept = append(kept, i)
				continue
			}
			_ = i.conn.Close()
		}
		p.idle = kept
		if p.open == 0 && len(p.idle) == 0 {
			delete(c.peers, address)
		}
	}
}
