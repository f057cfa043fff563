package owner

import (
	"time"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
)

// Mode is what an ask wants.
type Mode int

// The modes of an ask.
const (
	// Take wants a slot: now, or queued for it.
	Take Mode = iota
	// Probe wants offers and takes nothing.
	Probe
)

// Fingerprint names a request's content.
type Fingerprint [16]byte

// Ask describes one request without its prompt.
type Ask struct {
	// Caller is the instance that asks; with RequestID it names the ask. The
	// same ask sent twice gets the same grant.
	Caller    string
	RequestID string
	Mode      Mode
	// Patience bounds the time until the first token that Take accepts, of
	// waiting and of computing what is not cached; with a longer one the answer
	// is an offer, so that the caller can look at other endpoints. 0 means no
	// bound but the deadline.
	Patience     time.Duration
	Organisation string
	// Weight of the organisation; 0 counts as 1.
	Weight float64
	// Urgent requests use all slots and are served before the others.
	Urgent       bool
	Blocks       []prefix.Hash
	PromptTokens int64
	MaxTokens    int64
	// Deadline by which the request has to start.
	Deadline time.Time
	// Timeout bounds the whole request once granted; the grant ends with it.
	Timeout     time.Duration
	Fingerprint Fingerprint
	// Candidate is the endpoint's place in the prompt's order, 0 for the first.
	Candidate int
	// Alone asks for an endpoint on which nothing else runs.
	Alone bool
}

// Kind is what an ask came to.
type Kind int

// The kinds of decision.
const (
	// Granted: a slot was taken, the request may be sent.
	Granted Kind = iota + 1
	// Queued: the request waits here; a Granted or Refused follows.
	Queued
	// Offered: nothing was taken; Offers tells what there is.
	Offered
	// Refused: nothing was taken and nothing is queued.
	Refused
)

// Reason is why an ask was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonDeadline: it cannot start before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull: the endpoint's queue is at its bound.
	ReasonQueueFull Reason = "queue_full"
	// ReasonEndpoint: the endpoint takes no new work; ask for another.
	ReasonEndpoint Reason = "endpoint"
	// ReasonNotOwned: the endpoint is not in this book; ask its owner.
	ReasonNotOwned Reason = "not_owned"
)

// Decision answers an ask, at once or later.
type Decision struct {
	Kind      Kind
	Caller    string
	RequestID string
	// Offer is the grant, or the place that the request is queued for.
	Offer policy.Offer
	// Offers of the endpoints asked about, where Kind is Offered.
	Offers []policy.Offer
	// Levels are the numbers of the prompt's leading blocks at which this owner
	// has seen prompts part, where Kind is Granted.
	Levels []int
	Reason Reason
	// RetryAfter is when a refused request could start.
	RetryAfter time.Duration
}

// Stage is what a granted request came to.
type Stage int

// The stages.
const (
	// Unused: nothing was sent.
	Unused Stage = iota
	// Done: the answer came whole.
	Done
	// Failed: it broke off for a reason that says nothing of the endpoint.
	Failed
	// Crashed: the endpoint died while it ran the request.
	Crashed
)

// End is the report that gives a grant back.
type End struct {
	GrantID uint64
	Stage   Stage
	// Incarnation that answered; 0 if none did.
	Incarnation uint64
	// CachedTokens as the answer told them.
	CachedTokens int64
}

// LoadReport is what an endpoint said of its load, some time ago.
type LoadReport struct {
	Incarnation uint64
	MeasuredAt  time.Time
	Running     int
	Waiting     int
}

// CacheOp is what happened to cached blocks.
type CacheOp int

// The operations.
const (
	CacheStore CacheOp = iota
	CacheEvict
	CacheClear
)

// CacheEvent is one event of an endpoint's cache.
type CacheEvent struct {
	Seq         uint64
	Incarnation uint64
	Op          CacheOp
	Blocks      []prefix.Hash
}

// Config describes one endpoint, from its pool's record.
type Config struct {
	Name string
	// Slots is how many requests run at a time; UrgentSlots of them are kept
	// for urgent ones.
	Slots       int
	UrgentSlots int
	BlockTokens int64
	// CacheBlocks bounds what is known of the cache, MaxKnowledgeBytes too.
	CacheBlocks int64
	// PrefillTokensPerSecond is a first guess; the measured rate replaces it.
	PrefillTokensPerSecond float64
	// FirstGrantID starts the numbering of grants. A restarted owner must
	// choose a higher one than it ever used, such as its start time in
	// nanoseconds, or a late report would end another request's grant.
	FirstGrantID uint64
}
