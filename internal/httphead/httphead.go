// Package httphead finds the heads of HTTP/1 messages and checks those of responses. The HTTP library accepts responses that RFC 9112
// does not allow, and reads another response from them than was sent.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

var (
	endOfHead  = []byte("\r\n\r\n")
	blankLines = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}
)

// End returns the length of the head at the start of b, 0 if it is not whole; nothing ends before searched. ok is false if the head
// has a blank line that is not ended as HTTP/1.1 defines it: where the head ends would be open to interpretation.
func End(b []byte, searched int) (length int, ok bool) {
	from := max(0, searched-len(endOfHead)+1)
	start := len(b) - len(skipEmptyLines(b))
	from = max(from, start)
	k := bytes.Index(b[from:], endOfHead)
	if k < 0 {
		return 0, true
	}
	end := from + k + len(endOfHead)
	for _, blank := range blankLines {
		if at := bytes.Index(b[start:end], blank); at >= 0 && start+at < end-len("\n\r\n") {
			return 0, false
		}
	}
	return end, true
}

// Part is a part of a response's head.
type Part string

// The parts that are checked.
const (
	Version Part = "version"
	Status  Part = "status"
	Name    Part = "name"
	Value   Part = "value"
	Framing Part = "framing"
	// Length is that of the whole head.
	Length Part = "length"
)

// Error is returned for a head that no HTTP/1 response has.
type Error struct {
	Part Part
	// Text is the start of the line at fault.
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed %s in the head of a response: %q", e.Part, e.Text)
}

// maxErrorText bounds Error.Text, in bytes.
const maxErrorText = 80

func malformed(part Part, line []byte) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_malformed_response_heads_total{part=%q}", part)).Inc()
	return &Error{part, string(line[:min(len(line), maxErrorText)])}
}

// ReadResponse reads the head of the next response, which may be an informational (1xx) one. It returns an *Error, and reads nothing, if
// the head is malformed. After any other error nothing more may be read: each read of br may have a time-out of its own.
func ReadResponse(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	head, err := await(br)
	if err != nil {
		return err
	}
	if err := checkResponse(head); err != nil {
		return err
	}
	return h.Read(br)
}

// await reads until a whole head is buffered, and returns it.
func await(br *bufio.Reader) ([]byte, error) {
	for searched := 0; ; {
		b, err := br.Peek(max(br.Buffered(), searched+1))
		end, ok := End(b, searched)
		switch {
		case !ok:
			return nil, malformed(Framing, skipEmptyLines(b))
		case end > 0:
			return b[:end], nil
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, malformed(Length, skipEmptyLines(b))
		case err != nil:
			return nil, err
		}
		searched = len(b)
	}
}

// checkResponse returns an *Error unless head is the head of a response.
func checkResponse(head []byte) error {
	line, fields := cutLine(skipEmptyLines(head))
	version, rest, _ := bytes.Cut(line, []byte(" "))
	http10 := string(version) == "HTTP/1.0"
	if !http10 && string(version) != "HTTP/1.1" {
		return malformed(Version, line)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !isStatus(code) || !isText(reason) {
		return malformed(Status, line)
	}
	for first := true; ; first = false {
		line, fields = cutLine(fields)
		if len(line) == 0 {
			return nil
		}
		name, value, err := cutField(line, first)
		if err != nil {
			return err
		}
		if !isText(value) {
			return malformed(Value, line)
		}
		// The HTTP library ignores the coding, so that the body would have the lines of its chunks; see RFC 9112, section 6.1.
		if http10 && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			return malformed(Framing, line)
		}
	}
}

// cutField returns the name and the value in a line of a head. A line that continues the value of the one before has no name; first is
// set if there is none before.
func cutField(line []byte, first bool) (name, value []byte, err error) {
	if !first && (line[0] == ' ' || line[0] == '\t') {
		return nil, line, nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, malformed(Name, line)
	}
	return name, value, nil
}

// skipEmptyLines returns b without the line breaks before a message.
func skipEmptyLines(b []byte) []byte { return bytes.TrimLeft(b, "\r\n") }

// cutLine returns the first line of b without its end, and what follows.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// isStatus reports whether code is the status of a response. Those over 599 are in no class, and are processed as a 5xx; see
// RFC 9110, section 15. No request asks to switch protocols.
func isStatus(code []byte) bool {
	if len(code) != len("200") || string(code) == "101" {
		return false
	}
	for _, c := range code {
		if c < '0' || c > '9' {
			return false
		}
	}
	return code[0] != '0'
}

// bytesOf has the bytes that are allowed in a token, and those in the text of a value or a reason, which may be of other encodings; see
// RFC 9110, sections 5.5 and 5.6.2.
var bytesOf = func() (of struct{ token, text [256]bool }) {
	for c := range 256 {
		of.text[c] = c >= ' ' && c != 0x7f || c == '\t'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		of.token[c] = true
	}
	return of
}()

// isToken reports whether b is a token.
func isToken(b []byte) bool { return len(b) > 0 && consistsOf(b, &bytesOf.token) }

// isText reports whether b has no control bytes but tabs.
func isText(b []byte) bool { return consistsOf(b, &bytesOf.text) }

func consistsOf(b []byte, allowed *[256]bool) bool {
	for _, c := range b {
		if !allowed[c] {
			return false
		}
	}
	return true
}
