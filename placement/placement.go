// Package placement chooses the endpoint that a request runs on. Fleet asks the instances that
// own the endpoints and decides from its own view if an owner does not answer. On the users'
// platform package balance chooses instead.
package placement

import (
	"context"
	"sort"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// Request is the description of a request that placement needs.
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
	// Fingerprint identifies the request's content for crash detection.
	Fingerprint [16]byte
	// Exclude lists endpoints that must not be chosen, such as those that were tried
	// before.
	Exclude []string
}

// Grant is the permission to send one request to one endpoint.
type Grant struct {
	// ID is unique at the owner that gave the grant; 0 if the instance chose the endpoint
	// without its owner.
	ID uint64
	// Owner is the instance that gave the grant.
	Owner    string
	Endpoint string
	Address  string
	// Incarnation is that of the endpoint when the grant was given; 0 if not known.
	Incarnation uint64
	// CachedTokens is the number of prompt tokens expected to be cached at the endpoint.
	CachedTokens int64
	// Alone is set if the request is suspected of crashing endpoints and runs there by
	// itself.
	Alone bool
	// Long is set if the prompt takes long to compute. The engine should schedule it after
	// others of its class.
	Long bool

	// placement is the state that Done needs.
	placement *placement
}

// End is the outcome of a granted request.
type End int

const (
	// EndUnused means that the request was not sent.
	EndUnused End = iota
	// EndDone means that the response was received completely.
	EndDone
	// EndFailed means that the request was aborted for a reason unrelated to the endpoint's
	// health.
	EndFailed
	// EndCrashed means that the endpoint died while it ran the request.
	EndCrashed
)

// Result is the result of a granted request.
type Result struct {
	End          End
	Incarnation  uint64
	CachedTokens int64
	PromptTokens int64
	OutputTokens int64
}

// Placer grants requests access to endpoints. All methods are safe for concurrent use.
type Placer interface {
	// Place blocks until the request may be sent, at most for its class's maximum wait. On
	// an error nothing was sent. The error is fault.Overloaded if the request cannot start
	// before its deadline, or LimitExceeded, Suspect or Unavailable.
	Place(ctx context.Context, r Request) (Grant, error)
	// FirstToken reports that the response began, with the time from the send to its first
	// token. It does not block.
	FirstToken(g Grant, cachedTokens int64, after time.Duration)
	// Done releases the grant. It must be called once for each grant. It does not block,
	// except for EndCrashed if the caller may send the request again through another
	// instance next: then the other instances are notified first, which takes at most 100
	// ms.
	Done(g Grant, res Result)
}

// Order sorts endpoints by rendezvous hashing. All instances compute the same order from
// the list alone, and a change of the list moves only the keys of the endpoints concerned.
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
