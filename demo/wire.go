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

	"github.com/sardinedock/sardinedock/internal/httphead"
)

// Request and response headers that the callers use.
const (
	headerClass     = "X-Sardinedock-Class"
	headerOutcome   = "X-Sardinedock-Outcome"
	headerRequestID = "X-Request-Id"
)

// Values of the outcome header and error codes.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	codeUnknown    = "unknown_outcome"
)

// callerDialTimeout bounds connecting to an instance.
const callerDialTimeout = 2 * time.Second

// ending is the way in which an answer ended.
type ending int

const (
	// endNotConnected: there was no connection, nothing was sent.
	endNotConnected ending = iota
	// endComplete: the answer ended with its end mark or at its full length.
	endComplete
	// endError: the answer ended with an explicit error.
	endError
	// endTruncated: the body ended properly, but without the stream's end mark and without an
	// error.
	endTruncated
	// endDisconnected: the connection was closed early.
	endDisconnected
	// endTimeout: the caller's timeout expired.
	endTimeout
)

// answer is the response that a caller got to one attempt.
type answer struct {
	ending     ending
	status     int
	outcome    string
	requestID  string
	errorCode  string
	retryAfter time.Duration
	text       string
	first      time.Time
	// stopped is set if the caller has stopped reading in the middle of the answer.
	stopped bool
}

// do sends a call over a connection of its own and reads the answer.
func do(target string, c *call, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", target, callerDialTimeout)
	if err != nil {
		return answer{ending: endNotConnected}
	}
	defer func() { _ = conn.Close() }()
	deadline := time.Now().Add(timeout)
	_ = conn.SetDeadline(deadline)
	if tcp, ok := conn.(*net.TCPConn); ok && c.stop.pause > 0 {
		_ = tcp.SetReadBuffer(stoppedReadBuffer)
		c.stop.pause = min(c.stop.pause, timeout)
	}
	var a answer
	if err := writeCall(conn, target, c); err != nil {
		a.ending = endingOf(err)
	} else {
		a = readAnswer(bufio.NewReader(conn), c)
	}
	// fasthttp does not report a timeout before the first byte as such.
	if a.ending == endDisconnected && !time.Now().Before(deadline) {
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

// endingOf distinguishes a timeout from a closed connection.
func endingOf(err error) ending {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return endTimeout
	}
	return endDisconnected
}

// stoppedReadBuffer is the size in bytes of the receive buffer of a caller that stops reading. It
// is small, so that what the caller does not read stays with the router.
const stoppedReadBuffer = 4096

// stopReader reads like r, and stops once for the pause when it has read the given number of bytes.
type stopReader struct {
	r       io.Reader
	at      readingStop
	read    int
	stopped *bool
}

func (s *stopReader) Read(p []byte) (int, error) {
	if !*s.stopped {
		if left := s.at.after - s.read; left > 0 {
			p = p[:min(len(p), left)]
		} else {
			*s.stopped = true
			time.Sleep(s.at.pause)
		}
	}
	n, err := s.r.Read(p)
	s.read += n
	return n, err
}

func readAnswer(r *bufio.Reader, c *call) (a answer) {
	var h fasthttp.ResponseHeader
	if err := httphead.ReadResponse(r, &h); err != nil {
		return answer{ending: endingOf(err)}
	}
	a = answer{
		status:    h.StatusCode(),
		outcome:   string(h.Peek(headerOutcome)),
		requestID: string(h.Peek(headerRequestID)),
	}
	if s, err := time.ParseDuration(string(h.Peek(fasthttp.HeaderRetryAfter)) + "s"); err == nil {
		a.retryAfter = s
	}
	body := bodyOf(r, &h)
	if c.stop.pause > 0 {
		body = &stopReader{r: body, at: c.stop, stopped: &a.stopped}
	}
	if a.status == fasthttp.StatusOK && c.stream {
		a.readStream(body)
		return a
	}
	data, err := io.ReadAll(body)
	a.first = time.Now()
	if err != nil {
		a.ending = endingOf(err)
		return a
	}
	if a.status != fasthttp.StatusOK {
		a.ending, a.errorCode = endError, errorCode(data)
		return a
	}
	a.ending, a.text = endComplete, answerText(data, c)
	return a
}

// bodyOf returns a reader of the body. A body that ends before its declared length, or without its
// last chunk, reads as an error.
func bodyOf(r *bufio.Reader, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case n >= 0:
		return &lengthReader{r: r, left: n}
	case n == -1:
		return httputil.NewChunkedReader(r)
	}
	return r
}

// lengthReader reads exactly left bytes; an earlier end is an error.
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

// errorBody is the OpenAI API's error, in a response body or in an event.
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

// choices is the part of an answer that contains its text.
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

func answerText(data []byte, c *call) string {
	if !strings.HasPrefix(c.path, "/v1/") {
		return string(data)
	}
	var body choices
	if json.Unmarshal(data, &body) != nil {
		return ""
	}
	return body.text()
}

// readStream reads server-sent events until the stream ends.
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
			a.ending = endTruncated
			break
		}
		if err != nil {
			a.ending = endingOf(err)
			break
		}
	}
	a.text = text.String()
}

// event processes one event's data. It reports whether the event was the last one.
func (a *answer) event(data []byte, text *strings.Builder) bool {
	if string(data) == "[DONE]" {
		a.ending = endComplete
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
