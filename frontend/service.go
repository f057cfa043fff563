package frontend

import (
	"net/url"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// serviceCall is one call of a plain HTTP service.
type serviceCall struct {
	srv           *Server
	call          *call
	tracker       *outcome.Request
	service       *recordspb.Service
	request       endpoint.ServiceRequest
	nonIdempotent bool
	claimGuard    *claimGuard
	// content identifies the call if its caller sends it again.
	content placement.Fingerprint
}

// service routes a call by the prefix of its path. Methods and bodies are not restricted.
func (s *Server) service(ctx *fasthttp.RequestCtx, records *record.Snapshot, organisation, id string) {
	path := string(ctx.Path())
	_, svc, ok := records.ServiceByPath(path)
	if !ok {
		s.refuse(ctx, errNoPath(path))
		return
	}
	className, class, err := classOf(ctx, records, svc.GetClass())
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	nonIdempotent, key, err := idempotencyOf(ctx, class)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	nonIdempotent = nonIdempotent || slices.Contains(svc.GetNonIdempotentMethods(), string(ctx.Method()))
	c := &serviceCall{srv: s, tracker: outcome.New(nonIdempotent), service: svc, nonIdempotent: nonIdempotent}
	c.call = &call{id: id, organisation: organisation, class: className, conn: ctx.Conn(), keepRunning: nonIdempotent}
	c.request = endpoint.ServiceRequest{
		Method: string(ctx.Method()),
		URI:    serviceURI(ctx, svc.GetPathPrefix()),
		Header: &ctx.Request.Header,
		ID:     id,
		Body:   ctx.PostBody(),
		Fresh:  nonIdempotent,
		// Used only for idempotent calls: only a call that may run twice may be abandoned
		// because of a timeout alone.
		ReusedReadTimeout: s.silenceTimeout(),
	}
	c.claimGuard = s.newClaimGuard(c.tracker, key, claim.Request{
		Key:     claim.NewKey(organisation, key),
		Body:    claim.NewBody(c.request.Method, path+"?"+string(ctx.URI().QueryString()), c.request.Body),
		Attempt: id,
	}, class)
	c.content = fingerprint(organisation, c.request.Method+" "+path+"?"+string(ctx.URI().QueryString()), c.request.Body)
	s.reruns.credit()
	s.calls.begin(c.call, timeout(class))
	defer s.calls.end(c.call)
	c.answer(ctx)
}

// serviceURI removes the prefix of the service from the path. The path is forwarded as the
// caller wrote it, unless it contains "..": then the normalised path, by which the call was
// routed, is forwarded.
func serviceURI(ctx *fasthttp.RequestCtx, pathPrefix string) string {
	path, ok := strings.CutPrefix(string(ctx.URI().PathOriginal()), pathPrefix)
	if !ok || strings.Contains(path, "..") {
		routed := url.URL{Path: strings.TrimPrefix(string(ctx.Path()), pathPrefix)}
		path = routed.EscapedPath()
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return "/" + path
}

func (c *serviceCall) answer(ctx *fasthttp.RequestCtx) {
	name, a, err := c.send()
	err = c.claimGuard.recordNotRun(err)
	verdict := c.tracker.Finish()
	c.srv.metrics.outcome(verdict)
	c.record(verdict, name, a)
	if name != "" {
		ctx.Response.Header.Set(headerEndpoint, name)
	}
	if err != nil {
		writeError(ctx, err, verdict)
		return
	}
	a.CopyHeader(&ctx.Response.Header)
	ctx.Response.Header.Set(headerOutcome, verdict.String())
	ctx.SetBody(a.Body)
}

// record stores the outcome of the call in the claims.
func (c *serviceCall) record(v outcome.Verdict, name string, a *endpoint.ServiceAnswer) {
	if a == nil {
		c.claimGuard.finish(v, claim.Answer{})
		return
	}
	c.claimGuard.finish(v, claim.Answer{
		Status:      a.Header.StatusCode(),
		ContentType: string(a.Header.ContentType()),
		Body:        a.Body,
		Kept:        true,
		Endpoint:    name,
	})
}

// send tries the endpoints in an order derived from the ID of the call, so that calls are
// spread without load information. A call that may have run is sent to another endpoint only
// if it is idempotent.
func (c *serviceCall) send() (name string, a *endpoint.ServiceAnswer, err error) {
	if err = c.claimGuard.lookupKey(c.call.ctx); err != nil {
		return "", nil, err
	}
	c.tracker.Admit()
	if err = c.claimGuard.acquire(c.call.ctx); err != nil {
		return "", nil, err
	}
	err = fault.New(fault.Unavailable, "add endpoints to the service's record", "no endpoint can take the call")
	key := prefix.Salt(c.call.id, "", "")
	for _, e := range placement.Order(key, c.service.GetEndpoints()) {
		if e.GetLeaving() {
			continue
		}
		name = e.GetName()
		err = c.guarded(e, func() (err error) {
			a, err = c.sendTo(e.GetAddress())
			return err
		})
		if err == nil || !c.maySendAgain(err) {
			return name, a, c.callerError(err)
		}
	}
	return name, nil, c.callerError(err)
}

// maySendAgain reports whether the call may be sent again.
func (c *serviceCall) maySendAgain(err error) bool {
	if c.call.cause() != nil || !c.tracker.MaySend() || fault.Is(err, fault.Suspect) {
		return false
	}
	return fault.Is(err, fault.Unavailable) || c.srv.reruns.take()
}

// sendTo sends the call to one endpoint. If an answer on a reused connection times out, a
// middlebox may have dropped the connection; an idempotent call is then sent again on a new
// one.
func (c *serviceCall) sendTo(address string) (*endpoint.ServiceAnswer, error) {
	service := c.srv.cfg.DialService(address)
	a, err := c.sendOnce(service, c.request)
	if err == nil || !endpoint.IsTimeout(err) || !c.maySendAgain(err) {
		return a, err
	}
	fresh := c.request
	fresh.Fresh = true
	return c.sendOnce(service, fresh)
}

func (c *serviceCall) sendOnce(service Service, r endpoint.ServiceRequest) (*endpoint.ServiceAnswer, error) {
	send := c.tracker.Send()
	a, err := service.Do(c.call.ctx, r)
	if err == nil {
		send.Answering()
		send.Done()
		return a, nil
	}
	// The call has certainly not run only if no byte reached the endpoint: a plain service has
	// no other way to report that it did not start a call.
	if fault.Is(err, fault.Unavailable) {
		send.NotStarted()
	}
	return nil, err
}

// callerError returns the error for the caller.
func (c *serviceCall) callerError(err error) error {
	if err == nil {
		return nil
	}
	if cause := c.call.cause(); cause != nil {
		return cause
	}
	if !c.tracker.NoSendMayHaveRun() && c.nonIdempotent {
		return fault.Wrap(err, fault.Unknown, "ask with the same Idempotency-Key what became of it", "a non-idempotent call broke off; it may have run")
	}
	return err
}
