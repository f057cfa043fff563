package endpoint

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/sardinedock/sardinedock/fault"
)

const (
	// maxLineBytes bounds one line of an event stream, so that a faulty endpoint cannot make the
	// router buffer an endless line.
	maxLineBytes = 1 << 20
	// maxUnfinishedBytes bounds what is read until an event is complete, comments and empty lines included, which a faulty
	// endpoint may send without end.
	maxUnfinishedBytes = 2 << 20
)

var errNoEvent = fault.New(fault.Broken, "look at the endpoint's log", "over %d bytes without the end of an event", maxUnfinishedBytes)

var endMark = []byte("[DONE]")

// eventReader reads server-sent events as defined by the HTML standard, as far as engines use
// them: the fields id and data, and comments.
type eventReader struct {
	r     *bufio.Reader
	lines lineReader
	data  []byte
}

// lineReader reads lines of bounded length.
type lineReader struct {
	r    *bufio.Reader
	line []byte
	// unfinished counts the bytes since the last call of finished.
	unfinished int
}

// finished is called when an event is complete.
func (l *lineReader) finished() { l.unfinished = 0 }

// next returns the next event, or io.EOF after the [DONE] mark.
func (e *eventReader) next() (Piece, error) {
	var p Piece
	e.data = e.data[:0]
	e.lines.r = e.r
	e.lines.finished()
	for {
		line, err := e.lines.next()
		if err == io.EOF {
			return Piece{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Piece{}, err
		}
		if len(line) == 0 {
			if len(e.data) == 0 {
				continue
			}
			if bytes.Equal(e.data, endMark) {
				return Piece{}, io.EOF
			}
			p.Data = e.data
			return p, nil
		}
		e.field(line, &p)
		if len(e.data) > maxLineBytes {
			return Piece{}, fault.New(fault.Broken, "look at the endpoint's log", "event of over %d bytes", maxLineBytes)
		}
	}
}

func (e *eventReader) field(line []byte, p *Piece) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		p.ID, p.Index = splitEventID(value)
	case "data":
		if len(e.data) > 0 {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}

// splitEventID parses an id of the form request/index. A malformed one gives index -1, which no
// stream expects.
func splitEventID(value []byte) (string, int64) {
	cut := bytes.LastIndexByte(value, '/')
	if cut < 0 {
		return string(value), -1
	}
	n, err := strconv.ParseInt(string(value[cut+1:]), 10, 64)
	if err != nil || n < 0 {
		return string(value[:cut]), -1
	}
	return string(value[:cut]), n
}

// next returns the next line without its line break. It is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	l.line = l.line[:0]
	for {
		chunk, err := l.r.ReadSlice('\n')
		l.line = append(l.line, chunk...)
		if l.unfinished += len(chunk); l.unfinished > maxUnfinishedBytes {
			return nil, errNoEvent
		}
		if len(l.line) > maxLineBytes {
			return nil, fault.New(fault.Broken, "look at the endpoint's log", "line of an event stream over %d bytes", maxLineBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(l.line, "\r\n"), nil
	}
}
