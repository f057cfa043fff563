package policy

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// maxFingerprints bounds the memory of a guard. It is enough for the requests in flight at
	// some dozen crashes. The record that expires first is evicted first.
	maxFingerprints = 4096
	// refuseAfter is the number of crashes after which a request is refused.
	refuseAfter = 2
)

// CrashVerdict is how to treat a request, given the crashes it was in flight at.
type CrashVerdict int

// The verdicts.
const (
	// CrashClean requests are run normally.
	CrashClean CrashVerdict = iota
	// CrashSuspect requests were in flight at one crash and run with no other request on the
	// endpoint.
	CrashSuspect
	// CrashRefused requests were in flight at two crashes and are not run.
	CrashRefused
)

// crashRecord holds the crashes at which one request was in flight. The value in cleared is true
// once the request is known not to have caused that crash.
type crashRecord struct {
	cleared map[string]bool
	expires time.Time
}

// CrashState is the state of one request as exchanged between instances.
type CrashState struct {
	// Endpoints are the incarnations that crashed while the request was in flight.
	Endpoints []string
	// Cleared are those of Endpoints whose crash the request did not cause, because it completed
	// afterwards.
	Cleared []string
}

// Crashes returns the number of crashes that the request may have caused.
func (s *CrashState) Crashes() int { return len(s.Endpoints) - len(s.Cleared) }

// CrashGuard records the fingerprints of requests that were in flight when an endpoint crashed.
//
// It protects the pool from a single request that crashes every endpoint that runs it and whose
// caller retries it, which would take down one endpoint after the other. After the first crash all
// requests that were in flight run alone, so the next crash identifies the cause and affects no
// other request. After the second crash the request is refused until its record expires. Requests
// that complete are cleared. Merging the states of several instances is commutative and
// idempotent: crashes and clearances are only added until the record expires.
type CrashGuard struct {
	ttl     time.Duration
	records map[[16]byte]*crashRecord
	changed map[[16]byte]bool
}

// NewCrashGuard returns a guard whose records expire ttl after the last crash.
func NewCrashGuard(ttl time.Duration) *CrashGuard {
	return &CrashGuard{ttl: ttl, records: map[[16]byte]*crashRecord{}, changed: map[[16]byte]bool{}}
}

// Crashed records that a request was in flight when an incarnation of an endpoint crashed.
// Repeated calls for the same crash count once.
func (g *CrashGuard) Crashed(now time.Time, fingerprint [16]byte, endpoint string, incarnation uint64) {
	r := g.record(now, fingerprint)
	id := fmt.Sprintf("%s@%d", endpoint, incarnation)
	if _, known := r.cleared[id]; known {
		return
	}
	r.cleared[id] = false
	r.expires = now.Add(g.ttl)
	g.changed[fingerprint] = true
}

// Completed clears a request that ran to completion of all crashes recorded so far.
func (g *CrashGuard) Completed(now time.Time, fingerprint [16]byte) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return
	}
	for id, cleared := range r.cleared {
		if !cleared {
			r.cleared[id] = true
			g.changed[fingerprint] = true
		}
	}
}

// Verdict returns how to treat a request, and for how long that applies.
func (g *CrashGuard) Verdict(now time.Time, fingerprint [16]byte) (CrashVerdict, time.Duration) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return CrashClean, 0
	}
	crashes := 0
	for _, cleared := range r.cleared {
		if !cleared {
			crashes++
		}
	}
	switch {
	case crashes >= refuseAfter:
		return CrashRefused, r.expires.Sub(now)
	case crashes > 0:
		return CrashSuspect, r.expires.Sub(now)
	default:
		return CrashClean, 0
	}
}

// Merge adds the state that another instance holds for a request and that expires there after ttl.
func (g *CrashGuard) Merge(now time.Time, fingerprint [16]byte, s *CrashState, ttl time.Duration) {
	if ttl <= 0 {
		return
	}
	r := g.record(now, fingerprint)
	if expires := now.Add(min(ttl, g.ttl)); expires.After(r.expires) {
		r.expires = expires
	}
	for _, id := range s.Endpoints {
		if _, known := r.cleared[id]; !known {
			r.cleared[id] = false
			g.changed[fingerprint] = true
		}
	}
	for _, id := range s.Cleared {
		if !r.cleared[id] {
			r.cleared[id] = true
			g.changed[fingerprint] = true
		}
	}
}

// State returns the state of a request to send to other instances and the time until it expires.
// It returns nil if there is no record of the request.
func (g *CrashGuard) State(now time.Time, fingerprint [16]byte) (*CrashState, time.Duration) {
	r, ok := g.records[fingerprint]
	if !ok || now.After(r.expires) {
		return nil, 0
	}
	s := &CrashState{}
	for _, id := range slices.Sorted(maps.Keys(r.cleared)) {
		s.Endpoints = append(s.Endpoints, id)
		if r.cleared[id] {
			s.Cleared = append(s.Cleared, id)
		}
	}
	return s, r.expires.Sub(now)
}

// Changed returns the sorted fingerprints of the requests whose state changed since the last call.
// Their state has to be sent to the other instances.
func (g *CrashGuard) Changed() [][16]byte {
	list := slices.Collect(maps.Keys(g.changed))
	slices.SortFunc(list, func(a, b [16]byte) int { return slices.Compare(a[:], b[:]) })
	clear(g.changed)
	return list
}

// Tick removes expired records.
func (g *CrashGuard) Tick(now time.Time) {
	for fingerprint, r := range g.records {
		if now.After(r.expires) {
			delete(g.records, fingerprint)
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
	r := &crashRecord{cleared: map[string]bool{}, expires: now.Add(g.ttl)}
	g.records[fingerprint] = r
	return r
}

// evict removes the expired records or, if there are none, the record that expires first.
func (g *CrashGuard) evict(now time.Time) {
	g.Tick(now)
	if len(g.records) < maxFingerprints {
		return
	}
	var oldest [16]byte
	var expires time.Time
	for fingerprint, r := range g.records {
		earlier := expires.IsZero() || r.expires.Before(expires)
		if earlier || r.expires.Equal(expires) && slices.Compare(fingerprint[:], oldest[:]) < 0 {
			oldest, expires = fingerprint, r.expires
		}
	}
	delete(g.records, oldest)
}
