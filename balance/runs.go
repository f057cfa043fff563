package balance

import "time"

// Started records a run that another instance has placed.
func (s *State) Started(now time.Time, st Start) { s.started(now, st, false, nil) }

// started records a run. decided is set if this instance has placed it, c if it counts in its service's shares.
func (s *State) started(now time.Time, st Start, decided bool, c *charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[st.Endpoint]
	if _, twice := s.runs[st.Run]; !ok || twice {
		return
	}
	r := &run{Start: st, on: e, at: now, ahead: e.reading.ahead(st.Rank), decided: decided, charge: c}
	s.runs[st.Run] = r
	e.running++
	r.beside = e.running
	e.occupy(now, r)
	if decided {
		e.decided++
		e.decidedAt = now
	}
	e.reading.add(st.Rank, st.Uncached)
	e.allocate(r)
	s.sizesOf(e.Service).add(st.size())
	if st.Model == "" {
		return
	}
	cache := e.cacheOf(st.Model, st.Version)
	if cache == nil {
		return
	}
	for i, k := range st.Keys {
		cache.touch(k, st.Tokens[i])
	}
}

// SetStage records that a run has reached a stage.
func (s *State) SetStage(now time.Time, id RunID, stage Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	if !ok {
		return
	}
	if stage == Answering {
		if !r.streamed {
			r.streamed = true
			r.on.limit.FirstToken(s.limitRun(now, r.on, r))
		}
		s.promptRead(now, r.on, r)
		return
	}
	delete(s.runs, id)
	s.end(now, r.on, r, stage)
	s.notify()
}

// promptRead records that the prompt of a run has been read.
func (s *State) promptRead(now time.Time, e *endpoint, r *run) {
	if r.answered {
		return
	}
	s.measure(now, e, r)
	r.answered = true
	e.reading.remove(r.Rank, r.Uncached)
	s.recordRead(e, r)
	s.notify()
}

// recordRead records that the parts of a run are in the endpoint's memory, and in the cache
// store to which it saves them.
func (s *State) recordRead(e *endpoint, r *run) {
	if c := e.caches[r.Model]; c != nil && c.version == r.Version {
		c.parts.markRead(r.Keys)
	}
	k := s.stores[r.SaveTo]
	if k == nil {
		return
	}
	for i, key := range r.Keys {
		k.parts.touch(key, r.Tokens[i])
	}
	k.parts.markRead(r.Keys)
}

func (s *State) end(now time.Time, e *endpoint, r *run, stage Stage) {
	e.running--
	if r.decided {
		e.decided--
	}
	e.release(r)
	s.observeLimit(now, e, r, stage)
	s.settle(now, e, r, stage)
	e.vacate(now, r)
	if !r.answered {
		e.reading.remove(r.Rank, r.Uncached)
	}
	failed := 0.0
	switch stage {
	case Done:
		if !r.answered {
			s.recordRead(e, r)
		}
		if r.Model == "" {
			e.latencyMs += latencyWeight * (float64(now.Sub(r.at).Milliseconds()) - e.latencyMs)
		}
	case Rejected:
		e.avoid(now.Add(avoidAfterRejection))
		e.rejected(now)
	case Errored:
		// One request's error predicts little about the next request, so the endpoint is not
		// suspected; its failure rate adds to its cost.
		failed = 1
	case Failed:
		failed = 1
		e.suspect(now.Add(suspectAfterFailure))
	case Unreachable:
		failed = 1
		e.suspect(now.Add(suspectAfterUnreachable))
	}
	if stage != Done && r.Model != "" && !r.answered {
		if c := e.caches[r.Model]; c != nil {
			c.parts.removeUnread(r.Keys)
		}
	}
	if stage != Rejected && stage != Misdirected && stage != Abandoned && !r.notEndpointFault(stage) {
		e.failures += failureWeight * (failed - e.failures)
		e.failuresAt = now
		if r.Model == "" {
			s.failures[e.Service] += serviceFailureWeight * (failed - s.failures[e.Service])
		}
	}
}

// notEndpointFault reports whether an error is to be attributed to the request and not to
// the endpoint, which is so for an error of a retry.
//
// Of some requests one in five fails on any endpoint. If the errors of retries counted, the
// endpoints that get the retries would look faulty, and one of them would get all first
// attempts while the others idle.
func (r *run) notEndpointFault(stage Stage) bool { return stage == Errored && r.Again }

const (
	// failureWeight is the smoothing factor of an endpoint's failure rate: about ten runs
	// distinguish a faulty endpoint from one with a single failure.
	failureWeight = 0.1
	// serviceFailureWeight is the smoothing factor of a service's failure rate, over all its
	// runs.
	serviceFailureWeight = 0.02
	// latencyWeight is the smoothing factor of the latency of plain calls.
	latencyWeight = 0.2
)

// Sweep removes runs whose end was never reported, and endpoints that have been missing from
// the list for too long.
//
// Reports get lost when datagrams are dropped or an instance is killed in the middle of its
// requests. Prompt work that is never removed would make an endpoint look overloaded, and in
// the end all requests would be refused although the endpoints idle.
func (s *State) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.runs {
		age := now.Sub(r.at)
		if age > forgetReadingAfter && !r.answered {
			r.answered = true
			r.on.reading.remove(r.Rank, r.Uncached)
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
