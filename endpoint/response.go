package endpoint

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/internal/httphead"
)

// codeNotStarted is the error code by which an engine reports that it did not start a request.
const codeNotStarted = "not_started"

// codeStaleFence is the error code by which an engine rejects an order with an outdated fencing
// number.
const codeStaleFence = "stale_fence"

// StatusError is a response with an error status, as received from the endpoint.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("endpoint answered status %d", e.Status) }

// code returns the error code of an OpenAI-style error body, or "".
func (e *StatusError) code() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(e.Body, &body) != nil {
		return ""
	}
	return body.Error.Code
}

// fault returns the error with the kind that the protocol assigns to the status. Only the code
// not_started gives Overloaded: any other 429 or 503 may come from a proxy in between, after the
// engine has begun.
func (e *StatusError) fault() error {
	code := e.code()
	switch {
	case (e.Status == fasthttp.StatusTooManyRequests || e.Status == fasthttp.StatusServiceUnavailable) && code == codeNotStarted:
		return fault.Wrap(e, fault.Overloaded, "ask again later", "engine did not start the request")
	case e.Status == fasthttp.StatusNotFound:
		return fault.Wrap(e, fault.NotFound, "check the endpoint's model and path", "endpoint")
	case e.Status == fasthttp.StatusConflict && code == codeStaleFence:
		return fault.Wrap(e, fault.StaleFence, "acquire the lease again", "endpoint")
	case e.Status == fasthttp.StatusConflict:
		return fault.Wrap(e, fault.Conflict, "check organisation, model and version", "endpoint")
	case e.Status >= 400 && e.Status < 500:
		return fault.Wrap(e, fault.BadRequest, "mend the request as the endpoint says", "endpoint")
	}
	return fault.Wrap(e, fault.Broken, "look at the endpoint's log", "endpoint")
}

// Framing is how the end of a response's body is recognised.
type Framing int

// The framings; see RFC 9112, section 6.3.
const (
	// NoBody: the response has none, whatever its header says.
	NoBody Framing = iota
	// ByLength: the header states the body's length.
	ByLength
	// ByChunks: the body is chunked and ends with the last chunk.
	ByChunks
	// ByClose: the body ends with the connection, also if it was truncated.
	ByClose
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunks", "close"}[f]
}

// response is one response being read.
type response struct {
	conn    *conn
	header  fasthttp.ResponseHeader
	body    io.Reader
	framing Framing
}

// incarnation returns the incarnation of the engine that answers; 0 if the header is missing.
func (resp *response) incarnation() uint64 {
	n, _ := strconv.ParseUint(string(resp.header.Peek("X-Engine-Incarnation")), 10, 64)
	return n
}

// readHeader reads the header of the response and skips informational (1xx) responses, up to maxInformational.
func (resp *response) readHeader(skipBody bool) error {
	for skipped := 0; ; skipped++ {
		if skipped > maxInformational {
			return brokenError(errInformational)
		}
		resp.header.Reset()
		if err := httphead.ReadResponse(resp.conn.br, &resp.header); err != nil {
			return brokenError(err)
		}
		if status := resp.header.StatusCode(); status >= 200 {
			break
		}
	}
	n := resp.header.ContentLength()
	switch {
	case skipBody || resp.header.StatusCode() == fasthttp.StatusNoContent || resp.header.StatusCode() == fasthttp.StatusNotModified:
		resp.framing = NoBody
		resp.body = io.LimitReader(resp.conn.br, 0)
	case n >= 0:
		resp.framing = ByLength
		resp.body = &lengthReader{r: resp.conn.br, left: n}
	case n == -1:
		resp.framing = ByChunks
		resp.body = httputil.NewChunkedReader(resp.conn.br)
	default:
		resp.framing = ByClose
		resp.body = resp.conn.br
	}
	return nil
}

// finish returns the connection to the pool if it can be reused. The body must have been read to
// its end.
func (resp *response) finish(p *pool) {
	resp.conn.keepOnClose()
	if resp.framing == ByClose || resp.header.ConnectionClose() || !resp.readTail() {
		resp.conn.drop()
		return
	}
	p.put(resp.conn)
}

// readTail reads the empty line that ends a chunked body.
func (resp *response) readTail() bool {
	if resp.framing != ByChunks {
		return true
	}
	line, err := resp.conn.br.ReadSlice('\n')
	return err == nil && len(line) <= 2
}

// statusError reads the rest of a response with an error status and returns it as an error.
func (resp *response) statusError() error {
	body, err := resp.readAll()
	if err != nil {
		body = nil
	}
	e := &StatusError{Status: resp.header.StatusCode(), ContentType: string(resp.header.ContentType()), Body: body}
	return e.fault()
}

// lengthReader reads a body of known length and reports a truncated one.
type lengthReader struct {
	r    io.Reader
	left int
}

func (e *lengthReader) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(len(p), e.left)])
	e.left -= n
	if err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func brokenError(err error) error {
	return fault.Wrap(err, fault.Broken, "the router resumes an idempotent request by itself", "connection to endpoint")
}
