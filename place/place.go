// Package place finds the endpoint that a request runs on.
package place

import (
	"context"
	"sort"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// Request is what placing needs to know of a request.
type Request struct {
	ID           string
	Organisation string
	ClassName    string
	Class        *recordspb.RequestClass
	PoolName     string
	Pool         *recordspb.EndpointPool
	Model        string
	Version      string
	Blocks       []prefix.Hash
	PromptTokens int64
	MaxTokens    int64
	// Fingerprint names the request's content for the crash check.
	Fingerprint [16]byte
	// Exclude names endpoints that were tried before.
	Exclude []string
}

// Grant is the right to send one request to one endpoint.
type Grant struct {
	// ID is unique at the owner that gave the grant; 0 for a grant that the
	// instance gave itself without an owner.
	ID uint64
	// Owner is the instance that gave it.
	Owner    string
	Endpoint string
	Address  string
	// Incarnation of the endpoint that the grant is for; 0 if not known.
	Incarnation uint64
	// CachedTokens of the prompt are believed to be cached there.
	CachedTokens int64
	// Alone says that the request is suspected of crashing endpoints and that
	// nothing else was put beside it.
	Alone bool
	// Long says that the prompt takes long to compute and that the engine
	// should put it behind others of its class.
	Long bool

	// ticket is what the placer has to know of the request at its end.
	placement *placement
}

// End is the stage that a granted request reached.
type End int

// The stages.
const (
	// EndUnused: nothing was sent.
	EndUnused End = iota
	// EndDone: the answer came whole.
	EndDone
	// EndFailed: it broke off for a reason that says nothing of the endpoint.
	EndFailed
	// EndCrashed: the endpoint died while it ran the request.
	EndCrashed
)

// Result is what became of a granted request.
type Result struct {
	End          End
	Incarnation  uint64
	CachedTokens int64
	PromptTokens int64
	OutputTokens int64
}

// Placer hands out grants. All methods may be called by any goroutine.
type Placer interface {
	// Place blocks until the request may be sent, at most its class's wait. An
	// error says that it may not: fault.Overloaded when it cannot start before
	// its deadline, LimitExceeded, Suspect, or Unavailable. Nothing was sent.
	Place(ctx context.Context, r Request) (Grant, error)
	// FirstToken tells that the answer began, and how long after the send. It
	// does not block.
	FirstToken(g Grant, cachedTokens int64, after time.Duration)
	// Done gives the grant back, once for each grant. It does not block, but for
	// EndCrashed: where the caller may send the request again elsewhere next,
	// the other instances are told first, which takes 100 ms at most.
	Done(g Grant, res Result)
}

// Order sorts endpoints by rendezvous hashing: all instances find the same
// order from the list alone, and a change of the list moves only the keys of
// the endpoints concerned.
func Order(key prefix.Hash, endpoints []*recordspb.Endpoint) []*recordspb.Endpoint {
	type scored struct {
		score    uint64
		endpoint *recordspb.Endpoint
	}
	list := make([]scored, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, scored{xxh3.HashStringSeed(e.GetName(), xxh3.Hash(key[:])), e})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	order := make([]*recordspb.Endpoint, 0, len(list))
	for _, s := range list {
		order = append(order, s.endpoint)
	}
	return order
}
