package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/route"
)

// request is one request of a caller, from its head to the end of its answer. The goroutine of the
// caller's connection owns it.
type request struct {
	srv   *Server
	ctx   *fasthttp.RequestCtx
	conn  *callerConn
	began time.Time

	table        *route.Table
	route        *route.Route
	organisation *route.Organisation
	service      *route.Service
	call         Call
	// deadline is the earlier of patience and the end of the route's timeout.
	deadline time.Time
	// patience is when the caller stops waiting.
	patience time.Time

	reqCtx context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc

	// exclude lists the endpoints that were tried.
	exclude []string
	// sends counts all sends, ran those that an endpoint may have started to run.
	sends, ran int
	rejected   int
	// rejectedBy are the endpoints that rejected the request, in order.
	rejectedBy []string
	// brokenAt are the endpoints at which the request was running when its connection broke or the
	// endpoint became unresponsive, in order.
	brokenAt []string
	// release is the only one that may run the request once events of a stream have been sent, here or to an
	// earlier request of the caller; empty for any. releaseFrom is how that is known, for the log line.
	release, releaseFrom string
	// releases are those of the endpoints whose events the caller was sent, in order.
	releases []string
	// fingerprint is the result of content; nil before.
	fingerprint *[16]byte
	// parts is the result of sharedParts; nil before.
	parts [][16]byte
	// trial is the reserved trial of the next send, if the request is suspected of crashing endpoints;
	// trials counts those that were sent.
	trial  *policy.Trial
	trials int
	// crashingPart is the ID of the part of its prompt for which the request is refused; empty for none.
	crashingPart string
	// sendRecords are what the sends came to, for the log line.
	sendRecords []sendRecord
	// sentAt is the time of the first send.
	sentAt time.Time
	waited time.Duration
	// placedWall is the wall for which the last placement was made.
	placedWall string
	// waitedMemory is the part of waited in which no endpoint had enough free memory for the
	// request.
	waitedMemory time.Duration
	// firstEvent is the time until a stream's first event, events how many the caller was sent.
	firstEvent time.Duration
	events     int
	// framing is that of the last answer whose head arrived, answered whether there was one.
	framing  endpoint.Framing
	answered bool
	// unframed is the body of an answer that writeUnframed is to write; nil for all others.
	unframed io.ReadCloser
	// run identifies the last placement.
	run  balance.RunID
	last balance.Placement
	// firstErr is the failure of the first send, lastErr the reason for the final answer.
	firstErr, lastErr error
	// forwardedTo are the instances that the request was forwarded to, in order.
	forwardedTo []string
	// origin is the instance that forwarded the request to this one, empty if its caller sent it here;
	// attempts is then how many endpoints may run it.
	origin   string
	attempts int
	// quota is set if the organisation's quota refused the request; decidedBy is the scheduler that
	// did, or empty for this instance.
	quota     *quota.Decision
	decidedBy string
	// refusal is set if the request was refused since all endpoints were at their concurrency limits; decidedBy as
	// above.
	refusal *balance.Refusal
	// passedOver is set on a refused request: the endpoint that would have been chosen but for what it
	// has stated, and passedFor what that is.
	passedOver string
	passedFor  balance.Obstacle
	// retried counts the sends that were charged to the fleet's retry budget.
	retried int
	// retryRefused is set if the fleet's retry limit refused the last retry.
	retryRefused *policy.RetryDecision
}

func (r *request) serve() {
	framing := inbound.TakeFraming(&r.ctx.Request.Header)
	err := r.admit(framing)
	if err == nil {
		err = r.receiveBody(framing)
	} else {
		r.leaveBody(framing)
	}
	if errors.Is(err, errCallerDisconnected) {
		r.disconnected(err)
		return
	}
	if err == nil {
		err = r.refuseCrashing(r.assessCrashes(time.Now()))
	}
	if err != nil {
		err = r.asForwardRefusal(err)
		f := refusalOf(err)
		if errors.Is(err, errShuttingDown) {
			f.retryAfter = r.shutdownRetryAfter(time.Now())
		}
		if errors.Is(err, inbound.ErrNoMemory) || errors.Is(err, inbound.ErrGivenUp) {
			f.retryAfter += r.spread(retrySpread)
		}
		r.refuse(f)
		return
	}
	r.start()
	if err := r.bindRelease(); err != nil {
		r.refuseUnsent(err)
		r.end()
		return
	}
	if stream := r.answer(); stream != nil {
		// The request ends when the stream is closed.
		return
	}
	r.end()
}

// admit decides by the request's head whether it may go on: it finds the route, organisation and service. If it returns an error,
// nothing has been sent, and the body is unread.
func (r *request) admit(framing inbound.Framing) error {
	h := &r.ctx.Request.Header
	// Parse before any refusal: on-call has only the ID that the caller reports, so each refusal's
	// log line needs it.
	call, parseErr := r.srv.cfg.Dialect.ParseCall(h)
	r.call = call
	r.conn.request = call.ID
	r.sendsAnswer(writeTimeout, 0)
	if r.srv.shuttingDown.Load() {
		return errShuttingDown
	}
	if r.table = r.srv.awaitRecords(); r.table == nil {
		return errNoRecords
	}
	if r.conn.forwarded() {
		if err := r.admitForwarded(); err != nil {
			return err
		}
	}
	if framing.Length > r.srv.cfg.BodyBytes {
		return inbound.ErrTooLarge
	}
	// The sender of a forwarded request has checked its head and has added to it.
	if limit := r.table.Limits().HeaderBytes; limit > 0 && r.origin == "" && len(h.RawHeaders()) > limit {
		return errLongHead
	}
	if parseErr != nil {
		return parseErr
	}
	if err := r.match(); err != nil {
		return err
	}
	if framing.Length > r.maxBody() {
		return inbound.ErrTooLarge
	}
	r.setDeadlines()
	return nil
}

// match finds the route, organisation and service in the records of the request.
func (r *request) match() error {
	h := &r.ctx.Request.Header
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	r.route = r.table.Match(string(h.Host()), string(path))
	if r.route == nil {
		return errNoRoute
	}
	if r.table.RequiresKeys() && !r.route.Public {
		if r.organisation = r.table.Organisation(r.call.Key); r.organisation == nil {
			return errNoKey
		}
	}
	r.service = r.table.Service(r.route.Pick(xxh3.HashString(r.call.ID)))
	return nil
}

// setDeadlines sets until when the request may take, from its head on.
func (r *request) setDeadlines() {
	r.deadline = r.began.Add(r.route.Timeout)
	r.patience = r.deadline
	if r.call.Patience > 0 {
		r.patience = r.began.Add(r.call.Patience)
		if r.patience.Before(r.deadline) {
			r.deadline = r.patience
		}
	}
}

// start creates reqCtx, which is done when the caller disconnects, at the deadline, or when the
// server aborts open requests.
func (r *request) start() {
	reqCtx, cancel := context.WithCancelCause(context.Background())
	r.srv.open.started(r, cancel)
	r.reqCtx, r.stop = context.WithDeadlineCause(reqCtx, r.deadline, errTimeout)
	r.sendsAnswer(writeTimeout, 0)
	r.conn.watchClose(cancel)
	if r.origin == "" {
		r.srv.cfg.Budget.Accepted(r.began, r.service.Name)
	}
}

// sendsAnswer states what is held until the caller has read the answer: body bytes of an answer that is written in parts.
// maxStall is how long the caller may read nothing.
func (r *request) sendsAnswer(maxStall time.Duration, body int) {
	if r.conn.sender == nil {
		return
	}
	r.conn.sends(&sending{request: r.call.ID, extra: int64(body), maxStall: maxStall, cancel: r.cancel})
}

// end releases the request's resources and records its result, once its answer is decided.
func (r *request) end() {
	r.conn.stopWatch()
	r.recordResponseTime()
	r.stop()
	r.cancel(context.Canceled)
	r.srv.open.remove(r)
	requestSeconds.UpdateDuration(r.began)
	answersTotal(r.ctx.Response.StatusCode()).Inc()
	r.log(r.ctx.Response.StatusCode())
	r.releaseBody()
}

// writeRefusal writes a final answer of the gateway itself. To another instance it names the request, as the answers of
// endpoints do.
func (r *request) writeRefusal(f refusal) {
	if r.conn.forwarded() && r.call.ID != "" {
		r.srv.cfg.Dialect.NameRequest(&r.ctx.Response.Header, r.call.ID)
	}
	writeRefusal(r.ctx, f)
}

// refuse answers a request that is refused before start, so that it was never sent.
func (r *request) refuse(f refusal) {
	r.writeRefusal(f)
	r.srv.open.remove(r)
	answersTotal(f.status).Inc()
	r.lastErr = f.cause
	r.log(f.status)
	r.releaseBody()
}

// disconnected ends a request whose caller closed its connection before the body was whole.
func (r *request) disconnected(err error) {
	r.abandon()
	r.srv.open.remove(r)
	answersTotal(statusCallerDisconnected).Inc()
	r.lastErr = err
	r.log(statusCallerDisconnected)
}

// answer sends the request until an endpoint answers, and writes that answer. It returns the stream
// if the rest of the answer is streamed afterwards.
func (r *request) answer() *eventStream {
	for {
		stream, retry := r.attempt()
		if !retry {
			return stream
		}
	}
}

// outcome is the result of one send that is not passed on.
type outcome int

const (
	// outcomeUnplaced: there was no endpoint to send the request to.
	outcomeUnplaced outcome = iota
	// outcomeWithdrawn: the endpoint stated before the send that it wants no requests.
	outcomeWithdrawn
	// outcomeUnsent: no connection could be made, so nothing reached the endpoint.
	outcomeUnsent
	// outcomeNotForwarded: no connection to the instance could be made to which the request was to be
	// forwarded.
	outcomeNotForwarded
	// outcomeRejected: the endpoint states that it did not run the request.
	outcomeRejected
	// outcomeBroken: the endpoint may have run it.
	outcomeBroken
	// outcomeFailed: the endpoint answered with a 5xx status.
	outcomeFailed
)

// String implements fmt.Stringer.
func (o outcome) String() string {
	return [...]string{"unplaced", "withdrawn", "unsent", "not forwarded", "rejected", "broken", "failed"}[o]
}

const (
	// maxUnsent bounds the endpoints to which a connection is attempted; if more are unreachable,
	// the fault is probably on this side.
	maxUnsent = 3
	// maxRejected bounds the sends that endpoints reject. Each costs a round trip and a part of the
	// fleet's retry budget.
	maxRejected = 3
)

// mayRetry reports whether the request may be sent to another endpoint after an outcome. A retry
// is charged to the fleet's retry budget.
//
// A crash or a load of new weights fails many sends at once. The limits here keep a non-idempotent
// request from running twice, and retries from outnumbering the requests. A request that has not
// run may be sent elsewhere whatever its kind.
func (r *request) mayRetry(o outcome) bool {
	if r.reqCtx.Err() != nil {
		return false
	}
	switch o {
	case outcomeWithdrawn, outcomeNotForwarded:
		return true
	case outcomeUnsent:
		if r.release != "" {
			// Only the endpoints of one release may run the request; their successors are waited for.
			return true
		}
		return max(r.sends-r.ran-r.rejected, 0) < maxUnsent
	case outcomeRejected:
		if r.rejected >= maxRejected {
			return false
		}
	default:
		repeatable := r.route.Repeatable() || r.route.Resumable
		if !repeatable || r.ran >= r.maxAttempts() {
			return false
		}
	}
	return r.chargeRetry()
}

// maxAttempts returns how many endpoints may run the request.
func (r *request) maxAttempts() int {
	if r.origin != "" {
		return r.attempts
	}
	return r.route.MaxAttempts
}

// rejectedAt records that an endpoint rejected the request without running it.
func (r *request) rejectedAt(endpointID string) {
	r.rejected++
	r.rejectedBy = append(r.rejectedBy, endpointID)
}

// failedWith records the error of a failed send.
func (r *request) failedWith(err error) {
	if r.firstErr == nil {
		r.firstErr = err
	}
	r.lastErr = err
}

// refuseUnsent answers a request for which no further endpoint could be found.
func (r *request) refuseUnsent(err error) {
	if cause := context.Cause(r.reqCtx); errors.Is(cause, errCallerDisconnected) {
		r.lastErr = cause
		r.abandon()
		return
	}
	r.lastErr = err
	if r.ran == 0 {
		err = r.asForwardRefusal(err)
	}
	if r.ran > 0 {
		r.writeRefusal(refusal{status: fasthttp.StatusBadGateway, cause: err})
		return
	}
	if fault.Is(err, fault.LimitExceeded) {
		r.writeRefusal(refusal{status: fasthttp.StatusTooManyRequests, cause: err, retryAfter: r.quotaRetryAfter(fault.RetryAfter(err))})
		return
	}
	after := r.retryDelay(fault.RetryAfter(err))
	switch {
	case errors.Is(err, errShuttingDown):
		after = r.shutdownRetryAfter(time.Now())
	case fault.Is(err, fault.Suspect):
		after = fault.RetryAfter(err)
	case errors.Is(err, errReleaseGone), errors.Is(err, errReleaseUnknown):
		// Waiting won't help. The caller may begin the stream anew at once.
		after = 0
	}
	r.writeRefusal(refusal{status: fasthttp.StatusServiceUnavailable, cause: err, retryAfter: after})
}

// retryDelay returns after how long a refused caller should retry: soon enough to be served before
// its patience ends, and later the more time it has left. A spread by request ID keeps callers that
// were refused together from returning together.
//
// behind is how far the endpoints are behind; 0 if unknown.
func (r *request) retryDelay(behind time.Duration) time.Duration {
	left := time.Until(r.patience)
	return max(min(max(behind, shortRetry)+r.spread(retrySpread), left/retryShare), minRetryAfter)
}

// quotaRetryAfter returns when a caller that was refused by a quota should retry: exactly when its booking
// is due, or 0 for not at all. A time that is cut or spread would miss the booking. Refusals of schedulers
// of an earlier version have no booking.
func (r *request) quotaRetryAfter(after time.Duration) time.Duration {
	if q := r.quota; q != nil && (q.Booked || q.Final) {
		return after
	}
	return r.retryDelay(after)
}

// spread returns a time below d that depends on the request's ID.
func (r *request) spread(d time.Duration) time.Duration {
	return time.Duration(xxh3.HashString(r.call.ID) % uint64(max(d, 1)))
}

const (
	// retrySpread is the range over which the retries of callers refused together are spread.
	retrySpread = 200 * time.Millisecond
	// retryShare bounds the wait to 1/retryShare of the caller's remaining time; callers accept up
	// to a third.
	retryShare = 4
	// minRetryAfter keeps a caller whose time is nearly over from retrying at once.
	minRetryAfter = 10 * time.Millisecond
)

// abandon ends a request whose caller has disconnected and will not read an answer.
func (r *request) abandon() {
	r.ctx.Response.Reset()
	r.ctx.SetConnectionClose()
	r.ctx.Response.SetStatusCode(statusCallerDisconnected)
}

// statusCallerDisconnected is the status in logs and metrics of a request whose caller
// disconnected.
const statusCallerDisconnected = 499

// log writes the request's one log line.
func (r *request) log(status int) {
	f := log.Fields{
		"request": r.call.ID, "status": status, "ms": time.Since(r.began).Milliseconds(),
		"waited_ms": r.waited.Milliseconds(), "sends": r.sends, "ran": r.ran, "rejected": r.rejected,
	}
	if r.waitedMemory > 0 {
		f["waited_memory_ms"] = r.waitedMemory.Milliseconds()
	}
	if r.table != nil {
		f["records"] = r.table.Version()
	}
	if r.route != nil {
		f["route"] = r.route.Name
	}
	if r.organisation != nil {
		f["organisation"] = r.organisation.Name
	}
	if r.firstEvent > 0 {
		f["first_ms"], f["events"] = r.firstEvent.Milliseconds(), r.events
	}
	if r.answered {
		f["framing"] = r.framing.String()
	}
	if r.sends > 0 {
		f["endpoint"], f["address"] = r.last.Endpoint.ID, r.last.Endpoint.Address
		f["release"] = r.last.Endpoint.Release
		f["version"], f["uncached"], f["ahead"], f["running"] = r.last.Version, r.last.Uncached, r.last.Ahead, r.last.Running
		f["queued"], f["priority"] = r.last.Queued, r.priority()
		if r.last.PlacedBy != "" {
			f["placed_by"] = r.last.PlacedBy
		}
		if n := len(r.call.Parts); n > 1 {
			f["prompt"], f["own"] = r.call.PromptTokens, r.call.Parts[n-1].Tokens
			f["shared_read"] = max(0, r.last.Uncached-r.call.Parts[n-1].Tokens)
			if len(r.last.Keys) == n {
				f["prefix"] = strconv.FormatUint(uint64(r.last.Keys[n-2]), 16)
			}
		}
		if r.last.FetchFrom != "" {
			f["fetch"] = r.last.FetchFrom
		}
	}
	if passed := cmp.Or(r.passedOver, r.last.PassedOver); passed != "" {
		f["passed_over"], f["passed_for"] = passed, cmp.Or(r.passedFor, r.last.PassedFor).String()
	}
	if q := r.quota; q != nil {
		f["cost"], f["balance"], f["share"] = q.Cost, int64(q.Balance), q.Share
		f["retry_ms"], f["decided_by"] = q.RetryAfter.Milliseconds(), r.decidedBy
		if q.Booked || q.Final {
			f["price"], f["draw"] = q.Price, q.Draw
		}
		switch {
		case q.Booked:
			f["booked_ms"] = q.RetryAfter.Milliseconds()
		case q.Final:
			f["final"] = true
		}
	}
	if v := r.refusal; v != nil {
		f["limit"], f["in_use"], f["over_share"] = v.Limit, v.InUse, v.Reason.OverShare()
		f["priority"], f["decided_by"] = r.priority(), r.decidedBy
	}
	if r.lastErr != nil {
		f["why"] = r.lastErr.Error()
	}
	if r.firstErr != nil && r.firstErr.Error() != f["why"] {
		f["first_why"] = r.firstErr.Error()
	}
	r.logRetries(f)
	if sends := r.loggedSends(); len(sends) > 0 {
		f["send_results"] = sends
	}
	if len(r.rejectedBy) > 0 {
		f["rejected_by"] = strings.Join(r.rejectedBy, ",")
	}
	if len(r.forwardedTo) > 0 {
		f["forwarded_to"] = strings.Join(r.forwardedTo, ",")
	}
	if r.origin != "" {
		f["forwarded_for"] = r.origin
	}
	if r.call.ResumeAfter != "" {
		f["resume_after"], f["resumes"] = r.call.ResumeAfter, r.call.Resumes
		f["bound_to"], f["bound_by"] = r.release, r.releaseFrom
	}
	if len(r.releases) > 1 {
		f["releases"] = strings.Join(r.releases, ",")
	}
	if len(r.brokenAt) > 0 {
		f["broken_at"] = strings.Join(r.brokenAt, ",")
	}
	if len(r.brokenAt) > 0 || fault.Is(r.lastErr, fault.Suspect) {
		f["content"] = contentID(r.content())
		if parts := r.sharedParts(); len(parts) > 0 {
			f["parts"] = contentIDs(parts)
		}
	}
	if r.crashingPart != "" {
		f["crashing_part"] = r.crashingPart
	}
	if r.trials > 0 {
		f["trials"] = r.trials
	}
	log.WithFields(f).Info("request")
}
