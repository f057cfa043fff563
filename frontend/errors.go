package frontend

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/record"
)

var errMethod = fault.New(fault.BadRequest, "send a POST request", "this path takes POST only")

var errNoRecords = fault.New(fault.Unavailable, "ask again in a second", "this instance has no records yet")

func errNoModel(name string) error {
	return fault.New(fault.NotFound, "ask /v1/models for the models there are", "no such model: %q", name)
}

func errNoPath(path string) error {
	return fault.New(fault.NotFound, "use /v1/completions, /v1/chat/completions, /v1/models or a service's path", "no such path: %s", path)
}

// authenticate returns the organisation that owns the API key of the request.
func authenticate(ctx *fasthttp.RequestCtx, records *record.Snapshot) (string, error) {
	const scheme = "Bearer "
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(header) > len(scheme) && strings.EqualFold(header[:len(scheme)], scheme) {
		if name, ok := records.OrganisationByKey(header[len(scheme):]); ok {
			return name, nil
		}
	}
	return "", fault.New(fault.Unauthorized, "send Authorization: Bearer with your organisation's key", "the key is missing or not known")
}

// apiError is the error body of the OpenAI-style API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// retryAfterSeconds is the default Retry-After of a refusal. A slot becomes free, or a
// suspected endpoint is confirmed alive, within about a second.
const retryAfterSeconds = "1"

// writeError writes the status and body for err, and the outcome header.
func writeError(ctx *fasthttp.RequestCtx, err error, verdict outcome.Verdict) {
	ctx.Response.ResetBody()
	ctx.Response.Header.Set(headerOutcome, verdict.String())
	var rec *recordedError
	if errors.As(err, &rec) && writeRecorded(ctx, rec.found.Answer) {
		return
	}
	status, retryable := statusFor(err)
	ctx.SetStatusCode(status)
	if retryable && len(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)) == 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(err))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(errorBody(err))
}

// statusFor returns the HTTP status for err and whether a retry makes sense.
func statusFor(err error) (status int, retryable bool) {
	var rec *recordedError
	if errors.As(err, &rec) {
		return fasthttp.StatusConflict, rec.found.Answer == nil
	}
	if own := endpointError(err); own != nil {
		return own.Status, false
	}
	status, _ = statusOf(fault.KindOf(err))
	retryable = status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
	return status, retryable || fault.RetryAfter(err) > 0
}

// errorBody returns the error body for err. An endpoint's own error about the content of the
// request is passed on; the wrapped causes of other errors are not exposed.
func errorBody(err error) []byte {
	kind := fault.KindOf(err)
	_, errorType := statusOf(kind)
	message := err.Error()
	if remedy := fault.Remedy(err); remedy != "" {
		message += "; " + remedy
	}
	if own := endpointError(err); own != nil {
		return own.Body
	}
	body, _ := json.Marshal(apiError{apiErrorBody{Message: message, Type: errorType, Code: string(kind)}})
	return body
}

// endpointError returns the endpoint's own error about the content of the request, or nil.
func endpointError(err error) *endpoint.StatusError {
	var own *endpoint.StatusError
	if errors.As(err, &own) && fault.Is(err, fault.BadRequest) && json.Valid(own.Body) {
		return own
	}
	return nil
}

func statusOf(kind fault.Kind) (status int, errorType string) {
	switch kind {
	case fault.BadRequest, fault.Suspect:
		return fasthttp.StatusBadRequest, "invalid_request_error"
	case fault.TooLarge:
		return fasthttp.StatusRequestEntityTooLarge, "invalid_request_error"
	case fault.Unauthorized:
		return fasthttp.StatusUnauthorized, "authentication_error"
	case fault.NotFound:
		return fasthttp.StatusNotFound, "invalid_request_error"
	case fault.Conflict:
		return fasthttp.StatusConflict, "invalid_request_error"
	case fault.LimitExceeded:
		return fasthttp.StatusTooManyRequests, "rate_limit_error"
	case fault.Overloaded, fault.Unavailable, fault.RateLimited:
		return fasthttp.StatusServiceUnavailable, "server_error"
	case fault.Broken, fault.Unknown:
		return fasthttp.StatusBadGateway, "server_error"
	}
	return fasthttp.StatusInternalServerError, "server_error"
}

// readFailed writes the error answer to a request that could not be read.
func readFailed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	verdict := outcome.New(false).Finish()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.linger.Store(true)
	}
	if errors.As(err, &small) || errors.Is(err, inbound.ErrLongHead) {
		writeError(ctx, fault.New(fault.TooLarge, "send fewer or shorter headers", "the headers are too large"), verdict)
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		return
	}
	writeError(ctx, readError(err), verdict)
}

var (
	errBodyTooLarge = fault.New(fault.TooLarge, "send a shorter prompt", "the body is too large")
	errNotRead      = fault.New(fault.BadRequest, "send a well-formed HTTP request in time", "the request could not be read")
)

// readError returns the error for a request that could not be read.
func readError(err error) error {
	switch {
	case errors.Is(err, inbound.ErrTooLarge):
		return errBodyTooLarge
	case errors.Is(err, inbound.ErrNoMemory), errors.Is(err, inbound.ErrGivenUp):
		return err
	}
	return errNotRead
}

// retryAfter returns the Retry-After of err in whole seconds, rounded up, or the default.
func retryAfter(err error) string {
	after := fault.RetryAfter(err)
	if after <= 0 {
		return retryAfterSeconds
	}
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}
