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
	// framed is set if the caller's answer states its end.
	framed bool
	// complete is set once the last event of a whole stream has been read.
	complete bool
	err      error
}

// beginStream waits for the first event before the caller's answer begins, so that an endpoint that
// fails before it can still be replaced or the failure be reported by status.
func (r *request) beginStream(a *attempt) (*eventStream, bool) {
	s := &eventStream{req: r, attempt: a, reader: bufio.NewReader(a.resp.Body()), framed: !r.passesUnframed(a)}
	err := s.next()
	if err == io.EOF {
		s.err, err = err, s.checkEnd()
	}
	if err != nil {
		a.endBroken()
		retry := r.handleSendFailure(outcomeBroken, err)
		return nil, retry
	}
	r.copyHead(a)
	if !s.framed {
		r.unframed = s
		return s, false
	}
	r.ctx.Response.ImmediateHeaderFlush = true
	r.ctx.Response.SetBodyStream(s, -1)
	return s, false
}

// checkEnd returns nil if a stream that was read to its end may be passed on as it is.
func (s *eventStream) checkEnd() error {
	end, err := s.attempt.checkEnd()
	if err == nil && end == endAssumed && s.framed && s.req.origin == "" {
		err = errEndUnknown
	}
	s.complete = err == nil
	return err
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

// next reads the next complete event into pending. Lines end with LF or CRLF.
func (s *eventStream) next() error {
	s.pending = s.pending[:0]
	var event []byte
	var id []byte
	begun := false
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
			begun = begun || len(bytes.TrimRight(line, "\r")) > 0
			return s.endRead(err, event, begun)
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = append(id[:0], bytes.TrimSpace(value)...)
		}
		if len(line) == 0 {
			break
		}
		begun = begun || line[0] != ':'
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

// endRead handles a read error. begun reports whether rest has part of an event. Such an answer has broken
// off, however it ended, and that part is not passed on: after a resumption it would be joined with the next
// event. Line breaks and comments after the last event are passed on.
func (s *eventStream) endRead(err error, rest []byte, begun bool) error {
	switch {
	case err != io.EOF:
		return err
	case begun:
		answersCut.Inc()
		return errEventCut
	}
	s.pending = rest
	return io.EOF
}

// recover handles the end of an endpoint's stream. It returns nil if the stream was resumed at
// another endpoint, otherwise the error with which it ends.
func (s *eventStream) recover(err error) error {
	r := s.req
	if err == io.EOF {
		if err = s.checkEnd(); err == nil {
			s.attempt.finish(balance.Done)
			return io.EOF
		}
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
	case s.complete && len(s.pending) == 0:
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
	case !s.complete:
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
