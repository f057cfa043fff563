package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/fault"
)

// maxEventBytes bounds one event, so that a faulty endpoint can't make the gateway buffer an
// endless one.
const maxEventBytes = 1 << 20

// eventStream is the body of a caller's answer: complete events as they arrive from the endpoint,
// each once and in order, even if the stream is resumed at another endpoint. The HTTP server reads
// it and closes it at the end.
type eventStream struct {
	req     *request
	attempt *attempt
	reader  *bufio.Reader
	// pending is the part of the last event that Read has not returned yet.
	pending []byte
	// lastID is the ID of the last event that was read to its end.
	lastID  []byte
	resumes int
	err     error
}

// beginStream waits for the first event before the caller's answer begins, so that an endpoint that
// fails before it can still be replaced or the failure be reported by status.
func (r *request) beginStream(a *attempt) (*eventStream, bool) {
	s := &eventStream{req: r, attempt: a, reader: bufio.NewReader(a.resp.Body())}
	err := s.next()
	if err != nil && !errors.Is(err, io.EOF) {
		a.endBroken()
		retry := r.handleSendFailure(outcomeBroken, err)
		return nil, retry
	}
	if err != nil {
		s.err = err
	}
	r.copyHead(a)
	r.ctx.Response.ImmediateHeaderFlush = true
	r.ctx.Response.SetBodyStream(s, -1)
	return s, false
}

// Read implements io.Reader. Any error but io.EOF makes the HTTP server close the connection
// without ending the body, so that a truncated answer does not look complete.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		if err := s.next(); err != nil {
			s.err = s.recover(err)
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// next reads the next complete event into pending.
func (s *eventStream) next() error {
	s.pending = s.pending[:0]
	var event []byte
	var id []byte
	for {
		line, err := s.reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return fault.New(fault.Broken, "look at the endpoint's log", "event of over %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return s.endRead(err, event)
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = append(id[:0], bytes.TrimSpace(value)...)
		}
		if len(line) == 0 {
			break
		}
	}
	if len(id) > 0 {
		s.lastID = id
	}
	s.pending = event
	s.attempt.heard()
	if s.req.events++; s.req.events == 1 {
		s.req.firstEvent = time.Since(s.req.began)
		s.attempt.reportStage(balance.Answering)
	}
	return nil
}

// endRead handles a read error. The bytes of an incomplete event are passed on only if the endpoint
// ended its answer there; part of an event of a broken answer would be joined with the next event
// after a resumption.
func (s *eventStream) endRead(err error, rest []byte) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	s.pending = rest
	return io.EOF
}

// recover handles the end of an endpoint's stream. It returns nil if the stream was resumed at
// another endpoint, otherwise the error with which it ends.
func (s *eventStream) recover(err error) error {
	r := s.req
	if errors.Is(err, io.EOF) {
		s.attempt.finish(balance.Done)
		return io.EOF
	}
	s.attempt.endBroken()
	r.failedWith(err)
	for r.route.Resumable && len(s.lastID) > 0 && s.resumes < maxResumes && r.mayRetry(outcomeBroken) {
		s.resumes++
		if s.resume() == nil {
			return nil
		}
	}
	return r.lastErr
}

// maxResumes bounds how often one stream is resumed.
const maxResumes = 3

// resume sends the request to another endpoint, which continues after the last event.
func (s *eventStream) resume() error {
	r := s.req
	if !s.attempt.forwarded() {
		r.exclude = append(r.exclude, s.attempt.place.Endpoint.ID)
	}
	a, o, err := r.dispatch(string(s.lastID))
	if err != nil {
		if o != outcomeUnplaced && r.sends > 0 {
			r.exclude = append(r.exclude, r.last.Endpoint.ID)
		}
		r.lastErr = err
		return err
	}
	if !a.usable() || !a.head.Events || a.head.Status >= 300 {
		err := fault.New(fault.Broken, "look at the endpoint's log", "status %d in place of the rest of a stream", a.head.Status)
		if a.head.NotRun {
			r.rejectedAt(a.place.Endpoint.ID)
			a.finish(balance.Rejected)
		} else {
			r.ran++
			a.finish(balance.Failed)
		}
		r.lastErr = err
		return err
	}
	r.ran++
	s.attempt = a
	s.reader.Reset(a.resp.Body())
	return nil
}

// Close implements io.Closer. The HTTP server calls it when the answer is written, or can't be.
func (s *eventStream) Close() error {
	r := s.req
	switch {
	case errors.Is(s.err, io.EOF) && len(s.pending) == 0:
		s.attempt.finish(balance.Done)
	default:
		// The caller disconnected, its time is over, or the stream broke. Closing the connection
		// makes the endpoint stop.
		s.attempt.finish(balance.Abandoned)
	}
	status := s.attempt.head.Status
	switch cause := context.Cause(r.reqCtx); {
	case errors.Is(cause, errCallerDisconnected):
		status, r.lastErr = statusCallerDisconnected, cause
	case !errors.Is(s.err, io.EOF):
		status = statusStreamBroken
		if r.lastErr == nil || errors.Is(cause, errAborted) {
			r.lastErr = cause
		}
	}
	r.ctx.Response.SetStatusCode(status)
	r.end()
	return nil
}

// statusStreamBroken is the status in logs and metrics of a stream that broke off.
const statusStreamBroken = 598
