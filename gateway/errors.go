package gateway

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
)

// Causes for which a request ends before it is answered.
var (
	errCallerDisconnected = fault.New(fault.Broken, "none: the caller has gone", "the caller closed its connection")
	errTimeout            = fault.New(fault.Unknown, "raise the route's timeout, or ask for less", "the time for the request is over")
	errNoRecords          = fault.New(fault.Unavailable, "send the request again", "no records are in force yet")
	errNoRoute            = fault.New(fault.NotFound, "check host and path against the routes", "no route for this host and path")
	errLongHead           = fault.New(fault.TooLarge, "send fewer or shorter headers", "the headers are over the limit of the records")
	errNoKey              = fault.New(fault.Unauthorized, "send a key that is in force", "no organisation holds this key")
)

// refusal is a final answer that the gateway itself gives.
type refusal struct {
	status int
	cause  error
	// retryAfter is sent as Retry-After; 0 sends none.
	retryAfter time.Duration
}

// refusalOf maps an error that occurred before anything was sent.
func refusalOf(err error) refusal {
	switch {
	case forwardRefusal(err) != "":
		return refusal{status: fasthttp.StatusServiceUnavailable, cause: err}
	case errors.Is(err, inbound.ErrTimeout):
		return refusal{status: fasthttp.StatusRequestTimeout, cause: err}
	case errors.Is(err, errLongHead), errors.Is(err, inbound.ErrLongHead):
		return refusal{status: fasthttp.StatusRequestHeaderFieldsTooLarge, cause: err}
	case errors.Is(err, errNoRecords):
		return refusal{status: fasthttp.StatusServiceUnavailable, cause: err, retryAfter: recordsRetry}
	}
	switch fault.KindOf(err) {
	case fault.BadRequest:
		return refusal{status: fasthttp.StatusBadRequest, cause: err}
	case fault.TooLarge:
		return refusal{status: fasthttp.StatusRequestEntityTooLarge, cause: err}
	case fault.Unauthorized:
		return refusal{status: fasthttp.StatusUnauthorized, cause: err}
	case fault.NotFound:
		return refusal{status: fasthttp.StatusNotFound, cause: err}
	case fault.Suspect:
		return refusal{status: fasthttp.StatusServiceUnavailable, cause: err, retryAfter: fault.RetryAfter(err)}
	}
	return refusal{status: fasthttp.StatusServiceUnavailable, cause: err, retryAfter: shortRetry}
}

// recordsRetry is the Retry-After of a gateway without records. The store is then unreachable for
// longer than the request has waited, and most callers retry just once.
const recordsRetry = time.Second

// shortRetry is the Retry-After where the reason is likely to be short, such as an endpoint that is
// momentarily full.
const shortRetry = 200 * time.Millisecond

// unreadReason returns why a request could not be read, for log lines and metrics; empty if its caller closed the connection.
func unreadReason(err error) string {
	var small *fasthttp.ErrSmallBuffer
	var broken *net.OpError
	switch {
	case errors.Is(err, inbound.ErrTimeout):
		return "not received in time"
	case errors.Is(err, inbound.ErrNoMemory):
		return "memory for requests used up"
	case errors.Is(err, inbound.ErrGivenUp):
		return "connection given up"
	case errors.Is(err, inbound.ErrTooLarge), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return "the body is too large"
	case errors.As(err, &small), errors.Is(err, inbound.ErrLongHead):
		return "the headers are too large"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return ""
	}
	return "malformed request"
}

func requestsUnread(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_gateway_requests_unread_total{reason="` + reason + `"}`)
}

// handleUnreadable answers a request whose head could not be read and which so was not run. Its ID is
// unknown, so the log line has the caller's address and the time.
func handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		// A failure to write this answer must not be logged under the previous request's ID.
		c.request = ""
		c.sends(nil)
		c.unread.Store(true)
	}
	reason := unreadReason(err)
	f := refusal{status: fasthttp.StatusBadRequest, cause: errUnreadable}
	switch {
	case reason == "":
		reason = "connection closed"
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.Expired), fault.Is(err, fault.TooLarge):
		f = refusalOf(err)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f.status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, new(*fasthttp.ErrSmallBuffer)):
		f.status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	requestsUnread(reason).Inc()
	answersTotal(f.status).Inc()
	unreadLines.write(time.Now(), log.Fields{"status": f.status, "caller": ctx.RemoteAddr().String(), "why": reason}, "request unreadable")
	writeRefusal(ctx, f)
}

// errUnreadable is the cause in the answer to a request that could not be read. The library's error may quote received bytes,
// including the caller's key.
var errUnreadable = fault.New(fault.BadRequest, "send a request that is whole and within the limits", "the request could not be read")

// unreadLines writes the lines on requests that could not be read, of which crowds of clients cause many.
var unreadLines = limitedLog{most: 20}
