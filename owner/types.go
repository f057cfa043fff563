package owner

import (
	"time"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
)

// Mode is the kind of answer that an ask requests.
type Mode int

// The modes of an ask.
const (
	// Take requests a slot, granted now or queued for.
	Take Mode = iota
	// Probe requests offers and reserves nothing.
	Probe
)

// Fingerprint identifies a request's content.
type Fingerprint [16]byte

// Ask is an instance's query about one request. It carries block hashes instead of the
// prompt.
type Ask struct {
	// Caller is the instance that sent the ask. Caller and RequestID identify the ask:
	// sending the same ask twice returns the same grant.
	Caller    string
	RequestID string
	Mode      Mode
	// Patience is the longest time to first token that Take accepts, counting both queueing
	// and the prefill of uncached tokens. If the estimate is longer, the answer is an
	// offer, so that the caller can compare other endpoints. 0 means that only Deadline
	// applies.
	Patience     time.Duration
	Organisation string
	// Weight is the organisation's fair-queueing weight; 0 counts as 1.
	Weight float64
	// Urgent requests may use all slots and are served before the others.
	Urgent       bool
	Blocks       []prefix.Hash
	PromptTokens int64
	MaxTokens    int64
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// Timeout is the longest time that the request may run once granted. The grant expires
	// shortly after it.
	Timeout     time.Duration
	Fingerprint Fingerprint
	// Candidate is the endpoint's position in the prompt's order of candidates, 0 for the
	// first.
	Candidate int
	// Alone requests an endpoint on which nothing else runs.
	Alone bool
}

// Kind is the type of a Decision.
type Kind int

const (
	// Granted means that a slot was taken and the request may be sent.
	Granted Kind = iota + 1
	// Queued means that the request waits for a slot; a Granted or Refused decision
	// follows.
	Queued
	// Offered means that nothing was reserved; Offers lists what the endpoints could give.
	Offered
	// Refused means that nothing was reserved and nothing is queued.
	Refused
)

// Reason is why an ask was refused.
type Reason string

const (
	// ReasonDeadline means that the request cannot start before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that the endpoint's queue is at its limit.
	ReasonQueueFull Reason = "queue_full"
	// ReasonEndpoint means that the endpoint accepts no new work; try another one.
	ReasonEndpoint Reason = "endpoint"
	// ReasonNotOwned means that this instance does not own the endpoint; ask its owner.
	ReasonNotOwned Reason = "not_owned"
)

// Decision is the answer to an ask, returned at once or later.
type Decision struct {
	Kind      Kind
	Caller    string
	RequestID string
	// Offer is the grant, or for Queued the endpoint and the expected wait.
	Offer policy.Offer
	// Offers are those of the endpoints named in the ask, set if Kind is Offered.
	Offers []policy.Offer
	// Levels are the prefix lengths, in blocks, at which this owner has seen prompts that
	// share the prefix diverge. They are set if Kind is Granted.
	Levels []int
	Reason Reason
	// RetryAfter is the time after which a refused request could start.
	RetryAfter time.Duration
}

// Outcome is the outcome of a granted request.
type Outcome int

const (
	// Unused means that the request was not sent.
	Unused Outcome = iota
	// Done means that the response was received completely.
	Done
	// Failed means that the request was aborted for a reason unrelated to the endpoint's
	// health.
	Failed
	// Crashed means that the endpoint died while it ran the request.
	Crashed
)

// End reports the outcome of a granted request and releases its grant.
type End struct {
	GrantID uint64
	Outcome Outcome
	// Incarnation is the one that responded; 0 if none did.
	Incarnation uint64
	// CachedTokens is the number of cached prompt tokens that the response reported.
	CachedTokens int64
}

// LoadReport is an endpoint's own measurement of its load, taken at MeasuredAt.
type LoadReport struct {
	Incarnation uint64
	MeasuredAt  time.Time
	Running     int
	Waiting     int
}

// CacheOp is the type of a CacheEvent.
type CacheOp int

const (
	CacheStore CacheOp = iota
	CacheEvict
	CacheClear
)

// CacheEvent is one change of an endpoint's KV cache.
type CacheEvent struct {
	Seq         uint64
	Incarnation uint64
	Op          CacheOp
	Blocks      []prefix.Hash
}

// Config is the configuration of one endpoint, derived from its pool's record.
type Config struct {
	Name string
	// Slots is how many requests run at a time; UrgentSlots of them are reserved for urgent
	// ones.
	Slots       int
	UrgentSlots int
	BlockTokens int64
	// CacheBlocks is the endpoint's cache size in blocks. The cache model holds at most
	// that many, and at most MaxCacheModelBytes.
	CacheBlocks int64
	// PrefillTokensPerSecond is the initial estimate of the prefill rate; the measured rate
	// replaces it.
	PrefillTokensPerSecond float64
	// FirstGrantID is the number before the first grant's ID. After a restart the owner
	// must choose a higher one than it ever used, such as its start time in nanoseconds;
	// otherwise a late report about an old grant would end another request's grant.
	FirstGrantID uint64
}
