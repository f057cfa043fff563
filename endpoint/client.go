package endpoint

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/attribution"
	"github.com/sardinedock/sardinedock/fault"
)

// Client implements Engine over HTTP. It manages its connections itself and uses fasthttp for
// the messages only: the automatic retries of an HTTP client could run a request twice without
// the router knowing. It is safe for concurrent use.
type Client struct {
	pool        pool
	readTimeout time.Duration
}

// NewClient returns a client of the engine at addr. A connection on which nothing is received
// for readTimeout, while a response is expected, is closed as broken.
func NewClient(addr string, dialTimeout, readTimeout time.Duration) *Client {
	return &Client{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: engineHeaderBytes}, readTimeout: readTimeout}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.closeIdle() }

// request returns a request to the engine. path may have a query.
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

// Generate implements Generator.
func (c *Client) Generate(ctx context.Context, r Request) (Stream, error) {
	req := c.request(fasthttp.MethodPost, r.Path, r.Body)
	req.Header.Set(headerRequestID, r.ID)
	return c.stream(ctx, req, r.Fresh)
}

// Resume implements Generator.
func (c *Client) Resume(ctx context.Context, id string, after int64) (Stream, error) {
	req := c.request(fasthttp.MethodPost, streamPath(id)+"/resume", nil)
	req.Header.Set("Last-Event-ID", id+"/"+strconv.FormatInt(after, 10))
	return c.stream(ctx, req, true)
}

// Cancel implements Generator.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, c.request(fasthttp.MethodDelete, streamPath(id), nil), false)
	return err
}

// State implements Observer. It uses a new connection, so that it also shows whether new
// connections work while an open one is unresponsive.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.read(ctx, "/v1/state", true, &s)
	return s, err
}

// Load implements Observer.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var l LoadReport
	err := c.read(ctx, "/v1/load", false, &l)
	return l, err
}

// Order implements Controller.
func (c *Client) Order(ctx context.Context, o Order, ready func() error) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report it", "encode an order")
	}
	cn, err := c.pool.get(ctx, use{fresh: true, readTimeout: c.readTimeout})
	if err != nil {
		return err
	}
	cn.abortOnClose(ctx)
	if ready != nil {
		if err := ready(); err != nil {
			c.pool.put(cn)
			return err
		}
	}
	resp, err := exchange(cn, c.request(fasthttp.MethodPost, "/v1/orders", body))
	if err != nil {
		return err
	}
	_, err = c.readBody(resp)
	return err
}

// Export implements Controller.
func (c *Client) Export(ctx context.Context, h KVHandle) (int, error) {
	return c.callKV(ctx, "/v1/kv/export", h)
}

// Import implements Controller.
func (c *Client) Import(ctx context.Context, h KVHandle) (int, error) {
	return c.callKV(ctx, "/v1/kv/import", h)
}

func (c *Client) callKV(ctx context.Context, path string, h KVHandle) (int, error) {
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

// call sends a request once and returns the whole body of the response.
func (c *Client) call(ctx context.Context, req *fasthttp.Request, fresh bool) ([]byte, error) {
	resp, err := c.open(ctx, req, fresh)
	if err != nil {
		return nil, err
	}
	return c.readBody(resp)
}

// readBody reads the rest of a response and returns its connection to the pool.
func (c *Client) readBody(resp *response) ([]byte, error) {
	body, err := resp.readAll()
	if err != nil {
		resp.conn.drop()
		return nil, err
	}
	resp.finish(&c.pool)
	return body, nil
}

// open sends a request once and reads the header of the response.
func (c *Client) open(ctx context.Context, req *fasthttp.Request, fresh bool) (*response, error) {
	cn, err := c.pool.get(ctx, use{fresh: fresh, readTimeout: c.readTimeout})
	if err != nil {
		return nil, err
	}
	return exchange(cn, req)
}

// exchange sends a request on a connection and reads the header of the response.
func exchange(cn *conn, req *fasthttp.Request) (*response, error) {
	resp := &response{conn: cn}
	id := string(req.Header.Peek(headerRequestID))
	on := cn.history.Circumstances(id)
	err := cn.send(req, id)
	if err == nil {
		err = resp.readHeader(false)
	}
	if err == nil && resp.header.StatusCode() >= 300 {
		err = resp.rejection(id, on, resp.statusError())
	}
	if err != nil {
		cn.drop()
		return nil, err
	}
	return resp, nil
}

// rejection returns the error of a response with an error status. One that states that the request was not started counts
// only if it can't belong to an earlier request on the connection.
func (resp *response) rejection(id string, on attribution.Circumstances, err error) error {
	r := attribution.Response{ID: string(resp.header.Peek(headerRequestID)), NotRun: true}
	if id == "" || !fault.Is(err, fault.Overloaded) || attribution.Judge(id, r, on) == attribution.NotRun {
		return err
	}
	return fault.Wrap(err, fault.Broken, "have the engine echo "+headerRequestID, "the rejection may belong to another request")
}

func (c *Client) stream(ctx context.Context, req *fasthttp.Request, fresh bool) (Stream, error) {
	resp, err := c.open(ctx, req, fresh)
	if err != nil {
		return nil, err
	}
	return newStream(resp, &c.pool), nil
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }
