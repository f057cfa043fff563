package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

// ending is what is known about the end of an answer whose body was read without an error.
type ending int

const (
	// endStated: a length or the last chunk states that the body is whole.
	endStated ending = iota
	// endVerified: the body ended with its connection, and the endpoint has not crashed.
	endVerified
	// endAssumed: the body ended with its connection, and nothing shows whether it was whole.
	endAssumed
)

const (
	// headerForwardFraming states in an answer to a forwarded request whether its end was stated by the
	// endpoint. The answer itself is always framed between two instances.
	headerForwardFraming = "Sardinedock-Forward-Framing"
	// Values of headerForwardFraming. Instances of earlier versions send none, and frame every answer.
	forwardFramed   = "framed"
	forwardUnframed = "unframed"
)

var (
	errEndpointEnded = fault.New(fault.Broken, "look at the endpoint's log", "the endpoint ended with its connection, which was the end of an answer without framing")
	errEventCut      = fault.New(fault.Broken, "look at the endpoint's log", "the answer ended inside an event")
	errEndUnknown    = fault.New(fault.Broken, "send the request again", "nothing shows whether the resumed stream, which has no framing, is whole")

	unframedVerified = metrics.GetOrCreateCounter(`sardinedock_gateway_unframed_answers_total{end="verified"}`)
	unframedAssumed  = metrics.GetOrCreateCounter(`sardinedock_gateway_unframed_answers_total{end="assumed"}`)
	unframedCrashed  = metrics.GetOrCreateCounter(`sardinedock_gateway_unframed_answers_total{end="crash"}`)
	answersCut       = metrics.GetOrCreateCounter(`sardinedock_gateway_answers_cut_inside_event_total`)
)

// unframed reports whether nobody has stated where the body of the answer ends.
func (a *attempt) unframed() bool {
	if a.forwarded() {
		return a.resp.Framing() != endpoint.NoBody && string(a.resp.Header().Peek(headerForwardFraming)) != forwardFramed
	}
	return a.resp.Framing() == endpoint.ByClose
}

// checkEnd returns what is known about the end of an answer that was read without an error. It returns an
// error if the answer was probably truncated by a crash of the endpoint: a process that ends closes its
// connections as one that has finished an answer does (RFC 9112, section 8). It blocks while a connection
// is made, which is kept for the next request.
//
// An endpoint that is known to leave may end right after its last answer.
func (a *attempt) checkEnd() (ending, error) {
	switch {
	case !a.unframed():
		return endStated, nil
	case a.forwarded() && a.resp.Header().Peek(headerForwardFraming) != nil:
		// The other instance has checked the end.
		return endVerified, nil
	case a.forwarded():
		return endAssumed, nil
	}
	e, s := a.place.Endpoint, a.req.srv
	if s.cfg.Relay(e.Address).Probe(a.reqCtx) == nil {
		unframedVerified.Inc()
		return endVerified, nil
	}
	if _, ready := s.cfg.State.ListedReady(e.ID); !ready || a.head.Leaving {
		unframedAssumed.Inc()
		return endAssumed, nil
	}
	unframedCrashed.Inc()
	return endAssumed, errEndpointEnded
}

// readWhole reads the body of an answer that is not streamed.
func (a *attempt) readWhole() ([]byte, error) {
	body, err := a.resp.ReadAll()
	if err == nil {
		_, err = a.checkEnd()
	}
	return body, err
}

// describeAnswer states to the instance that forwarded the request which release wrote the answer, and whether its
// end is stated. A caller's answer has no such headers.
func (r *request) describeAnswer(a *attempt) {
	h := &r.ctx.Response.Header
	h.Del(headerForwardFraming)
	h.Del(HeaderForwardRelease)
	if r.origin == "" {
		return
	}
	framing := forwardFramed
	if a.unframed() {
		framing = forwardUnframed
	}
	h.Set(headerForwardFraming, framing)
	if release := a.release(); release != "" {
		h.Set(HeaderForwardRelease, release)
	}
}

// passesUnframed reports whether the caller's answer has to be passed on without framing: a length or a last
// chunk would state that it is whole.
func (r *request) passesUnframed(a *attempt) bool { return r.origin == "" && a.unframed() }
