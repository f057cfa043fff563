// Package balance decides which endpoint of a service runs a request, and when. It does no
// I/O and takes the time as an argument.
//
// A State combines what this instance has sent with what other instances and the endpoints
// have reported. It is only a cache: losing any of it makes placement slower, never
// incorrect.
package balance

import (
	"time"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/selfreport"
)

// Endpoint is one incarnation of an endpoint, as listed by the platform.
type Endpoint struct {
	// ID identifies the incarnation. All state of an endpoint is keyed by it; an endpoint
	// that restarts has a new ID.
	ID string
	// Name is the endpoint's name on the platform; it may survive a restart.
	Name string
	// Born is when the incarnation started, in ms since 1970, as the endpoint reports it; 0
	// if it does not.
	Born       int64
	Address    string
	Service    string
	DataCentre string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Draining endpoints accept no new requests, according to the list.
	Draining bool
	// Versions are the loaded versions of the weights, by model.
	Versions map[string]int64
	// Release is the version of the endpoint's software.
	Release string
}

// Pool is the configuration of a service's endpoints.
type Pool struct {
	// CacheTokens is the memory of one endpoint, in tokens, for running requests and cached
	// parts; 0 for plain services.
	CacheTokens int64
}

// RunID identifies one attempt to run a request; it is unique over all instances.
type RunID uint64

// Ask describes a request that needs an endpoint.
type Ask struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Wall is the isolation domain of the prompt cache: requests with different walls share
	// no cached parts.
	Wall  string
	Parts []prefix.Part
	// PromptTokens and OutputTokens are the size of the request.
	PromptTokens, OutputTokens int64
	// Rank is the request's priority at the endpoint; 0 is the most urgent.
	Rank int
	// Organisation is a hash of the name of the organisation; 0 for none.
	Organisation uint32
	// DataCentre of the sending instance.
	DataCentre string
	// Exclude lists the IDs of endpoints that have been tried already.
	Exclude []string
	// Again reports whether the request has been run by an endpoint before and failed.
	Again bool
	// Paused are the endpoints that have asked the sending instance to send them no requests for
	// now.
	Paused []selfreport.Pause
	// Release is the only release of the endpoints' software that may run the request, which resumes a
	// stream; empty for any.
	Release string
	// Offset is the index in the endpoint list at which the comparison starts. It decides
	// between endpoints of equal cost.
	Offset uint64
}

// Placement is the endpoint chosen for a request.
type Placement struct {
	Endpoint Endpoint
	// PlacedBy is the ID of the instance that made the placement; empty for this one.
	PlacedBy string
	// Version of the model's weights that the endpoint is expected to have loaded.
	Version int64
	// Keys of the prompt's parts for that version.
	Keys []prefix.PartKey
	// Uncached is the number of prompt tokens that the endpoint has to read, as far as
	// known.
	Uncached int64
	// FetchFrom is the address of an endpoint or cache store that has more of the prompt
	// cached; empty for none.
	FetchFrom string
	// SaveTo is the address of the cache store that should keep the parts once they are
	// read; empty for none.
	SaveTo string
	// Ahead is the prompt work, in tokens, that the endpoint does before this request.
	// Queued is all of its prompt work, including that of less urgent requests.
	Ahead, Queued int64
	// Running is the number of requests running at the endpoint.
	Running int
	// Full reports whether the request does not fit into the endpoint's memory beside the
	// running requests.
	Full bool
	// Backlog is the time that the endpoint needs for Ahead. FirstToken is the time to the
	// request's first token.
	Backlog, FirstToken time.Duration
	// PassedOver is the ID of the cheapest endpoint that was skipped because of what it has
	// stated; empty for none. PassedFor is what that is.
	PassedOver string
	PassedFor  Obstacle
	// pauseLeft is the time until the first pause ends, if all endpoints pause.
	pauseLeft time.Duration
	// load is that of the endpoints that could take a request with an allowance. aboveLimit is set if all of them
	// are at their limits.
	load       poolLoad
	aboveLimit bool
}

// Obstacle is what an endpoint has stated that keeps a request from it.
type Obstacle int

// The obstacles.
const (
	// NoObstacle: nothing.
	NoObstacle Obstacle = iota
	// RateLimit: the endpoint's rate limit is used up.
	RateLimit
	// Pause: the endpoint wants no requests from the sending instance for some time.
	Pause
)

// String implements fmt.Stringer.
func (o Obstacle) String() string {
	switch o {
	case RateLimit:
		return "rate limit"
	case Pause:
		return "pause"
	}
	return "none"
}

// Start describes a request that was sent to an endpoint.
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
	// SaveTo is the address of the cache store that keeps the parts once they are read.
	SaveTo string
	// Again reports whether the request has failed at another endpoint before.
	Again bool
}

// size returns the tokens of the request's prompt and output.
func (st *Start) size() int64 {
	n := st.Output
	for _, tokens := range st.Tokens {
		n += tokens
	}
	return n
}

// CacheStore is a store of cached parts outside the endpoints. Its contents outlive the
// endpoints and eviction from their memory.
type CacheStore struct {
	Address    string
	DataCentre string
	// CacheTokens is the store's capacity in tokens.
	CacheTokens int64
}

// Stage is the progress or the result of a run.
type Stage int

// The stages of a run.
const (
	// Answering: the prompt has been read and output tokens are being generated.
	Answering Stage = iota
	// Done: the response is complete.
	Done
	// Rejected: the endpoint refused the request without running it.
	Rejected
	// Errored: the endpoint responded with an application error.
	Errored
	// Misdirected: the endpoint did not run the request because its incarnation or the
	// version of its weights was not the expected one.
	Misdirected
	// Failed: the run was interrupted, for example by a broken connection.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Abandoned: the caller cancelled or its deadline passed.
	Abandoned
)

// How long an endpoint is skipped after it rejected a request, or suspected after it failed.
// The times are short because a false positive costs a share of the pool's capacity, and
// each further failure renews them.
const (
	// avoidAfterRejection covers most of a load of new weights, which takes half a second,
	// without excluding an endpoint for long that was only briefly full.
	avoidAfterRejection = 300 * time.Millisecond
	// suspectAfterFailure and suspectAfterUnreachable cover part of the time until the
	// platform's list drops a dead endpoint, which takes three heartbeats. Further failures
	// renew them.
	suspectAfterFailure     = 700 * time.Millisecond
	suspectAfterUnreachable = 1500 * time.Millisecond
)
