package inbound

import (
	"bytes"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/overload"
)

const (
	// firstBytes is the capacity with which a body starts, unless it is shorter or more of it has arrived.
	firstBytes = 4 << 10
	// maxChunkLine bounds the line before a chunk, extensions included, and maxTrailers all lines after the last chunk.
	maxChunkLine = 256
	maxTrailers  = 4 << 10
	// maxChunkDigits keeps the size of a chunk within an int.
	maxChunkDigits = 15
)

var interimContinue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// ReadBody reads the body of the request whose head was read last, and returns it; it is in use until Release. limit bounds its size
// in bytes, deadline the time. write writes an interim response if the caller waits for one.
func (r *Reader) ReadBody(f Framing, limit int, deadline time.Time, write func([]byte) (int, error)) ([]byte, error) {
	if f.Length == 0 {
		return nil, nil
	}
	if f.Length > limit {
		return nil, ErrTooLarge
	}
	if !r.stage.enter(overload.StageBody) {
		return nil, ErrGivenUp
	}
	if f.Continue && r.Buffered() == 0 && write != nil {
		if _, err := write(interimContinue); err != nil {
			return nil, err
		}
	}
	b := &body{r: r, limit: limit, deadline: deadline}
	err := b.read(f)
	if err == nil && (r.bodyMemory != nil && r.bodyMemory.Complete() != nil || !r.stage.enter(overload.StageServed)) {
		err = r.interruption()
	}
	if err != nil {
		recycle(b.data)
		r.Close()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return b.data, nil
}

// body is a body that is being read.
type body struct {
	r        *Reader
	limit    int
	deadline time.Time
	data     []byte
	// lastLine is the memory of the last line.
	lastLine []byte
}

func (b *body) read(f Framing) error {
	if f.Length > 0 {
		return b.readBytes(f.Length, f.Length)
	}
	for {
		line, err := b.line(maxChunkLine)
		if err != nil {
			return err
		}
		size, ok := parseChunkSize(line)
		switch {
		case !ok:
			return ErrMalformed
		case size == 0:
			return b.skipTrailers()
		case size > b.limit-len(b.data):
			return ErrTooLarge
		}
		if err := b.readBytes(size, b.limit); err != nil {
			return err
		}
		if line, err := b.line(0); err != nil || len(line) > 0 {
			return orMalformed(err)
		}
	}
}

func orMalformed(err error) error {
	if err != nil {
		return err
	}
	return ErrMalformed
}

// readBytes appends n bytes to the data, which will have most bytes at the end at most.
func (b *body) readBytes(n, most int) error {
	for n > 0 {
		if arrived := min(n, b.r.Buffered()); arrived > 0 {
			if err := b.makeRoom(arrived, most); err != nil {
				return err
			}
			b.data = append(b.data, b.r.unread()[:arrived]...)
			b.r.consume(arrived)
			n -= arrived
			continue
		}
		if err := b.makeRoom(1, most); err != nil {
			return err
		}
		room := b.data[len(b.data):min(cap(b.data), len(b.data)+n)]
		got, err := b.r.receive(room, b.until())
		b.data = b.data[:len(b.data)+got]
		if n -= got; err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// makeRoom has the capacity of the data grow to twice its length or more if less than n bytes are free.
func (b *body) makeRoom(n, most int) error {
	if cap(b.data)-len(b.data) >= n {
		return nil
	}
	grown, err := b.r.grow(b.data, roundUp(min(most, max(firstBytes, 2*len(b.data), len(b.data)+n))), &b.r.bodyMemory)
	b.data = grown
	return err
}

// until returns the end of the time for the next bytes.
func (b *body) until() time.Time {
	if stalled := time.Now().Add(b.r.cfg.Timeouts().Stall); stalled.Before(b.deadline) {
		return stalled
	}
	return b.deadline
}

// line returns the next line, of at most most bytes, without its end. It is valid until the next call.
func (b *body) line(most int) ([]byte, error) {
	for searched := 0; ; {
		if n := b.r.Buffered(); n > searched {
			unread := b.r.unread()
			if k := bytes.IndexByte(unread[:min(n, most+2)], '\n'); k >= 0 {
				if k == 0 || unread[k-1] != '\r' {
					return nil, ErrMalformed
				}
				b.lastLine = append(b.lastLine[:0], unread[:k-1]...)
				b.r.consume(k + 1)
				return b.lastLine, nil
			}
			if n >= most+2 {
				return nil, ErrMalformed
			}
			searched = n
		}
		if err := b.r.fill(b.until()); err != nil {
			return nil, err
		}
	}
}

// skipTrailers reads and drops the lines after the last chunk.
func (b *body) skipTrailers() error {
	for left := maxTrailers; ; {
		line, err := b.line(left)
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return nil
		}
		if left -= len(line) + 2; left < 0 {
			return ErrMalformed
		}
	}
}

// parseChunkSize parses the line before a chunk: a hexadecimal size, and extensions, which are ignored.
func parseChunkSize(line []byte) (size int, ok bool) {
	digits := 0
	for ; digits < len(line); digits++ {
		value := bytes.IndexByte([]byte("0123456789abcdef"), line[digits]|0x20)
		if value < 0 || line[digits] < '0' {
			break
		}
		size = size<<4 | value
	}
	extensions := bytes.TrimLeft(line[digits:], " \t")
	return size, digits > 0 && digits <= maxChunkDigits && (len(extensions) == 0 || extensions[0] == ';') && bytes.IndexByte(line, '\r') < 0
}
