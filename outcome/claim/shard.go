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
	// ringSize bounds what waits for one shard. A request that finds it full
	// is refused unsent.
	ringSize = 256
	// firstPause and maxPause bound the waits between calls of a store that
	// does not answer.
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	// freshFor is how long a value that was read is worth the risk of a
	// conflict, which costs a write more than a read would.
	freshFor = 100 * time.Millisecond
)

var (
	commits   = metrics.GetOrCreateCounter("sardinedock_claim_commits_total")
	committed = metrics.GetOrCreateCounter("sardinedock_claim_committed_entries_total")
	conflicts = metrics.GetOrCreateCounter("sardinedock_claim_conflicts_total")
	lost      = metrics.GetOrCreateCounter("sardinedock_claim_lost_replies_total")
	givenBack = metrics.GetOrCreateCounter("sardinedock_claims_given_back_total")
	refusals  = metrics.GetOrCreateCounter("sardinedock_claim_shard_full_total")
)

// shard is the duty that reads and writes one shard object. All that waits
// while a write is under way goes into the next one, so the calls of a busy
// shard are bounded by the store's own pace and not by the requests.
type shard struct {
	store objectapi.Store
	clock clock.Clock
	name  string
	ring  *ring.Ring[*op]

	pending []*op
	// value is what the object held at version and readAt, while known is set.
	known   bool
	readAt  time.Time
	version objectapi.Version
	value   []byte
	// doubtful is set after a write whose reply was lost, at doubtAt: it may
	// still take effect as long as the object stands at that version.
	doubtful bool
	doubtAt  objectapi.Version
}

// run serves the shard until ctx ends.
func (s *shard) run(ctx context.Context) {
	pause := firstPause
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
			pause = firstPause
			continue
		}
		_ = clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// receive blocks for something to do.
func (s *shard) receive(ctx context.Context) bool {
	select {
	case o := <-s.ring.C():
		s.add(o)
		return true
	case <-ctx.Done():
		return false
	}
}

// add takes in one operation. A look has to see what was written before it
// came; the others may start from an old value, which costs a conflict.
func (s *shard) add(o *op) {
	s.pending = append(s.pending, o)
	if o.kind == opLook || s.clock.Now().Sub(s.readAt) > freshFor {
		s.known = false
	}
}

// collect takes in what else has come.
func (s *shard) collect() {
	for len(s.pending) < ringSize {
		select {
		case o := <-s.ring.C():
			s.add(o)
		default:
			return
		}
	}
}

// dropAbandoned leaves out what nobody waits for any more. A claim that may
// have taken effect, or may still, is given back instead: its attempt never
// sends, and a resend should not read that it may have run.
func (s *shard) dropAbandoned() {
	kept := s.pending[:0]
	for _, o := range s.pending {
		switch {
		case !o.gaveUp():
			kept = append(kept, o)
		case o.kind == opTake && s.doubtful:
			o.resolve(Found{}, fault.New(fault.Unavailable, "ask again later", "no claim could be made in time"))
			kept = append(kept, giveBack(o))
		}
	}
	s.pending = kept
}

func giveBack(o *op) *op {
	givenBack.Inc()
	return &op{kind: opRelease, request: o.request}
}

// commit reads the shard if it has to, applies what is pending and writes it.
// What it could not settle stays pending.
func (s *shard) commit(ctx context.Context) error {
	old := s.known
	if err := s.read(ctx); err != nil {
		return err
	}
	t, err := parseTable(s.value)
	if err != nil {
		s.failAll(err)
		return err
	}
	t.expire(s.clock.Now())
	changed, done := s.apply(t)
	if old && anyTaken(done) {
		// The holder may have ended, or given its claim back, since the read.
		s.known = false
		return s.commit(ctx)
	}
	if !changed && !(s.doubtful && s.version == s.doubtAt) {
		s.resolveAll(done)
		return nil
	}
	return s.write(ctx, t, done)
}

// result is what an operation comes to once the write has taken effect.
type result struct {
	found Found
	err   error
}

func anyTaken(results []result) bool {
	for _, r := range results {
		if r.found.Taken || r.found.Refused {
			return true
		}
	}
	return false
}

// apply puts the pending operations into the table, in the order of their
// coming. Ends of earlier attempts count before later looks.
func (s *shard) apply(t *table) (changed bool, results []result) {
	now := s.clock.Now()
	for _, o := range s.pending {
		var r result
		switch o.kind {
		case opLook:
			if c, ok := t.byKey[o.request.Key]; ok && !c.GetRefused() {
				r.found = found(c, o.request.Body)
			}
			r.found.Seen = s.version
		case opTake:
			var added, ok bool
			r.found, added, ok = t.take(o.request, now)
			if !ok {
				refusals.Inc()
				r.err = errFull(s.name)
			}
			changed = changed || added
		case opFinish:
			changed = t.finish(o.request.Key, o.request.Attempt, o.answer) || changed
		case opRefuse:
			var refused, ok bool
			r.found, refused, ok = t.refuse(o.request, uint64(s.version), now)
			if !ok {
				r.err = errFull(s.name)
			}
			changed = changed || refused
		case opRelease:
			changed = t.release(o.request.Key, o.request.Attempt) || changed
		}
		results = append(results, r)
	}
	return changed, results
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
		// A read can't take back what this process has seen.
		return fault.New(fault.Unavailable, "check the object API", "shard %s went back to version %d from %d", s.name, obj.Version, s.version)
	}
	s.known, s.readAt = true, s.clock.Now()
	s.version, s.value = obj.Version, obj.Value
	if s.doubtful && s.version != s.doubtAt {
		s.doubtful = false
	}
	return nil
}

// write makes the table the object's value under the condition that nobody
// else wrote since the read.
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
		s.version, s.value, s.doubtful = version, value, false
		s.readAt = s.clock.Now()
		s.resolveAll(results)
		return nil
	case fault.Is(err, fault.Conflict):
		conflicts.Inc()
	case fault.Is(err, fault.Unknown):
		// The next read settles it: a claim that took effect shows its attempt.
		lost.Inc()
		s.doubtful, s.doubtAt = true, s.version
	}
	s.known = false
	return err
}

// resolveAll tells the results. A claim whose asker gave up while the write
// was under way is given back.
func (s *shard) resolveAll(results []result) {
	ops := s.pending
	s.pending = nil
	for i, o := range ops {
		r := results[i]
		if !o.resolve(r.found, r.err) && o.kind == opTake && !r.found.Taken && r.err == nil {
			s.pending = append(s.pending, giveBack(o))
		}
	}
}

// failAll refuses all that waits for a shard that can't be read or written.
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
