package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/ratelimit"
)

// Call is what a caller's request says of itself.
type Call struct {
	// ID of this attempt of the caller; each attempt has its own.
	ID string
	// Key that the caller shows; empty for none.
	Key string
	// Patience is how long the caller waits; 0 where it does not say.
	Patience time.Duration
	// Model and the prompt's parts, of model requests only.
	Model string
	Parts []prefix.Part
	// PromptTokens and OutputTokens size the work; the second is the most that
	// the answer may have.
	PromptTokens, OutputTokens int64
	// Sized says that the request states its numbers of tokens.
	Sized bool
}

// Send is what the router adds to a request on its way to an endpoint.
type Send struct {
	// Call as the caller made it.
	Call Call
	// Endpoint is the platform's name of the one that has to answer, and no other.
	Endpoint string
	// Organisation of the caller; empty for none.
	Organisation string
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// Body length in bytes.
	Body int
	// Model requests only:

	// Version of the weights that the endpoint has to hold.
	Version int64
	// CacheScope separates cached parts that must not be shared.
	CacheScope string
	// FetchFrom is the address where more of the prompt is cached, SaveTo where
	// the parts are kept once they are read; empty for none.
	FetchFrom, SaveTo string
	// Priority at the endpoint; 0 is the most urgent.
	Priority int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	Status int
	// ID of the request that is answered; empty where the endpoint gives none.
	ID string
	// Signed answers are the endpoint's own word.
	Signed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Mismatch says that the incarnation, or the version of its weights, is not
	// the one that the request expects. Answerer is the platform's name
	// of the endpoint that answers, where it tells.
	Mismatch bool
	Answerer string
	// Version of the model's weights; 0 where the endpoint does not say.
	Version int64
	// Leaving says that the endpoint closes its connections.
	Leaving bool
	// Events says that the body is a series of events.
	Events bool
	// Encoded bodies are not what the caller asked for.
	Encoded bool
	// Rate is what the endpoint takes from all instances together. RateError says that
	// it names something that can't be read.
	Rate      ratelimit.Rate
	RateError error
}

// Dialect translates between the router and the headers that callers and
// endpoints use. Its methods do no I/O.
type Dialect interface {
	// ParseCall reads a caller's request; an error is of kind fault.BadRequest.
	ParseCall(h *fasthttp.RequestHeader) (Call, error)
	// AppendHead appends the head of the request as it goes to an endpoint.
	AppendHead(dst []byte, caller *fasthttp.RequestHeader, s Send) []byte
	// ParseAnswer reads the head of an endpoint's answer.
	ParseAnswer(h *fasthttp.ResponseHeader) Answer
	// CopyAnswer copies to the caller what is not between two connections only.
	// signed leaves the endpoint's signature in.
	CopyAnswer(to, from *fasthttp.ResponseHeader, signed bool)
}
