package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// attempt is one send of the request to one endpoint.
type attempt struct {
	req   *request
	run   balance.RunID
	place balance.Placement
	// sentAt is when it was sent.
	sentAt time.Time
	in     *endpoint.Incoming
	head   Answer
	ended  bool
	// unsent says that no connection could be made, so that nothing arrived.
	unsent bool
	// life ends with the request's, or where the endpoint is given up.
	life   context.Context
	cancel context.CancelCauseFunc
}

// attempt sends the request once. again says that it should be placed anew;
// otherwise the answer is written, or goes on as the stream that is returned.
func (r *request) attempt(p balance.Placement) (stream *eventStream, again bool) {
	a, o, err := r.send(p, "")
	if err != nil {
		return nil, r.sendFailed(o, err)
	}
	if !a.usable() {
		return nil, r.unusable(a)
	}
	r.ran++
	if a.head.Events && a.head.Status < 300 {
		return r.beginStream(a)
	}
	body, err := a.in.ReadAll()
	if err != nil {
		a.broke()
		return nil, r.sendFailed(outcomeBroken, err)
	}
	if a.head.Status >= 500 && r.mayTryAgain(outcomeFailed) {
		a.finish(balance.Errored)
		r.exclude = append(r.exclude, p.Endpoint.ID)
		return nil, true
	}
	r.writeWhole(a, body)
	return nil, false
}

// send sends the request to the endpoint and reads the head of the answer.
// resumeAfter is the last event that the caller has, for a stream that goes on.
func (r *request) send(p balance.Placement, resumeAfter string) (*attempt, outcome, error) {
	a := &attempt{req: r, run: r.run, place: p}
	a.life, a.cancel = context.WithCancelCause(r.life)
	r.last = p
	r.sends++
	now := time.Now()
	a.sentAt = now
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
	r.srv.silence.begin(a, now)
	body := r.ctx.Request.Body()
	head := r.srv.cfg.Dialect.AppendHead(nil, &r.ctx.Request.Header, r.outgoing(p, len(body), resumeAfter))
	in, err := r.srv.cfg.Relay(p.Endpoint.Address).Open(a.life, endpoint.Outgoing{
		Head: head, Body: body, Accept: a.takeHead, Bodiless: r.ctx.IsHead(),
	})
	if err != nil {
		return nil, a.openFailed(err), err
	}
	a.in = in
	r.srv.silence.heard(p.Endpoint.ID, time.Now())
	a.learn()
	a.learnRate()
	return a, 0, nil
}

// takeHead reads the head of an answer and reports whether it belongs to this
// request.
func (a *attempt) takeHead(h *fasthttp.ResponseHeader) bool {
	a.head = a.req.srv.cfg.Dialect.ParseAnswer(h)
	return a.head.ID == "" || a.head.ID == a.req.call.ID
}

func (r *request) outgoing(p balance.Placement, body int, resumeAfter string) Send {
	s := Send{
		Call:        r.call,
		Endpoint:    p.Endpoint.Name,
		Left:        time.Until(r.deadline),
		Body:        body,
		ResumeAfter: resumeAfter,
	}
	if r.organisation != nil {
		s.Organisation = r.organisation.Name
	}
	if r.service.Engine != nil {
		s.Version = p.Version
		s.CacheScope = balance.Scope(r.wall(), p.Version)
		s.FetchFrom, s.SaveTo = p.FetchFrom, p.SaveTo
		s.Priority = r.priority()
	}
	return s
}

// moved notes a stage here and tells the others.
func (a *attempt) moved(stage balance.Stage) {
	m := &gossippb.RunStage{Run: uint64(a.run), Stage: int32(stage)}
	if stage == balance.Misdirected && a.req.service.Engine != nil {
		m.Version = a.head.Version
	}
	if m.NotRun = a.unsent || notRun(stage); m.NotRun {
		a.req.srv.cfg.Placer.NotRun(a.run)
	}
	a.req.srv.cfg.State.SetStage(time.Now(), a.run, stage)
	a.req.srv.cfg.Broadcaster.ReportStage(m, a.place.PlacedBy)
}

// notRun reports whether a run of which a stage is the last certainly did not begin.
func notRun(stage balance.Stage) bool {
	return stage == balance.Rejected || stage == balance.Misdirected
}

// finish ends the attempt once.
func (a *attempt) finish(stage balance.Stage) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.srv.silence.end(a)
	defer a.cancel(context.Canceled)
	if a.in != nil {
		if readWhole(stage) {
			a.in.Finish()
		} else {
			a.in.Drop()
		}
	}
	a.moved(stage)
}

// readWhole reports whether the answer was read to its end at a stage.
func readWhole(stage balance.Stage) bool {
	switch stage {
	case balance.Done, balance.Errored, balance.Rejected, balance.Misdirected:
		return true
	}
	return false
}

// openFailed ends an attempt that brought no answer.
func (a *attempt) openFailed(err error) outcome {
	r := a.req
	if a.life.Err() == nil && fault.Is(err, fault.Unavailable) {
		a.unsent = true
		a.finish(balance.Unreachable)
		r.avoid(a.place.Endpoint.ID, unreachableTold)
		return outcomeUnsent
	}
	r.ran++
	a.broke()
	return outcomeBroken
}

// givenUp reports whether the endpoint was given up as silent; whether it still runs
// the request is not known.
func (a *attempt) givenUp() bool { return errors.Is(context.Cause(a.life), errSilent) }

// unreachableTold and crashedTold are how long others leave out an endpoint
// that one instance could not reach, or that broke a connection. They are short
// since the fault may lie between these two alone.
const (
	unreachableTold = 500 * time.Millisecond
	crashedTold     = 300 * time.Millisecond
)

// broke ends an attempt that broke off: the request's time is over, the endpoint was
// given up, or it broke the connection.
func (a *attempt) broke() {
	switch {
	case a.req.life.Err() != nil:
		a.finish(balance.Abandoned)
	case a.givenUp():
		a.finish(balance.Unreachable)
	default:
		a.crashed()
	}
}

// crashed ends an attempt whose connection the endpoint broke, which is how a
// crash shows.
func (a *attempt) crashed() {
	a.finish(balance.Failed)
	if a.req.service.Engine == nil {
		return
	}
	a.req.noteCrash(a.place.Endpoint.ID)
	a.req.avoid(a.place.Endpoint.ID, crashedTold)
}

// noteCrash tells all instances that the request was running when the endpoint
// broke.
func (r *request) noteCrash(endpointID string) {
	if r.srv.cfg.Guard == nil {
		return
	}
	fp := r.fingerprint()
	r.srv.cfg.Guard.Crashed(time.Now(), fp, endpointID)
	r.srv.cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, Crashed: fp[:]})
}

// avoid tells the others to leave an endpoint out for a while.
func (r *request) avoid(endpointID string, d time.Duration) {
	r.srv.cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, AvoidMs: d.Milliseconds()})
}

// learn takes in what the answer's head says of the endpoint.
func (a *attempt) learn() {
	cfg, id := a.req.srv.cfg, a.place.Endpoint.ID
	switch {
	case a.head.Mismatch && a.head.Answerer != "" && a.head.Answerer != a.place.Endpoint.Name:
		log.WithField("endpoint", id).WithField("address", a.place.Endpoint.Address).Info("endpoint gone: another one answers at its address")
		cfg.State.MarkDraining(id)
		cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: id, Leaving: true})
	case a.head.Mismatch && a.req.service.Engine != nil:
		v := cfg.State.Mismatch(id, a.req.call.Model, a.place.Version, a.head.Version)
		log.WithField("endpoint", id).WithField("expected", a.place.Version).WithField("assumed", v).Info("endpoint holds other weights")
	case a.head.Version > a.place.Version && a.req.service.Engine != nil:
		cfg.State.Holds(id, a.req.call.Model, a.head.Version)
		cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: id, Model: a.req.call.Model, Version: a.head.Version})
	}
}

// learnRate takes in what the answer's head says of the rate that the endpoint takes. A head
// that is not the endpoint's own says nothing of it.
func (a *attempt) learnRate() {
	rates := a.req.srv.cfg.Rates
	if rates == nil || a.head.Mismatch || !a.head.Signed && !a.head.NotRun {
		return
	}
	rates.Said(ratelimit.Statement{
		Endpoint: a.place.Endpoint.ID, Rate: a.head.Rate, SentAt: a.sentAt, AnsweredAt: time.Now(),
	}, a.head.RateError)
}

// usable reports whether the answer is the endpoint's own word on a request that
// it ran. Without its signature it may be anything that came over the
// connection, and a caller would take it for the whole answer.
func (a *attempt) usable() bool {
	return a.head.Signed && !a.head.Encoded && !a.head.NotRun && !statusSaysNotRun(a.head.Status)
}

// statusSaysNotRun reports whether callers read a status as a promise that the
// request has not run.
func statusSaysNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// unusable ends an attempt whose answer is not passed on as it is. It reports
// whether the request should be placed anew.
func (r *request) unusable(a *attempt) (again bool) {
	if a.head.NotRun {
		return r.turnedAway(a)
	}
	r.ran++
	err := fault.New(fault.Broken, "look at the endpoint's log", "status %d is not the endpoint's signed word", a.head.Status)
	a.finish(balance.Failed)
	return r.sendFailed(outcomeBroken, err)
}

// turnedAway ends an attempt that the endpoint did not run.
func (r *request) turnedAway(a *attempt) (again bool) {
	r.rejected++
	r.failedWith(fault.New(fault.Overloaded, "send the request again later", "the endpoint answered %d and did not run the request", a.head.Status))
	if _, err := a.in.ReadAll(); err != nil {
		a.in.Drop()
		a.in = nil
	}
	if a.head.Mismatch {
		// What is known of the endpoint was put right; it may be the best choice
		// still.
		a.finish(balance.Misdirected)
		if a.place.PlacedBy != "" && a.head.Version == 0 {
			// Who placed it does not learn of what was put right here.
			r.exclude = append(r.exclude, a.place.Endpoint.ID)
		}
	} else {
		a.finish(balance.Rejected)
		r.exclude = append(r.exclude, a.place.Endpoint.ID)
	}
	if r.mayTryAgain(outcomeRejected) {
		return true
	}
	r.refuseUnsent(r.lastErr)
	return false
}

// sendFailed decides what follows a send without a usable answer. It writes the
// final answer unless the request should be placed anew.
func (r *request) sendFailed(o outcome, err error) (again bool) {
	r.failedWith(err)
	r.exclude = append(r.exclude, r.last.Endpoint.ID)
	if r.mayTryAgain(o) {
		return true
	}
	cause := context.Cause(r.life)
	switch {
	case errors.Is(cause, errCallerGone):
		r.lastErr = cause
		r.abandon()
	case r.ran == 0:
		r.refuseUnsent(err)
	case errors.Is(cause, errTimeout):
		writeRefusal(r.ctx, refusal{status: fasthttp.StatusGatewayTimeout, cause: cause})
	case errors.Is(cause, errCut):
		r.lastErr = cause
		writeRefusal(r.ctx, refusal{status: fasthttp.StatusBadGateway, cause: cause})
	default:
		writeRefusal(r.ctx, refusal{status: fasthttp.StatusBadGateway, cause: err})
	}
	return false
}

// writeWhole passes on an answer that was read whole.
func (r *request) writeWhole(a *attempt, body []byte) {
	r.copyHead(a)
	r.ctx.Response.SetBodyRaw(body)
	if a.head.Status < 500 {
		a.finish(balance.Done)
		return
	}
	a.finish(balance.Errored)
}

func (r *request) copyHead(a *attempt) {
	r.ctx.Response.SetStatusCode(a.head.Status)
	r.srv.cfg.Dialect.CopyAnswer(&r.ctx.Response.Header, a.in.Header(), true)
}
