// Package balance decides which endpoint of a service runs a request, and when.
// It does no I/O and takes the time as an argument. A State holds what is known
// of all endpoints here: what this instance sent, what others told, and what
// endpoints answered. Losing any of it costs speed, never correctness.
package balance

import (
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

// Endpoint is one incarnation of an endpoint, as the platform lists it.
type Endpoint struct {
	// ID names the incarnation: all that is believed of an endpoint is kept under it,
	// and an endpoint that starts again has another one.
	ID string
	// Name is what the platform calls the endpoint; one that starts again may keep it.
	Name string
	// Born is when the incarnation started, in ms since 1970, by its own word; 0
	// where it does not say.
	Born       int64
	Address    string
	Service    string
	DataCentre string
	// Slots is how many requests it runs at a time.
	Slots int
	// Draining endpoints take no new work.
	Draining bool
	// Versions of the weights that it holds, by model.
	Versions map[string]int64
}

// Pool is what the records say of a service's endpoints.
type Pool struct {
	// CacheTokens is the memory of one endpoint for running requests and cached
	// parts; 0 for plain services.
	CacheTokens int64
}

// RunID names one send of a request; it is unique over all instances.
type RunID uint64

// Ask describes a request that wants an endpoint.
type Ask struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Wall separates organisations that share no cached parts.
	Wall  string
	Parts []prefix.Part
	// PromptTokens and OutputTokens size the work.
	PromptTokens, OutputTokens int64
	// Rank is the request's priority at the endpoint; 0 goes first.
	Rank int
	// DataCentre of the instance that sends.
	DataCentre string
	// Exclude names endpoints that were tried before.
	Exclude []string
	// Again says that an endpoint has run the request before, which failed.
	Again bool
	// Turn says with which endpoint of the list the comparison begins, and so which one
	// of several that are equally good is chosen.
	Turn uint64
}

// Placement is where a request goes.
type Placement struct {
	Endpoint Endpoint
	// PlacedBy names the instance that has placed it; empty for this one.
	PlacedBy string
	// Version of the model's weights there.
	Version int64
	// Keys of the prompt's parts under that version.
	Keys []prefix.PartKey
	// Uncached is how many tokens of the prompt are read there, as far as known.
	Uncached int64
	// FetchFrom is the address of an endpoint or a store that has more of the
	// prompt; empty for none.
	FetchFrom string
	// SaveTo is the address of a store that should keep the parts once they are
	// read; empty for none.
	SaveTo string
	// Ahead is the prompt work in tokens that the endpoint has to do before, and
	// Queued all that it has, also of less urgent requests.
	Ahead, Queued int64
	// Running is the number of requests there.
	Running int
	// Full says that the endpoint's memory does not hold the request beside those
	// that run there.
	Full bool
	// Backlog is the time that the endpoint needs for Ahead, and First the time
	// to the request's first token.
	Backlog, First time.Duration
	// PassedOver is the endpoint that would have been chosen but for the rate that it
	// names; empty for none.
	PassedOver string
}

// Start says that a request was sent to an endpoint.
type Start struct {
	Run      RunID
	Endpoint string
	Model    string
	Version  int64
	// Rank is the request's priority at the endpoint.
	Rank int
	Keys []prefix.PartKey
	// Tokens of each part, in the order of Keys.
	Tokens   []int64
	Uncached int64
	Output   int64
	// SaveTo is the store that keeps the parts once they are read.
	SaveTo string
	// Again says that the request has failed at another endpoint before.
	Again bool
}

// size of the request, in tokens of its prompt and its answer.
func (st *Start) size() int64 {
	n := st.Output
	for _, tokens := range st.Tokens {
		n += tokens
	}
	return n
}

// KeptStore keeps cached parts beside the endpoints, such that they outlive
// endpoints and their memory.
type KeptStore struct {
	Address    string
	DataCentre string
	// CacheTokens is how much it holds.
	CacheTokens int64
}

// Stage is what became of a run.
type Stage int

// The stages.
const (
	// Answering: the prompt is read, tokens are being made.
	Answering Stage = iota
	// Done: the answer came whole.
	Done
	// Rejected: the endpoint did not run the request.
	Rejected
	// Errored: the endpoint answered with an error of its own.
	Errored
	// Misdirected: the endpoint did not run the request, since it is not the one, or
	// does not hold the weights, that were expected.
	Misdirected
	// Failed: the run broke off.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Abandoned: the caller left, or its time was over.
	Abandoned
)

// The times for which an endpoint is left out after it turned work away, or in
// doubt after it failed. They are short because a wrong one costs a share of the pool, and each further
// failure renews it.
const (
	// rejectedFor covers most of a load of new weights, half a second, without
	// keeping an endpoint out that was only full for a moment.
	rejectedFor = 300 * time.Millisecond
	// brokenFor and unreachableFor bridge part of the time until the platform's
	// list shows that an endpoint has gone, three of its heartbeats; what fails
	// then renews them.
	brokenFor      = 700 * time.Millisecond
	unreachableFor = 1500 * time.Millisecond
)
