// Package route holds the records that determine by host and path how a request is handled: its
// service, its timeout, how often it may be sent, and which organisation its key belongs to. A
// Table is one version of all records and is immutable, so that requests read it without locks.
package route

import (
	"time"

	"github.com/sardinedock/sardinedock/quota"
)

// Kind determines whether a route's requests may be repeated.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once per attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events. They run at most once, unless the
	// route is resumable.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non-idempotent"
}

// Route is the record of one route.
type Route struct {
	Name string
	// Host and PathPrefix select the route. If several routes of a host match, the longest prefix
	// wins.
	Host, PathPrefix string
	Kind             Kind
	// Resumable streams may be continued on another endpoint after an event.
	Resumable bool
	// Timeout limits how long a caller waits.
	Timeout time.Duration
	// TargetLatency is the time to a complete response, or to a stream's first event, that callers
	// find satisfactory. TargetGap is the same for the time between two events.
	TargetLatency, TargetGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets are the services among which the route's requests are split by weight.
	Targets []Target
	// MaxAttempts limits the number of endpoints that may run one attempt of a caller.
	MaxAttempts int
	// Public routes require no key.
	Public bool
}

// Repeatable reports whether a request that has run, or may have run, may run again without a
// resumption.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Callers of a stream wait without an event for the maximum of minStreamIdle, idleTargets times the
// target latency and idleGaps times the target gap. The users stated these values.
const (
	minStreamIdle = 2 * time.Second
	idleTargets   = 4
	idleGaps      = 8
)

// StreamIdleTimeout returns how long callers of a stream wait for its first or next event before
// they cancel the request.
func (r *Route) StreamIdleTimeout() time.Duration {
	return max(minStreamIdle, idleTargets*r.TargetLatency, idleGaps*r.TargetGap)
}

// Target is a service and the weight with which it gets a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// MaxConnections limits the connections of all callers to one endpoint; 0 is no limit.
	MaxConnections int
	// Engine is set for pools of language-model endpoints.
	Engine *Engine
	// Store is set for KV cache stores. Routes do not target them.
	Store *CacheStore
}

// Engine describes the endpoints of a language-model pool.
type Engine struct {
	// CacheTokens is the KV cache memory for running requests and cached parts, in tokens.
	CacheTokens int64
	// Models are the models that the pool serves.
	Models []string
}

// CacheStore describes a KV cache store.
type CacheStore struct {
	Address    string
	DataCentre string
	// CacheTokens is the store's capacity in tokens.
	CacheTokens int64
}

// Organisation is a customer whose callers authenticate with one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
	// Isolated organisations share no cached prompt parts with other organisations.
	Isolated bool
	// Quota limits the requests of the organisation's callers; the zero value means no limit. If
	// QuotaError is set, the record's quota could not be read, and the one in force stays.
	Quota      quota.Limit
	QuotaError error
}

// Limits restrict the size of requests and the time that a caller may take to send them.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time to read a request's header, IdleTimeout the time between two
	// requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
