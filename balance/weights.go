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
	e.loadingUntil = time.Time{}
	e.avoidUntil, e.doubtUntil = time.Time{}, time.Time{}
	s.wake()
}

// Mismatch says that an endpoint does not hold the version that a request
// expected, without saying which it holds, and returns the one that is assumed from
// now on: the newest that operators have named, which it may have taken while nobody
// could tell; or, if that was expected, the one named before, since its load has not
// ended yet or it has started anew.
func (s *State) Mismatch(id, model string, expected int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	named := s.wanted[model]
	if !ok || len(named) == 0 {
		return expected
	}
	if e.Versions[model] != expected {
		// Somebody has found out meanwhile.
		return e.Versions[model]
	}
	newest := named[len(named)-1].version
	assumed := newest
	if expected >= newest {
		assumed = newest - 1
		if len(named) > 1 {
			assumed = named[len(named)-2].version
		}
	}
	e.Versions[model] = assumed
	return assumed
}
