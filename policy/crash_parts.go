package policy

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

const (
	// partMoments and partContents are from how many moments at which endpoints crashed, and how many
	// different requests in flight there, a part counts as the cause. provenMoments replaces partMoments for
	// a part that requests had completed with until then.
	partMoments   = 3
	partContents  = 2
	provenMoments = 5
	// sameMoment is how close crashes are that have one cause, such as the loss of a rack.
	sameMoment = 50 * time.Millisecond
	// justCompleted is how long after a request with a part has completed nothing is held against the part.
	// At that rate, parts that most requests share are never suspected.
	justCompleted = time.Second
	// provenFor is how long after such a completion a part counts as proven.
	provenFor = 10 * time.Second
	// provenRetrialDelay replaces retrialDelay for parts that were proven.
	provenRetrialDelay = 10 * time.Second
	// maxCompletions bounds the parts of each half of provenFor whose completions are remembered.
	maxCompletions = 8192
)

// CrashSubject is what a request is recognised by when endpoints crash.
type CrashSubject struct {
	// Content is the fingerprint of the whole request.
	Content [16]byte
	// Parts are those of the parts of its prompt that other requests may share.
	Parts [][16]byte
	// Caller identifies the organisation that sends it.
	Caller uint64
}

// CrashAssessment is the decision on a request.
type CrashAssessment struct {
	Verdict CrashVerdict
	// Left is for how long the verdict applies.
	Left time.Duration
	// Cause is the fingerprint, of the request or of a part, that has the worst verdict.
	Cause [16]byte
	// Suspects are the parts that are suspected. Only one request with any of them may run at a time.
	Suspects [][16]byte
}

// crashParts is the part of a CrashGuard that concerns parts of prompts.
type crashParts struct {
	// convicted are the parts that count as the cause of crashes, and explained the endpoints that
	// crashed for it. Both are computed when needed, if stale is set.
	convicted map[[16]byte]*conviction
	explained map[string]bool
	// byRequests are the endpoints at whose crashes a request was in flight that is refused for itself.
	byRequests map[string]bool
	stale      bool
	// repeated are the records with several crashes, the only ones that can convict or explain. After the loss
	// of many endpoints there are thousands of records, nearly all with one crash, and each decision would
	// take as long as it takes to go through them.
	repeated map[[16]byte]*crashRecord
	// completed and completedBefore hold when a request with a part was last completed, in the current
	// period of half provenFor, which began at period, and in the one before.
	completed, completedBefore map[[16]byte]time.Time
	period                     time.Time
	stagger                    uint64
}

// conviction is a set of parts that can't be distinguished: each was in flight at the same crashes. Mostly it is
// a single one.
type conviction struct {
	parts [][16]byte
	// callers are the organisations whose requests were interrupted by these crashes.
	callers map[uint64]bool
	// retrialAt is when one more request with the parts may run.
	retrialAt time.Time
}

func newCrashParts() crashParts {
	return crashParts{repeated: map[[16]byte]*crashRecord{}, completed: map[[16]byte]time.Time{}, completedBefore: map[[16]byte]time.Time{}}
}

// indexRepeated updates repeated after a change of a record.
func (g *CrashGuard) indexRepeated(fingerprint [16]byte, r *crashRecord) {
	if len(r.crashes) > 1 {
		g.parts.repeated[fingerprint] = r
		g.parts.stale = true
	}
}

// Stagger has convicted parts tried again at a different time for each seed, so that of several instances
// one finds out for all.
func (g *CrashGuard) Stagger(seed uint64) { g.parts.stagger = seed }

// PartCrashed records that a request with a part was in flight, and not known to be past the beginning of its
// answer, when an endpoint crashed. It reports whether that is held against the part: not while requests with
// it complete.
//
// It protects a service from requests that have a part in common which crashes every endpoint, and differ in
// all else. A crash makes each part of what was in flight a suspect until a request with it completes, which
// for most parts takes milliseconds. While it is one, a single request with it runs at a time in the
// fleet. A part that was in flight at the crashes of several moments, with no completion since, is convicted, and
// requests with it are refused. Of several parts, the one that was in flight at most crashes is convicted first,
// and the crashes that it explains do not count against any other part or request.
//
// An organisation may name the parts of others beside its own crashing one. A part is therefore held against the
// organisations only whose requests were in flight at its crashes, until these are two.
func (g *CrashGuard) PartCrashed(now time.Time, part [16]byte, c Crash) bool {
	if now.Sub(g.lastCompleted(now, part)) < justCompleted {
		return false
	}
	r := g.record(now, part)
	r.part = true
	// A later crash inherits it, since the first one may be withdrawn.
	c.Proven = r.proven() || g.provenAt(now, part, now)
	g.recordCrash(now, part, r, c)
	return true
}

// provenAt reports whether a request with a part is known here to have completed within provenFor before an
// endpoint crashed, or since.
func (g *CrashGuard) provenAt(now time.Time, part [16]byte, crashed time.Time) bool {
	return crashed.Sub(g.lastCompleted(now, part)) < provenFor
}

// PartCompleted records that a request with a part has completed: its whole answer was received. It reports
// whether that clears the part of a crash.
func (g *CrashGuard) PartCompleted(now time.Time, part [16]byte) bool {
	g.rotate(now)
	if _, known := g.parts.completed[part]; known || len(g.parts.completed) < maxCompletions {
		g.parts.completed[part] = now
	}
	return len(g.records) > 0 && g.Completed(now, part)
}

// rotate begins another period of the memory of completions if it is time.
func (g *CrashGuard) rotate(now time.Time) {
	const half = provenFor / 2
	since := now.Sub(g.parts.period)
	if since < half {
		return
	}
	g.parts.completedBefore = g.parts.completed
	if since >= provenFor {
		g.parts.completedBefore = map[[16]byte]time.Time{}
	}
	g.parts.completed, g.parts.period = map[[16]byte]time.Time{}, now
}

// lastCompleted returns when a request with a part was last completed here; zero if that is not remembered.
func (g *CrashGuard) lastCompleted(now time.Time, part [16]byte) time.Time {
	g.rotate(now)
	if at, ok := g.parts.completed[part]; ok {
		return at
	}
	return g.parts.completedBefore[part]
}

// Assess returns the decision on a request: the worst of those on its content and on its parts.
func (g *CrashGuard) Assess(now time.Time, s CrashSubject) CrashAssessment {
	a := CrashAssessment{Cause: s.Content}
	a.Verdict, a.Left = g.Verdict(now, s.Content)
	for _, part := range s.Parts {
		r, ok := g.records[part]
		if !ok || !r.part || now.After(r.expires) {
			continue
		}
		c := g.conviction(now, part)
		if !g.concerns(now, r, s.Caller, c) {
			continue
		}
		verdict, left := g.partVerdict(now, r, c)
		if c != nil && !c.coveredBy(s.Parts) {
			// One of several parts that can't be distinguished. Its trial decides.
			verdict = CrashConfined
		}
		if verdict != CrashClean {
			a.Suspects = append(a.Suspects, part)
		}
		if verdict > a.Verdict {
			a.Verdict, a.Left, a.Cause = verdict, left, part
		}
	}
	return a
}

// coveredBy reports whether a request with the given parts has all of the conviction.
func (c *conviction) coveredBy(parts [][16]byte) bool {
	return !slices.ContainsFunc(c.parts, func(p [16]byte) bool { return !slices.Contains(parts, p) })
}

// concerns reports whether the crashes of a part are held against an organisation's requests.
func (g *CrashGuard) concerns(now time.Time, r *crashRecord, caller uint64, c *conviction) bool {
	if c != nil {
		return c.callers[caller] || len(c.callers) > 1
	}
	callers := g.evidence(now, r).callers
	return callers[caller] || len(callers) > 1
}

// partEvidence sums up the crashes that are held against a part.
type partEvidence struct {
	// moments are when endpoints crashed, in order; those of the same moment count once.
	moments   []time.Time
	endpoints []string
	contents  map[uint64]bool
	callers   map[uint64]bool
}

// evidence returns the crashes that are held against a part: those that are not cleared, of endpoints that are
// not explained. Against a proven part, those are not held either at which a request was in flight that is refused
// for itself: several such requests may have a popular part in common.
func (g *CrashGuard) evidence(now time.Time, r *crashRecord) partEvidence {
	g.attribute(now)
	return g.unexplained(r)
}

// unexplained is evidence while the explained endpoints are being found.
func (g *CrashGuard) unexplained(r *crashRecord) partEvidence {
	e := partEvidence{contents: map[uint64]bool{}, callers: map[uint64]bool{}}
	crashed := map[string]time.Time{}
	for _, c := range r.crashes {
		if c.Cleared || g.parts.explained[c.Endpoint] || r.proven() && g.parts.byRequests[c.Endpoint] {
			continue
		}
		e.contents[c.Content], e.callers[c.Caller] = true, true
		if at, ok := crashed[c.Endpoint]; !ok || c.At.Before(at) {
			crashed[c.Endpoint] = c.At
		}
	}
	e.endpoints = slices.Sorted(maps.Keys(crashed))
	for _, at := range slices.SortedFunc(maps.Values(crashed), time.Time.Compare) {
		if n := len(e.moments); n == 0 || at.Sub(e.moments[n-1]) >= sameMoment {
			e.moments = append(e.moments, at)
		}
	}
	return e
}

// convicts reports whether the evidence is enough to take the part for the cause.
func (r *crashRecord) convicts(e partEvidence) bool {
	need := partMoments
	if r.proven() {
		need = provenMoments
	}
	return len(e.moments) >= need && len(e.contents) >= partContents
}

// partVerdict returns how to treat requests with a part, given its conviction or nil.
func (g *CrashGuard) partVerdict(now time.Time, r *crashRecord, c *conviction) (CrashVerdict, time.Duration) {
	left := r.expires.Sub(now)
	if c != nil {
		if wait := c.retrialAt.Sub(now); wait > 0 {
			return CrashRefused, min(wait, left)
		}
		return CrashConfined, left
	}
	switch n := len(g.evidence(now, r).moments); {
	case n == 0, r.proven() && n < partMoments:
		return CrashClean, 0
	case n == 1:
		return CrashSuspect, left
	}
	return CrashConfined, left
}

// conviction returns the conviction of a part, or nil.
func (g *CrashGuard) conviction(now time.Time, part [16]byte) *conviction {
	g.attribute(now)
	return g.parts.convicted[part]
}

// explained returns the endpoints that crashed for a convicted part.
func (g *CrashGuard) explained(now time.Time) map[string]bool {
	g.attribute(now)
	return g.parts.explained
}

// explain adds the endpoints at whose crashes a request was in flight, if it is refused for them.
func (r *crashRecord) explain(endpoints map[string]bool) {
	if crashes, trials := r.counts(nil); crashes < 2 || trials == 0 {
		return
	}
	for _, c := range r.crashes {
		if !c.Cleared {
			endpoints[c.Endpoint] = true
		}
	}
}

// attribute finds the parts that explain the crashes. It picks the one with most crashes, leaves out the crashes
// that it explains, and goes on with the rest.
func (g *CrashGuard) attribute(now time.Time) {
	if !g.parts.stale {
		return
	}
	g.parts.stale = false
	g.parts.convicted, g.parts.explained, g.parts.byRequests = map[[16]byte]*conviction{}, map[string]bool{}, map[string]bool{}
	for _, r := range g.parts.repeated {
		if !r.part && !now.After(r.expires) {
			r.explain(g.parts.byRequests)
		}
	}
	open := map[[16]byte]*crashRecord{}
	for key, r := range g.parts.repeated {
		if r.part && len(r.crashes) >= partMoments && !now.After(r.expires) && r.convicts(g.unexplained(r)) {
			open[key] = r
		}
	}
	for len(open) > 0 {
		var worst [16]byte
		var most partEvidence
		for key, r := range open {
			e := g.unexplained(r)
			if !r.convicts(e) {
				delete(open, key)
				continue
			}
			by := cmp.Compare(len(e.endpoints), len(most.endpoints))
			if by > 0 || by == 0 && slices.Compare(key[:], worst[:]) < 0 {
				worst, most = key, e
			}
		}
		if most.endpoints == nil {
			return
		}
		g.convict(now, worst, most, open)
	}
}

// convict convicts a part and those of open with the same crashes, and removes them from open.
func (g *CrashGuard) convict(now time.Time, part [16]byte, e partEvidence, open map[[16]byte]*crashRecord) {
	c := &conviction{callers: e.callers}
	for key, r := range open {
		other := g.unexplained(r)
		if key == part || slices.Equal(other.endpoints, e.endpoints) {
			c.parts = append(c.parts, key)
			maps.Copy(c.callers, other.callers)
		}
	}
	c.retrialAt = g.retrialAt(part, open[part].proven(), e.moments)
	for _, key := range c.parts {
		g.parts.convicted[key] = c
		delete(open, key)
	}
	for _, endpoint := range e.endpoints {
		g.parts.explained[endpoint] = true
	}
}

// retrialAt returns when a convicted part is tried again: after a delay that doubles with each crash in a
// retrial, plus up to as much again.
func (g *CrashGuard) retrialAt(part [16]byte, proven bool, moments []time.Time) time.Time {
	delay := retrialDelay
	if proven {
		delay = provenRetrialDelay
	}
	first := delay
	for k := 1; k < len(moments); k++ {
		if moments[k].Sub(moments[k-1]) >= first {
			delay *= 2
		}
	}
	// The record must not expire before.
	delay = min(delay, g.ttl/3)
	offset := (binary.LittleEndian.Uint64(part[:]) ^ g.parts.stagger) % uint64(delay)
	return moments[len(moments)-1].Add(delay + time.Duration(offset))
}
