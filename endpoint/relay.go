package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/attribution"
	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/sockstate"
)

// asyncWriteBytes is the size above which a request is written by a separate goroutine: an
// endpoint may answer before it has read a long body, and the answer would otherwise not be read
// until the endpoint had read the rest.
const asyncWriteBytes = 16 << 10

// idleReuseShare is the share of an endpoint's stated keep-alive time-out within which an idle
// connection is reused. The rest is a margin for a request that is on its way while the endpoint
// closes the connection.
const idleReuseShare = 0.7

// Relay forwards requests to one endpoint unchanged. It is safe for concurrent use.
type Relay struct {
	pool pool
}

// LimitIdle sets the function that returns the maximum number of idle connections. It has to be called
// before the relay is used.
func (r *Relay) LimitIdle(maxIdle func() int) { r.pool.maxIdle = maxIdle }

// SetDialer replaces the dial of new connections. It has to be called before the relay is used.
func (r *Relay) SetDialer(d Dialer) { r.pool.dialer = d }

// SetIntake sets what bounds the bodies that are read whole, in sum with those of other relays. It has to be called before the
// relay is used.
func (r *Relay) SetIntake(i *bufferlimit.Intake) { r.pool.intake = i }

// NewRelay returns a relay to the endpoint at addr. Idle connections are reused for idleTimeout,
// or for less if the endpoint states a shorter keep-alive time-out.
func NewRelay(addr string, dialTimeout, idleTimeout time.Duration) *Relay {
	return &Relay{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: serviceHeaderBytes, idleTimeout: idleTimeout}}
}

// Close closes the idle connections.
func (r *Relay) Close() { r.pool.closeIdle() }

// HasIdle reports whether there is an open connection that can be reused.
func (r *Relay) HasIdle() bool { return r.pool.hasIdle() }

// Probe dials the endpoint and returns an error if that fails. The connection is kept for the
// next request.
func (r *Relay) Probe(ctx context.Context) error { return r.pool.probe(ctx) }

// Outgoing is one request as sent on the wire.
type Outgoing struct {
	// Head is the request line and header, with the empty line that ends them.
	Head, Body []byte
	// Request is the ID that the head states; empty if it states none. The request is sent on no connection on which one
	// with the same ID was sent before.
	Request string
	// Accept reports whether a response belongs to the request. An endpoint may write a second
	// response to an earlier request late, where the response to this one is due; responses that
	// are not accepted are read and discarded.
	Accept func(*fasthttp.ResponseHeader, attribution.Circumstances) bool
	// Ready, if set, is called once there is a connection. If it returns an error, nothing is sent and
	// Open returns that error.
	Ready func() error
	// Abort has the kernel discard what the endpoint has not acknowledged when the call ends without a
	// response, also by the end of the process, and when the deadline of ctx has passed, also while the process is
	// paused. Otherwise it would go on to retransmit the request.
	Abort bool
	// Fresh requires a connection that was not used before.
	Fresh bool
	// Send, if set, writes a request that is written in the background. The connection stays the relay's.
	Send func(c net.Conn, data []byte) (int, error)
	// Bodiless states that the response has no body, whatever its header says.
	Bodiless bool
}

// Incoming is the response to an Outgoing. It is not safe for concurrent use. Finish or Drop has
// to be called once.
type Incoming struct {
	response response
	pool     *pool
	// upload is the request if it is written while the response is read; nil if it was written before.
	upload *upload
}

// maxSkipped bounds the responses to other requests that are discarded before the connection is
// closed.
const maxSkipped = 3

// Open sends the request once and reads the header of its response. An error of kind
// fault.Unavailable means that nothing was sent; after any other error the request may have run.
// ctx also bounds the reading of the body.
func (r *Relay) Open(ctx context.Context, o Outgoing) (*Incoming, error) {
	cn, err := r.pool.get(ctx, use{fresh: o.Fresh, request: o.Request})
	if err != nil {
		return nil, err
	}
	if o.Abort {
		cn.abortOnClose(ctx)
	}
	if o.Ready != nil {
		if err := o.Ready(); err != nil {
			r.pool.put(cn)
			return nil, err
		}
	}
	in := &Incoming{response: response{conn: cn}, pool: &r.pool}
	on := cn.history.Circumstances(o.Request)
	if err := in.send(o); err != nil {
		cn.drop()
		return nil, err
	}
	for range maxSkipped {
		if err = in.response.readHeader(o.Bodiless); err != nil {
			break
		}
		on.Early = in.upload != nil && !in.upload.ended()
		if o.Accept == nil || o.Accept(&in.response.header, on) {
			in.checkUnframedEnd()
			return in, nil
		}
		if err = in.skip(); err != nil {
			break
		}
		err = fault.New(fault.Broken, "look at the endpoint's log", "answers to other requests came in place of this one's")
	}
	cn.drop()
	return nil, err
}

// RoundTrip sends the request once and returns the status and the whole body of its response, with the errors of Open and ReadAll.
// seen, if set, is called with the header of the response, also if the body then breaks off.
func (r *Relay) RoundTrip(ctx context.Context, o Outgoing, seen func(*fasthttp.ResponseHeader)) (status int, body []byte, err error) {
	in, err := r.Open(ctx, o)
	if err != nil {
		return 0, nil, err
	}
	if seen != nil {
		seen(in.Header())
	}
	body, err = in.ReadAll()
	if err != nil {
		in.Drop()
		return 0, nil, err
	}
	status = in.Header().StatusCode()
	in.Finish()
	return status, body, nil
}

// send writes the request. A long one is written in the background while the response is read.
func (in *Incoming) send(o Outgoing) error {
	c := in.response.conn
	c.history.Add(o.Request)
	c.written = 0
	data := append(o.Head, o.Body...)
	if len(data) > asyncWriteBytes {
		in.upload = newUpload()
		write := func(c net.Conn, data []byte) (int, error) { return c.Write(data) }
		if o.Send != nil {
			write = o.Send
		}
		go func() {
			_, err := write(c.Conn, data)
			in.upload.end(err)
		}()
		return nil
	}
	_, err := c.Write(data)
	if err != nil && c.written == 0 {
		return fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "send to endpoint")
	}
	return brokenError(err)
}

// skip reads a response to another request to its end.
func (in *Incoming) skip() error {
	if in.response.framing == ByClose {
		return fault.New(fault.Broken, "look at the endpoint's log", "an answer to another request has no end")
	}
	if err := in.response.discard(); err != nil {
		return err
	}
	if !in.response.readTail() {
		return fault.New(fault.Broken, "look at the endpoint's log", "an answer to another request has no end")
	}
	return nil
}

// Framing returns how the end of the body is recognised.
func (in *Incoming) Framing() Framing { return in.response.framing }

// Header returns the header of the response. It is valid until Finish or Drop.
func (in *Incoming) Header() *fasthttp.ResponseHeader { return &in.response.header }

// ConnectedAt returns when the connection was made.
func (in *Incoming) ConnectedAt() time.Time { return in.response.conn.madeAt }

// Body returns a reader of the body. A truncated body ends with an error.
func (in *Incoming) Body() io.Reader { return in.response.body }

// Discard reads the rest of a body that nobody wants, so that the connection can be used again. It returns an error if that is too
// much.
func (in *Incoming) Discard() error { return in.response.discard() }

// ReadAll reads the rest of the body. A truncated body is an error, as is one for which memory is used up.
func (in *Incoming) ReadAll() ([]byte, error) { return in.response.readAll() }

// Unread returns how many bytes of the response wait in the kernel, 0 if that is not known. It may be called at any
// time, also by other goroutines.
func (in *Incoming) Unread() int {
	n, _ := sockstate.Unread(in.response.conn.Conn)
	return n
}

// unreadBytes bounds what the kernel receives before it is read, once LimitUnread was called.
const unreadBytes = 32 << 10

// LimitUnread bounds what the kernel receives before it is read. The connection is not used for another request. It
// may be called at any time, also by other goroutines.
func (in *Incoming) LimitUnread() {
	c, ok := in.response.conn.Conn.(interface{ SetReadBuffer(bytes int) error })
	if ok && !in.response.conn.limited.Swap(true) {
		// If the kernel refuses, the bound on all held bytes still applies.
		_ = c.SetReadBuffer(unreadBytes)
	}
}

// Finish returns the connection to the pool. The body must have been read to its end.
func (in *Incoming) Finish() {
	if in.upload != nil && !(in.upload.ended() && in.upload.err == nil) {
		// The endpoint still expects the rest of this request's body and would take the next
		// request's bytes for it.
		in.Drop()
		return
	}
	in.response.conn.idleTimeout = keepAliveTimeout(&in.response.header)
	in.response.finish(in.pool)
}

// Drop closes the connection, which signals the endpoint to stop its work on the request.
func (in *Incoming) Drop() { in.response.conn.drop() }

// keepAliveTimeout returns how long to reuse an idle connection according to the response's
// Keep-Alive header; 0 if the header states no time-out.
func keepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for part := range bytes.SplitSeq(h.Peek("Keep-Alive"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !bytes.EqualFold(name, []byte("timeout")) {
			continue
		}
		if s, err := strconv.Atoi(string(value)); err == nil && s > 0 {
			return time.Duration(float64(s) * idleReuseShare * float64(time.Second))
		}
	}
	return 0
}
