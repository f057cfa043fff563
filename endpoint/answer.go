package endpoint

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
)

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// codeNotStarted is the engine's word that it did not start a request.
const codeNotStarted = "not_started"

const codeStaleFence = "stale_fence"

// StatusError is an answer with an error status, as the endpoint gave it.
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

// fault gives the status the kind that the protocol defines. Only the word
// not_started is Overloaded: any other 429 or 503 may come from something in
// between, after the engine has begun.
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

// answer is one response being read.
type answer struct {
	conn   *conn
	header fasthttp.ResponseHeader
	body   io.Reader
	// chunked answers end with a line of their own after the last chunk;
	// identity ones end with the connection.
	chunked, identity bool
}

// incarnation of the engine that answers; 0 if it did not say.
func (a *answer) incarnation() uint64 {
	n, _ := strconv.ParseUint(string(a.header.Peek("X-Engine-Incarnation")), 10, 64)
	return n
}

// readHeader reads the head of the response. Informational ones are skipped.
func (a *answer) readHeader(skipBody bool) error {
	for {
		a.header.Reset()
		if err := a.header.Read(a.conn.br); err != nil {
			return broken(err)
		}
		if status := a.header.StatusCode(); status >= 200 {
			break
		}
	}
	n := a.header.ContentLength()
	switch {
	case skipBody || n == 0 || a.header.StatusCode() == fasthttp.StatusNoContent:
		a.body = io.LimitReader(a.conn.br, 0)
	case n > 0:
		a.body = &exactReader{r: a.conn.br, left: n}
	case n == -1:
		a.chunked = true
		a.body = httputil.NewChunkedReader(a.conn.br)
	default:
		a.identity = true
		a.body = a.conn.br
	}
	return nil
}

// readAll reads the rest of the body; an answer cut short is an error.
func (a *answer) readAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.body, maxAnswerBytes+1))
	if err != nil {
		return nil, broken(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fault.New(fault.Broken, "look at the endpoint's log", "answer over %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// finish gives the connection back to the pool if it can be used again. The
// body must have been read to its end.
func (a *answer) finish(p *pool) {
	if a.identity || a.header.ConnectionClose() || !a.readTail() {
		a.conn.drop()
		return
	}
	p.put(a.conn)
}

// readTail reads the empty line that ends a chunked body.
func (a *answer) readTail() bool {
	if !a.chunked {
		return true
	}
	line, err := a.conn.br.ReadSlice('\n')
	return err == nil && len(line) <= 2
}

// statusError reads the rest of an answer with an error status.
func (a *answer) statusError() error {
	body, err := a.readAll()
	if err != nil {
		body = nil
	}
	e := &StatusError{Status: a.header.StatusCode(), ContentType: string(a.header.ContentType()), Body: body}
	return e.fault()
}

// exactReader reads a body of known length and reports one cut short.
type exactReader struct {
	r    io.Reader
	left int
}

func (e *exactReader) Read(p []byte) (int, error) {
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

func broken(err error) error {
	return fault.Wrap(err, fault.Broken, "the router resumes an idempotent request by itself", "connection to endpoint")
}
