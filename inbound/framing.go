// Package inbound reads callers' requests from their connections. It hands heads to the HTTP library once they are whole, and leaves
// bodies to whoever serves the request, so that a request can be refused by its head. What a connection occupies grows with the bytes
// that have arrived, not with those announced, and counts in one sum for all connections.
package inbound

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// headerFraming carries a request's framing from HeadReceived to TakeFraming. The HTTP library tells its hook for heads neither the
// connection nor the request. A value that a caller sends is dropped.
const headerFraming = "Sardinedock-Inbound-Framing"

// The words of headerFraming; a length stands for itself.
const (
	framingChunked  = "chunked"
	framingContinue = "continue "
)

// chunked is the Framing.Length of a body in chunks.
const chunked = -1

// Framing is how the end of a request's body is stated.
type Framing struct {
	// Length is the body's length in bytes, 0 for no body, and negative for one in chunks.
	Length int
	// Continue is set if the caller waits for an interim response before it sends the body.
	Continue bool
}

// HeadReceived is the HTTP library's hook for heads. It has the library read no body.
func HeadReceived(h *fasthttp.RequestHeader) (none fasthttp.RequestConfig) {
	h.Del(headerFraming)
	expects := h.IsHTTP11() && strings.EqualFold(string(h.Peek(fasthttp.HeaderExpect)), "100-continue")
	if expects {
		// The library would write the interim response before the request is looked at.
		h.Del(fasthttp.HeaderExpect)
	}
	length := h.ContentLength()
	if length == 0 || length < chunked {
		return none
	}
	var text [len(framingContinue) + len(framingChunked) + maxLengthDigits]byte
	value := text[:0]
	if expects {
		value = append(value, framingContinue...)
	}
	if length > 0 {
		value = strconv.AppendInt(value, int64(length), 10)
	} else {
		value = append(value, framingChunked...)
	}
	h.SetContentLength(0)
	h.SetBytesV(headerFraming, value)
	return none
}

// maxLengthDigits is the most digits of a length.
const maxLengthDigits = 20

// TakeFraming returns the framing of a request whose head HeadReceived was called with, and removes it from the head.
func TakeFraming(h *fasthttp.RequestHeader) (f Framing) {
	value := h.Peek(headerFraming)
	if len(value) == 0 {
		return f
	}
	value, f.Continue = bytes.CutPrefix(value, []byte(framingContinue))
	if string(value) == framingChunked {
		f.Length = chunked
	} else {
		f.Length, _ = strconv.Atoi(string(value))
	}
	h.Del(headerFraming)
	return f
}
