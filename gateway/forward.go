package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/reachability"
)

const (
	// HeaderForward marks requests that one instance forwards to another.
	HeaderForward = "Sardinedock-Forward"
	// HeaderForwardRelease names, in a forwarded request that resumes a stream, the only release that may run
	// it, and in an answer the release of the endpoint that wrote it.
	HeaderForwardRelease = "Sardinedock-Forward-Release"
	// headerForwardRefused is set on an instance's refusal of a forwarded request which another instance
	// may serve. Its value is the reason.
	headerForwardRefused = "Sardinedock-Forward-Refused"
	// maxForwards bounds the instances to which one request is forwarded.
	maxForwards = 3
	// maxForwardedOpen bounds the forwarded requests that an instance serves at a time, each of which
	// holds buffers as those of its own callers do.
	maxForwardedOpen = 256
)

// Reasons for which an instance refuses a forwarded request.
const (
	refusedLeaving     = "leaving"
	refusedRecords     = "records"
	refusedBusy        = "busy"
	refusedUnreachable = "unreachable"
	refusedMalformed   = "malformed"
)

var (
	forwardAnswered = metrics.GetOrCreateCounter(`sardinedock_forwarded_requests_total{result="answered"}`)
	forwardRefused  = metrics.GetOrCreateCounter(`sardinedock_forwarded_requests_total{result="refused"}`)
	forwardUnsent   = metrics.GetOrCreateCounter(`sardinedock_forwarded_requests_total{result="unsent"}`)
	forwardBroken   = metrics.GetOrCreateCounter(`sardinedock_forwarded_requests_total{result="broken"}`)
	forwardServed   = metrics.GetOrCreateCounter("sardinedock_forwarded_requests_served_total")
)

// Forwarder is another instance through which a request can be sent.
type Forwarder struct {
	Name, Address string
}

// dispatch sends the request to an endpoint, or forwards it to an instance that reaches one if this one does
// not. resumeAfter is as in send.
func (r *request) dispatch(resumeAfter string) (*attempt, outcome, error) {
	if r.outOfReach() {
		if to, ok := r.forwarder(); ok {
			return r.forward(to, resumeAfter)
		}
		if len(r.forwardedTo) > 0 {
			err := fault.New(fault.Unavailable, "send the request again later", "no instance reaches the endpoints of %s", r.service.Name)
			return nil, outcomeUnplaced, err
		}
	}
	p, err := r.place()
	if err != nil {
		return nil, outcomeUnplaced, err
	}
	if r.srv.cfg.Paths.State(p.Endpoint.ID) != reachability.Open && !r.srv.cfg.Relay(p.Endpoint.Address).HasIdle() {
		if to, ok := r.forwarder(); ok {
			r.releaseTrial()
			r.cancelPlacement(r.run, balance.Decision{Admission: balance.Send, Placement: p})
			return r.forward(to, resumeAfter)
		}
	}
	return r.send(p, resumeAfter)
}

// outOfReach reports whether this instance reaches no endpoint of the request's service.
func (r *request) outOfReach() bool {
	return slices.Contains(r.srv.cfg.Paths.LostServices(), r.service.Name)
}

// forwarder returns an instance to forward the request to. A forwarded request is not forwarded again.
func (r *request) forwarder() (Forwarder, bool) {
	if r.origin != "" || len(r.forwardedTo) >= maxForwards {
		return Forwarder{}, false
	}
	return r.srv.cfg.Peers.Forwarder(r.service.Name, r.forwardedTo)
}

// forward sends the request to another instance and reads the head of its answer.
func (r *request) forward(to Forwarder, resumeAfter string) (*attempt, outcome, error) {
	r.forwardedTo = append(r.forwardedTo, to.Name)
	now := time.Now()
	a := &attempt{req: r, forwarder: to, sentAt: now}
	a.place.Endpoint = balance.Endpoint{ID: "instance/" + to.Name, Name: to.Name, Address: to.Address}
	a.reqCtx, a.cancel = context.WithCancelCause(r.reqCtx)
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
	r.srv.activity.begin(a, now)
	body := r.ctx.Request.Body()
	head := r.srv.cfg.Dialect.AppendForward(nil, &r.ctx.Request.Header, Forward{
		From: r.srv.cfg.Instance, Records: r.table.Version(), Attempts: max(1, r.route.MaxAttempts-r.ran), Left: time.Until(r.deadline),
		Body: len(body), ResumeAfter: resumeAfter, Release: r.release,
	})
	resp, err := r.srv.cfg.PeerRelay(to.Address).Open(a.reqCtx, endpoint.Outgoing{
		Head: head, Body: body, Request: r.call.ID, Accept: a.acceptHead, Bodiless: r.ctx.IsHead(), Send: a.sendFunc(peerInstance),
	})
	if err != nil {
		err = a.openError(err)
		o := a.forwardFailed(err)
		r.noteFailure(a, o, err)
		return nil, o, err
	}
	a.resp = resp
	r.framing, r.answered = resp.Framing(), true
	r.srv.activity.received(a.place.Endpoint.ID, time.Now())
	return a, 0, nil
}

// forwardFailed ends an attempt to forward that got no answer.
func (a *attempt) forwardFailed(err error) outcome {
	if a.reqCtx.Err() == nil && fault.Is(err, fault.Unavailable) {
		forwardUnsent.Inc()
		a.req.srv.cfg.Peers.ForwarderFailed(a.forwarder.Name)
		a.finish(balance.Unreachable)
		return outcomeNotForwarded
	}
	a.req.ran++
	a.endBroken()
	return outcomeBroken
}

// forwarded reports whether the attempt went to another instance.
func (a *attempt) forwarded() bool { return a.forwarder.Name != "" }

// passOn passes on the answer of another instance to a forwarded request. It reports in retry whether the
// request should be dispatched again.
func (r *request) passOn(a *attempt) (stream *eventStream, retry bool) {
	if a.ambiguous {
		r.ran++
		a.endBroken()
		return nil, r.handleSendFailure(outcomeBroken, errAmbiguous)
	}
	reason := string(a.resp.Header().Peek(headerForwardRefused))
	if reason != "" {
		forwardRefused.Inc()
		r.failedWith(fault.New(fault.Unavailable, "send the request again later", "instance %s refused the forwarded request: %s", a.forwarder.Name, reason))
		a.discard()
		a.finish(balance.Rejected)
		if r.reqCtx.Err() == nil {
			return nil, true
		}
		r.refuseUnsent(r.lastErr)
		return nil, false
	}
	if !statusImpliesNotRun(a.head.Status) {
		r.ran++
	}
	if a.usable() && a.head.Events && a.head.Status < fasthttp.StatusMultipleChoices {
		forwardAnswered.Inc()
		return r.beginStream(a)
	}
	body, err := a.readWhole()
	if err != nil {
		a.endBroken()
		return nil, r.handleSendFailure(outcomeBroken, err)
	}
	forwardAnswered.Inc()
	if a.usable() {
		r.writeAnswer(a, body)
		return nil, false
	}
	r.passOnRefusal(a, body)
	return nil, false
}

// passOnRefusal passes on an answer that the other instance itself gave. That it has not run there does
// not mean that it has not run at all.
func (r *request) passOnRefusal(a *attempt, body []byte) {
	r.lastErr = fault.New(fault.Unavailable, "look at the line of that instance", "instance %s answered %d", a.forwarder.Name, a.head.Status)
	h := a.resp.Header()
	defer a.finish(balance.Done)
	if r.ran > 0 && statusImpliesNotRun(a.head.Status) {
		r.writeRefusal(refusal{status: fasthttp.StatusBadGateway, cause: r.lastErr})
		return
	}
	r.ctx.Response.SetStatusCode(a.head.Status)
	r.ctx.Response.Header.SetContentTypeBytes(h.ContentType())
	if after := h.Peek(fasthttp.HeaderRetryAfter); len(after) > 0 {
		r.ctx.Response.Header.SetBytesV(fasthttp.HeaderRetryAfter, after)
	}
	r.ctx.Response.SetBodyRaw(body)
}

// discard reads the rest of an answer that is not passed on, so that its connection can be reused.
func (a *attempt) discard() {
	if err := a.resp.Discard(); err != nil {
		a.resp.Drop()
		a.resp = nil
	}
}

// errForwardRefused are the refusals of forwarded requests which another instance may serve, by reason.
var errForwardRefused = map[string]error{
	refusedLeaving:     fault.New(fault.Unavailable, "forward the request to another instance", "this instance ends"),
	refusedRecords:     fault.New(fault.Unavailable, "forward the request to another instance", "the records in force are older than those of the sender"),
	refusedBusy:        fault.New(fault.Unavailable, "forward the request to another instance", "too many forwarded requests are open"),
	refusedUnreachable: fault.New(fault.Unavailable, "forward the request to another instance", "no endpoint of the service is in reach"),
	refusedMalformed:   fault.New(fault.Unavailable, "forward the request to another instance", "the mark of a forwarded request is missing or malformed"),
}

// asForwardRefusal returns the error with which a forwarded request is refused: if another instance may
// serve it, that is one of errForwardRefused. That instance does not charge its send to the fleet's retry limit, so none may
// if an endpoint has got the request and no retry was charged here since.
func (r *request) asForwardRefusal(err error) error {
	switch {
	case !r.conn.forwarded(), r.ran+r.rejected > r.retried:
		return err
	case errors.Is(err, errShuttingDown):
		return errForwardRefused[refusedLeaving]
	case errors.Is(err, errNoRecords):
		return errForwardRefused[refusedRecords]
	case errors.Is(err, inbound.ErrNoMemory), errors.Is(err, inbound.ErrGivenUp):
		return errForwardRefused[refusedBusy]
	case r.service != nil && r.outOfReach():
		return errForwardRefused[refusedUnreachable]
	}
	return err
}

// forwardRefusal returns the reason for which a forwarded request was refused; empty if err is something
// else.
func forwardRefusal(err error) string {
	for reason, e := range errForwardRefused {
		if errors.Is(err, e) {
			return reason
		}
	}
	return ""
}

// admitForwarded reads what the sender of a forwarded request has added. If it returns an error, the sender
// may forward the request to another instance.
func (r *request) admitForwarded() error {
	f, ok := r.srv.cfg.Dialect.ParseForward(&r.ctx.Request.Header)
	switch {
	case !ok:
		return errForwardRefused[refusedMalformed]
	case r.srv.drain.Load() != nil:
		return errForwardRefused[refusedLeaving]
	case r.table.Version() < f.Records:
		return errForwardRefused[refusedRecords]
	case r.srv.forwardedOpen.Load() > maxForwardedOpen:
		return errForwardRefused[refusedBusy]
	}
	r.origin, r.attempts, r.release = f.From, f.Attempts, f.Release
	forwardServed.Inc()
	return nil
}

// ServeForwarded answers requests that other instances forward, on the connections that ln accepts, until
// Shutdown.
func (s *Server) ServeForwarded(ln net.Listener) error {
	return s.serve(&listener{
		Listener: ln, open: &s.connections, isInstance: s.cfg.Peers.IsInstance, slow: s.cfg.Slow, reading: s.reading(true), conns: s.instances,
	})
}
