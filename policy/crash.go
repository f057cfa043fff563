package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxFingerprints bounds the memory of a guard. It is enough for the requests in flight at
	// some dozen crashes, and the parts of their prompts.
	maxFingerprints = 4096
	// evicted is how many records are evicted together when there are too many.
	evicted = maxFingerprints / 16
	// maxCrashes bounds the crashes in one record, so that it fits into a datagram. The latest are kept.
	maxCrashes = 16
	// retrialDelay is the time after a request was convicted until it may run once more: the
	// endpoint may have crashed for another reason at that moment.
	retrialDelay = time.Minute
)

// CrashVerdict is how to treat a request, given the crashes it was in flight at.
type CrashVerdict int

// The verdicts.
const (
	// CrashClean requests are run normally.
	CrashClean CrashVerdict = iota
	// CrashSuspect requests were in flight at a crash and are run as trials.
	CrashSuspect
	// CrashConfined requests were in flight at several crashes and are run as trials, with no
	// other suspect on the endpoint.
	CrashConfined
	// CrashRefused requests crashed an endpoint in a trial and are not run.
	CrashRefused
)

// String implements fmt.Stringer.
func (v CrashVerdict) String() string {
	switch v {
	case CrashSuspect:
		return "suspect"
	case CrashConfined:
		return "confined"
	case CrashRefused:
		return "refused"
	}
	return "clean"
}

// Crash is one crash of an endpoint at which a request was in flight.
type Crash struct {
	// ID identifies the crash, or the run that it interrupted. Those of later crashes compare greater; where
	// they don't, a full record keeps any crashes in place of the latest.
	ID       string
	Endpoint string
	// Trial is set if the request was suspected when this run began, and no other suspect was
	// running on the endpoint.
	Trial bool
	// Cleared is set once it is known that the request did not cause the crash, or that the
	// endpoint did not crash.
	Cleared bool
	// Content identifies the request that was running. It is set for parts of prompts only.
	Content uint64
	// Caller identifies the organisation that sent it.
	Caller uint64
	// At is when the endpoint crashed; zero for the time at which the crash is recorded.
	At time.Time
	// Proven is set for parts of prompts only: a request with the part had completed not long before.
	Proven bool
}

// merge adds what another instance knows of the same crash. It reports whether that is new. Each field takes the
// greater value, or the earlier time, so that the order of merges does not matter.
func (c *Crash) merge(o Crash) bool {
	merged := *c
	merged.Trial = c.Trial || o.Trial
	merged.Cleared = c.Cleared || o.Cleared
	merged.Proven = c.Proven || o.Proven
	merged.Content, merged.Caller = max(c.Content, o.Content), max(c.Caller, o.Caller)
	merged.Endpoint = max(c.Endpoint, o.Endpoint)
	if o.At.Before(c.At) {
		merged.At = o.At
	}
	changed := merged != *c
	*c = merged
	return changed
}

// crashRecord holds the crashes at which one request, or one part of prompts, was in flight, by their IDs.
type crashRecord struct {
	crashes map[string]*Crash
	expires time.Time
	// part is set for a part of prompts.
	part bool
}

// proven reports whether a request with the part had completed not long before one of the crashes that count.
func (r *crashRecord) proven() bool {
	for _, c := range r.crashes {
		if c.Proven && !c.Cleared {
			return true
		}
	}
	return false
}

// counts returns how many crashes the request may have caused, and how many of them were trials. Those of
// the endpoints in explained have another cause.
func (r *crashRecord) counts(explained map[string]bool) (crashes, trials int) {
	for _, c := range r.crashes {
		if c.Cleared || explained[c.Endpoint] {
			continue
		}
		crashes++
		if c.Trial {
			trials++
		}
	}
	return crashes, trials
}

// CrashState is the state of one request, or of one part of prompts, as exchanged between instances: its
// crashes, sorted by ID.
type CrashState struct {
	Crashes []Crash
	// Part is set for a part of prompts.
	Part bool
}

// Proven reports whether a request with the part had completed not long before one of the crashes that count.
func (s *CrashState) Proven() bool {
	return slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.Proven && !c.Cleared })
}

// CrashGuard records the fingerprints of requests that were in flight when an endpoint crashed.
//
// It protects a service from a single request that crashes every endpoint that runs it and whose
// caller retries it, which would take down one endpoint after the other. A crash makes every request
// that was in flight there a suspect, and most of them are harmless. A suspect is not refused: it
// is run in a trial, with no copy of it running elsewhere and, if possible, no other suspect on the
// same endpoint. If it completes, it is cleared. If the endpoint crashes again, the request is the
// cause, and is refused: at the cost of two crashes, whatever else was in flight at the first one.
//
// Refusing whatever was in flight at two crashes is simpler, but endpoints are also lost together,
// and then requests for a popular thing, of which several are in flight, would be refused for
// minutes. For the same reason a convicted request is tried once more after retrialDelay.
//
// No two requests need be alike for the same thing to crash endpoints: it may be a part of their prompts.
// Parts are recorded beside whole requests; see PartCrashed.
//
// Merging the states of several instances is commutative, associative and idempotent: a record is a set of crashes
// by ID, of which the greatest maxCrashes IDs are kept, and each field of a crash only grows. A crash that
// was dropped therefore never returns, and verdicts depend on nothing but the set. Records expire at the latest time
// that any instance has sent.
type CrashGuard struct {
	ttl     time.Duration
	records map[[16]byte]*crashRecord
	changed map[[16]byte]bool
	// byEndpoint are the requests with a crash of an endpoint of which they are not cleared.
	byEndpoint map[string]map[[16]byte]bool
	parts      crashParts
}

// NewCrashGuard returns a guard whose records expire ttl after the last crash.
func NewCrashGuard(ttl time.Duration) *CrashGuard {
	return &CrashGuard{
		ttl: ttl, records: map[[16]byte]*crashRecord{}, changed: map[[16]byte]bool{}, byEndpoint: map[string]map[[16]byte]bool{},
		parts: newCrashParts(),
	}
}

// Len returns the number of records.
func (g *CrashGuard) Len() int { return len(g.records) }

// Recorded reports whether there is a record of a request or part.
func (g *CrashGuard) Recorded(fingerprint [16]byte) bool { return g.records[fingerprint] != nil }

// Crashed records that a request was in flight when an endpoint crashed. Repeated calls for the same
// crash count once.
func (g *CrashGuard) Crashed(now time.Time, fingerprint [16]byte, c Crash) {
	g.recordCrash(now, fingerprint, g.record(now, fingerprint), c)
}

func (g *CrashGuard) recordCrash(now time.Time, fingerprint [16]byte, r *crashRecord, c Crash) {
	if g.add(now, fingerprint, r, c) {
		r.expires = now.Add(g.ttl)
	}
}

// index updates byEndpoint after a change of the request's crashes of an endpoint.
func (g *CrashGuard) index(fingerprint [16]byte, r *crashRecord, endpoint string) {
	g.indexRepeated(fingerprint, r)
	for _, c := range r.crashes {
		if c.Endpoint == endpoint && !c.Cleared {
			if g.byEndpoint[endpoint] == nil {
				g.byEndpoint[endpoint] = map[[16]byte]bool{}
			}
			g.byEndpoint[endpoint][fingerprint] = true
			return
		}
	}
	g.unindex(fingerprint, endpoint)
}

// unindex removes a request from byEndpoint.
func (g *CrashGuard) unindex(fingerprint [16]byte, endpoint string) {
	if delete(g.byEndpoint[endpoint], fingerprint); len(g.byEndpoint[endpoint]) == 0 {
		delete(g.byEndpoint, endpoint)
	}
}

// remove removes a record.
func (g *CrashGuard) remove(fingerprint [16]byte, r *crashRecord) {
	if g.parts.repeated[fingerprint] != nil {
		delete(g.parts.repeated, fingerprint)
		g.parts.stale = true
	}
	for _, c := range r.crashes {
		g.unindex(fingerprint, c.Endpoint)
	}
	delete(g.records, fingerprint)
}

// add merges a crash into a record and reports whether that changed the record.
func (g *CrashGuard) add(now time.Time, fingerprint [16]byte, r *crashRecord, c Crash) bool {
	if c.At.IsZero() {
		c.At = now
	}
	if known, ok := r.crashes[c.ID]; ok {
		if !known.merge(c) {
			return false
		}
	} else {
		r.crashes[c.ID] = &c
		if dropped := r.trim(); dropped == &c {
			return false
		} else if dropped != nil {
			g.index(fingerprint, r, dropped.Endpoint)
		}
	}
	g.changed[fingerprint] = true
	g.index(fingerprint, r, c.Endpoint)
	return true
}

// trim drops the crash with the smallest ID from a record with too many, and returns it.
func (r *crashRecord) trim() *Crash {
	if len(r.crashes) <= maxCrashes {
		return nil
	}
	least := slices.Min(slices.Collect(maps.Keys(r.crashes)))
	dropped := r.crashes[least]
	delete(r.crashes, least)
	return dropped
}

// Completed clears a request that ran to completion of all crashes recorded so far. It reports whether
// there were any.
func (g *CrashGuard) Completed(now time.Time, fingerprint [16]byte) bool {
	return g.clear(now, fingerprint, func(*Crash) bool { return true })
}

// Disprove clears a request of one crash: the endpoint did not crash.
func (g *CrashGuard) Disprove(now time.Time, fingerprint [16]byte, crashID string) bool {
	return g.clear(now, fingerprint, func(c *Crash) bool { return c.ID == crashID })
}

// Alive clears all requests of crashes of an endpoint that this instance learned of after since, the
// time from which the same process of that endpoint has been running. It returns those requests.
func (g *CrashGuard) Alive(now time.Time, endpoint string, since time.Time) (cleared [][16]byte) {
	for fingerprint := range g.byEndpoint[endpoint] {
		if g.clear(now, fingerprint, func(c *Crash) bool { return c.Endpoint == endpoint && c.At.After(since) }) {
			cleared = append(cleared, fingerprint)
		}
	}
	return cleared
}

// clear clears a request of the crashes that match.
func (g *CrashGuard) clear(now time.Time, fingerprint [16]byte, match func(*Crash) bool) (changed bool) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return false
	}
	for _, c := range r.crashes {
		if !c.Cleared && match(c) {
			c.Cleared = true
			g.index(fingerprint, r, c.Endpoint)
			g.changed[fingerprint] = true
			changed = true
		}
	}
	return changed
}

// Verdict returns how to treat a request, and for how long that applies. For a part of prompts that is how to
// treat requests with it, whoever sends them and whatever else they hold.
func (g *CrashGuard) Verdict(now time.Time, fingerprint [16]byte) (CrashVerdict, time.Duration) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return CrashClean, 0
	}
	if r.part {
		return g.partVerdict(now, r, g.conviction(now, fingerprint))
	}
	left := r.expires.Sub(now)
	crashes, trials := r.counts(g.explained(now))
	switch {
	case crashes == 0:
		return CrashClean, 0
	case crashes == 1:
		return CrashSuspect, left
	case trials == 0:
		return CrashConfined, left
	case trials > 1:
		return CrashRefused, left
	}
	lastCrash := r.expires.Add(-g.ttl)
	if retrialIn := lastCrash.Add(retrialDelay).Sub(now); retrialIn > 0 {
		return CrashRefused, min(retrialIn, left)
	}
	return CrashConfined, left
}

// Merge adds the state that another instance holds for a request and that expires there after ttl. It
// returns the crashes that were not known here and are not cleared.
func (g *CrashGuard) Merge(now time.Time, fingerprint [16]byte, s *CrashState, ttl time.Duration) (added []Crash) {
	if ttl <= 0 {
		return nil
	}
	known, ok := g.records[fingerprint]
	expires := now.Add(min(ttl, g.ttl))
	if ok && known.expires.After(expires) {
		expires = known.expires
	}
	r := g.record(now, fingerprint)
	r.expires = expires
	if s.Part && !r.part {
		r.part = true
		g.indexRepeated(fingerprint, r)
	}
	for _, c := range s.Crashes {
		c.Proven = c.Proven || r.part && g.provenAt(now, fingerprint, c.At)
		_, known := r.crashes[c.ID]
		if g.add(now, fingerprint, r, c) && !known && !c.Cleared {
			added = append(added, c)
		}
	}
	return added
}

// State returns the state of a request to send to other instances and the time until it expires.
// It returns nil if there is no record of the request.
func (g *CrashGuard) State(now time.Time, fingerprint [16]byte) (*CrashState, time.Duration) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return nil, 0
	}
	s := &CrashState{Part: r.part}
	for _, c := range r.crashes {
		s.Crashes = append(s.Crashes, *c)
	}
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
	return s, r.expires.Sub(now)
}

// Changed returns the sorted fingerprints of the requests whose state changed since the last call.
// Their state has to be sent to the other instances.
func (g *CrashGuard) Changed() [][16]byte {
	list := sortedFingerprints(maps.Keys(g.changed))
	clear(g.changed)
	return list
}

// Fingerprints returns the sorted fingerprints of all requests with a record.
func (g *CrashGuard) Fingerprints() [][16]byte { return sortedFingerprints(maps.Keys(g.records)) }

func sortedFingerprints(seq func(yield func([16]byte) bool)) [][16]byte {
	return slices.SortedFunc(seq, func(a, b [16]byte) int { return slices.Compare(a[:], b[:]) })
}

// Tick removes expired records.
func (g *CrashGuard) Tick(now time.Time) {
	for fingerprint, r := range g.records {
		if now.After(r.expires) {
			g.remove(fingerprint, r)
		}
	}
}

func (g *CrashGuard) record(now time.Time, fingerprint [16]byte) *crashRecord {
	if r, ok := g.records[fingerprint]; ok && !now.After(r.expires) {
		return r
	}
	if len(g.records) >= maxFingerprints {
		g.evict(now)
	}
	if expired, ok := g.records[fingerprint]; ok {
		g.remove(fingerprint, expired)
	}
	r := &crashRecord{crashes: map[string]*Crash{}, expires: now.Add(g.ttl)}
	g.records[fingerprint] = r
	return r
}

// evict makes room by removing the expired records or, if there are none, some of the organisation that has
// most, so that none can have the records of others evicted: first those without a crash that still counts, then
// those that expire first.
func (g *CrashGuard) evict(now time.Time) {
	g.Tick(now)
	if len(g.records) < maxFingerprints {
		return
	}
	byCaller := map[uint64][][16]byte{}
	for fingerprint, r := range g.records {
		byCaller[r.caller()] = append(byCaller[r.caller()], fingerprint)
	}
	var most [][16]byte
	for _, list := range byCaller {
		if len(list) > len(most) {
			most = list
		}
	}
	slices.SortFunc(most, func(a, b [16]byte) int {
		x, y := g.records[a], g.records[b]
		if x.cleared() != y.cleared() {
			if x.cleared() {
				return -1
			}
			return 1
		}
		return cmp.Or(x.expires.Compare(y.expires), slices.Compare(a[:], b[:]))
	})
	for _, fingerprint := range most[:min(evicted, len(most))] {
		g.remove(fingerprint, g.records[fingerprint])
	}
}

// caller returns the organisation whose request the record was made for.
func (r *crashRecord) caller() uint64 {
	var first *Crash
	for _, c := range r.crashes {
		if first == nil || c.ID < first.ID {
			first = c
		}
	}
	if first == nil {
		return 0
	}
	return first.Caller
}

// cleared reports whether no crash counts any more.
func (r *crashRecord) cleared() bool {
	for _, c := range r.crashes {
		if !c.Cleared {
			return false
		}
	}
	return true
}
