package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

// eventStream is the body of a caller's answer: complete events as they arrive from the endpoint,
// each once and in order, even if the stream is resumed at another endpoint. The HTTP server reads
// it and closes it at the end.
type eventStream struct {
	req     *request
	attempt *attempt
	reader  eventReader
	// pending is the part of the last event that Read has not returned yet.
	pending []byte
	// lastID is the ID of the last event that was read to its end.
	lastID  []byte
	resumes int
	// withoutEvent counts the bytes of comments and line breaks since the last event.
	withoutEvent int
	// framed is set if the caller's answer states its end.
	framed bool
	// complete is set once the last event of a whole stream has been read.
	complete bool
	err      error
}

// beginStream waits for the first event before the caller's answer begins, so that an endpoint that
// fails before it can still be replaced or the failure be reported by status.
func (r *request) beginStream(a *attempt) (*eventStream, bool) {
	s := &eventStream{req: r, attempt: a, reader: eventReader{bufio.NewReader(a.resp.Body())}, framed: !r.passesUnframed(a)}
	err := a.checkRelease()
	if err == nil {
		err = s.next()
	}
	if err == io.EOF {
		s.err, err = err, s.checkEnd()
	}
	if err != nil {
		a.endBroken()
		retry := r.handleSendFailure(outcomeBroken, err)
		return nil, retry
	}
	r.sendsAnswer(r.route.StreamIdleTimeout(), 0)
	s.noteSource(a.resp)
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

// maxWithoutEvent bounds the bytes of comments and line breaks between two events, which a faulty endpoint may send without end.
const maxWithoutEvent = 64 << 10

var errNoEvent = fault.New(fault.Broken, "look at the endpoint's log", "over %d bytes of comments and line breaks without an event", maxWithoutEvent)

// next reads the next complete event into pending, or comments and line breaks that came in place of one. Those before the
// first event are returned with it, since the caller's answer begins there.
func (s *eventStream) next() error {
	var lead []byte
	for {
		event, id, err := s.reader.next()
		if s.pending = event; len(lead) > 0 {
			s.pending = append(lead, event...)
		}
		switch {
		case err != nil:
			if errors.Is(err, errEventCut) {
				answersCut.Inc()
			}
			return err
		case hasFields(event):
			s.withoutEvent = 0
			s.noteEvent(id)
			return nil
		}
		s.attempt.received()
		if s.withoutEvent += len(event); s.withoutEvent > maxWithoutEvent {
			return errNoEvent
		}
		if s.req.events > 0 {
			return nil
		}
		lead = s.pending
	}
}

// noteEvent records that an event was read.
func (s *eventStream) noteEvent(id []byte) {
	if len(id) > 0 {
		s.lastID = id
	}
	s.noteRelease()
	if s.attempt.begunAt.IsZero() {
		s.attempt.begunAt = time.Now()
	}
	s.attempt.received()
	if s.req.events++; s.req.events == 1 {
		if s.req.release == "" {
			s.req.release = s.attempt.release()
		}
		s.req.firstEvent = time.Since(s.req.began)
		s.attempt.reportStage(balance.Answering)
	}
}

// noteRelease records for the log line which release has written the events that were read.
func (s *eventStream) noteRelease() {
	release, list := s.attempt.place.Endpoint.Release, s.req.releases
	if len(list) == 0 || list[len(list)-1] != release {
		s.req.releases = append(list, release)
	}
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
	for r.route.Resumable && len(s.lastID) > 0 && s.resumes < maxResumes && s.mayResume() && r.mayRetry(outcomeBroken) {
		s.resumes++
		if s.resume() == nil {
			return nil
		}
	}
	return r.lastErr
}

// mayResume reports whether it is known which release may go on with the stream.
func (s *eventStream) mayResume() bool {
	if s.req.release == "" {
		s.req.failedWith(errReleaseUnknown)
		return false
	}
	return true
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
	if err := a.checkRelease(); err != nil {
		a.finish(balance.Failed)
		r.lastErr = err
		return err
	}
	s.attempt = a
	s.noteSource(a.resp)
	s.reader.r.Reset(a.resp.Body())
	return nil
}

// noteSource states from which answer the stream is read, nil for none.
func (s *eventStream) noteSource(in *endpoint.Incoming) {
	if x := s.req.conn.sender; x != nil {
		x.use.Load().source.Store(in)
	}
}

// Close implements io.Closer. The HTTP server calls it when the answer is written, or can't be.
func (s *eventStream) Close() error {
	r := s.req
	s.noteSource(nil)
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
