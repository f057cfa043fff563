package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// applyBound is how long after its acknowledgement by the store a change of the records must be
// in force at undisturbed instances.
const applyBound = 2 * time.Second

// change is a version of the records, which adds a route and may drop a key, and the time when the
// store acknowledged it.
type change struct {
	version int64
	ackedAt time.Time
}

// records is the state of the records that the operator writes.
type records struct {
	version int64
	changes []change
	// added are the versions that added a route.
	added []int64
	// dropped maps a dropped key to the version that dropped it.
	dropped map[string]int64
	keys    map[string][]string
	// seen maps an incarnation of an instance to the highest version whose effect it has shown.
	seen map[string]effect
}

type effect struct {
	version int64
	at      time.Time
}

// newRecords returns records with four keys for each organisation; the first is never dropped.
func newRecords() records {
	r := records{version: 1, dropped: map[string]int64{}, keys: map[string][]string{}, seen: map[string]effect{}}
	for _, o := range []string{openOrg, isolatedOrg} {
		for n := range 4 {
			r.keys[o] = append(r.keys[o], fmt.Sprintf("%s-key-%d", o, n))
		}
	}
	return r
}

// writeRecords writes the records to the store and records the time of the acknowledgement.
func (s *soak) writeRecords() {
	s.mu.Lock()
	r := &s.records
	value := platformtest.Records(r.version, host, model)
	routes := value["routes"].([]any)
	for _, v := range r.added {
		routes = append(routes, platformtest.Route(host, fmt.Sprintf("added-%d", v), fmt.Sprintf("/added-%d/", v), "safe", "orders", 2))
	}
	value["routes"] = routes
	var tenants []any
	for _, o := range []string{openOrg, isolatedOrg} {
		var keys []string
		for _, k := range r.keys[o] {
			if r.dropped[k] == 0 {
				keys = append(keys, k)
			}
		}
		record := map[string]any{"name": o, "apiKeys": keys, "priority": 1, "isolated": o == isolatedOrg}
		s.addQuota(o, record)
		tenants = append(tenants, record)
	}
	value["tenants"] = tenants
	if s.seed >= firstScarceSeed {
		value["limits"].(map[string]any)["maxBodyBytes"] = 2 * largeBody
	}
	version := r.version
	s.mu.Unlock()
	s.store.Put("config", "main", value)
	s.mu.Lock()
	s.records.changes = append(s.records.changes, change{version, time.Now()})
	s.mu.Unlock()
}

// changeRecords adds a route and, if dropKey is set, drops a key.
func (s *soak) changeRecords(dropKey bool) {
	s.mu.Lock()
	r := &s.records
	r.version += 3
	r.added = append(r.added, r.version)
	if dropKey {
		o := []string{openOrg, isolatedOrg}[r.version%2]
		for _, k := range r.keys[o][1:] {
			if r.dropped[k] == 0 {
				r.dropped[k] = r.version
				break
			}
		}
	}
	s.mu.Unlock()
	s.writeRecords()
}

// ackedAt returns when the store acknowledged a version; zero if it has not yet.
func (s *soak) ackedAt(version int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := slices.IndexFunc(s.records.changes, func(c change) bool { return c.version >= version })
	if k < 0 {
		return time.Time{}
	}
	return s.records.changes[k].ackedAt
}

// keyFor returns a key of the organisation, and the version that dropped it or 0. Some requests
// get a dropped key.
func (s *soak) keyFor(rng *rand.Rand, organisation string) (key string, droppedIn int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.records.keys[organisation]
	if rng.IntN(10) > 0 {
		return keys[0], 0
	}
	k := keys[1+rng.IntN(len(keys)-1)]
	return k, s.records.dropped[k]
}

// addedRoute returns a recent version whose added route the request is to use; 0 for most requests.
func (s *soak) addedRoute(rng *rand.Rand) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.records.added); n > 0 && rng.IntN(3) == 0 {
		return s.records.added[max(0, n-1-rng.IntN(3))]
	}
	return 0
}

// inForce reports whether a version must be in force at an instance for a request sent at sentAt.
func (s *soak) inForce(version int64, instance int, sentAt time.Time) bool {
	acked := s.ackedAt(version)
	return !acked.IsZero() && sentAt.Sub(acked) > applyBound && s.undisturbed(instance, sentAt.Add(-stabilisationTime-applyBound), sentAt)
}

// checkKey checks that a request that has reached an endpoint has a key that is still valid.
func (s *soak) checkKey(c *call) {
	if c.droppedIn > 0 && s.inForce(c.droppedIn, c.instance, c.sentAt) {
		s.checker.addViolation("CONFIG: %s runs with a key that version %d dropped", c.id, c.droppedIn)
	}
}

// checkRecords checks an answer against the records that may be in force at its instance.
func (s *soak) checkRecords(c *call, status int, ran bool) {
	const unauthorized, notFound = 401, 404
	denied := status == unauthorized || status == notFound || status == 403 || status == 400
	incarnation := fmt.Sprintf("%d/%d", c.instance, c.incarnation)
	switch {
	case status == unauthorized && s.dropped(c.key):
		return
	case status == notFound && c.addedIn > 0:
		if s.inForce(c.addedIn, c.instance, c.sentAt) {
			s.checker.addViolation("CONFIG: %s is denied a route that version %d added", c.id, c.addedIn)
		}
		s.mu.Lock()
		seen := s.records.seen[incarnation]
		s.mu.Unlock()
		if seen.version >= c.addedIn && c.sentAt.Sub(seen.at) > 250*time.Millisecond {
			s.checker.addViolation("CONFIG: instance %s denies %s a route of version %d after it has shown version %d", incarnation, c.id, c.addedIn, seen.version)
		}
	case denied:
		s.checker.addViolation("DENIED: %s got %d, all records allow it", c.id, status)
	case ran && c.addedIn > 0:
		s.mu.Lock()
		if s.records.seen[incarnation].version < c.addedIn {
			s.records.seen[incarnation] = effect{c.addedIn, time.Now()}
		}
		s.mu.Unlock()
	}
}

func (s *soak) dropped(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.dropped[key] > 0
}
