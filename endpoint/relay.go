package endpoint

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// writeAside is the size above which a request is written by a goroutine of its
// own: an endpoint may answer before it has read a long body, and the answer
// would otherwise not be seen before the endpoint had read the rest.
const writeAside = 16 << 10

// staleShare is the part of the time after which an endpoint says that it
// closes an idle connection, during which the connection is used again. The rest
// is room for a request that crosses the close on the way.
const staleShare = 0.7

// Relay passes requests on to one endpoint as they are. Any goroutine may use
// it.
type Relay struct {
	pool pool
}

// NewRelay returns a relay to the endpoint at addr. Connections are kept for
// keepIdle, or for less where the endpoint says so.
func NewRelay(addr string, dialTimeout, keepIdle time.Duration) *Relay {
	return &Relay{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: serviceHeaderBytes, keepIdle: keepIdle}}
}

// Close closes the idle connections.
func (r *Relay) Close() { r.pool.closeIdle() }

// Reach reports whether a new connection to the endpoint can be made. It is kept for
// the next request.
func (r *Relay) Reach(ctx context.Context) error {
	cn, err := r.pool.get(ctx, true, 0)
	if err != nil {
		return err
	}
	r.pool.put(cn)
	return nil
}

// Outgoing is one request as it goes over the wire.
type Outgoing struct {
	// Head ends with the empty line.
	Head, Body []byte
	// Accept tells whether an answer belongs to the request. An endpoint may
	// write a second answer to an earlier request late, where the answer to
	// this one is due; such answers are read and thrown away.
	Accept func(*fasthttp.ResponseHeader) bool
	// Fresh asks for a connection that was not used before.
	Fresh bool
	// Bodiless says that an answer has no body, whatever its head says.
	Bodiless bool
}

// Incoming is the answer to an Outgoing. One goroutine may use it, and has to
// call Finish or Drop once.
type Incoming struct {
	answer  answer
	pool    *pool
	written chan error
}

// maxForeign bounds the answers to other requests that are thrown away before
// the connection is given up.
const maxForeign = 3

// Open sends the request once and reads the head of its answer. An error of
// kind fault.Unavailable says that nothing was sent; after any other error the
// request may have run. ctx also bounds the reading of the body.
func (r *Relay) Open(ctx context.Context, o Outgoing) (*Incoming, error) {
	cn, err := r.pool.get(ctx, o.Fresh, 0)
	if err != nil {
		return nil, err
	}
	in := &Incoming{answer: answer{conn: cn}, pool: &r.pool}
	if err := in.send(o); err != nil {
		cn.drop()
		return nil, err
	}
	for range maxForeign {
		if err = in.answer.readHeader(o.Bodiless); err != nil {
			break
		}
		if o.Accept == nil || o.Accept(&in.answer.header) {
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

// send writes the request. A long one is written on while the answer is read.
func (in *Incoming) send(o Outgoing) error {
	c := in.answer.conn
	c.written = 0
	data := append(o.Head, o.Body...)
	if len(data) > writeAside {
		in.written = make(chan error, 1)
		go func() {
			_, err := c.Conn.Write(data)
			in.written <- err
		}()
		return nil
	}
	_, err := c.Write(data)
	if err != nil && c.written == 0 {
		return fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "send to endpoint")
	}
	return broken(err)
}

// skip reads an answer that belongs to another request to its end.
func (in *Incoming) skip() error {
	if in.answer.identity {
		return fault.New(fault.Broken, "look at the endpoint's log", "an answer to another request has no end")
	}
	if _, err := in.answer.readAll(); err != nil {
		return err
	}
	if !in.answer.readTail() {
		return fault.New(fault.Broken, "look at the endpoint's log", "an answer to another request has no end")
	}
	in.answer.chunked = false
	return nil
}

// Header returns the answer's head, which is valid until Finish or Drop.
func (in *Incoming) Header() *fasthttp.ResponseHeader { return &in.answer.header }

// Body reads the answer; one that is cut short ends with an error.
func (in *Incoming) Body() io.Reader { return in.answer.body }

// ReadAll reads the rest of the answer; one cut short is an error.
func (in *Incoming) ReadAll() ([]byte, error) { return in.answer.readAll() }

// Finish gives the connection back. The body must have been read to its end.
func (in *Incoming) Finish() {
	if !in.wholeRequestWritten() {
		// The endpoint still waits for the rest of this request's body; the
		// next request's bytes would be taken for it.
		in.Drop()
		return
	}
	in.answer.conn.keepIdle = statedIdle(&in.answer.header)
	in.answer.finish(in.pool)
}

func (in *Incoming) wholeRequestWritten() bool {
	if in.written == nil {
		return true
	}
	select {
	case err := <-in.written:
		return err == nil
	default:
		return false
	}
}

// Drop closes the connection, which tells the endpoint to stop.
func (in *Incoming) Drop() { in.answer.conn.drop() }

// statedIdle reads how long the endpoint keeps an idle connection; 0 where it
// does not say.
func statedIdle(h *fasthttp.ResponseHeader) time.Duration {
	for part := range bytes.SplitSeq(h.Peek("Keep-Alive"), []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !bytes.EqualFold(name, []byte("timeout")) {
			continue
		}
		if s, err := strconv.Atoi(string(value)); err == nil && s > 0 {
			return time.Duration(float64(s) * staleShare * float64(time.Second))
		}
	}
	return 0
}
