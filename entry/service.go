package entry

import (
	"net/url"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	srv     *Server
	call    *call
	account *outcome.Request
	service *recordspb.Service
	request endpoint.ServiceRequest
	once    bool
	ticket  *ticket
}

// service routes a call by its path's prefix. Any method and body pass.
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
	once, key, err := onceOf(ctx, class)
	if err != nil {
		s.refuse(ctx, err)
		return
	}
	once = once || slices.Contains(svc.GetNonIdempotentMethods(), string(ctx.Method()))
	c := &serviceCall{srv: s, account: outcome.New(once), service: svc, once: once}
	c.call = &call{id: id, organisation: organisation, class: className, conn: ctx.Conn(), keepRunning: once}
	c.request = endpoint.ServiceRequest{
		Method: string(ctx.Method()),
		URI:    serviceURI(ctx, svc.GetPathPrefix()),
		Header: &ctx.Request.Header,
		ID:     id,
		Body:   ctx.PostBody(),
		Fresh:  once,
		// Only what may run twice may be given up on silence alone.
		ReusedReadTimeout: s.silence(),
	}
	c.ticket = s.newTicket(c.account, key, claim.Request{
		Key:     claim.NewKey(organisation, key),
		Body:    claim.NewBody(c.request.Method, path+"?"+string(ctx.URI().QueryString()), c.request.Body),
		Attempt: id,
	}, class)
	s.reruns.accepted()
	s.calls.begin(c.call, timeout(class))
	defer s.calls.end(c.call)
	c.answer(ctx)
}

// serviceURI cuts the service's prefix off the path. The path goes on as the
// caller wrote it, unless it climbs: then what was routed by goes on.
func serviceURI(ctx *fasthttp.RequestCtx, cut string) string {
	path, ok := strings.CutPrefix(string(ctx.URI().PathOriginal()), cut)
	if !ok || strings.Contains(path, "..") {
		routed := url.URL{Path: strings.TrimPrefix(string(ctx.Path()), cut)}
		path = routed.EscapedPath()
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return "/" + path
}

func (c *serviceCall) answer(ctx *fasthttp.RequestCtx) {
	name, a, err := c.send()
	err = c.ticket.settle(err)
	verdict := c.account.Finish()
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

// record tells the claim's record what became of the call.
func (c *serviceCall) record(v outcome.Verdict, name string, a *endpoint.ServiceAnswer) {
	if a == nil {
		c.ticket.end(v, claim.Answer{})
		return
	}
	c.ticket.end(v, claim.Answer{
		Status:      a.Header.StatusCode(),
		ContentType: string(a.Header.ContentType()),
		Body:        a.Body,
		Kept:        true,
		Endpoint:    name,
	})
}

// send tries the endpoints in an order of the call's own, so that calls spread
// and no list of the busy ones is needed. A call that may have run is sent to
// the next one only if it is idempotent.
func (c *serviceCall) send() (name string, a *endpoint.ServiceAnswer, err error) {
	if err = c.ticket.look(c.call.ctx); err != nil {
		return "", nil, err
	}
	c.account.Admit()
	if err = c.ticket.take(c.call.ctx); err != nil {
		return "", nil, err
	}
	err = fault.New(fault.Unavailable, "add endpoints to the service's record", "no endpoint can take the call")
	key := prefix.Salt(c.call.id, "", "")
	for _, e := range place.Order(key, c.service.GetEndpoints()) {
		if e.GetLeaving() {
			continue
		}
		name = e.GetName()
		a, err = c.sendTo(e.GetAddress())
		if err == nil || !c.goesOn(err) {
			return name, a, c.final(err)
		}
	}
	return name, nil, c.final(err)
}

// goesOn reports whether the call may be sent to another endpoint.
func (c *serviceCall) goesOn(err error) bool {
	if c.call.cause() != nil || !c.account.MaySend() {
		return false
	}
	return fault.Is(err, fault.Unavailable) || c.srv.reruns.take()
}

// sendTo sends the call to one endpoint. On a connection that was used before,
// silence may mean that something in between has forgotten the connection; a
// idempotent call is then sent again on a new one.
func (c *serviceCall) sendTo(address string) (*endpoint.ServiceAnswer, error) {
	service := c.srv.cfg.DialService(address)
	a, err := c.sendOnce(service, c.request)
	if err == nil || !endpoint.IsTimeout(err) || !c.goesOn(err) {
		return a, err
	}
	fresh := c.request
	fresh.Fresh = true
	return c.sendOnce(service, fresh)
}

func (c *serviceCall) sendOnce(service Service, r endpoint.ServiceRequest) (*endpoint.ServiceAnswer, error) {
	send := c.account.Send()
	a, err := service.Do(c.call.ctx, r)
	if err == nil {
		send.Answering()
		send.Done()
		return a, nil
	}
	// Only an endpoint that no byte reached has certainly not run the call; a
	// plain service has no other word for it.
	if fault.Is(err, fault.Unavailable) {
		send.NotStarted()
	}
	return nil, err
}

// final is the error that the caller reads.
func (c *serviceCall) final(err error) error {
	if err == nil {
		return nil
	}
	if cause := c.call.cause(); cause != nil {
		return cause
	}
	if !c.account.NoSendMayHaveRun() && c.once {
		return fault.Wrap(err, fault.Unknown, "ask with the same Idempotency-Key what became of it", "a non-idempotent call broke off; it may have run")
	}
	return err
}
