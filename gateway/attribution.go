package gateway

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/attribution"
	"github.com/sardinedock/sardinedock/fault"
)

// errAmbiguous ends a send whose rejection may belong to something else, so that it may have run.
var errAmbiguous = fault.New(fault.Broken, "look at the endpoint's log", "the rejection that came may not be about this send")

// responsesSetAside counts the responses that were not used, by verdict.
func responsesSetAside(v attribution.Verdict) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_responses_set_aside_total{verdict="` + v.String() + `"}`)
}

// acceptHead parses the head of a response and reports whether it is the one to this send. Nothing that an ambiguous
// rejection states is used.
func (a *attempt) acceptHead(h *fasthttp.ResponseHeader, on attribution.Circumstances) bool {
	a.head = a.req.srv.cfg.Dialect.ParseAnswer(h)
	// Other instances state that they did not run a request by the status alone.
	notRun := a.head.NotRun || a.forwarded() && statusImpliesNotRun(a.head.Status)
	a.verdict = attribution.Judge(a.req.call.ID, attribution.Response{ID: a.head.ID, Signed: a.head.Signed, NotRun: notRun}, on)
	a.req.noteResponse(a, on)
	if a.ambiguous = a.verdict == attribution.Ambiguous && notRun; a.ambiguous {
		a.head = Answer{Status: a.head.Status, ID: a.head.ID}
	}
	if a.ambiguous || a.verdict == attribution.OtherRequest {
		responsesSetAside(a.verdict).Inc()
	}
	return a.verdict != attribution.OtherRequest
}

// maxSendRecords bounds the responses and failures of one request that its log line lists.
const maxSendRecords = 12

// sendRecord is what a send came to, as logged.
type sendRecord struct {
	Endpoint string `json:"endpoint"`
	// Result is the verdict on a response, or the outcome of a send without one.
	Result string `json:"result"`
	Status int    `json:"status,omitempty"`
	// ID is "none" if the response names no request, "own" if it names this one, and "other" otherwise.
	ID string `json:"id,omitempty"`
	// Earlier is the number of requests that were sent on the connection before; absent on a new connection.
	Earlier int `json:"earlier,omitempty"`
	// Repeated and Early are as in attribution.Circumstances.
	Repeated bool `json:"repeated,omitempty"`
	Early    bool `json:"early,omitempty"`
	// Why is the error of a send without a response.
	Why string `json:"why,omitempty"`
}

func (r *request) noteSend(s sendRecord) {
	if len(r.sendRecords) < maxSendRecords {
		r.sendRecords = append(r.sendRecords, s)
	}
}

// noteResponse records a response for the log line.
func (r *request) noteResponse(a *attempt, on attribution.Circumstances) {
	id := "other"
	switch a.head.ID {
	case "":
		id = "none"
	case r.call.ID:
		id = "own"
	}
	r.noteSend(sendRecord{
		Endpoint: a.place.Endpoint.ID, Result: a.verdict.String(), Status: a.head.Status,
		ID: id, Earlier: on.Earlier, Repeated: on.Repeated, Early: on.Early,
	})
}

// noteFailure records a send without a response for the log line.
func (r *request) noteFailure(a *attempt, o outcome, err error) {
	r.noteSend(sendRecord{Endpoint: a.place.Endpoint.ID, Result: o.String(), Why: err.Error()})
}

// loggedSends returns the sends to log: none if there was one, which brought a result.
func (r *request) loggedSends() []sendRecord {
	if len(r.sendRecords) == 1 && r.sendRecords[0].Result == attribution.Result.String() {
		return nil
	}
	return r.sendRecords
}
