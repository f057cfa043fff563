package entry

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
	"github.com/sardinedock/sardinedock/place"
)

const (
	// maxStarted bounds how often one request is begun by an endpoint.
	maxStarts = 6
	// firstPause and maxPause bound the waits before all endpoints are tried
	// once more.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// cancelTimeout bounds the telling of an engine that its work is not
	// wanted any more.
	cancelTimeout = time.Second
)

// answer is the one whole answer to a model request. It hides which endpoints
// give it: Next returns the pieces in order, each once, whatever breaks on the
// way. One goroutine may use it.
type answer struct {
	srv      *Server
	call     *call
	req      *modelRequest
	tracker  *outcome.Request
	progress progress
	run      *run
	exclude  []string
	// sends is how often the request was sent, started how often an endpoint
	// may have begun it.
	sends, started int
	// startBy is when a request that no endpoint takes is given up, pause the
	// last wait before all were tried again.
	startDeadline time.Time
	retryDelay    time.Duration
	// broke is why the last run broke off.
	lastErr    error
	claimGuard *claimGuard
	// endpoint that runs the request, or ran it last.
	endpoint string
	// verdict holds once closed is set.
	verdict outcome.Verdict
	closed  bool
}

// run is one send of the request to one endpoint.
type run struct {
	id     string
	grant  place.Grant
	engine Engine
	send   *outcome.Send
	stream endpoint.Stream
	// incarnation of the engine: the grant's, until an answer tells it.
	incarnation uint64
	answered    bool
	version     string
	sentAt      time.Time
	// next is the index of the piece that has to come, resumes how often the
	// stream was resumed since the last good piece.
	next    int64
	resumes int
	cached  int64
	prompt  int64
}

func (s *Server) newAnswer(c *call, req *modelRequest) *answer {
	a := &answer{srv: s, call: c, req: req, tracker: outcome.New(req.nonIdempotent)}
	a.claimGuard = s.newClaimGuard(a.tracker, req.key, claim.Request{
		Key:     claim.NewKey(req.place.Organisation, req.key),
		Body:    claim.Hash(req.place.Fingerprint),
		Attempt: req.id,
	}, req.place.Class)
	a.resetStartDeadline(time.Now())
	return a
}

// look finds out whether the request's key is known; see ticket.
func (a *answer) lookupKey() error {
	err := a.claimGuard.lookupKey(a.call.ctx)
	if err == nil {
		return nil
	}
	return a.close(err)
}

// Next blocks for the next piece, which is valid until the next call. It
// returns io.EOF after the last one, and any other error once, when the answer
// can't be completed; the verdict holds from then on.
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

// next reads one piece of the present run and checks it.
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

// accept checks that a piece is the next one of this very request. A late or
// crossed answer, a lost piece or a repeated one would show a caller text that
// is not its own, or not whole.
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

// begin places and sends the request until an endpoint takes it.
func (a *answer) startRun() error {
	for {
		if a.started >= maxStarts {
			return fault.New(fault.Broken, "send the request again later", "the request broke off %d times", a.started)
		}
		grant, err := a.place()
		if err != nil {
			return a.placementError(err)
		}
		a.tracker.Admit()
		if err := a.claimGuard.acquire(a.call.ctx); err != nil {
			a.srv.cfg.Placer.Done(grant, place.Result{End: place.EndUnused})
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

// place asks for a grant. Endpoints that were tried are left out as long as
// there are others. Where there are none, such as in a small pool whose
// engines have just crashed together, it asks again until the class's wait is
// over: an engine is back within a second or two.
func (a *answer) place() (place.Grant, error) {
	for {
		req := a.req.place
		req.Exclude = a.exclude
		grant, err := a.srv.cfg.Placer.Place(a.call.ctx, req)
		tried := len(a.exclude) > 0 || a.started > 0
		if !fault.Is(err, fault.Unavailable) || !tried || !a.waitRetry() {
			return grant, err
		}
		a.exclude = nil
	}
}

// unplaced is the error of a request that no endpoint takes. Of an answer that
// has begun the caller is told why it broke off.
func (a *answer) placementError(err error) error {
	if cause := a.call.cause(); cause != nil {
		return a.unplacedCause(cause)
	}
	if a.lastErr == nil || a.progress.pieces == 0 {
		return err
	}
	return fault.Wrap(a.lastErr, fault.Broken, "send the request again", "the answer broke off and no endpoint could go on with it")
}

// late is the error of a call that ended before it was placed.
func (a *answer) unplacedCause(cause error) error {
	if errors.Is(cause, errTimeout) && a.tracker.Unrun() {
		return fault.New(fault.Overloaded, "send the request again later", "the request could not start before its class's timeout")
	}
	return cause
}

// rest pauses before all endpoints are tried once more; false when the time to
// start is over.
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

// waitFrom sets the time by which the request has to start.
func (a *answer) resetStartDeadline(now time.Time) {
	a.retryDelay = 0
	a.startDeadline = now.Add(time.Duration(a.req.place.Class.GetMaxWaitMs()) * time.Millisecond)
}

func (a *answer) excludeEndpoint() { a.exclude = append(a.exclude, a.run.grant.Endpoint) }

// leave ends the present run and gives its grant back.
func (a *answer) endRun(end place.End) {
	r := a.run
	if r == nil {
		return
	}
	a.run = nil
	if r.stream != nil {
		r.stream.Close()
	}
	if end == place.EndUnused || end == place.EndCrashed {
		a.exclude = append(a.exclude, r.grant.Endpoint)
	}
	a.srv.cfg.Placer.Done(r.grant, place.Result{
		End:          end,
		Incarnation:  r.incarnation,
		CachedTokens: r.cached,
		PromptTokens: r.prompt,
		OutputTokens: r.next,
	})
}

// cancel tells the engine that its work is not wanted any more. The caller's
// final answer does not wait for it: an engine that has died would hold it up.
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
	a.endRun(place.EndDone)
	_ = a.close(nil)
}

// fail ends the answer; what an engine still does for it is cancelled.
func (a *answer) fail(err error) error {
	if a.run != nil {
		if !errors.Is(a.call.cause(), errKilled) {
			a.cancel()
		}
		a.endRun(place.EndFailed)
	}
	return a.close(err)
}

// close settles the word and returns the error for the caller.
func (a *answer) close(err error) error {
	if a.closed {
		return err
	}
	a.closed = true
	err = a.claimGuard.recordNotRun(err)
	a.verdict = a.tracker.Finish()
	a.srv.metrics.outcome(a.verdict)
	// A complete answer is recorded by whoever has put it together.
	if !a.verdict.Complete() {
		a.record(0, "", nil)
	}
	return err
}

// record tells the claim's record what became of the request, with the answer's
// body where there is one.
func (a *answer) record(status int, contentType string, body []byte) {
	a.claimGuard.finish(a.verdict, claim.Answer{
		Status:      status,
		ContentType: contentType,
		Body:        body,
		Kept:        body != nil,
		Endpoint:    a.endpoint,
	})
}

// Close ends an answer that nobody reads any more.
func (a *answer) Close() {
	if !a.closed {
		_ = a.fail(errCallerClosed)
	}
}
