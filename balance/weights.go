package balance

import "time"

// Want says which version of a model's weights operators have named, as seen now.
func (s *State) Want(now time.Time, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.wanted[model]
	if n := len(list); n > 0 && version <= list[n-1].version {
		return
	}
	if len(list) == maxNamed {
		list = list[1:]
	}
	s.wanted[model] = append(list, wanted{version, now})
}

// maxNamed bounds the versions of one model that are remembered; the oldest go
// first, when an endpoint that old has long been out of choices.
const maxNamed = 64

// behindFor is how long ago the first version was named that is newer than the
// one given; 0 where there is none. Versions may be named faster than they are
// rolled out; each one's bound counts from its own naming.
func behindFor(named []wanted, version int64, now time.Time) time.Duration {
	for _, w := range named {
		if w.version > version {
			return now.Sub(w.since)
		}
	}
	return 0
}

// Holds says which version of a model's weights an endpoint has, by its own
// word. What it had cached under an older one is gone.
func (s *State) Holds(id, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok || e.Versions[model] >= version {
		return
	}
	e.Versions = newest(e.Versions, map[string]int64{model: version})
	delete(e.assumed, model)
	e.loadingUntil = time.Time{}
	e.avoidUntil, e.doubtUntil = time.Time{}, time.Time{}
	s.wake()
}

// Mismatch says that an endpoint does not hold the version that a request
// expected, and returns the one to expect from now on: what it told that it holds, or,
// where told is 0, a guess. The guess is the newest that operators have named, which it may have taken
// while nobody could tell; or, if that was expected, the one named before, since its
// load has not ended yet or it has started anew.
//
// It is a guess of this instance alone. Told to others, or kept as what the endpoint
// holds, a guess that is too high would end the endpoint's rollout: its holder would
// never give the order.
func (s *State) Mismatch(id, model string, expected, told int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	named := s.wanted[model]
	if !ok || len(named) == 0 {
		return expected
	}
	if v := e.version(model); v != expected {
		// Somebody has found out meanwhile.
		return v
	}
	if told > 0 {
		e.assumed[model] = told
		return told
	}
	newest := named[len(named)-1].version
	assumed := newest
	if expected >= newest {
		assumed = newest - 1
		if len(named) > 1 {
			assumed = named[len(named)-2].version
		}
	}
	e.assumed[model] = assumed
	return assumed
}

// Misdirected says that a run of any instance met an endpoint that holds another version
// than was expected, by the endpoint's own word. Without it, a scheduler would go on
// placing requests there that are all turned away.
func (s *State) Misdirected(id RunID, told int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	if ok && told > 0 && r.on.version(r.Model) == r.Version {
		r.on.assumed[r.Model] = told
	}
}

// version is what requests expect of an endpoint's weights.
func (e *endpoint) version(model string) int64 {
	if v, ok := e.assumed[model]; ok {
		return v
	}
	return e.Versions[model]
}
