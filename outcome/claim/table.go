package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/claimspb"
)

// table is the decoded value of one shard. It uses no I/O and no clock.
type table struct {
	shard *claimspb.Shard
	byKey map[Hash]*claimspb.Claim
	size  int
}

// parseTable decodes a shard. A value that can't be decoded is an error and must not be
// overwritten: the keys in it could otherwise be claimed a second time.
func parseTable(value []byte) (*table, error) {
	t := &table{shard: &claimspb.Shard{SchemaVersion: schemaVersion}, byKey: map[Hash]*claimspb.Claim{}}
	if len(value) == 0 {
		return t, nil
	}
	if err := proto.Unmarshal(value, t.shard); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "look who else writes objects of kind claims", "decode a shard of claims")
	}
	if v := t.shard.GetSchemaVersion(); v != schemaVersion {
		return nil, fault.New(fault.Invalid, "run the version that wrote it", "shard of claims has schema version %d", v)
	}
	for _, c := range t.shard.GetClaims() {
		if len(c.GetKey()) != len(Hash{}) || len(c.GetBody()) != len(Hash{}) {
			return nil, fault.New(fault.Invalid, "look who else writes objects of kind claims", "a claim's hash has a wrong length")
		}
		t.byKey[Hash(c.GetKey())] = c
		t.size += entrySize(c)
	}
	return t, nil
}

// entrySize returns the number of bytes that a claim takes in the encoded shard.
func entrySize(c *claimspb.Claim) int {
	const fieldOverhead = 4
	return proto.Size(c) + fieldOverhead
}

func (t *table) encode() ([]byte, error) {
	value, err := proto.Marshal(t.shard)
	return value, fault.Wrap(err, fault.Internal, "report it", "encode a shard of claims")
}

// take adds a claim unless the key is taken or refused. ok is false if there is no room.
func (t *table) take(r Request, now time.Time) (f Found, added, ok bool) {
	c, exists := t.byKey[r.Key]
	switch {
	case exists && c.GetRefused():
		if uint64(r.Seen) <= c.GetRefusedAt() {
			return Found{Refused: true}, false, true
		}
		t.remove(func(x *claimspb.Claim) bool { return x == c })
	case exists && c.GetAttempt() == r.Attempt:
		return Found{}, false, true
	case exists:
		return found(c, r.Body), false, true
	}
	added = t.add(newClaim(r, now))
	return Found{}, added, added
}

func newClaim(r Request, now time.Time) *claimspb.Claim {
	return &claimspb.Claim{
		Key:         r.Key[:],
		Body:        r.Body[:],
		Attempt:     r.Attempt,
		ExpiresAtMs: now.Add(r.Timeout + Retention).UnixMilli(),
	}
}

// add adds a claim; it returns false if there is no room.
func (t *table) add(c *claimspb.Claim) bool {
	if !t.makeRoom(entrySize(c)) {
		return false
	}
	t.byKey[Hash(c.GetKey())] = c
	t.shard.Claims = append(t.shard.Claims, c)
	t.size += entrySize(c)
	return true
}

// refuse records, for the object's given version, that the attempt's request did not run, unless
// another attempt holds the key. ok is false if there is no room.
//
// It is needed when a key is sent twice at the same time: one attempt is refused for lack of a
// slot and "not-run" is reported to its caller, while the other still waits. If that one then
// ran, the report would be false. Instead it finds the refusal when it takes the key. An attempt
// that comes later has looked up a later version, and may run.
func (t *table) refuse(r Request, version uint64, now time.Time) (f Found, refused, ok bool) {
	c, exists := t.byKey[r.Key]
	if exists && !c.GetRefused() && c.GetAttempt() != r.Attempt {
		return found(c, r.Body), false, true
	}
	if exists && c.GetAnswer() != nil {
		return found(c, r.Body), false, true
	}
	if exists {
		t.remove(func(x *claimspb.Claim) bool { return x == c })
	}
	next := newClaim(r, now)
	next.Refused, next.RefusedAt = true, version
	refused = t.add(next)
	return Found{}, refused, refused
}

// makeRoom drops stored bodies, oldest first, but never a claim: a resent request then finds
// that its request is complete, without the body of the answer.
func (t *table) makeRoom(need int) bool {
	for _, c := range t.shard.GetClaims() {
		if t.size+need <= maxShardBytes {
			return true
		}
		if a := c.GetAnswer(); a.GetKept() {
			before := entrySize(c)
			a.Body, a.Kept = nil, false
			t.size += entrySize(c) - before
		}
	}
	return t.size+need <= maxShardBytes
}

// held returns the claim on a key if the attempt holds it and has no answer yet.
func (t *table) held(key Hash, attempt string) (*claimspb.Claim, bool) {
	c, ok := t.byKey[key]
	return c, ok && !c.GetRefused() && c.GetAttempt() == attempt && c.GetAnswer() == nil
}

// finish records an answer and reports whether that changed the table.
func (t *table) finish(key Hash, attempt string, a Answer) bool {
	c, ok := t.held(key, attempt)
	if !ok {
		return false
	}
	before := entrySize(c)
	c.Answer = &claimspb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Endpoint: a.Endpoint}
	if a.Kept && len(a.Body) <= MaxBodyBytes {
		c.Answer.Body, c.Answer.Kept = a.Body, true
	}
	t.size += entrySize(c) - before
	t.makeRoom(0)
	return true
}

// release removes the claim of an attempt that will never send, and reports whether that changed
// the table.
func (t *table) release(key Hash, attempt string) bool {
	if _, ok := t.held(key, attempt); !ok {
		return false
	}
	t.remove(func(c *claimspb.Claim) bool { return Hash(c.GetKey()) == key })
	return true
}

// expire removes expired claims. Their removal alone does not cause a write.
func (t *table) expire(now time.Time) {
	ms := now.UnixMilli()
	t.remove(func(c *claimspb.Claim) bool { return c.GetExpiresAtMs() <= ms })
}

func (t *table) remove(drop func(*claimspb.Claim) bool) {
	kept := t.shard.GetClaims()[:0]
	for _, c := range t.shard.GetClaims() {
		if drop(c) {
			t.size -= entrySize(c)
			delete(t.byKey, Hash(c.GetKey()))
			continue
		}
		kept = append(kept, c)
	}
	t.shard.Claims = kept
}
