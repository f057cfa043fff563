// Package claim records in the object API which idempotency keys of non-idempotent requests are
// claimed, and the outcome of those requests.
//
// A request is sent only by the attempt that the claim on its key names. A claim is never
// transferred to another attempt: a holder that is paused or presumed dead may still send.
// Therefore only the holder itself can release its claim, and only if the request has certainly
// not run.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/schema/claimspb"
)

// Kind is the object kind of the shards in the object API.
const Kind = "claims"

// Shards is the number of shard objects: one for each value of a hash's first byte. Each write
// carries a whole shard, so many small shards keep written bytes and conflicts low. The number
// must never change while claims are stored: programs that disagree about a key's shard could
// both claim it.
const Shards = 256

// Retention is how long a claim is kept after its request's own timeout. A caller that sends a
// key again later than that runs the request a second time.
const Retention = 10 * time.Minute

// MaxBodyBytes is the size of the largest answer body that is kept for resent requests.
const MaxBodyBytes = 4 << 10

const (
	// maxShardBytes bounds a shard below the object API's largest value, with room for its
	// encoding on the wire.
	maxShardBytes = 700 << 10
	// schemaVersion is the schema version of the shards that this program writes.
	schemaVersion = 1
)

// Hash is a SHA-256 sum truncated to 16 bytes. Organisations choose keys and bodies, so that the
// hash must be cryptographic: none may be able to cause a collision with another's.
type Hash [16]byte

// NewKey returns the hash under which an organisation's idempotency key is stored.
func NewKey(organisation, key string) Hash { return sum(organisation, key) }

// NewBody returns the hash of a request's method, path and body.
func NewBody(method, path string, body []byte) Hash { return sum(method, path, string(body)) }

func sum(parts ...string) Hash {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	return Hash(h.Sum(nil)[:len(Hash{})])
}

func (h Hash) shard() int { return int(h[0]) }

func shardName(n int) string { return fmt.Sprintf("shard-%02x", n) }

// Request identifies an attempt and the key that it claims.
type Request struct {
	Key, Body Hash
	// Attempt is an id that is unique among all attempts of all processes.
	Attempt string
	// Timeout bounds the request; the claim is kept for Retention after it.
	Timeout time.Duration
	// Seen is the Found.Seen of the attempt's lookup. A refusal that was stored after that
	// version prevents the attempt from taking the claim.
	Seen objectapi.Version
}

// Answer is a complete answer as it is stored.
type Answer struct {
	Status      int
	ContentType string
	// Body is stored if Kept is set and it has at most MaxBodyBytes.
	Body     []byte
	Kept     bool
	Endpoint string
}

// Found is the stored state of a key.
type Found struct {
	// Taken is set if another attempt holds the key.
	Taken bool
	// SameBody is set if that attempt's request had the same method, path and body.
	SameBody bool
	// Answer is that attempt's answer; nil while its outcome is unknown.
	Answer *Answer
	// Refused is set if another attempt reported the request as not run after this attempt's
	// lookup: this attempt must not send it either.
	Refused bool
	// Seen is the version of the shard that a lookup read.
	Seen objectapi.Version
}

func found(c *claimspb.Claim, body Hash) Found {
	f := Found{Taken: true, SameBody: Hash(c.GetBody()) == body}
	if a := c.GetAnswer(); a != nil {
		f.Answer = &Answer{
			Status:      int(a.GetStatus()),
			ContentType: a.GetContentType(),
			Body:        a.GetBody(),
			Kept:        a.GetKept(),
			Endpoint:    a.GetEndpoint(),
		}
	}
	return f
}
