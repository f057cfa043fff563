package balance

import "time"

// Started notes a run of any instance.
func (s *State) Started(now time.Time, st Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[st.Endpoint]
	if _, twice := s.runs[st.Run]; !ok || twice {
		return
	}
	r := &run{Start: st, on: e, at: now, ahead: e.reading.ahead(st.Rank)}
	s.runs[st.Run] = r
	e.running++
	e.reading.add(st.Rank, st.Uncached)
	e.take(r)
	s.sizesOf(e.Service).add(st.size())
	if st.Model == "" {
		return
	}
	cache := e.cacheOf(st.Model, st.Version)
	if cache == nil {
		return
	}
	for i, k := range st.Keys {
		cache.use(k, st.Tokens[i])
	}
}

// Moved notes that a run has reached a stage.
func (s *State) Moved(now time.Time, id RunID, stage Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	if !ok {
		return
	}
	if stage == Answering {
		s.answering(now, r.on, r)
		return
	}
	delete(s.runs, id)
	s.end(now, r.on, r, stage)
	s.wake()
}

// answering says that the prompt was read.
func (s *State) answering(now time.Time, e *endpoint, r *run) {
	if r.answered {
		return
	}
	s.measure(e, r, now.Sub(r.at))
	r.answered = true
	e.reading.add(r.Rank, -r.Uncached)
	s.read(e, r)
	s.wake()
}

// read notes that the parts of a run are in the endpoint's memory, and in the
// store that it sends them to.
func (s *State) read(e *endpoint, r *run) {
	if c := e.caches[r.Model]; c != nil && c.version == r.Version {
		c.parts.markRead(r.Keys)
	}
	k := s.kept[r.SaveTo]
	if k == nil {
		return
	}
	for i, key := range r.Keys {
		k.parts.use(key, r.Tokens[i])
	}
	k.parts.markRead(r.Keys)
}

func (s *State) end(now time.Time, e *endpoint, r *run, stage Stage) {
	e.running--
	e.give(r)
	if !r.answered {
		e.reading.add(r.Rank, -r.Uncached)
	}
	failed := 0.0
	switch stage {
	case Done:
		if !r.answered {
			s.read(e, r)
		}
		if r.Model == "" {
			e.latencyMs += latencyWeight * (float64(now.Sub(r.at).Milliseconds()) - e.latencyMs)
		}
	case Rejected:
		e.avoid(now.Add(rejectedFor))
	case Errored:
		// One request's error says little of the next one's, so the endpoint
		// stays among the choices; its share of failures weighs against it.
		failed = 1
	case Failed:
		failed = 1
		e.doubt(now.Add(brokenFor))
	case Unreachable:
		failed = 1
		e.doubt(now.Add(unreachableFor))
	}
	if stage != Done && r.Model != "" && !r.answered {
		if c := e.caches[r.Model]; c != nil {
			c.parts.forget(r.Keys)
		}
	}
	if stage != Rejected && stage != Misdirected && stage != Abandoned && !r.errsAnywhere(stage) {
		e.failures += failureWeight * (failed - e.failures)
		e.judgedAt = now
		if r.Model == "" {
			s.failures[e.Service] += serviceFailureWeight * (failed - s.failures[e.Service])
		}
	}
}

// errsAnywhere reports whether a run's error says nothing of its endpoint.
//
// Load: look-ups of which one in five fails, wherever it runs. Harm prevented: the
// endpoints that second tries are sent to look faulty, and one of them gets all first
// tries while the others idle.
func (r *run) errsAnywhere(stage Stage) bool { return stage == Errored && r.Again }

const (
	// failureWeight is the weight of the newest run in the share of failures:
	// ten runs in a row tell a faulty endpoint from one with a single fault.
	failureWeight = 0.1
	// serviceFailureWeight is the same for all runs of a service.
	serviceFailureWeight = 0.02
	// latencyWeight is the same of the latency of plain calls.
	latencyWeight = 0.2
)

// Sweep drops what nobody told the end of.
//
// Load: datagrams are lost, or an instance is killed in the middle of its requests.
// Harm prevented: prompt work that is counted for ever makes an endpoint look
// behind, and in the end all requests are refused though the endpoints idle.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.runs {
		age := now.Sub(r.at)
		if age > forgetReadingAfter && !r.answered {
			r.answered = true
			r.on.reading.add(r.Rank, -r.Uncached)
		}
		if age > forgetRunsAfter {
			delete(s.runs, id)
			s.end(now, r.on, r, Abandoned)
		}
	}
	for id, e := range s.departed {
		switch {
		case e.departedAt.IsZero():
			e.departedAt = now
		case now.Sub(e.departedAt) > forgetDepartedAfter:
			delete(s.departed, id)
		}
	}
}
