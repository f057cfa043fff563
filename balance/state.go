package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/concurrency"
	"github.com/sardinedock/sardinedock/internal/ewma"
	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// forgetRunsAfter is the age at which runs are removed whose end was not reported, such
	// as those of an instance that was killed.
	forgetRunsAfter = 30 * time.Second
	// forgetReadingAfter is how long a prompt counts as being read. Callers give up after
	// about 3 s without a first token.
	forgetReadingAfter = 4 * time.Second
	// forgetDepartedAfter is how long the state of an endpoint that is no longer listed is
	// kept: longer than any run there.
	forgetDepartedAfter = 60 * time.Second
	// defaultCache is the assumed cache memory, in tokens, of an endpoint whose pool
	// configures none.
	defaultCache = 200_000
)

// State is what this instance knows of all endpoints. It is safe for concurrent use; no
// method blocks except on the mutex.
type State struct {
	mu     sync.Mutex
	limits Limiter
	// leaving reports whether an endpoint has stated that it leaves, brittle whether it has stated that
	// it fails if it has to reject too many requests.
	leaving, brittle func(endpoint string) bool
	// turn returns this instance's part in decisions on a brittle endpoint.
	turn func(endpoint, service string) Turn
	// known returns the share of the fleet whose runs are known; knownValue is what it returned at knownAt.
	known      func() float64
	knownValue float64
	knownAt    time.Time
	// capacities is the use of the slots of each service that has had a request with a latency target.
	capacities map[string]*capacity
	pools      map[string]Pool
	endpoints  map[string]*endpoint
	// departed are the endpoints that are no longer listed, kept in case they return.
	departed  map[string]*endpoint
	byService map[string][]*endpoint
	// severalReleases is whether a service's listed endpoints have several releases; without an entry, that has
	// to be found out.
	severalReleases map[string]bool
	runs            map[RunID]*run
	desired         map[string][]desired
	// rates are the average rates at which the endpoints of a service read prompts, in
	// tokens per ms.
	rates map[string]float64
	// failures are the smoothed failure rates of plain services.
	failures map[string]float64
	// sizes of the latest requests, by service.
	sizes map[string]*sizes
	// stores are the cache stores by address.
	stores map[string]*cacheStore
	// staleBound is how long older versions may be served after a new one was named.
	staleBound time.Duration
	// unlisted reports whether this instance has no list of endpoints; other instances place
	// its requests.
	unlisted bool
	// changed is closed and replaced when a request that could not be placed may be placed
	// now.
	changed chan struct{}
	waiters int
}

// endpoint is the state of one incarnation.
type endpoint struct {
	Endpoint
	// assumed are guessed versions of the weights, by model; see Mismatch.
	assumed map[string]int64
	caches  map[string]*modelCache
	// capacity of the cache in tokens.
	capacity int64
	// cacheReported reports whether the endpoint has reported its complete cache.
	cacheReported bool
	running       int
	// reading is the prompt work, in tokens, of the runs without a first token.
	reading backlog
	// memory is the memory of the running requests in tokens. A part that several of them
	// share counts once; users is the number of runs that use a part.
	memory int64
	users  map[prefix.PartKey]int
	// The endpoint is not chosen before avoidUntil, and before suspectUntil only if there is
	// no other.
	avoidUntil   time.Time
	suspectUntil time.Time
	// loadingUntil is when the new weights that the endpoint was ordered to load should be
	// in place.
	loadingUntil time.Time
	// loadingSoonUntil is until when the endpoint counts as one of the next to load new
	// weights.
	loadingSoonUntil time.Time
	// releaseChanged is set if the entry of the incarnation has stated several releases, so that none is
	// certain.
	releaseChanged bool
	// departedAt is the time of the first sweep that found the endpoint missing from the
	// list.
	departedAt time.Time
	// failures is the smoothed failure rate of recent runs.
	failures float64
	// failuresAt is when failures was last updated.
	failuresAt time.Time
	// latencyMs is the smoothed latency of plain calls.
	latencyMs float64
	// decided is the number of running requests that this instance has placed, decidedAt when it placed
	// the last one.
	decided   int
	decidedAt time.Time
	// room is how many requests the endpoint took at once when it last rejected one, at roomAt; see
	// roomFor.
	room   int
	roomAt time.Time
	// pace is what the endpoint last reported about its machine.
	pace pace
	// rate is the average rate at which the endpoint reads prompts at its usual pace, in tokens per ms.
	rate ewma.Average
	// limit bounds the requests at the endpoint. waiting are those of the running ones that have no slot there yet, in
	// order, and waitingWork their expected time in a slot, in seconds.
	limit       concurrency.Limit
	waiting     []*run
	waitingWork float64
}

type modelCache struct {
	version int64
	parts   *partCache
}

type run struct {
	Start
	// on is the endpoint, even when it is no longer listed: its counters would drift if the
	// end of a run were subtracted from another object than its start was added to.
	on       *endpoint
	at       time.Time
	answered bool
	// streamed is set if the run has brought the first event of a stream.
	streamed bool
	// decided is set if this instance has placed the run.
	decided bool
	// ahead is the prompt work that was queued at the endpoint before this run's.
	ahead int64
	// beside is the number of requests at the endpoint when the run was sent, with itself.
	beside int
	// slotAt is when the run got a slot; zero while it waits for one. work is its expected time in a slot, in seconds.
	slotAt time.Time
	work   float64
	// charge is what the run counts in its service's shares, if this instance has placed it.
	charge *charge
}

// desired is a version of a model's weights that operators have named, and when this
// instance first saw it.
type desired struct {
	version int64
	since   time.Time
}

// NewState returns a state without endpoints. Endpoints with older weights may serve for
// staleBound after a newer version was named.
func NewState(staleBound time.Duration) *State {
	return &State{
		limits:          unlimited{},
		leaving:         func(string) bool { return false },
		brittle:         func(string) bool { return false },
		turn:            alone,
		known:           func() float64 { return 1 },
		capacities:      map[string]*capacity{},
		staleBound:      staleBound,
		desired:         map[string][]desired{},
		stores:          map[string]*cacheStore{},
		rates:           map[string]float64{},
		failures:        map[string]float64{},
		sizes:           map[string]*sizes{},
		pools:           map[string]Pool{},
		endpoints:       map[string]*endpoint{},
		departed:        map[string]*endpoint{},
		byService:       map[string][]*endpoint{},
		severalReleases: map[string]bool{},
		runs:            map[RunID]*run{},
		changed:         make(chan struct{}),
	}
}

// SetListed sets whether this instance has the list of endpoints. Without it, Resolve
// accepts placements of other instances at unknown endpoints.
func (s *State) SetListed(listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlisted = !listed
}

// SetLimiter replaces the limiter of the endpoints' rates.
func (s *State) SetLimiter(l Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// SetLeaving replaces the function that reports whether an endpoint has stated that it leaves. It
// is called for each endpoint of a service in each decision.
func (s *State) SetLeaving(leaving func(endpoint string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetBrittle replaces the function that reports whether an endpoint has stated that it fails if it has to
// reject too many requests, and the one that returns this instance's part in decisions on it. Both are
// called in decisions.
func (s *State) SetBrittle(brittle func(endpoint string) bool, turn func(endpoint, service string) Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle, s.turn = brittle, turn
}

func (s *State) limiter() Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// SetStaleBound replaces the bound given to NewState.
func (s *State) SetStaleBound(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBound = d
}

// SetPools replaces the configuration of the services.
func (s *State) SetPools(pools map[string]Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = pools
}

// SetEndpoints replaces the list of endpoints.
func (s *State) SetEndpoints(list []Endpoint) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		s.PutEndpoint(e)
	}
	for _, v := range s.Endpoints("", time.Time{}) {
		if !listed[v.ID] {
			s.RemoveEndpoint(v.ID)
		}
	}
}

// PutEndpoint adds or updates an endpoint of the list. The state of a known endpoint is
// kept, even if it was missing for a moment, for example because its heartbeats were lost.
// An endpoint with a new ID starts with an empty cache.
func (s *State) PutEndpoint(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, listed := s.endpoints[e.ID]
	if !listed {
		known = s.departed[e.ID]
	}
	if known == nil {
		known = &endpoint{assumed: map[string]int64{}, caches: map[string]*modelCache{}, users: map[prefix.PartKey]int{}, capacity: s.capacityOf(e.Service)}
	}
	known.releaseChanged = known.releaseChanged || known.ID != "" && known.Release != e.Release
	held := known.Versions
	for model, v := range e.Versions {
		if v > held[model] {
			delete(known.assumed, model)
		}
	}
	known.Endpoint = e
	delete(s.severalReleases, e.Service)
	known.Versions = newest(held, e.Versions)
	if !listed {
		delete(s.departed, e.ID)
		known.departedAt = time.Time{}
		s.endpoints[e.ID] = known
		s.byService[e.Service] = append(s.byService[e.Service], known)
	}
	s.notify()
}

// RemoveEndpoint removes an endpoint that is no longer listed.
func (s *State) RemoveEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok {
		return
	}
	delete(s.endpoints, id)
	delete(s.severalReleases, e.Service)
	s.departed[id] = e
	s.byService[e.Service] = slices.DeleteFunc(s.byService[e.Service], func(x *endpoint) bool { return x == e })
	s.notify()
}

// newest merges the versions from two sources; a version never decreases within one
// incarnation.
func newest(a, b map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(b))
	for model, v := range b {
		merged[model] = max(v, a[model])
	}
	for model, v := range a {
		merged[model] = max(v, merged[model])
	}
	return merged
}

func (s *State) capacityOf(service string) int64 {
	if p := s.pools[service]; p.CacheTokens > 0 {
		return p.CacheTokens
	}
	return defaultCache
}

// Changed returns a channel that is closed when the result of Choose may have changed.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters++
	return s.changed
}

// notify closes the channel of Changed. The caller must hold s.mu.
func (s *State) notify() {
	if s.waiters == 0 {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.waiters = 0
}

// cacheOf returns the cache for a model's version: an empty one if the version is newer than
// that of the existing cache, and nil if it is older.
func (e *endpoint) cacheOf(model string, version int64) *partCache {
	c := e.caches[model]
	switch {
	case c == nil || version > c.version:
		c = &modelCache{version: version, parts: newPartCache(e.capacity)}
		e.caches[model] = c
	case version < c.version:
		return nil
	}
	return c.parts
}

// outputMemory returns the average memory that an output of this many tokens takes while it
// is generated.
//
// It is half of the output. In a burst on a pool that is limited by memory, counting all of
// it from the first token on makes requests wait, and be refused, for memory that is free.
// With much less than half, running requests are preempted in the middle of their output.
func outputMemory(tokens int64) int64 { return tokens / 2 }

// allocate adds the memory of a run.
func (e *endpoint) allocate(r *run) {
	e.memory += outputMemory(r.Output)
	for i, k := range r.Keys {
		if e.users[k]++; e.users[k] == 1 {
			e.memory += r.Tokens[i]
		}
	}
}

// release subtracts the memory of a run that has ended.
func (e *endpoint) release(r *run) {
	e.memory -= outputMemory(r.Output)
	for i, k := range r.Keys {
		if e.users[k]--; e.users[k] == 0 {
			e.memory -= r.Tokens[i]
			delete(e.users, k)
		}
	}
}

// shared returns how many tokens of a prompt's parts are in use by running requests.
func (e *endpoint) shared(keys []prefix.PartKey, parts []prefix.Part) int64 {
	var n int64
	for i, k := range keys {
		if e.users[k] > 0 {
			n += parts[i].Tokens
		}
	}
	return n
}

func (e *endpoint) avoid(until time.Time) {
	if until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}

func (e *endpoint) suspect(until time.Time) {
	if until.After(e.suspectUntil) {
		e.suspectUntil = until
	}
}

// Suspect marks an endpoint as suspected, so that until then it is chosen only if there is no
// other. It is called when another instance reports that the endpoint broke a connection or
// was unreachable.
func (s *State) Suspect(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.suspect(until)
	}
}

// Loading marks an endpoint as loading new weights; it rejects requests until then.
func (s *State) Loading(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.loadingUntil = until
	}
}

// LoadingSoon marks an endpoint as one of the next to load new weights, until then.
func (s *State) LoadingSoon(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.loadingSoonUntil = until
	}
}

// MarkReplaced marks an endpoint at whose address another one has answered, until its entry in the
// platform's list is written again.
func (s *State) MarkReplaced(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.Draining = true
	}
}

// accepts reports whether an endpoint accepts new requests. The caller must hold s.mu.
func (s *State) accepts(e *endpoint) bool { return !e.Draining && !s.leaving(e.ID) }

// hasRoom reports whether an endpoint may be sent one more request. The caller must hold s.mu.
func (s *State) hasRoom(e *endpoint, now time.Time) bool {
	return e.Slots == 0 || !s.brittle(e.ID) || e.hasRoomFor(now, s.turn(e.ID, e.Service))
}

// ServiceOf returns the service of an endpoint that is listed, or was until recently; empty if there is
// no such endpoint.
func (s *State) ServiceOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range []map[string]*endpoint{s.endpoints, s.departed} {
		if e := list[id]; e != nil {
			return e.Service
		}
	}
	return ""
}

// ListedReady reports whether the platform's list shows an endpoint and does not show it draining;
// service is its service.
func (s *State) ListedReady(id string) (service string, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok || e.Draining {
		return "", false
	}
	return e.Service, true
}

// Listed returns an endpoint of the platform's list.
func (s *State) Listed(id string) (e Endpoint, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return x.Endpoint, true
}

// Exists reports whether an endpoint is listed, or was until recently.
func (s *State) Exists(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id] != nil || s.departed[id] != nil
}

// View is one endpoint in the state dump.
type View struct {
	Endpoint
	Running int   `json:"running"`
	Reading int64 `json:"reading_tokens"`
	Memory  int64 `json:"memory_tokens"`
	// Avoided endpoints are not chosen at present, suspected ones only if there is no other.
	Avoided   bool `json:"avoided"`
	Suspected bool `json:"doubted"`
	// StatedLeaving endpoints have stated that they leave; they count as draining.
	StatedLeaving bool `json:"stated_leaving"`
	// Pace is how long work takes on the endpoint's machine, as a multiple of the usual.
	Pace        float64 `json:"pace"`
	FailureRate float64 `json:"failure_share"`
	// Limit is how many requests the endpoint may have at once, for requests with a latency target.
	Limit int `json:"limit"`
}

// targetOf returns the tightest latency target of a service's last requests. The caller must hold s.mu.
func (s *State) targetOf(service string) time.Duration {
	if c := s.capacities[service]; c != nil {
		return c.targets.value()
	}
	return 0
}

// Endpoints returns the state of each endpoint of a service, or of all services if the name
// is empty.
func (s *State) Endpoints(service string, now time.Time) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []View
	for _, e := range s.endpoints {
		if service != "" && e.Service != service {
			continue
		}
		v := View{e.Endpoint, e.running, e.reading.total(), e.memory, now.Before(e.avoidUntil), now.Before(e.suspectUntil), s.leaving(e.ID), e.pace.now(now), e.failures, e.limit.Value(e.Slots, s.targetOf(e.Service))}
		v.Draining = !s.accepts(e)
		list = append(list, v)
	}
	return list
}
