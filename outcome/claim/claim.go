// Package claim keeps, in the object API, which idempotency keys of not
// idempotent requests are taken and what became of the requests.
//
// A request is sent only by the attempt that the claim of its key names. A
// claim is never given to another attempt: a holder that is paused or thought
// dead may still send, so only the holder itself can give its claim back, and
// only as long as it has sent nothing.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/schema/claimspb"
)

// Kind is the object API's kind of the shards.
const Kind = "claims"

// Shards is the number of shard objects: one for each value of a hash's first
// byte. Each write carries a whole shard, so many small ones keep the bytes and
// the conflicts low. It must never change while claims are kept: programs that
// disagree about a key's shard would both claim it.
const Shards = 256

// Retention is how long a claim is kept after its request's own timeout. A
// caller that sends a key again later than that asks for a new run.
const Retention = 10 * time.Minute

// MaxBodyBytes is the largest answer that is kept for resends.
const MaxBodyBytes = 4 << 10

const (
	// maxShardBytes bounds a shard below the object API's largest value, with
	// room for its encoding on the wire.
	maxShardBytes = 700 << 10
	// schemaVersion of the shards that this program writes.
	schemaVersion = 1
)

// Hash is a SHA-256 sum cut to 16 bytes. Organisations choose keys and bodies,
// so the hash must not let one of them meet another's on purpose.
type Hash [16]byte

// NewKey returns the hash that an organisation's idempotency key is kept
// under.
func NewKey(organisation, key string) Hash { return sum(organisation, key) }

// NewBody returns the hash of what a request asks for.
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

// Request is what an attempt claims.
type Request struct {
	Key, Body Hash
	// Attempt is an id that no other attempt has, of this process or another.
	Attempt string
	// Timeout bounds the request; the claim outlives it by Retention.
	Timeout time.Duration
	// Seen is Found.Seen of the attempt's look. A refusal that was put on
	// record after it binds the attempt.
	Seen objectapi.Version
}

// Answer is a whole answer as it is kept.
type Answer struct {
	Status      int
	ContentType string
	// Body is kept if it is small and Kept is set.
	Body     []byte
	Kept     bool
	Endpoint string
}

// Found is what the record says of a key.
type Found struct {
	// Taken is set if another attempt holds the key.
	Taken bool
	// SameBody is set if that attempt asked for the same.
	SameBody bool
	// Answer is what became of it; nil while nobody knows.
	Answer *Answer
	// Refused is set if another attempt was told, after this one's look, that
	// the request did not run: this one must not run it either.
	Refused bool
	// Seen is the version of the record that a look saw.
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
