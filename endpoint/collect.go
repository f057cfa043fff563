package endpoint

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	// maxResponseBytes bounds a response that is read into memory whole.
	maxResponseBytes = 64 << 20
	// maxPreallocated bounds the memory that is allocated because a response states its length, before its bytes arrive.
	maxPreallocated = 4 << 20
	// firstPieceBytes is the size of the first piece of a body of unknown length; most have no other.
	firstPieceBytes = 4 << 10
	// pieceBytes is the size of all further pieces.
	pieceBytes = 32 << 10
	// maxDiscarded bounds what is read of a body that nobody wants, so that its connection can be used again.
	maxDiscarded = 64 << 10
	// maxFraming bounds the bytes received beyond twice the content of a body, such as those of chunk heads. Chunks with hardly any
	// content would take long to be as much as the bound on content allows.
	maxFraming = 64 << 10
	// maxInformational bounds the informational (1xx) responses before the final one.
	maxInformational = 8
)

var (
	errInformational = errors.New("too many informational responses before the final one")
	errTooLong       = fault.New(fault.Broken, "look at the endpoint's log", "answer over %d bytes", maxResponseBytes)
	errFraming       = fault.New(fault.Broken, "look at the endpoint's log", "chunks with hardly any content")
	errNotDiscarded  = fault.New(fault.Broken, "look at the endpoint's log", "over %d bytes in an answer that nobody wants", maxDiscarded)

	answersTooLarge = metrics.GetOrCreateCounter("sardinedock_intake_ended_total")

	// sharedIntake is for connections that have no other.
	sharedIntake = bufferlimit.NewIntake(maxResponseBytes)

	// pieces recycles the pieces of bodies: one without end would leave them to the garbage collector faster than it runs.
	pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}
)

// readAll reads the rest of the body. A truncated body is an error, as is the largest of all bodies that are being read while their
// sum is over the bound.
func (resp *response) readAll() ([]byte, error) {
	intake := resp.conn.intake
	if intake == nil {
		intake = sharedIntake
	}
	c := intake.Begin(func() { _ = resp.conn.Conn.Close() })
	defer c.End()
	body, err := resp.collect(c)
	switch {
	case c.Full():
		answersTooLarge.Inc()
		return nil, bufferlimit.ErrIntakeFull
	case err != nil:
		return nil, brokenError(err)
	}
	return body, nil
}

// collect reads the rest of the body into memory counted by c.
func (resp *response) collect(c *bufferlimit.Collection) ([]byte, error) {
	if l, ok := resp.body.(*lengthReader); ok && l.left <= maxPreallocated {
		// The pieces would occupy the length once more when they are joined.
		if err := c.Grow(time.Now(), int64(l.left)); err != nil {
			return nil, err
		}
		body := make([]byte, l.left)
		_, err := io.ReadFull(l, body)
		return body, err
	}
	if err := c.Grow(time.Now(), firstPieceBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstPieceBytes)
	before := resp.conn.received
	n, err := fill(resp.body, first)
	if err != nil {
		return first[:n], notEOF(err)
	}
	return resp.collectPieces(c, first, before)
}

// collectPieces reads what follows after the first bytes of a body. before is what had been received on the connection before them.
func (resp *response) collectPieces(c *bufferlimit.Collection, first []byte, before int) ([]byte, error) {
	var list []*[pieceBytes]byte
	defer func() {
		for _, p := range list {
			pieces.Put(p)
		}
	}()
	for size := len(first); ; {
		if err := c.Grow(time.Now(), pieceBytes); err != nil {
			return nil, err
		}
		p := pieces.Get().(*[pieceBytes]byte)
		list = append(list, p)
		n, err := fill(resp.body, p[:])
		size += n
		switch {
		case size > maxResponseBytes:
			return nil, errTooLong
		case resp.conn.received-before > 2*size+maxFraming:
			return nil, errFraming
		}
		if err == nil {
			continue
		}
		if err = notEOF(err); err == nil {
			err = c.Grow(time.Now(), int64(size))
		}
		if err != nil {
			return nil, err
		}
		body := append(make([]byte, 0, size), first...)
		for _, p := range list {
			body = append(body, p[:min(pieceBytes, size-len(body))]...)
		}
		return body, nil
	}
}

// fill reads until p is full, or an error, which is io.EOF at the end of the body.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	if n == len(p) {
		// An error comes again with the next read.
		err = nil
	}
	return n, err
}

// notEOF returns nil for io.EOF, which ends a body.
func notEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// discard reads the rest of a body that nobody wants, so that its connection can be used again. It returns an error if that is too
// much.
func (resp *response) discard() error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.body, maxDiscarded+1))
	switch {
	case err != nil:
		return brokenError(err)
	case n > maxDiscarded:
		return errNotDiscarded
	}
	return nil
}
