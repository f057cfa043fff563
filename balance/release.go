package balance

import "slices"

const (
	// reservedTokens is the weight of an endpoint that is kept for streams which can go on nowhere else: more
	// than the backlog of any endpoint that still accepts requests. lastOfRelease is how many endpoints of
	// a release are its last.
	reservedTokens = 1e5
	lastOfRelease  = 2
)

// ReleaseOf returns the release of an endpoint's software; empty if it is not known for certain.
func (s *State) ReleaseOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range []map[string]*endpoint{s.endpoints, s.departed} {
		if e := list[id]; e != nil && !e.releaseChanged {
			return e.Release
		}
	}
	return ""
}

// Releases returns the releases of a service's listed endpoints, each once.
func (s *State) Releases(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, e := range s.byService[service] {
		if !slices.Contains(list, e.Release) {
			list = append(list, e.Release)
		}
	}
	return list
}

// hasSeveralReleases reports whether the listed endpoints of a service have several releases. The caller must hold s.mu.
func (s *State) hasSeveralReleases(service string) bool {
	several, known := s.severalReleases[service]
	if !known {
		list := s.byService[service]
		several = slices.ContainsFunc(list, func(e *endpoint) bool { return e.Release != list[0].Release })
		s.severalReleases[service] = several
	}
	return several
}

// hasRelease reports whether an endpoint of a service accepts requests that only the given release may run. The caller
// must hold s.mu.
func (s *State) hasRelease(service, release string) bool {
	return slices.ContainsFunc(s.byService[service], func(e *endpoint) bool { return s.accepts(e) && e.runs(release) })
}

// runs reports whether an endpoint may run a request that only the given release may run; empty for any.
func (e *endpoint) runs(release string) bool {
	return release == "" || e.Release == release && !e.releaseChanged
}

// countReleases counts the endpoints of each release that accept requests.
func (c *chooser) countReleases(list []*endpoint) {
	c.ready = map[string]int{}
	for _, e := range list {
		if c.accepts(e) {
			c.ready[e.Release]++
		}
	}
}

// isReserved reports whether an endpoint is one of the last of its release and half full. Its streams can go on
// nowhere else, and a crash of the other one brings all of them here in one moment.
func (c *chooser) isReserved(e *endpoint) bool {
	return len(c.ready) > 1 && c.ready[e.Release] <= lastOfRelease && 2*e.running >= e.Slots
}
