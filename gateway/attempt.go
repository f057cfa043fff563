package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/attribution"
	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/reachability"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// attempt is one send of a request to one endpoint.
type attempt struct {
	req    *request
	run    balance.RunID
	place  balance.Placement
	sentAt time.Time
	resp   *endpoint.Incoming
	head   Answer
	// verdict is what the response says about this send.
	verdict attribution.Verdict
	// ambiguous is set if the response states that the request was not run, and may belong to something else.
	ambiguous bool
	ended     bool
	// unsent is set if no connection could be made, so that no byte reached the endpoint.
	unsent bool
	// trial is set if the request is suspected of crashing endpoints.
	trial *policy.Trial
	// begunAt is when the first event of this endpoint was read; zero if none was.
	begunAt time.Time
	// forwarder is the instance that the request was forwarded to, if it was not sent to an endpoint.
	// place then describes that instance.
	forwarder Forwarder
	// reqCtx is derived from the request's and also cancelled when the endpoint is found to be
	// unresponsive or restarted.
	reqCtx context.Context
	cancel context.CancelCauseFunc
	// sender counts what the peer has not read of a long request; nil before it is written.
	sender atomic.Pointer[sender]
}

// attempt sends the request once. It reports in retry whether the request should be dispatched again.
// Otherwise the answer has been written, or continues as the returned stream.
func (r *request) attempt() (stream *eventStream, retry bool) {
	a, o, err := r.dispatch("")
	switch {
	case o == outcomeUnplaced && err != nil:
		r.refuseUnsent(err)
		return nil, false
	case err != nil:
		return nil, r.handleSendFailure(o, err)
	case a.forwarded():
		return r.passOn(a)
	}
	if !a.usable() {
		return nil, r.handleUnusable(a)
	}
	r.ran++
	if a.head.Events && a.head.Status < 300 {
		return r.beginStream(a)
	}
	body, err := a.readWhole()
	if err != nil {
		a.endBroken()
		return nil, r.handleSendFailure(outcomeBroken, err)
	}
	if a.head.Status >= 500 && r.mayRetry(outcomeFailed) {
		a.finish(balance.Errored)
		r.exclude = append(r.exclude, a.place.Endpoint.ID)
		return nil, true
	}
	r.writeAnswer(a, body)
	return nil, false
}

// send sends the request to the endpoint and reads the head of the response. resumeAfter is the ID
// of the last event that the caller has received, for a stream that is resumed.
func (r *request) send(p balance.Placement, resumeAfter string) (*attempt, outcome, error) {
	a := &attempt{req: r, run: r.run, place: p, trial: r.trial}
	if r.trial != nil {
		r.trial = nil
		r.trials++
	}
	a.reqCtx, a.cancel = context.WithCancelCause(r.reqCtx)
	r.last = p
	r.sends++
	now := time.Now()
	a.sentAt = now
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
	r.srv.activity.begin(a, now)
	body := r.ctx.Request.Body()
	head := r.srv.cfg.Dialect.AppendHead(nil, &r.ctx.Request.Header, r.outgoing(p, len(body), resumeAfter))
	resp, err := r.srv.cfg.Relay(p.Endpoint.Address).Open(a.reqCtx, endpoint.Outgoing{
		Head: head, Body: body, Request: r.call.ID, Accept: a.acceptHead, Bodiless: r.ctx.IsHead(), Ready: a.ready,
		Fresh: r.needsCheckedPath(p.Endpoint.ID), Send: a.sendFunc(peerEndpoint),
	})
	if err != nil {
		err = a.openError(err)
		o := a.openFailed(err)
		r.noteFailure(a, o, err)
		return nil, o, err
	}
	a.resp = resp
	r.framing, r.answered = resp.Framing(), true
	r.srv.received(p.Endpoint, time.Now(), resp.ConnectedAt())
	a.noteAnswer()
	a.updateEndpoint()
	a.reportStatements()
	return a, 0, nil
}

// noteAnswer withdraws the crashes that the endpoint, which has answered on this connection, can't have
// had since the connection was made.
func (a *attempt) noteAnswer() {
	if guard := a.req.srv.cfg.Guard; guard.active() && a.writtenByEndpoint() {
		guard.answered(time.Now(), a.place.Endpoint.ID, a.resp.ConnectedAt())
	}
}

// needsCheckedPath reports whether the request has to be sent on a new connection, which shows that the path
// is open: it must not run twice, so that nothing could be done if it got lost on an old one.
func (r *request) needsCheckedPath(endpointID string) bool {
	repeatable := r.route.Repeatable() || r.route.Resumable
	return !repeatable && r.srv.cfg.Paths.Doubtful(time.Now(), endpointID)
}

// errNotAdmitted withdraws a send to an endpoint that has stated, after it was chosen, that it wants
// no requests.
var errNotAdmitted = fault.New(fault.Unavailable, "send the request to another endpoint", "the endpoint wants no requests any more")

// ready is called once there is a connection, before any byte of the request is sent. Setting up the
// connection may have taken some hundred ms.
func (a *attempt) ready() error {
	if guard := a.req.srv.cfg.Guard; guard.active() && !guard.runnable(time.Now(), a.req.crashSubject(), a.trial != nil) {
		return errNotAdmitted
	}
	if !a.req.srv.cfg.Statements.Admit(a.place.Endpoint.ID) {
		return errNotAdmitted
	}
	return nil
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
		wall := r.wall()
		s.Version = p.Version
		s.CacheScope = balance.Scope(wall, p.Version)
		s.SaveTo = p.SaveTo
		if wall == r.placedWall {
			s.FetchFrom = p.FetchFrom
		}
		s.Priority = r.priority()
	}
	return s
}

// reportStage records a stage of the run in this instance's state and broadcasts it to the others.
func (a *attempt) reportStage(stage balance.Stage) {
	if a.forwarded() {
		return
	}
	isolated := a.req.srv.cfg.Paths.Isolated()
	m := &gossippb.RunStage{Run: uint64(a.run), Stage: int32(stageForOthers(stage, isolated))}
	if stage == balance.Misdirected && a.req.service.Engine != nil {
		m.Version = a.head.Version
	}
	if stage == balance.Answering {
		a.reportOrigin(m)
	}
	if stage == balance.Answering || a.req.service.Engine == nil {
		a.reportPace(m)
	}
	if m.NotRun = a.unsent || notRun(stage); m.NotRun {
		a.req.srv.cfg.Placer.NotRun(a.run)
	}
	if isolated && (stage == balance.Failed || stage == balance.Unreachable) {
		stage = balance.Abandoned
	}
	a.req.srv.cfg.State.SetStage(time.Now(), a.run, stage)
	a.req.srv.cfg.Broadcaster.ReportStage(m, a.place.PlacedBy)
}

// reportPace records what the response stated about the pace of the endpoint's machine, and adds it to a report.
func (a *attempt) reportPace(m *gossippb.RunStage) {
	if a.head.Pace == 0 || !a.writtenByEndpoint() {
		return
	}
	m.PacePercent = int32(math.Round(100 * a.head.Pace))
	a.req.srv.cfg.State.SetPace(time.Now(), a.run, a.head.Pace)
}

// stageForOthers returns the stage of a run as the other instances need to know it. That an endpoint could
// not be reached from here, or broke a connection, does not have them suspect it: whether the path or the
// endpoint is at fault is found out by a dial, and broadcast separately.
func stageForOthers(stage balance.Stage, isolated bool) balance.Stage {
	switch {
	case stage == balance.Unreachable, stage == balance.Failed && isolated:
		return balance.Abandoned
	case stage == balance.Failed:
		return balance.Errored
	}
	return stage
}

// notRun reports whether a run that ended at stage is known not to have started.
func notRun(stage balance.Stage) bool {
	return stage == balance.Rejected || stage == balance.Misdirected
}

// finish ends the attempt with its last stage. Further calls have no effect.
func (a *attempt) finish(stage balance.Stage) {
	if a.ended {
		return
	}
	a.ended = true
	a.req.srv.activity.end(a)
	defer a.cancel(context.Canceled)
	if x := a.sender.Load(); x != nil {
		// The connection may be used for another request now.
		x.queue.Ended()
	}
	if a.resp != nil {
		if fullyRead(stage) {
			a.resp.Finish()
		} else {
			a.resp.Drop()
		}
	}
	if a.forwarded() {
		a.req.srv.cfg.Peers.ForwardEnded(a.forwarder.Name)
		return
	}
	a.clearSuspicion(stage)
	a.endTrial()
	a.reportStage(stage)
}

// fullyRead reports whether the response has been read to its end when an attempt ends at stage.
func fullyRead(stage balance.Stage) bool {
	switch stage {
	case balance.Done, balance.Errored, balance.Rejected, balance.Misdirected:
		return true
	}
	return false
}

// openFailed ends an attempt that got no response head.
func (a *attempt) openFailed(err error) outcome {
	r := a.req
	if errors.Is(err, errNotAdmitted) {
		a.withdraw()
		return outcomeWithdrawn
	}
	if a.reqCtx.Err() == nil && fault.Is(err, fault.Unavailable) {
		a.unsent = true
		r.srv.pathLost(a.place.Endpoint, reachability.NoConnections, err)
		a.finish(balance.Unreachable)
		r.srv.avoid(a.place.Endpoint.ID, time.Now(), unreachableAvoidance)
		return outcomeUnsent
	}
	r.ran++
	a.endBroken()
	return outcomeBroken
}

// withdraw ends an attempt that was not sent although there was a connection.
func (a *attempt) withdraw() {
	r := a.req
	if r.sends--; r.sends == 0 {
		r.sentAt = time.Time{}
	}
	a.unsent = true
	a.finish(balance.Abandoned)
}

// endpointUnresponsive reports whether the attempt was cancelled because the endpoint is
// unresponsive. It is unknown whether the endpoint still runs the request.
func (a *attempt) endpointUnresponsive() bool {
	return errors.Is(context.Cause(a.reqCtx), errUnresponsive)
}

// sendFunc returns the function that writes a long request to a peer, which is closed if it reads slowly and the memory for
// unread bytes is used up; nil if that has no bound.
func (a *attempt) sendFunc(peer string) func(net.Conn, []byte) (int, error) {
	r := a.req
	slow := r.srv.cfg.Slow
	if slow == nil {
		return nil
	}
	use := &sending{request: r.call.ID, cancel: a.cancel}
	return func(c net.Conn, data []byte) (int, error) {
		x := slow.newSender(c, peer)
		x.use.Store(use)
		a.sender.Store(x)
		n, err := x.write(data)
		if err != nil {
			x.queue.Ended()
		}
		return n, err
	}
}

// closedAsSlow reports whether the attempt's connection was closed since the endpoint reads the request slowly.
func (a *attempt) closedAsSlow() bool { return errors.Is(context.Cause(a.reqCtx), errReaderSlow) }

// openError returns the error with which an attempt got no response head.
func (a *attempt) openError(err error) error {
	if a.closedAsSlow() {
		return errReaderSlow
	}
	return err
}

// unreachableAvoidance is how long all instances avoid an endpoint that one instance could not reach. It is
// short since the fault may be limited to the path between these two.
const unreachableAvoidance = 1500 * time.Millisecond

// endBroken ends an attempt whose response broke off: the request was cancelled, the endpoint is
// unresponsive, or it closed the connection.
func (a *attempt) endBroken() {
	switch {
	case a.req.reqCtx.Err() != nil:
		a.finish(balance.Abandoned)
	case a.closedAsSlow():
		a.recordBroken()
		a.finish(balance.Abandoned)
	case a.endpointUnresponsive():
		if !a.forwarded() {
			a.recordBroken()
		}
		a.finish(balance.Unreachable)
	case a.forwarded():
		forwardBroken.Inc()
		a.finish(balance.Failed)
	default:
		a.recordBroken()
		a.endCrashed()
	}
}

// recordBroken records for the log line where the request was running when it broke off.
func (a *attempt) recordBroken() {
	if !a.ended {
		a.req.brokenAt = append(a.req.brokenAt, a.place.Endpoint.ID)
	}
}

// endCrashed ends an attempt whose connection the endpoint closed before the end of the response,
// which is treated as a crash until a new connection shows that it was none.
func (a *attempt) endCrashed() {
	if a.ended {
		return
	}
	a.reportCrash()
	a.finish(balance.Failed)
}

// avoid has this and all other instances avoid an endpoint for d. The others are notified after avoidSettle, and
// not if the fault is probably on this side: a partitioned instance loses one path first. What can't be reached
// from here is avoided here in any case.
func (s *Server) avoid(endpointID string, now time.Time, d time.Duration) {
	s.cfg.State.Suspect(endpointID, now.Add(d))
	if s.cfg.Paths.Isolated() {
		return
	}
	time.AfterFunc(avoidSettle, func() {
		if s.cfg.Paths.State(endpointID) != reachability.Open && !s.cfg.Paths.Isolated() {
			s.cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, AvoidMs: (d - avoidSettle).Milliseconds()})
		}
	})
}

// avoidSettle is how long the loss of a path is kept from the other instances. A partitioned instance finds
// the next ones lost within that time.
const avoidSettle = 100 * time.Millisecond

// updateEndpoint corrects the recorded state of the endpoint from the response head, and notifies
// the other instances.
func (a *attempt) updateEndpoint() {
	cfg, id := a.req.srv.cfg, a.place.Endpoint.ID
	switch {
	case a.head.Mismatch && a.head.Answerer != "" && a.head.Answerer != a.place.Endpoint.Name:
		log.WithField("endpoint", id).WithField("address", a.place.Endpoint.Address).Info("endpoint gone: another one answers at its address")
		cfg.State.MarkReplaced(id)
		cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: id, Leaving: true})
	case a.head.Mismatch && a.req.service.Engine != nil:
		v := cfg.State.Mismatch(id, a.req.call.Model, a.place.Version, a.head.Version)
		log.WithField("endpoint", id).WithField("expected", a.place.Version).WithField("assumed", v).Info("endpoint holds other weights")
	case a.head.Version > a.place.Version && a.req.service.Engine != nil:
		cfg.State.SetLoaded(id, a.req.call.Model, a.head.Version)
		cfg.Broadcaster.BroadcastNotice(&gossippb.Notice{Endpoint: id, Model: a.req.call.Model, Version: a.head.Version})
	}
}

// reportStatements passes what the endpoint stated in the response head to Config.Statements. A head
// that the endpoint did not write itself has no information about it.
func (a *attempt) reportStatements() {
	if !a.writtenByEndpoint() {
		return
	}
	a.req.srv.cfg.Statements.Observe(Report{
		Endpoint: a.place.Endpoint.ID, SentAt: a.sentAt, AnsweredAt: time.Now(), Whole: a.head.Signed && !a.head.Mismatch,
		Leaving: a.head.Leaving, Brittle: a.head.Brittle, Rate: a.head.Rate, RateError: a.head.RateError,
		Pause: a.head.Pause, PauseError: a.head.PauseError, Ran: a.head.Signed && !a.head.NotRun,
	})
}

// writtenByEndpoint reports whether the response head was written by the endpoint that the request
// was sent to, and neither by another one at its address nor by something in between.
func (a *attempt) writtenByEndpoint() bool {
	if a.head.Mismatch {
		return a.head.Answerer == a.place.Endpoint.Name
	}
	return a.head.Signed || a.head.NotRun
}

// usable reports whether the response is the endpoint's own, signed result of a request that it
// ran. An unsigned response may be any bytes from the connection, and the caller would take it for
// the complete answer.
func (a *attempt) usable() bool {
	return a.head.Signed && !a.head.Encoded && !a.head.NotRun && !statusImpliesNotRun(a.head.Status)
}

// statusImpliesNotRun reports whether callers take the status as a guarantee that the request was
// not run.
func statusImpliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleUnusable ends an attempt whose response is not passed on. It reports whether the request
// should be placed again.
func (r *request) handleUnusable(a *attempt) (retry bool) {
	if a.head.NotRun {
		return r.handleNotRun(a)
	}
	r.ran++
	err := fault.New(fault.Broken, "look at the endpoint's log", "status %d is not the endpoint's signed word", a.head.Status)
	if a.ambiguous {
		err = errAmbiguous
	}
	a.finish(balance.Failed)
	return r.handleSendFailure(outcomeBroken, err)
}

// handleNotRun ends an attempt whose request the endpoint did not run. It reports whether the
// request should be placed again.
func (r *request) handleNotRun(a *attempt) (retry bool) {
	r.rejectedAt(a.place.Endpoint.ID)
	r.failedWith(fault.New(fault.Overloaded, "send the request again later", "the endpoint answered %d and did not run the request", a.head.Status))
	a.discard()
	if a.head.Mismatch {
		// The recorded state of the endpoint has been corrected, and it may still be the best
		// choice.
		a.finish(balance.Misdirected)
		if a.place.PlacedBy != "" && a.head.Version == 0 {
			// The instance that placed the request does not receive this correction.
			r.exclude = append(r.exclude, a.place.Endpoint.ID)
		}
	} else {
		a.finish(balance.Rejected)
		r.exclude = append(r.exclude, a.place.Endpoint.ID)
	}
	if r.mayRetry(outcomeRejected) {
		return true
	}
	r.refuseUnsent(r.lastErr)
	return false
}

// handleSendFailure handles a send without a usable response. It writes the final answer unless it
// reports that the request should be placed again.
func (r *request) handleSendFailure(o outcome, err error) (retry bool) {
	r.failedWith(err)
	if r.sends > 0 {
		r.exclude = append(r.exclude, r.last.Endpoint.ID)
	}
	if r.mayRetry(o) {
		return true
	}
	cause := context.Cause(r.reqCtx)
	switch {
	case errors.Is(cause, errCallerDisconnected):
		r.lastErr = cause
		r.abandon()
	case r.ran == 0:
		r.refuseUnsent(err)
	case errors.Is(cause, errTimeout):
		r.writeRefusal(refusal{status: fasthttp.StatusGatewayTimeout, cause: cause})
	case errors.Is(cause, errAborted):
		r.lastErr = cause
		r.writeRefusal(refusal{status: fasthttp.StatusBadGateway, cause: cause})
	default:
		r.writeRefusal(refusal{status: fasthttp.StatusBadGateway, cause: err})
	}
	return false
}

// writeAnswer passes on a response that was read to its end.
func (r *request) writeAnswer(a *attempt, body []byte) {
	r.copyHead(a)
	if r.passesUnframed(a) {
		r.unframed = io.NopCloser(bytes.NewReader(body))
		r.sendsAnswer(writeTimeout, len(body))
	} else {
		r.ctx.Response.SetBodyRaw(body)
	}
	if a.head.Status < 500 {
		a.finish(balance.Done)
		return
	}
	a.finish(balance.Errored)
}

func (r *request) copyHead(a *attempt) {
	r.ctx.Response.SetStatusCode(a.head.Status)
	r.srv.cfg.Dialect.CopyAnswer(&r.ctx.Response.Header, a.resp.Header(), true)
	r.describeAnswer(a)
}
