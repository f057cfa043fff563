package endpoint

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// Client speaks the engine protocol over HTTP. It manages its connections
// itself and uses fasthttp for the messages only: a client library's own
// retries could run a request twice without the router knowing. Any goroutine
// may use it.
type Client struct {
	pool    pool
	silence time.Duration
}

// NewClient returns a client of the engine at addr. A connection that brings
// nothing for the silence bound, while something is expected on it, is given
// up as broken.
func NewClient(addr string, dialTimeout, silence time.Duration) *Client {
	return &Client{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: engineHeaderBytes}, silence: silence}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeIdle() }

// request returns a request; path may carry a query.
func (c *Client) request(method, path string, body []byte) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetHost(c.pool.addr)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return req
}

// Generate sends a request; see Generator.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	req := c.request(fasthttp.MethodPost, r.Path, r.Body)
	req.Header.Set("X-Request-Id", r.ID)
	return c.stream(ctx, req, r.Fresh)
}

// Resume goes on with a stream; see Generator.
func (c *Client) Resume(ctx context.Context, id string, after int64) (Stream, error) {
	req := c.request(fasthttp.MethodPost, streamPath(id)+"/resume", nil)
	req.Header.Set("Last-Event-ID", id+"/"+strconv.FormatInt(after, 10))
	return c.stream(ctx, req, true)
}

// Cancel ends the engine's work on a request; see Generator.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, c.request(fasthttp.MethodDelete, streamPath(id), nil), false)
	return err
}

// State reads the engine's own word on a new connection, so that it also tells
// whether new connections work while an open one is silent.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.read(ctx, "/v1/state", true, &s)
	return s, err
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var l LoadReport
	err := c.read(ctx, "/v1/load", false, &l)
	return l, err
}

// Order tells the engine to change; see Controller.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report it", "encode an order")
	}
	_, err = c.call(ctx, c.request(fasthttp.MethodPost, "/v1/orders", body), true)
	return err
}

// Export keeps blocks; see Controller.
func (c *Client) Export(ctx context.Context, h KVHandle) (int, error) {
	return c.keptCache(ctx, "/v1/kv/export", h)
}

// Import takes kept blocks in; see Controller.
func (c *Client) Import(ctx context.Context, h KVHandle) (int, error) {
	return c.keptCache(ctx, "/v1/kv/import", h)
}

func (c *Client) keptCache(ctx context.Context, path string, h KVHandle) (int, error) {
	body, err := json.Marshal(h)
	if err != nil {
		return 0, fault.Wrap(err, fault.Internal, "report it", "encode a handle")
	}
	data, err := c.call(ctx, c.request(fasthttp.MethodPost, path, body), false)
	if err != nil {
		return 0, err
	}
	var n struct {
		Blocks int `json:"blocks"`
	}
	err = json.Unmarshal(data, &n)
	return n.Blocks, fault.Wrap(err, fault.Broken, "check the engine's version", "decode %s", path)
}

func (c *Client) read(ctx context.Context, path string, fresh bool, out any) error {
	data, err := c.call(ctx, c.request(fasthttp.MethodGet, path, nil), fresh)
	if err != nil {
		return err
	}
	return fault.Wrap(json.Unmarshal(data, out), fault.Broken, "check the engine's version", "decode %s", path)
}

// call sends a request once and reads its whole answer.
func (c *Client) call(ctx context.Context, req *fasthttp.Request, fresh bool) ([]byte, error) {
	a, err := c.open(ctx, req, fresh)
	if err != nil {
		return nil, err
	}
	body, err := a.readAll()
	if err != nil {
		a.conn.drop()
		return nil, err
	}
	a.finish(&c.pool)
	return body, nil
}

// open sends a request once and reads the head of the answer.
func (c *Client) open(ctx context.Context, req *fasthttp.Request, fresh bool) (*answer, error) {
	cn, err := c.pool.get(ctx, fresh, c.silence)
	if err != nil {
		return nil, err
	}
	a := &answer{conn: cn}
	if err = cn.send(req); err == nil {
		err = a.readHeader(false)
	}
	if err == nil && a.header.StatusCode() >= 300 {
		err = a.statusError()
	}
	if err != nil {
		cn.drop()
		return nil, err
	}
	return a, nil
}

func (c *Client) stream(ctx context.Context, req *fasthttp.Request, fresh bool) (Stream, error) {
	a, err := c.open(ctx, req, fresh)
	if err != nil {
		return nil, err
	}
	return newStream(a, &c.pool), nil
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }
