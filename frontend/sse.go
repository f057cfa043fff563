package frontend

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/outcome/claim"
)

// eventBody is the body of a streamed answer. The HTTP server reads it as fast as the caller
// does, so only the current piece is buffered for a slow caller.
type eventBody struct {
	answer *answer
	resp   *fasthttp.Response
	// pending is the rest of the current event; buf is its buffer.
	pending, buf []byte
	ended        bool
	// recorded is the body so far, if the answer is recorded for resends; it is dropped and
	// tooLong set once the body is too large to be recorded.
	recorded []byte
	tooLong  bool
}

const eventStream = "text/event-stream"

// streamAnswer streams the answer as the body of the response.
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

// appendRecorded appends the current event to the recorded body.
func (b *eventBody) appendRecorded() {
	if b.answer.claimGuard == nil || b.tooLong {
		return
	}
	b.recorded = append(b.recorded, b.pending...)
	if len(b.recorded) > claim.MaxBodyBytes {
		b.recorded, b.tooLong = nil, true
	}
}

// Read implements io.Reader. It blocks until the next piece arrives.
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

// Close implements io.Closer. The HTTP server calls it at the end, also if the caller has
// disconnected. A non-idempotent answer is then read to its end, so that a resend finds it on
// record.
func (b *eventBody) Close() error {
	for b.answer.req.nonIdempotent && !b.ended {
		b.next()
	}
	b.answer.Close()
	b.answer.srv.calls.end(b.answer.call)
	return nil
}
