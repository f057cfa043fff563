package gateway

import (
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/fault"
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
	case errors.Is(err, errLongHead):
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

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// handleUnreadable answers a request that could not be parsed and so was not run. Its ID is
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
	status, why := fasthttp.StatusBadRequest, "malformed request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, why = fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, why = fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case isTimeout(err):
		status, why = fasthttp.StatusRequestTimeout, "request not received in time"
	}
	answersTotal(status).Inc()
	// The library's error may quote received bytes, including the caller's key.
	log.WithField("status", status).WithField("caller", ctx.RemoteAddr().String()).WithField("why", why).Info("request unreadable")
	writeRefusal(ctx, refusal{status: status, cause: fault.New(fault.BadRequest, "send a request that is whole and within the limits", "the request could not be read")})
}
