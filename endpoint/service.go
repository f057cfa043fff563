package endpoint

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	// Method and URI (path and query) as sent to the service.
	Method, URI string
	// Header is the caller's header. Hop-by-hop fields and the caller's key are not forwarded.
	Header *fasthttp.RequestHeader
	// ID is sent as X-Request-Id.
	ID   string
	Body []byte
	// Fresh requires a connection that was not used before.
	Fresh bool
	// ReusedReadTimeout bounds each read of the response on a connection that was used before.
	// IsTimeout recognises the resulting error.
	ReusedReadTimeout time.Duration
}

// ServiceAnswer is the whole response of a plain service, whatever its status.
type ServiceAnswer struct {
	Header fasthttp.ResponseHeader
	Body   []byte
}

// Service calls one endpoint of a plain service. It is safe for concurrent use.
type Service struct {
	pool pool
}

// NewService returns a client of the plain service at addr.
func NewService(addr string, dialTimeout time.Duration) *Service {
	return &Service{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: serviceHeaderBytes}}
}

// Close closes the idle connections.
func (s *Service) Close() { s.pool.closeIdle() }

// Probe dials the endpoint and returns an error if that fails. The connection is kept for the next call.
func (s *Service) Probe(ctx context.Context) error { return s.pool.probe(ctx) }

// Do sends the call exactly once and reads the whole response, bounded by ctx. An error of kind
// fault.Unavailable means that no byte of the call was sent. After any other error it may have
// run. A response with an error status is returned without an error, since the service itself
// answered.
func (s *Service) Do(ctx context.Context, r ServiceRequest) (*ServiceAnswer, error) {
	cn, err := s.pool.get(ctx, use{fresh: r.Fresh})
	if err != nil {
		return nil, err
	}
	if cn.reused {
		cn.readTimeout = r.ReusedReadTimeout
	}
	resp := &response{conn: cn}
	if err = cn.send(s.request(r), r.ID); err == nil {
		err = resp.readHeader(r.Method == fasthttp.MethodHead)
	}
	var body []byte
	if err == nil {
		body, err = resp.readAll()
	}
	if err == nil && resp.framing == ByClose {
		err = s.checkEnd(ctx)
	}
	if err != nil {
		cn.drop()
		return nil, serviceFault(ctx, err)
	}
	out := &ServiceAnswer{Body: body}
	resp.header.CopyTo(&out.Header)
	resp.finish(&s.pool)
	return out, nil
}

// checkEnd returns an error if the service accepts no connection after an answer that ended with its own. Such an
// answer may have been truncated by the end of the service. The connection is kept for the next call.
func (s *Service) checkEnd(ctx context.Context) error {
	if err := s.pool.probe(ctx); err != nil {
		return fault.New(fault.Broken, "look at the service's log", "the service ended with its answer, which has no framing: %v", err)
	}
	return nil
}

// serviceFault distinguishes an expired request from a broken connection.
func serviceFault(ctx context.Context, err error) error {
	if ctx.Err() != nil && !fault.Is(err, fault.Unavailable) {
		return fault.Wrap(err, fault.Unknown, "ask with the same Idempotency-Key what became of it", "no answer in time")
	}
	return err
}

func (s *Service) request(r ServiceRequest) *fasthttp.Request {
	req := &fasthttp.Request{}
	if r.Header != nil {
		for name, value := range r.Header.All() {
			if key := string(name); !connectionHeader(key) {
				req.Header.AddBytesV(key, value)
			}
		}
	}
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URI)
	req.SetHost(s.pool.addr)
	req.Header.Set(headerRequestID, r.ID)
	req.SetBodyRaw(r.Body)
	return req
}

// connectionHeader reports whether a header field is between the caller and the router only.
func connectionHeader(name string) bool {
	name = strings.ToLower(name)
	return HopHeader(name) || name == "authorization" || name == "x-request-id"
}

// HopHeader reports whether name, in lower case, is a header field that belongs to one connection
// only and is not forwarded: a hop-by-hop field, or Content-Length, Host or Expect.
func HopHeader(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	return false
}

// CopyHeader copies the response's status and header to the caller's response, without
// hop-by-hop fields.
func (a *ServiceAnswer) CopyHeader(to *fasthttp.ResponseHeader) {
	for name, value := range a.Header.All() {
		if key := string(name); !connectionHeader(key) {
			to.AddBytesV(key, value)
		}
	}
	to.SetContentTypeBytes(a.Header.ContentType())
	to.SetStatusCode(a.Header.StatusCode())
}
