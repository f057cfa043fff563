package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/sardinedock/sardinedock/fault"
)

// maxEventBytes bounds one event, so that a faulty endpoint can't make the gateway buffer an
// endless one.
const maxEventBytes = 1 << 20

// eventReader splits an event stream into events, without changing a byte. Lines end with LF or CRLF; an empty line
// ends an event.
type eventReader struct {
	r *bufio.Reader
}

// next returns the bytes of the next event, and its ID if it has one. At the end of the stream it returns the line
// breaks and comments after the last event with io.EOF, or errEventCut if there is part of an event. That part
// is not returned: after a resumption it would be joined with the next event.
func (e eventReader) next() (event, id []byte, err error) {
	lineStart, begun := 0, false
	for {
		chunk, err := e.r.ReadSlice('\n')
		event = append(event, chunk...)
		if len(event) > maxEventBytes {
			return nil, nil, fault.New(fault.Broken, "look at the endpoint's log", "event of over %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		lineStart = len(event)
		switch {
		case err == io.EOF && (begun || len(line) > 0):
			return nil, nil, errEventCut
		case err == io.EOF:
			return event, nil, err
		case err != nil:
			return nil, nil, err
		case len(line) == 0:
			return event, id, nil
		}
		begun = begun || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = append(id[:0], bytes.TrimSpace(value)...)
		}
	}
}

// hasFields reports whether a complete event has a field. Without one it has comments and line breaks only, which endpoints send to
// keep a connection open.
func hasFields(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}
