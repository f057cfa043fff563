package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// Client speaks the engine protocol over HTTP. It manages its connections
// itself and uses fasthttp for the messages only: a client library's own
// retries could run a request twice without the router knowing.
type Client struct {
	addr        string
	dialTimeout time.Duration
	silence     time.Duration
}

// NewClient returns a client of the engine at addr. An open stream that brings
// nothing for the silence bound is given up as broken.
func NewClient(addr string, dialTimeout, silence time.Duration) *Client {
	return &Client{addr: addr, dialTimeout: dialTimeout, silence: silence}
}

// Generate sends a request; see Engine.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(r.Path)
	req.SetHost(c.addr)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", r.ID)
	req.SetBodyRaw(r.Body)
	return c.open(ctx, &req)
}

// Resume goes on with a stream; see Generator.
func (c *Client) Resume(ctx context.Context, id string, after int64) (Stream, error) {
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/streams/" + id + "/resume")
	req.SetHost(c.addr)
	req.Header.Set("Last-Event-ID", id+"/"+strconv.FormatInt(after, 10))
	return c.open(ctx, &req)
}

// Cancel ends the engine's work on a request; see Generator.
func (c *Client) Cancel(ctx context.Context, id string) error {
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("/v1/streams/" + id)
	req.SetHost(c.addr)
	s, err := c.open(ctx, &req)
	if err != nil {
		return err
	}
	s.Close()
	return nil
}

func (c *Client) open(ctx context.Context, req *fasthttp.Request) (Stream, error) {
	d := net.Dialer{Timeout: c.dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the endpoint runs", "dial endpoint %s", c.addr)
	}
	s := &httpStream{conn: conn, br: bufio.NewReader(conn), silence: c.silence}
	if err := s.start(req); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// httpStream reads server-sent events from one connection.
type httpStream struct {
	conn    net.Conn
	br      *bufio.Reader
	body    *bufio.Reader
	silence time.Duration
	header  fasthttp.ResponseHeader
	event   eventReader
}

func (s *httpStream) start(req *fasthttp.Request) error {
	bw := bufio.NewWriter(s.conn)
	if err := req.Write(bw); err != nil {
		return broken(err)
	}
	if err := bw.Flush(); err != nil {
		return broken(err)
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
		return broken(err)
	}
	if err := s.header.Read(s.br); err != nil {
		return broken(err)
	}
	if s.header.StatusCode() != fasthttp.StatusOK {
		return fault.New(fault.Broken, "look at the endpoint's log", "endpoint answered status %d", s.header.StatusCode())
	}
	s.body = bufio.NewReader(httputil.NewChunkedReader(s.br))
	s.event.r = s.body
	return nil
}

func broken(err error) error {
	return fault.Wrap(err, fault.Broken, "the router resumes the request by itself", "stream from endpoint")
}

// Incarnation implements Stream.
func (s *httpStream) Incarnation() uint64 {
	n, _ := strconv.ParseUint(string(s.header.Peek("X-Engine-Incarnation")), 10, 64)
	return n
}

// ModelVersion implements Stream.
func (s *httpStream) ModelVersion() string { return string(s.header.Peek("X-Model-Version")) }

// Next implements Stream.
func (s *httpStream) Next() (Piece, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
		return Piece{}, broken(err)
	}
	p, err := s.event.next()
	if err == io.EOF {
		return Piece{}, io.EOF
	}
	if err != nil {
		return Piece{}, broken(err)
	}
	return p, nil
}

// Close implements Stream.
func (s *httpStream) Close() { _ = s.conn.Close() }
