package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/placement"
)

const (
	// maxStarts is how many times endpoints may start one request.
	maxStarts = 6
	// minRetryDelay and maxRetryDelay bound the delay before all endpoints are tried again.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// cancelTimeout bounds the call that asks an engine to cancel a run.
	cancelTimeout = time.Second
)

// answer is the answer to one model request. It hides which endpoints produce it: Next returns
// every piece once and in order, also when endpoints or connections fail. It is not safe for
// concurrent use.
type answer struct {
	srv      *Server
	call     *call
	req      *modelRequest
	tracker  *outcome.Request
	progress progress
	run      *run
	exclude  []string
	// sends counts the sends of the request, started those that an endpoint may have started
	// to run.
	sends, started int
	// startDeadline is when a request that no endpoint accepts fails; retryDelay is the last
	// delay before all endpoints were tried again.
	startDeadline time.Time
	retryDelay    time.Duration
	// lastErr is the error that ended the last run.
	lastErr    error
	claimGuard *claimGuard
	// endpoint is the name of the endpoint that runs the request or ran it last.
	endpoint string
	// verdict is valid once closed is set.
	verdict outcome.Verdict
	closed  bool
}

// run is one send of the request to one endpoint.
type run struct {
	id     string
	grant  placement.Grant
	engine Engine
	send   *outcome.Send
	stream endpoint.Stream
	// incarnation of the engine: the one in the grant until an answer reports it. A restarted
	// engine has another incarnation.
	incarnation uint64
	answered    bool
	version     string
	sentAt      time.Time
	// next is the index of the next expected piece; resumes counts the resumes of the stream
	// since the last valid piece.
	next    int64
	resumes int
	cached  int64
	prompt  int64
}

func (s *Server) newAnswer(c *call, req *modelRequest) *answer {
	a := &answer{srv: s, call: c, req: req, tracker: outcome.New(req.nonIdempotent)}
	a.claimGuard = s.newClaimGuard(a.tracker, req.key, claim.Request{
		Key:     claim.NewKey(req.placement.Organisation, req.key),
		Body:    claim.Hash(req.placement.Fingerprint),
		Attempt: req.id,
	}, req.placement.Class)
	a.resetStartDeadline(time.Now())
	return a
}

// lookupKey looks up the idempotency key in the claims; see claimGuard.lookupKey.
func (a *answer) lookupKey() error {
	err := a.claimGuard.lookupKey(a.call.ctx)
	if err == nil {
		return nil
	}
	return a.close(err)
}

// Next blocks until the next piece arrives. The piece is valid until the next call. Next
// returns io.EOF after the last piece, or another error if the answer cannot be completed;
// either ends the answer and sets verdict.
func (a *answer) Next() ([]byte, error) {
	for {
		if a.run == nil {
			if err := a.startRun(); err != nil {
				return nil, a.fail(err)
			}
		}
		data, err := a.next()
		if err == nil {
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			a.complete()
			return nil, io.EOF
		}
		if err := a.recover(err); err != nil {
			return nil, a.fail(err)
		}
	}
}

// next reads and checks one piece of the current run.
func (a *answer) next() ([]byte, error) {
	r := a.run
	if r.stream == nil {
		return nil, fault.New(fault.Broken, "the router resumes the request by itself", "no answer to the send")
	}
	p, err := r.stream.Next()
	if errors.Is(err, io.EOF) && !a.progress.finished {
		return nil, fault.New(fault.Broken, "look at the endpoint's log", "an end mark before the answer's end")
	}
	if err != nil {
		return nil, err
	}
	return a.accept(p)
}

// accept checks that p is the next piece of this request. Without the check, a late answer, an
// answer to another request, or a lost or repeated piece would give the caller text of another
// request or text with gaps.
func (a *answer) accept(p endpoint.Piece) ([]byte, error) {
	r := a.run
	quoted := strconv.AppendQuote(nil, r.id)
	if p.ID != r.id || p.Index != r.next || !bytes.Contains(p.Data, quoted) {
		a.srv.metrics.outOfOrder.Inc()
		return nil, fault.New(fault.Broken, "look at the endpoint's log", "piece %s/%d came where %s/%d was due", p.ID, p.Index, r.id, r.next)
	}
	c, err := parseChunk(p.Data)
	if err != nil {
		return nil, err
	}
	if r.next == 0 {
		a.firstPiece(c)
	}
	r.next++
	r.resumes = 0
	a.progress.add(c)
	if r.id == a.req.id {
		return p.Data, nil
	}
	return bytes.ReplaceAll(p.Data, quoted, strconv.AppendQuote(nil, a.req.id)), nil
}

func (a *answer) firstPiece(c *chunk) {
	r := a.run
	if c.Usage != nil {
		r.cached, r.prompt = c.Usage.PromptTokensDetails.CachedTokens, c.Usage.PromptTokens
	}
	a.srv.cfg.Placer.FirstToken(r.grant, r.cached, time.Since(r.sentAt))
}

// startRun places and sends the request until an endpoint accepts it.
func (a *answer) startRun() error {
	for {
		if a.started >= maxStarts {
			return fault.New(fault.Broken, "send the request again later", "the request broke off %d times", a.started)
		}
		grant, err := a.placement()
		if err != nil {
			return a.placementError(err)
		}
		a.tracker.Admit()
		if err := a.claimGuard.acquire(a.call.ctx); err != nil {
			a.srv.cfg.Placer.Done(grant, placement.Result{End: placement.EndUnused})
			return err
		}
		a.sends++
		if err := a.send(grant); err != nil {
			return err
		}
		if a.run != nil {
			return nil
		}
	}
}

// placement requests a grant. It excludes endpoints that were already tried. If no other endpoint
// is left, such as in a small pool whose engines crashed together, it tries all of them again
// until the class's maximum wait has passed: an engine restarts within a second or two.
func (a *answer) placement() (placement.Grant, error) {
	for {
		req := a.req.placement
		req.Exclude = a.exclude
		grant, err := a.srv.cfg.Placer.Place(a.call.ctx, req)
		tried := len(a.exclude) > 0 || a.started > 0
		if !fault.Is(err, fault.Unavailable) || !tried || !a.waitRetry() {
			return grant, err
		}
		a.exclude = nil
	}
}

// placementError returns the error of a request that no endpoint accepts. If part of the
// answer was already delivered, the error says why the answer broke off.
func (a *answer) placementError(err error) error {
	if cause := a.call.cause(); cause != nil {
		return a.unplacedCause(cause)
	}
	if a.lastErr == nil || a.progress.pieces == 0 {
		return err
	}
	return fault.Wrap(a.lastErr, fault.Broken, "send the request again", "the answer broke off and no endpoint could go on with it")
}

// unplacedCause returns the error of a call that ended before it was placed.
func (a *answer) unplacedCause(cause error) error {
	if errors.Is(cause, errTimeout) && a.tracker.NoSendMayHaveRun() {
		return fault.New(fault.Overloaded, "send the request again later", "the request could not start before its class's timeout")
	}
	return cause
}

// waitRetry sleeps before all endpoints are tried again. It returns false if the call ends or
// the start deadline would pass.
func (a *answer) waitRetry() bool {
	a.retryDelay = min(max(2*a.retryDelay, minRetryDelay), maxRetryDelay)
	if time.Now().Add(a.retryDelay).After(a.startDeadline) {
		return false
	}
	t := time.NewTimer(a.retryDelay)
	defer t.Stop()
	select {
	case <-a.call.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// resetStartDeadline sets the time by which the request must start and resets the retry delay.
func (a *answer) resetStartDeadline(now time.Time) {
	a.retryDelay = 0
	a.startDeadline = now.Add(time.Duration(a.req.placement.Class.GetMaxWaitMs()) * time.Millisecond)
}

func (a *answer) excludeEndpoint() { a.exclude = append(a.exclude, a.run.grant.Endpoint) }

// endRun ends the current run and returns its grant to the placer.
func (a *answer) endRun(end placement.End) {
	r := a.run
	if r == nil {
		return
	}
	a.run = nil
	if r.stream != nil {
		r.stream.Close()
	}
	if end == placement.EndUnused || end == placement.EndCrashed {
		a.exclude = append(a.exclude, r.grant.Endpoint)
	}
	a.srv.cfg.Placer.Done(r.grant, placement.Result{
		End:          end,
		Incarnation:  r.incarnation,
		CachedTokens: r.cached,
		PromptTokens: r.prompt,
		OutputTokens: r.next,
	})
}

// cancel asks the engine to cancel the run. It runs in the background because an engine that
// has died would otherwise delay the final answer to the caller.
func (a *answer) cancel() {
	engine, id, cancelled := a.run.engine, a.run.id, a.srv.metrics.cancelled
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if engine.Cancel(ctx, id) == nil {
			cancelled.Inc()
		}
	}()
}

func (a *answer) complete() {
	a.run.send.Done()
	a.endRun(placement.EndDone)
	_ = a.close(nil)
}

// fail ends the answer with an error and cancels a run that is still in progress.
func (a *answer) fail(err error) error {
	if a.run != nil {
		if !errors.Is(a.call.cause(), errKilled) {
			a.cancel()
		}
		a.endRun(placement.EndFailed)
	}
	return a.close(err)
}

// close ends the answer, determines its outcome and returns the error for the caller.
func (a *answer) close(err error) error {
	if a.closed {
		return err
	}
	a.closed = true
	err = a.claimGuard.recordNotRun(err)
	a.verdict = a.tracker.Finish()
	a.srv.metrics.outcome(a.verdict)
	// A complete answer is recorded by the function that has assembled its body.
	if !a.verdict.Complete() {
		a.record(0, "", nil)
	}
	return err
}

// record stores the outcome of the request in the claims, with the body of the answer if there
// is one.
func (a *answer) record(status int, contentType string, body []byte) {
	a.claimGuard.finish(a.verdict, claim.Answer{
		Status:      status,
		ContentType: contentType,
		Body:        body,
		Kept:        body != nil,
		Endpoint:    a.endpoint,
	})
}

// Close ends an answer that the caller no longer reads.
func (a *answer) Close() {
	if !a.closed {
		_ = a.fail(errCallerClosed)
	}
}
