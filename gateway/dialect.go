package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/ratelimit"
)

// Call describes a caller's request, as parsed from its headers.
type Call struct {
	// ID of the request. The caller uses a new one for each of its own retries.
	ID string
	// Key is the caller's API key; empty if it sends none.
	Key string
	// Patience is how long the caller waits for the answer; 0 if unknown.
	Patience time.Duration
	// Model and Parts, the parts of the prompt, are set for model requests only.
	Model string
	Parts []prefix.Part
	// PromptTokens and OutputTokens estimate the work; OutputTokens is the maximum that the answer
	// may have.
	PromptTokens, OutputTokens int64
	// Sized is set if the request states its token counts.
	Sized bool
	// ResumeAfter is the ID of the last event that the caller has, if it resumes a stream. Resumes is the ID
	// of its request that brought the stream's first event; empty if it does not state it.
	ResumeAfter, Resumes string
}

// Send is what the gateway adds to a request that is sent to an endpoint.
type Send struct {
	// Call is the caller's request.
	Call Call
	// Endpoint is the platform's name of the endpoint that must answer; any other must refuse.
	Endpoint string
	// Organisation is the caller's; empty if it has none.
	Organisation string
	// Left is the time that the endpoint may spend on the request.
	Left time.Duration
	// Body is the length of the body in bytes.
	Body int
	// The following fields are set for model requests only.

	// Version of the model's weights that the endpoint must have loaded.
	Version int64
	// CacheScope keeps cached parts apart that must not be shared.
	CacheScope string
	// FetchFrom is the address from which the endpoint may fetch more cached parts of the prompt,
	// SaveTo the address to which it copies the parts after processing them; empty for none.
	FetchFrom, SaveTo string
	// Priority at the endpoint; 0 is the most urgent.
	Priority int

	// ResumeAfter is the ID of the last event that the caller has received, if a stream of any
	// service is resumed; empty otherwise.
	ResumeAfter string
}

// Forward is what the gateway adds to a request that is forwarded to another instance.
type Forward struct {
	// From is the name of the instance that has the caller.
	From string
	// Records is the version of the records there; the receiver must not use older ones.
	Records int64
	// Attempts is how many endpoints may still run the request.
	Attempts int
	// Left is the time that is left for the request.
	Left time.Duration
	// Body is the length of the body in bytes.
	Body int
	// ResumeAfter is as in Send.
	ResumeAfter string
	// Release is the only one that may run the request, if it resumes a stream; empty for any.
	Release string
}

// Answer describes an endpoint's response, as parsed from its head.
type Answer struct {
	Status int
	// ID of the request that is answered; empty if the endpoint sends none.
	ID string
	// Signed is set if the response has the endpoint's signature, so that nothing in between made
	// it.
	Signed bool
	// NotRun is set if the endpoint guarantees that it did not run the request and will not.
	NotRun bool
	// Mismatch is set if the endpoint's incarnation or weights version differs from the expected
	// one. Answerer is the platform's name of the endpoint that answered, if it states it.
	Mismatch bool
	Answerer string
	// Version of the model's weights; 0 if the endpoint does not state it.
	Version int64
	// Leaving is set if the endpoint states that it leaves and wants no further requests.
	Leaving bool
	// Events is set if the body is an event stream.
	Events bool
	// Encoded is set if the body has a content encoding, which callers do not ask for.
	Encoded bool
	// Rate is the request rate that the endpoint accepts from all instances together. RateError is
	// set if the stated rate could not be parsed.
	Rate      ratelimit.Rate
	RateError error
	// Brittle is set if the endpoint states that it fails if it has to reject too many requests.
	Brittle bool
	// Pace is how long work takes on the endpoint's machine now, as a multiple of the usual; 0 if the endpoint does
	// not say.
	Pace float64
	// Pause is how long an endpoint that rejected the request wants no further ones from this
	// instance; 0 if it does not say. PauseError is set if the stated time could not be parsed.
	Pause      time.Duration
	PauseError error
}

// Dialect translates between the gateway and the headers that callers and endpoints use. Its
// methods do no I/O.
type Dialect interface {
	// ParseCall parses the head of a caller's request. Its errors are of kind fault.BadRequest.
	ParseCall(h *fasthttp.RequestHeader) (Call, error)
	// AppendHead appends the head of the request that is sent to an endpoint.
	AppendHead(dst []byte, caller *fasthttp.RequestHeader, s Send) []byte
	// AppendForward appends the head of the request that is forwarded to another instance: the
	// caller's, with f in place of what the caller says about the same.
	AppendForward(dst []byte, caller *fasthttp.RequestHeader, f Forward) []byte
	// ParseForward parses From, Records, Attempts, Left and Release of what AppendForward has added. ok is false if
	// the request was not forwarded by an instance.
	ParseForward(h *fasthttp.RequestHeader) (f Forward, ok bool)
	// ParseAnswer parses the head of an endpoint's response.
	ParseAnswer(h *fasthttp.ResponseHeader) Answer
	// NameRequest states in the header of a response which request it answers.
	NameRequest(h *fasthttp.ResponseHeader, id string)
	// CopyAnswer copies the end-to-end headers to the caller's response. The endpoint's signature
	// is copied only if signed is true.
	CopyAnswer(to, from *fasthttp.ResponseHeader, signed bool)
}
