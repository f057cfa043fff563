package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// forgetRunsAfter drops runs whose end nobody told, such as those of an
	// instance that was killed.
	forgetRunsAfter = 30 * time.Second
	// forgetReadingAfter is how long a prompt counts as being read. Callers give up
	// after some 3 s without a first token.
	forgetReadingAfter = 4 * time.Second
	// forgetDepartedAfter is how long an endpoint that is not listed is remembered:
	// longer than any run there.
	forgetDepartedAfter = 60 * time.Second
	// defaultCache is the memory assumed of an endpoint whose pool states none.
	defaultCache = 200_000
)

// State is what is known of all endpoints. Any goroutine may use it; no method
// blocks on anything but its mutex.
type State struct {
	mu        sync.Mutex
	limits    Limiter
	pools     map[string]Pool
	endpoints map[string]*endpoint
	// departed are endpoints that are not listed any more, in case they return.
	departed  map[string]*endpoint
	byService map[string][]*endpoint
	runs      map[RunID]*run
	wanted    map[string][]wanted
	// rates at which the endpoints of a pool read prompts, in tokens a ms.
	rates map[string]float64
	// failures is the share of late runs that failed, by plain service.
	failures map[string]float64
	// sizes of the requests sent lately, by service.
	sizes map[string]*sizes
	// kept are the stores of cached parts by address.
	kept map[string]*keptStore
	// staleBound is how long after a version was named older ones still serve.
	staleBound time.Duration
	// unlisted says that this instance does not know which endpoints there are; others place
	// its requests.
	unlisted bool
	// changed is closed and replaced when work may be placed that could not be.
	changed chan struct{}
	waiters int
}

// endpoint is what is known of one incarnation.
type endpoint struct {
	Endpoint
	// assumed are versions that were guessed, by model; see Mismatch.
	assumed map[string]int64
	caches  map[string]*modelCache
	// capacity of the cache in tokens.
	capacity int64
	// told says that the endpoint's own word on its cache has come.
	told    bool
	running int
	// reading is the prompt work in tokens of the runs that have not answered.
	reading backlog
	// memory in tokens of the running requests; a part that several of them share
	// counts once.
	memory int64
	users  map[prefix.PartKey]int
	// avoidUntil leaves the endpoint out of choices; until doubtUntil it is chosen
	// only where there is no other.
	avoidUntil time.Time
	doubtUntil time.Time
	// loadingUntil is when new weights that were ordered should be in place.
	loadingUntil time.Time
	// soonUntil is until when the endpoint counts as next to load.
	soonUntil time.Time
	// departedAt is when a sweep first found the endpoint missing.
	departedAt time.Time
	// failures is the share of late runs that failed, with the newest counting most.
	failures float64
	// judgedAt is when a run counted among them last.
	judgedAt time.Time
	// latencyMs is the usual latency of plain calls.
	latencyMs float64
	// rate at which it reads prompts, in tokens a ms, as measured so often.
	rate     float64
	measured int
}

type modelCache struct {
	version int64
	parts   *partCache
}

type run struct {
	Start
	// on is the endpoint, also when it is not listed any more: its counts would
	// drift if the end of a run were taken off another object than its start.
	on       *endpoint
	at       time.Time
	answered bool
	// ahead is the prompt work that the endpoint had before this run's.
	ahead int64
}

// wanted is the version of a model's weights that operators have named.
type wanted struct {
	version int64
	since   time.Time
}

// NewState returns a state without endpoints. Endpoints with older weights serve
// for staleBound after newer ones were named.
func NewState(staleBound time.Duration) *State {
	return &State{
		limits:     unlimited{},
		staleBound: staleBound,
		wanted:     map[string][]wanted{},
		kept:       map[string]*keptStore{},
		rates:      map[string]float64{},
		failures:   map[string]float64{},
		sizes:      map[string]*sizes{},
		pools:      map[string]Pool{},
		endpoints:  map[string]*endpoint{},
		departed:   map[string]*endpoint{},
		byService:  map[string][]*endpoint{},
		runs:       map[RunID]*run{},
		changed:    make(chan struct{}),
	}
}

// SetListed says whether all endpoints are known here. Where they are not, placements of
// others are taken as they are.
func (s *State) SetListed(listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlisted = !listed
}

// SetLimiter replaces who says which endpoints take no more requests.
func (s *State) SetLimiter(l Limiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

func (s *State) limiter() Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

// SetStaleBound replaces what NewState was given.
func (s *State) SetStaleBound(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBound = d
}

// SetPools replaces what the records say of the services.
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

// PutEndpoint notes what the list says of an endpoint. What is known of it is kept,
// also where it was missing for a moment, such as when its heartbeats were lost; an
// endpoint under a new ID has an empty cache.
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
	held := known.Versions
	for model, v := range e.Versions {
		if v > held[model] {
			delete(known.assumed, model)
		}
	}
	known.Endpoint = e
	known.Versions = newest(held, e.Versions)
	if !listed {
		delete(s.departed, e.ID)
		known.departedAt = time.Time{}
		s.endpoints[e.ID] = known
		s.byService[e.Service] = append(s.byService[e.Service], known)
	}
	s.wake()
}

// RemoveEndpoint notes that the list does not name an endpoint any more.
func (s *State) RemoveEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[id]
	if !ok {
		return
	}
	delete(s.endpoints, id)
	s.departed[id] = e
	s.byService[e.Service] = slices.DeleteFunc(s.byService[e.Service], func(x *endpoint) bool { return x == e })
	s.wake()
}

// newest merges what two sources say of the weights; versions only rise within
// one incarnation.
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

// Changed returns a channel that is closed when a choice may come out
// differently than before.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters++
	return s.changed
}

// wake tells those who wait; the mutex is held.
func (s *State) wake() {
	if s.waiters == 0 {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.waiters = 0
}

// cacheOf returns the cache of a model's version, an empty one for a newer
// version, and nil for an older one than the endpoint holds.
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

// outputRoom is how much memory an answer of so many tokens takes on average while it
// is made.
//
// Load: a pool that is bound by memory in a burst. Harm prevented: with the whole
// answer counted from the first token on, requests wait for room that is free, and are
// refused for it. With much less than half, running requests are driven out in the
// middle of their answers.
func outputRoom(tokens int64) int64 { return tokens / 2 }

// take counts the memory of a run.
func (e *endpoint) take(r *run) {
	e.memory += outputRoom(r.Output)
	for i, k := range r.Keys {
		if e.users[k]++; e.users[k] == 1 {
			e.memory += r.Tokens[i]
		}
	}
}

// give counts the memory that is free once a run has ended.
func (e *endpoint) give(r *run) {
	e.memory -= outputRoom(r.Output)
	for i, k := range r.Keys {
		if e.users[k]--; e.users[k] == 0 {
			e.memory -= r.Tokens[i]
			delete(e.users, k)
		}
	}
}

// shared returns how many tokens of a prompt's parts running requests hold already.
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

func (e *endpoint) doubt(until time.Time) {
	if until.After(e.doubtUntil) {
		e.doubtUntil = until
	}
}

// Doubt has an endpoint chosen only where there is no other for a while, as
// another instance tells that it broke a connection or could not be reached.
func (s *State) Doubt(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.doubt(until)
	}
}

// Loading says that an endpoint takes new weights and turns requests away until
// then.
func (s *State) Loading(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.loadingUntil = until
	}
}

// Soon says that an endpoint is among the next to take new weights, until then.
func (s *State) Soon(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.soonUntil = until
	}
}

// Gone says that an incarnation has ended or takes no new work, before the
// platform's list tells.
func (s *State) Gone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.Draining = true
	}
}

// Exists reports whether an endpoint is listed, or was until a moment ago.
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
	// Avoided endpoints get no work now, doubted ones only if there is no other.
	Avoided bool    `json:"avoided"`
	Doubted bool    `json:"doubted"`
	Fails   float64 `json:"failure_share"`
}

// Endpoints returns what is known of each endpoint of a service, or of all
// services for an empty name.
func (s *State) Endpoints(service string, now time.Time) []View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []View
	for _, e := range s.endpoints {
		if service != "" && e.Service != service {
			continue
		}
		list = append(list, View{e.Endpoint, e.running, e.reading.total(), e.memory, now.Before(e.avoidUntil), now.Before(e.doubtUntil), e.failures})
	}
	return list
}
