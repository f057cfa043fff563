package inbound

import (
	"bytes"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/overload"
)

const (
	// firstBytes is the capacity of the first piece of a body with a length, unless it is shorter, firstChunked that of one in chunks, and
	// maxPiece that of the largest piece. A body in several pieces is joined once it is whole: those that never are then leave nothing
	// behind but pieces of few sizes.
	firstBytes, firstChunked, maxPiece = 32 << 10, 4 << 10, 256 << 10
	// maxChunkLine bounds the line before a chunk, extensions included, and maxTrailers all lines after the last chunk.
	maxChunkLine = 256
	maxTrailers  = 4 << 10
	// maxChunkDigits keeps the size of a chunk within an int.
	maxChunkDigits = 15
)

var interimContinue = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// ReadBody reads the body of the request whose head was read last, and returns it; it is in use until Release. limit bounds its size
// in bytes, deadline the time. An interim response is written to interim if the caller waits for one.
func (r *Reader) ReadBody(f Framing, limit int, deadline time.Time, interim io.Writer) ([]byte, error) {
	if f.Length == 0 {
		if !r.bodyMemory.complete() {
			return nil, r.interruption()
		}
		return nil, nil
	}
	if f.Length > limit {
		return nil, ErrTooLarge
	}
	if !r.stage.enter(overload.StageBody) {
		return nil, ErrGivenUp
	}
	if f.Continue && r.Buffered() == 0 && interim != nil {
		if _, err := interim.Write(interimContinue); err != nil {
			return nil, err
		}
	}
	b := body{r: r, limit: limit, deadline: deadline, first: firstBytes}
	if f.Length < 0 {
		b.first = firstChunked
	}
	err := b.read(f)
	if err == nil {
		err = b.join()
	}
	if err == nil && (!r.bodyMemory.complete() || !r.stage.enter(overload.StageServed)) {
		err = r.interruption()
	}
	if err != nil {
		b.dropPieces()
		r.Close()
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if r.cfg.RecycleBodies {
		r.body = b.last
	}
	return b.last, nil
}

// body is a body that is being read.
type body struct {
	r        *Reader
	limit    int
	deadline time.Time
	// first is the capacity of the first piece.
	first int
	// full are the pieces before last, in order; size is the number of bytes in all of them.
	full [][]byte
	last []byte
	size int
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
		case size > b.limit-b.size:
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

// readBytes appends n bytes to the body, which will have most bytes at the end at most.
func (b *body) readBytes(n, most int) error {
	for n > 0 {
		if err := b.makeRoom(most); err != nil {
			return err
		}
		room := b.last[len(b.last):min(cap(b.last), len(b.last)+n)]
		got, err := 0, error(nil)
		if b.r.Buffered() > 0 {
			got = copy(room, b.r.unread())
			b.r.consume(got)
		} else {
			got, err = b.r.receive(room, b.until())
		}
		b.last = b.last[:len(b.last)+got]
		b.size += got
		if n -= got; err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// makeRoom begins a new piece if the last one is full. Each is at most as large as those before it together.
func (b *body) makeRoom(most int) error {
	if len(b.last) < cap(b.last) {
		return nil
	}
	capacity := roundUp(min(most-b.size, max(b.first, b.size), maxPiece))
	if err := b.r.count(capacity, &b.r.bodyMemory); err != nil {
		return err
	}
	if b.last != nil {
		b.full = append(b.full, b.last)
	}
	b.last = allocate(capacity)
	return nil
}

// join moves a body in several pieces into one.
func (b *body) join() error {
	if len(b.full) == 0 {
		return nil
	}
	capacity := b.size
	if b.r.cfg.RecycleBodies {
		capacity = roundUp(capacity)
	}
	if err := b.r.count(capacity, &b.r.bodyMemory); err != nil {
		return err
	}
	joined := allocate(capacity)
	for _, piece := range b.full {
		joined = append(joined, piece...)
	}
	joined = append(joined, b.last...)
	b.r.bodyMemory.shrink(b.dropPieces())
	b.last = joined
	return nil
}

// dropPieces has the memory of all pieces used again, and returns its size.
func (b *body) dropPieces() (size int) {
	for _, piece := range append(b.full, b.last) {
		size += cap(piece)
		recycle(piece)
	}
	b.full, b.last = nil, nil
	return size
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
