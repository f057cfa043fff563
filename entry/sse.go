package entry

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/outcome/claim"
)

// eventBody is the body of a streamed answer. The HTTP server reads it as fast
// as the caller takes it, so nothing is held for a slow caller but the piece
// that is being written.
type eventBody struct {
	answer *answer
	resp   *fasthttp.Response
	// pending is what is left to write; buf is its memory.
	pending, buf []byte
	ended        bool
	// kept is the whole body so far where it is small and can be recorded.
	recorded []byte
	tooLong  bool
}

const eventStream = "text/event-stream"

// streamAnswer makes the answer the response's body.
func streamAnswer(ctx *fasthttp.RequestCtx, a *answer, first []byte) {
	b := &eventBody{answer: a, resp: &ctx.Response}
	b.setEvent(first)
	ctx.SetContentType(eventStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	_ = ctx.Response.Header.SetTrailer(headerOutcome)
	ctx.SetBodyStream(b, -1)
}

func (b *eventBody) setEvent(data []byte) {
	b.buf = append(b.buf[:0], "data: "...)
	b.buf = append(b.buf, data...)
	b.buf = append(b.buf, "\n\n"...)
	b.pending = b.buf
	b.appendRecorded()
}

// keep adds what is pending to the body that is recorded for resends.
func (b *eventBody) appendRecorded() {
	if b.answer.claimGuard == nil || b.tooLong {
		return
	}
	b.recorded = append(b.recorded, b.pending...)
	if len(b.recorded) > claim.MaxBodyBytes {
		b.recorded, b.tooLong = nil, true
	}
}

// Read implements io.Reader. It blocks for the next piece.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		b.next()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

func (b *eventBody) next() {
	data, err := b.answer.Next()
	if err == nil {
		b.setEvent(data)
		return
	}
	b.ended = true
	b.resp.Header.Set(headerOutcome, b.answer.verdict.String())
	if errors.Is(err, io.EOF) {
		b.setEvent([]byte("[DONE]"))
		b.answer.record(fasthttp.StatusOK, eventStream, b.recorded)
		return
	}
	b.pending = append(append([]byte("event: error\ndata: "), errorBody(err)...), "\n\n"...)
}

// Close implements io.Closer; the HTTP server calls it at the end, also when
// the caller has gone. A non-idempotent answer is then read to its end, so that
// a resend finds it on record.
func (b *eventBody) Close() error {
	for b.answer.req.nonIdempotent && !b.ended {
		b.next()
	}
	b.answer.Close()
	b.answer.srv.calls.end(b.answer.call)
	return nil
}
