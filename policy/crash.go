package policy

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// maxFingerprints bounds what a guard holds: the requests in flight at some
	// dozen crashes. The one that expires first goes first.
	maxFingerprints = 4096
	// refuseAfter is the number of crashes from which a request is refused.
	refuseAfter = 2
)

// CrashVerdict is how a request is treated for what it did before.
type CrashVerdict int

// The verdicts.
const (
	// CrashClean: it runs like any other.
	CrashClean CrashVerdict = iota
	// CrashSuspect: it was in flight at a crash and runs alone.
	CrashSuspect
	// CrashRefused: it was in flight at two crashes and is not run.
	CrashRefused
)

// crashRecord holds the crashes at which a request was in flight; the value
// says that the request was cleared of that crash.
type crashRecord struct {
	cleared map[string]bool
	expires time.Time
}

// CrashState is what is known of a request, to be told to other instances.
type CrashState struct {
	// Endpoints are the incarnations that crashed with the request in flight.
	Endpoints []string
	// Cleared are those of them that it was cleared of, by running to its end.
	Cleared []string
}

// Crashes is how many crashes the request was not cleared of.
func (s *CrashState) Crashes() int { return len(s.Endpoints) - len(s.Cleared) }

// CrashGuard remembers the fingerprints of requests that were in flight when an
// endpoint crashed.
//
// It is made for a single request that crashes each endpoint that runs it and
// whose caller sends it again: one by one it would take down the pool. After
// the first crash all that were in flight run alone, so that the next crash
// tells which it was and costs nobody else; after the second the request is
// refused for a time. Those that complete are cleared. States of several
// instances merge in any order, as often as one likes, to the same state:
// crashes and clearings are only ever added, until the record expires.
type CrashGuard struct {
	ttl     time.Duration
	records map[[16]byte]*crashRecord
	changed map[[16]byte]bool
}

// NewCrashGuard returns a guard that forgets a request after the ttl.
func NewCrashGuard(ttl time.Duration) *CrashGuard {
	return &CrashGuard{ttl: ttl, records: map[[16]byte]*crashRecord{}, changed: map[[16]byte]bool{}}
}

// Crashed notes that a request was in flight when the incarnation of an
// endpoint died. The same crash noted twice counts once.
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

// Completed clears a request that ran to its end of the crashes so far.
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

// Verdict tells how to treat a request, and for how long.
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

// Merge takes in what another instance holds of a request, which it forgets
// after ttl.
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

// State is what to tell other instances of a request, and the time after which
// they may forget it; nil where nothing is known.
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

// Changed lists the requests of which something changed since the last call, in
// order: what has to be told to other instances.
func (g *CrashGuard) Changed() [][16]byte {
	list := slices.Collect(maps.Keys(g.changed))
	slices.SortFunc(list, func(a, b [16]byte) int { return slices.Compare(a[:], b[:]) })
	clear(g.changed)
	return list
}

// Tick forgets what has expired.
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

// evict makes room: for what has expired, or else for the record that expires
// first.
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
