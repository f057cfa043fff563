package claim

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/ring"
)

const (
	// queueSize bounds the queue of one shard. A request that finds it full is refused without
	// being sent.
	queueSize = 256
	// initialBackoff and maxBackoff bound the waits between calls of a store that does not
	// respond.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// maxValueAge is how long a value that was read is reused for writing. A conflict, which
	// costs one write more than reading again, becomes more likely as the value ages.
	maxValueAge = 100 * time.Millisecond
)

var (
	commits     = metrics.GetOrCreateCounter("sardinedock_claim_commits_total")
	committed   = metrics.GetOrCreateCounter("sardinedock_claim_committed_entries_total")
	conflicts   = metrics.GetOrCreateCounter("sardinedock_claim_conflicts_total")
	lostReplies = metrics.GetOrCreateCounter("sardinedock_claim_lost_replies_total")
	released    = metrics.GetOrCreateCounter("sardinedock_claims_given_back_total")
	shardFull   = metrics.GetOrCreateCounter("sardinedock_claim_shard_full_total")
)

// shard reads and writes one shard object. All operations that arrive while a write is in
// progress share the next one, so that the call rate of a busy shard is bounded by the store's
// latency and not by the request rate.
type shard struct {
	store objectapi.Store
	clock clock.Clock
	name  string
	ring  *ring.Ring[*op]

	pending []*op
	// value is the content of the object at version, as of readAt; valid while known is set.
	known   bool
	readAt  time.Time
	version objectapi.Version
	value   []byte
	// uncertain is set after a write whose reply was lost, on version uncertainAt: it may still
	// take effect as long as the object is at that version.
	uncertain   bool
	uncertainAt objectapi.Version
}

// run processes the shard's operations until ctx is done.
func (s *shard) run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if len(s.pending) == 0 && !s.receive(ctx) {
			return
		}
		s.collect()
		s.dropAbandoned()
		if len(s.pending) == 0 {
			continue
		}
		err := s.commit(ctx)
		if err == nil || fault.Is(err, fault.Conflict) {
			backoff = initialBackoff
			continue
		}
		_ = clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// receive blocks until an operation arrives; it returns false if ctx is done.
func (s *shard) receive(ctx context.Context) bool {
	select {
	case o := <-s.ring.C():
		s.add(o)
		return true
	case <-ctx.Done():
		return false
	}
}

// add adds an operation to the pending ones. A lookup has to see everything written before it
// was requested; the other operations may start from an old value, at the risk of a conflict.
func (s *shard) add(o *op) {
	s.pending = append(s.pending, o)
	if o.kind == opLookup || s.clock.Now().Sub(s.readAt) > maxValueAge {
		s.known = false
	}
}

// collect adds all further queued operations, up to queueSize.
func (s *shard) collect() {
	for len(s.pending) < queueSize {
		select {
		case o := <-s.ring.C():
			s.add(o)
		default:
			return
		}
	}
}

// dropAbandoned removes operations whose caller has stopped waiting. A claim that may have taken
// effect, or still may, is released instead: its attempt never sends, and a resent request should
// not find that it may have run.
func (s *shard) dropAbandoned() {
	kept := s.pending[:0]
	for _, o := range s.pending {
		switch {
		case !o.abandoned():
			kept = append(kept, o)
		case o.kind == opTake && s.uncertain:
			o.resolve(Found{}, fault.New(fault.Unavailable, "ask again later", "no claim could be made in time"))
			kept = append(kept, releaseOp(o))
		}
	}
	s.pending = kept
}

func releaseOp(o *op) *op {
	released.Inc()
	return &op{kind: opRelease, request: o.request}
}

// commit reads the shard if necessary, applies the pending operations and writes the result.
// Operations that could not be completed remain pending.
func (s *shard) commit(ctx context.Context) error {
	cached := s.known
	if err := s.read(ctx); err != nil {
		return err
	}
	t, err := parseTable(s.value)
	if err != nil {
		s.failAll(err)
		return err
	}
	t.expire(s.clock.Now())
	modified, done := s.apply(t)
	if cached && anyTakenOrRefused(done) {
		// The holder may have ended, or released its claim, since the read.
		s.known = false
		return s.commit(ctx)
	}
	if !modified && !(s.uncertain && s.version == s.uncertainAt) {
		s.resolveAll(done)
		return nil
	}
	return s.write(ctx, t, done)
}

// result is the result of an operation once the write has taken effect.
type result struct {
	found Found
	err   error
}

func anyTakenOrRefused(results []result) bool {
	for _, r := range results {
		if r.found.Taken || r.found.Refused {
			return true
		}
	}
	return false
}

// apply applies the pending operations to the table in order of arrival. Lookups see the
// operations of earlier attempts that precede them.
func (s *shard) apply(t *table) (modified bool, results []result) {
	now := s.clock.Now()
	for _, o := range s.pending {
		var r result
		switch o.kind {
		case opLookup:
			if c, ok := t.byKey[o.request.Key]; ok && !c.GetRefused() {
				r.found = found(c, o.request.Body)
			}
			r.found.Seen = s.version
		case opTake:
			var added, ok bool
			r.found, added, ok = t.take(o.request, now)
			if !ok {
				shardFull.Inc()
				r.err = errFull(s.name)
			}
			modified = modified || added
		case opFinish:
			modified = t.finish(o.request.Key, o.request.Attempt, o.answer) || modified
		case opRefuse:
			var refused, ok bool
			r.found, refused, ok = t.refuse(o.request, uint64(s.version), now)
			if !ok {
				r.err = errFull(s.name)
			}
			modified = modified || refused
		case opRelease:
			modified = t.release(o.request.Key, o.request.Attempt) || modified
		}
		results = append(results, r)
	}
	return modified, results
}

func errFull(shard string) error {
	return fault.New(fault.Overloaded, "ask again later; too many claims are kept", "shard %s is full", shard)
}

func (s *shard) read(ctx context.Context) error {
	if s.known {
		return nil
	}
	obj, err := s.store.Get(ctx, Kind, s.name)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	if obj.Version < s.version {
		// A read must not return an older version than this process has already seen.
		return fault.New(fault.Unavailable, "check the object API", "shard %s went back to version %d from %d", s.name, obj.Version, s.version)
	}
	s.known, s.readAt = true, s.clock.Now()
	s.version, s.value = obj.Version, obj.Value
	if s.uncertain && s.version != s.uncertainAt {
		s.uncertain = false
	}
	return nil
}

// write replaces the object's value with the table, on the condition that no one else has
// written it since the read.
func (s *shard) write(ctx context.Context, t *table, results []result) error {
	value, err := t.encode()
	if err != nil {
		s.failAll(err)
		return err
	}
	commits.Inc()
	committed.Add(len(s.pending))
	obj := objectapi.Object{Kind: Kind, Name: s.name, Attempt: objectapi.NewAttempt(), Value: value}
	version, err := s.store.Put(ctx, obj, s.version)
	switch {
	case err == nil:
		s.version, s.value, s.uncertain = version, value, false
		s.readAt = s.clock.Now()
		s.resolveAll(results)
		return nil
	case fault.Is(err, fault.Conflict):
		conflicts.Inc()
	case fault.Is(err, fault.Unknown):
		// The next read resolves this: a claim that took effect shows its attempt.
		lostReplies.Inc()
		s.uncertain, s.uncertainAt = true, s.version
	}
	s.known = false
	return err
}

// resolveAll sends the results to the callers. A claim whose caller stopped waiting while the
// write was in progress is released.
func (s *shard) resolveAll(results []result) {
	ops := s.pending
	s.pending = nil
	for i, o := range ops {
		r := results[i]
		if !o.resolve(r.found, r.err) && o.kind == opTake && !r.found.Taken && r.err == nil {
			s.pending = append(s.pending, releaseOp(o))
		}
	}
}

// failAll fails the operations with waiting callers if the shard can't be decoded or encoded.
func (s *shard) failAll(err error) {
	s.known = false
	kept := s.pending[:0]
	for _, o := range s.pending {
		if o.reply == nil {
			kept = append(kept, o)
			continue
		}
		o.resolve(Found{}, fault.Wrap(err, fault.Unavailable, fault.Remedy(err), "claims can't be read"))
	}
	s.pending = kept
}
