package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Headers of requests and answers that the callers use.
const (
	headerClass     = "X-Sardinedock-Class"
	headerOutcome   = "X-Sardinedock-Outcome"
	headerRequestID = "X-Request-Id"
)

// Words of the outcome header and of errors' codes.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	codeUnknown    = "unknown_outcome"
)

// callerDialTimeout bounds the opening of a connection to an instance.
const callerDialTimeout = 2 * time.Second

// ending says how an answer ended.
type ending int

const (
	// endUnsent: no connection, nothing was sent.
	endUnsent ending = iota
	// endWhole: it came to its proper end.
	endWhole
	// endError: it ended with an error that was said.
	endError
	// endShort: it ended properly, without its end mark and without an error.
	endShort
	// endCut: the connection broke.
	endCut
	// endTimeout: the caller gave up.
	endTimeout
)

// answer is what a caller got.
type answer struct {
	ending     ending
	status     int
	outcome    string
	requestID  string
	errorCode  string
	retryAfter time.Duration
	text       string
	first      time.Time
}

// do sends a call over a connection of its own and reads the answer.
func do(target string, c *call, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", target, callerDialTimeout)
	if err != nil {
		return answer{ending: endUnsent}
	}
	defer func() { _ = conn.Close() }()
	deadline := time.Now().Add(timeout)
	_ = conn.SetDeadline(deadline)
	var a answer
	if err := writeCall(conn, target, c); err != nil {
		a.ending = endOf(err)
	} else {
		a = readAnswer(bufio.NewReader(conn), c)
	}
	// fasthttp hides a timeout before the first byte.
	if a.ending == endCut && !time.Now().Before(deadline) {
		a.ending = endTimeout
	}
	return a
}

func writeCall(conn net.Conn, target string, c *call) error {
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.path)
	req.SetHost(target)
	req.Header.SetContentType("application/json")
	req.SetConnectionClose()
	for _, h := range c.header {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(c.body)
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// endOf tells a timeout from a broken connection.
func endOf(err error) ending {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return endTimeout
	}
	return endCut
}

func readAnswer(r *bufio.Reader, c *call) answer {
	var h fasthttp.ResponseHeader
	if err := h.Read(r); err != nil {
		return answer{ending: endOf(err)}
	}
	a := answer{
		status:    h.StatusCode(),
		outcome:   string(h.Peek(headerOutcome)),
		requestID: string(h.Peek(headerRequestID)),
	}
	if s, err := time.ParseDuration(string(h.Peek(fasthttp.HeaderRetryAfter)) + "s"); err == nil {
		a.retryAfter = s
	}
	body := bodyOf(r, &h)
	if a.status == fasthttp.StatusOK && c.stream {
		a.readStream(body)
		return a
	}
	data, err := io.ReadAll(body)
	a.first = time.Now()
	if err != nil {
		a.ending = endOf(err)
		return a
	}
	if a.status != fasthttp.StatusOK {
		a.ending, a.errorCode = endError, errorCode(data)
		return a
	}
	a.ending, a.text = endWhole, wholeText(data, c)
	return a
}

// bodyOf returns the reader of the body. A body that ends before its length,
// or before its last chunk, reads as an error.
func bodyOf(r *bufio.Reader, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case n >= 0:
		return &exactReader{r: r, left: n}
	case n == -1:
		return httputil.NewChunkedReader(r)
	}
	return r
}

// exactReader reads a known number of bytes.
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

// errorBody is the published API's error, in a body or in an event.
type errorBody struct {
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func errorCode(data []byte) string {
	var e errorBody
	if json.Unmarshal(data, &e) != nil || e.Error == nil {
		return ""
	}
	return e.Error.Code
}

// choices is the part of an answer that holds its text.
type choices struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (c *choices) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text)
		b.WriteString(choice.Delta.Content)
		b.WriteString(choice.Message.Content)
	}
	return b.String()
}

func wholeText(data []byte, c *call) string {
	if !strings.HasPrefix(c.path, "/v1/") {
		return string(data)
	}
	var body choices
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.text()
}

// readStream reads server-sent events to their end.
func (a *answer) readStream(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: ")); ok {
			if a.event(data, &text) {
				break
			}
		}
		if err == io.EOF {
			a.ending = endShort
			break
		}
		if err != nil {
			a.ending = endOf(err)
			break
		}
	}
	a.text = text.String()
}

// event takes one event's data; it reports whether it was the last.
func (a *answer) event(data []byte, text *strings.Builder) bool {
	if string(data) == "[DONE]" {
		a.ending = endWhole
		return true
	}
	var e errorBody
	if json.Unmarshal(data, &e) == nil && e.Error != nil {
		a.ending, a.errorCode = endError, e.Error.Code
		return true
	}
	if a.first.IsZero() {
		a.first = time.Now()
	}
	var piece choices
	if json.Unmarshal(data, &piece) == nil {
		text.WriteString(piece.text())
	}
	return false
}
