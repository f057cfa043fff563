package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/route"
)

// request is one attempt of a caller, from its head to the end of its answer.
// The goroutine of the caller's connection owns it.
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
	// deadline is when the caller gives up or the route's timeout ends.
	deadline time.Time
	// patience is when the caller gives up.
	patience time.Time

	life   context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc

	// exclude names endpoints that were tried.
	exclude []string
	// sends counts all sends, ran those of which an endpoint may have begun.
	sends, ran int
	rejected   int
	// sentAt is when it was sent first.
	sentAt time.Time
	waited time.Duration
	// waitedMemory is the part of waited in which no endpoint's memory held it.
	waitedMemory time.Duration
	// first is the time to a stream's first event.
	first time.Duration
	// run names the send that was placed last.
	run  balance.RunID
	last balance.Placement
	// firstErr is how the first send failed, lastErr why the request ended so.
	firstErr, lastErr error
	// quota says why the organisation's quota refused it, and decidedBy which scheduler
	// did; empty for this instance.
	quota     *quota.Decision
	decidedBy string
	// passedOver is the endpoint that would have been chosen but for the rate that it names,
	// of a request that was refused.
	passedOver string
	// outOfRetries says that it was not sent once more since the fleet's budget of
	// retries was used up.
	outOfRetries bool
}

func (r *request) serve() {
	if err := r.admit(); err != nil {
		f := refusalOf(err)
		if errors.Is(err, errEnding) {
			f.retryAfter = r.returnElsewhere(time.Now())
		}
		r.refuse(f)
		return
	}
	r.start()
	if stream := r.answer(); stream != nil {
		// The stream ends the request when the HTTP server closes it.
		return
	}
	r.end()
}

// admit finds what the records say of the request. Nothing was sent when it
// returns an error.
func (r *request) admit() error {
	h := &r.ctx.Request.Header
	// Before anything is refused: on-call has only the id that a caller tells, and each
	// refusal's line has to bear it.
	call, parseErr := r.srv.cfg.Dialect.ParseCall(h)
	r.call = call
	r.conn.request = call.ID
	if r.srv.ending.Load() {
		return errEnding
	}
	if r.table = r.srv.awaitRecords(); r.table == nil {
		return errNoRecords
	}
	if limit := r.table.Limits().HeaderBytes; limit > 0 && len(h.RawHeaders()) > limit {
		return errLongHead
	}
	if parseErr != nil {
		return parseErr
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	r.route = r.table.Match(string(h.Host()), string(path))
	if r.route == nil {
		return errNoRoute
	}
	if r.table.RequiresKeys() && !r.route.Public {
		if r.organisation = r.table.Organisation(call.Key); r.organisation == nil {
			return errNoKey
		}
	}
	if limit := r.table.Limits().BodyBytes; limit > 0 && len(r.ctx.Request.Body()) > limit {
		return fault.New(fault.TooLarge, "send a smaller body", "the body has over %d bytes", limit)
	}
	r.service = r.table.Service(r.route.Pick(xxh3.HashString(call.ID)))
	return r.guard()
}

// guard refuses a request that has crashed the endpoints that ran it.
func (r *request) guard() error {
	if r.srv.cfg.Guard == nil || r.service.Engine == nil {
		return nil
	}
	if verdict, _ := r.srv.cfg.Guard.Verdict(r.began, r.fingerprint()); verdict == policy.CrashRefused {
		return fault.New(fault.Suspect, "change the request; it crashed the endpoints that ran it", "the request is not run again")
	}
	return nil
}

// fingerprint names the content of the request and who sends it.
func (r *request) fingerprint() [16]byte {
	var h xxh3.Hasher
	_, _ = h.Write(r.ctx.Request.Header.RequestURI())
	_, _ = h.WriteString(r.call.Key)
	_, _ = h.Write(r.ctx.Request.Body())
	return h.Sum128().Bytes()
}

// start opens the request's life, which ends with the caller, its patience or
// the route's timeout.
func (r *request) start() {
	r.deadline = r.began.Add(r.route.Timeout)
	r.patience = r.deadline
	if r.call.Patience > 0 {
		r.patience = r.began.Add(r.call.Patience)
		if r.patience.Before(r.deadline) {
			r.deadline = r.patience
		}
	}
	life, cancel := context.WithCancelCause(context.Background())
	r.srv.open.started(r, cancel)
	r.life, r.stop = context.WithDeadlineCause(life, r.deadline, errTimeout)
	r.conn.watchClose(cancel)
	r.srv.cfg.Budget.Accepted(r.began, r.service.Name)
}

// end closes the life of the request; the answer is decided.
func (r *request) end() {
	r.conn.stopWatch()
	r.timed()
	r.stop()
	r.cancel(context.Canceled)
	r.srv.open.remove(r)
	requestSeconds.UpdateDuration(r.began)
	answersTotal(r.ctx.Response.StatusCode()).Inc()
	r.log(r.ctx.Response.StatusCode())
}

// refuse answers a request that was never sent, before its life began.
func (r *request) refuse(f refusal) {
	writeRefusal(r.ctx, f)
	r.conn.started = false
	r.srv.open.remove(r)
	answersTotal(f.status).Inc()
	r.lastErr = f.cause
	r.log(f.status)
}

// answer sends the request until an endpoint answers, and writes that answer.
// It returns the stream where the answer goes on after it.
func (r *request) answer() *eventStream {
	for {
		p, err := r.place()
		if err != nil {
			r.refuseUnsent(err)
			return nil
		}
		stream, again := r.attempt(p)
		if !again {
			return stream
		}
	}
}

// outcome of one send.
type outcome int

const (
	// outcomeUnsent: no connection could be made; nothing arrived.
	outcomeUnsent outcome = iota
	// outcomeRejected: the endpoint says that it did not run the request.
	outcomeRejected
	// outcomeBroken: the endpoint may have run it.
	outcomeBroken
	// outcomeFailed: the endpoint answered with a failure of its own.
	outcomeFailed
)

const (
	// maxUnsent bounds the endpoints that are tried to connect to; with more
	// that cannot be reached the fault is likely on this side.
	maxUnsent = 3
	// maxRejected bounds the sends that endpoints turn away. Each costs the
	// fleet's budget of retries and a round trip.
	maxRejected = 3
)

// mayTryAgain decides whether the request goes to another endpoint after an
// outcome, and takes it out of the fleet's budget.
//
// Load: a crash, or a load of new weights, that fails many sends at once. Harm
// prevented: a non-idempotent request that runs twice; retries that outweigh the
// requests. What has not run may go elsewhere for any kind of request.
func (r *request) mayTryAgain(o outcome) bool {
	if r.life.Err() != nil {
		return false
	}
	switch o {
	case outcomeUnsent:
		return r.sends-r.ran-r.rejected < maxUnsent
	case outcomeRejected:
		if r.rejected >= maxRejected {
			return false
		}
	default:
		repeatable := r.route.Repeatable() || r.route.Resumable
		if !repeatable || r.ran >= r.route.MaxAttempts {
			return false
		}
	}
	r.outOfRetries = !r.srv.cfg.Budget.Retry(time.Now(), r.service.Name)
	return !r.outOfRetries
}

// failedWith notes how a send failed.
func (r *request) failedWith(err error) {
	if r.firstErr == nil {
		r.firstErr = err
	}
	r.lastErr = err
}

// refuseUnsent answers where no endpoint could be found any more.
func (r *request) refuseUnsent(err error) {
	if cause := context.Cause(r.life); errors.Is(cause, errCallerGone) {
		r.lastErr = cause
		r.abandon()
		return
	}
	r.lastErr = err
	if r.ran > 0 {
		writeRefusal(r.ctx, refusal{status: fasthttp.StatusBadGateway, cause: err})
		return
	}
	if fault.Is(err, fault.LimitExceeded) {
		writeRefusal(r.ctx, refusal{status: fasthttp.StatusTooManyRequests, cause: err, retryAfter: r.comeBack(fault.RetryAfter(err))})
		return
	}
	after := r.comeBack(fault.RetryAfter(err))
	if errors.Is(err, errEnding) {
		after = r.returnElsewhere(time.Now())
	}
	writeRefusal(r.ctx, refusal{status: fasthttp.StatusServiceUnavailable, cause: err, retryAfter: after})
}

// comeBack is when a caller that was turned away should try again: soon enough
// to be served in its time, and later the less time it has used, so that those
// turned away together do not come back together.
//
// behind is how far the endpoints are behind; 0 where they say nothing.
func (r *request) comeBack(behind time.Duration) time.Duration {
	left := time.Until(r.patience)
	spread := time.Duration(xxh3.HashString(r.call.ID) % uint64(returnSpread))
	return max(min(max(behind, shortRetry)+spread, left/returnShare), leastReturn)
}

const (
	// returnSpread keeps callers that were turned away together apart.
	returnSpread = 200 * time.Millisecond
	// returnShare is the part of its time that a caller is asked to wait at the
	// most; callers heed up to a third.
	returnShare = 4
	// leastReturn keeps a caller whose time is nearly over from coming back at once.
	leastReturn = 10 * time.Millisecond
)

// abandon ends a request whose caller has gone: nobody reads an answer.
func (r *request) abandon() {
	r.ctx.Response.Reset()
	r.ctx.SetConnectionClose()
	r.ctx.Response.SetStatusCode(statusCallerGone)
}

// statusCallerGone is what logs and metrics show of a caller that left.
const statusCallerGone = 499

// log writes the one line that tells what became of the request.
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
	if r.first > 0 {
		f["first_ms"] = r.first.Milliseconds()
	}
	if r.sends > 0 {
		f["endpoint"], f["address"] = r.last.Endpoint.ID, r.last.Endpoint.Address
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
		f["passed_over"] = passed
	}
	if q := r.quota; q != nil {
		f["cost"], f["balance"], f["share"] = q.Cost, int64(q.Balance), q.Share
		f["retry_ms"], f["decided_by"] = q.RetryAfter.Milliseconds(), r.decidedBy
	}
	if r.lastErr != nil {
		f["why"] = r.lastErr.Error()
	}
	if r.firstErr != nil && r.firstErr.Error() != f["why"] {
		f["first_why"] = r.firstErr.Error()
	}
	if r.outOfRetries {
		f["retries"] = "used up"
	}
	log.WithFields(f).Info("request")
}
