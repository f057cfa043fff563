package balance

import "time"

// SetWanted records a version of a model's weights that operators have named, first seen now.
func (s *State) SetWanted(now time.Time, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.desired[model]
	if n := len(list); n > 0 && version <= list[n-1].version {
		return
	}
	if len(list) == maxTargets {
		list = list[1:]
	}
	s.desired[model] = append(list, desired{version, now})
}

// maxTargets is the number of versions that are kept for a model. The oldest are dropped
// first: an endpoint with such old weights has long been excluded from the choice.
const maxTargets = 64

// behindFor returns the time since the first version newer than the given one was named; 0
// if there is none. Versions may be named faster than they are rolled out; the bound of each
// starts when it was named.
func behindFor(targets []desired, version int64, now time.Time) time.Duration {
	for _, w := range targets {
		if w.version > version {
			return now.Sub(w.since)
		}
	}
	return 0
}

// SetLoaded records the version of a model's weights that an endpoint has reported. Parts that
// it had cached under an older version are no longer usable.
func (s *State) SetLoaded(id, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok || e.Versions[model] >= version {
		return
	}
	e.Versions = newest(e.Versions, map[string]int64{model: version})
	delete(e.assumed, model)
	e.loadingUntil = time.Time{}
	e.avoidUntil, e.suspectUntil = time.Time{}, time.Time{}
	s.notify()
}

// Mismatch records that an endpoint does not have the version that a request expected, and
// returns the version to expect from now on. That is the one that the endpoint reported or,
// if reported is 0, a guess: the newest version that operators have named, which the
// endpoint may have loaded without this instance receiving a report of it. If the newest one
// was expected, the guess is the one named before, since the endpoint is still loading or
// has restarted.
//
// The guess is used by this instance only. If it were reported to other instances, or stored
// as the endpoint's version, a guess that is too high would end the endpoint's rollout: the
// instance that runs the rollout would never send the order to load.
func (s *State) Mismatch(id, model string, expected, reported int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	targets := s.desired[model]
	if !ok || len(targets) == 0 {
		return expected
	}
	if v := e.version(model); v != expected {
		// Another request has corrected the version in the meantime.
		return v
	}
	if reported > 0 {
		e.assumed[model] = reported
		return reported
	}
	newest := targets[len(targets)-1].version
	assumed := newest
	if expected >= newest {
		assumed = newest - 1
		if len(targets) > 1 {
			assumed = targets[len(targets)-2].version
		}
	}
	e.assumed[model] = assumed
	return assumed
}

// Misdirected records that a run of any instance met an endpoint that reported another
// version than was expected. Without it, a scheduler would go on placing requests there that
// are all rejected.
func (s *State) Misdirected(id RunID, reported int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	if ok && reported > 0 && r.on.version(r.Model) == r.Version {
		r.on.assumed[r.Model] = reported
	}
}

// version returns the version of the weights that requests should expect at the endpoint.
func (e *endpoint) version(model string) int64 {
	if v, ok := e.assumed[model]; ok {
		return v
	}
	return e.Versions[model]
}
