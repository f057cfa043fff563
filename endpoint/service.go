package endpoint

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	// Method and URI, path and query, as the service sees them.
	Method, URI string
	// Header is the caller's; what belongs to one connection only, and the
	// caller's key, are left out on the way.
	Header *fasthttp.RequestHeader
	// ID is sent as X-Request-Id.
	ID   string
	Body []byte
	// Fresh asks for a connection that was not used before.
	Fresh bool
	// ReusedSilence bounds the wait for each part of the answer on a
	// connection that was used before; Silent tells its error.
	ReusedSilence time.Duration
}

// ServiceAnswer is the whole answer of a plain service, whatever its status.
type ServiceAnswer struct {
	Header fasthttp.ResponseHeader
	Body   []byte
}

// Service calls one endpoint of a plain service. Any goroutine may use it.
type Service struct {
	pool pool
}

// NewService returns a client of the plain service at addr.
func NewService(addr string, dialTimeout time.Duration) *Service {
	return &Service{pool: pool{addr: addr, dialTimeout: dialTimeout, headerBytes: serviceHeaderBytes}}
}

// Close closes the idle connections.
func (s *Service) Close() { s.pool.closeIdle() }

// Do sends the call exactly once and reads its whole answer; ctx bounds it. An
// error of kind fault.Unavailable says that no byte of the call left. After
// any other error it may have run. An answer with an error status is no error:
// it is the service's own word.
func (s *Service) Do(ctx context.Context, r ServiceRequest) (*ServiceAnswer, error) {
	cn, err := s.pool.get(ctx, r.Fresh, 0)
	if err != nil {
		return nil, err
	}
	if cn.reused {
		cn.silence = r.ReusedSilence
	}
	a := &answer{conn: cn}
	if err = cn.send(s.request(r)); err == nil {
		err = a.readHeader(r.Method == fasthttp.MethodHead)
	}
	var body []byte
	if err == nil {
		body, err = a.readAll()
	}
	if err != nil {
		cn.drop()
		return nil, serviceFault(ctx, err)
	}
	out := &ServiceAnswer{Body: body}
	a.header.CopyTo(&out.Header)
	a.finish(&s.pool)
	return out, nil
}

// serviceFault tells an expired request from a broken connection.
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
	req.Header.Set("X-Request-Id", r.ID)
	req.SetBodyRaw(r.Body)
	return req
}

// connectionHeader reports whether a header is between the caller and the
// router only.
func connectionHeader(name string) bool {
	name = strings.ToLower(name)
	return HopHeader(name) || name == "authorization" || name == "x-request-id"
}

// HopHeader reports whether a header, in lower case, belongs to one connection only
// and is not passed on.
func HopHeader(name string) bool {
	switch name {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
		"transfer-encoding", "upgrade", "content-length", "host", "expect":
		return true
	}
	return false
}

// CopyHeader copies the answer's header to the caller's, without what belongs
// to one connection only.
func (a *ServiceAnswer) CopyHeader(to *fasthttp.ResponseHeader) {
	for name, value := range a.Header.All() {
		if key := string(name); !connectionHeader(key) {
			to.AddBytesV(key, value)
		}
	}
	to.SetContentTypeBytes(a.Header.ContentType())
	to.SetStatusCode(a.Header.StatusCode())
}
