package balance

import (
	"sync"
	"time"
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
	pools     map[string]Pool
	endpoints map[string]*endpoint
	// departed are endpoints that are not listed any more, in case they return.
	departed  map[string]*endpoint
	byService map[string][]*endpoint
	runs      map[RunID]*run
	wanted    map[string][]wanted
	// rates at which the endpoints of a pool read prompts, in tokens a ms.
	rates map[string]float64
	// kept are the stores of cached parts by address.
	kept map[string]*keptStore
	// staleBound is how long after a version was named older ones still serve.
	staleBound time.Duration
	// changed is closed and replaced when work may be placed that could not be.
	changed chan struct{}
	waiters int
}

// endpoint is what is known of one incarnation.
type endpoint struct {
	Endpoint
	caches map[string]*modelCache
	// capacity of the cache in tokens.
	capacity int64
	running  int
	// reading is the prompt work in tokens of the runs that have not answered.
	reading int64
	// memory in tokens of the running requests.
	memory int64
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
	memory   int64
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
		staleBound: staleBound,
		wanted:     map[string][]wanted{},
		kept:       map[string]*keptStore{},
		rates:      map[string]float64{},
		pools:      map[string]Pool{},
		endpoints:  map[string]*endpoint{},
		departed:   map[string]*endpoint{},
		byService:  map[string][]*endpoint{},
		runs:       map[RunID]*run{},
		changed:    make(chan struct{}),
	}
}

// SetPools replaces what the records say of the services.
func (s *State) SetPools(pools map[string]Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = pools
}

// keptStore is what is known of a store of cached parts.
type keptStore struct {
	KeptStore
	parts *partCache
}

// SetKept replaces the list of stores that keep cached parts.
func (s *State) SetKept(list []KeptStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*keptStore{}
	for _, k := range list {
		known, ok := s.kept[k.Address]
		if !ok {
			known = &keptStore{parts: newPartCache(k.CacheTokens)}
		}
		known.KeptStore = k
		next[k.Address] = known
	}
	s.kept = next
}

// SetEndpoints replaces the list of endpoints. What is known of those that stay
// is kept, also of one that was missing for a moment, such as when its heartbeats
// were lost; an endpoint under a new ID has an empty cache.
func (s *State) SetEndpoints(list []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*endpoint, len(list))
	byService := map[string][]*endpoint{}
	for id, e := range s.endpoints {
		s.departed[id] = e
	}
	for _, e := range list {
		known, ok := s.departed[e.ID]
		if !ok {
			known = &endpoint{caches: map[string]*modelCache{}, capacity: s.capacityOf(e.Service)}
		}
		held := known.Versions
		known.Endpoint = e
		known.Versions = newest(held, e.Versions)
		delete(s.departed, e.ID)
		known.departedAt = time.Time{}
		next[e.ID] = known
		byService[e.Service] = append(byService[e.Service], known)
	}
	s.endpoints, s.byService = next, byService
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

// Started notes a run of any instance.
func (s *State) Started(now time.Time, st Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.endpoints[st.Endpoint]
	if _, twice := s.runs[st.Run]; !ok || twice {
		return
	}
	r := &run{Start: st, on: e, at: now, memory: sum(st.Tokens) + st.Output, ahead: e.reading}
	s.runs[st.Run] = r
	e.running++
	e.reading += st.Uncached
	e.memory += r.memory
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

func sum(list []int64) int64 {
	var n int64
	for _, v := range list {
		n += v
	}
	return n
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
	e.reading -= r.Uncached
	s.read(e, r)
	s.wake()
}

const (
	// firstRate is the guess of how fast an endpoint reads, in tokens a ms, until
	// it was measured.
	firstRate = 40.0
	// fixedTime is the part of the time to a first token that does not depend on
	// the prompt: two ways over the network, and a step of the engine.
	fixedTime = 30 * time.Millisecond
	// measuredTokens is the least prompt whose time tells the rate. Before
	// enoughMeasured an endpoint counts as its pool; rateWeight is the weight of the
	// newest measurement: single ones differ by half, with what else runs there.
	measuredTokens = 2000
	enoughMeasured = 10
	rateWeight     = 0.03
)

// measure learns how fast the endpoint reads prompts. Runs behind much other work
// are left out: the endpoint may have taken them before it.
func (s *State) measure(e *endpoint, r *run, took time.Duration) {
	if r.Uncached < measuredTokens || r.ahead > r.Uncached || took <= fixedTime {
		return
	}
	rate := float64(r.ahead+r.Uncached) / float64((took-fixedTime).Milliseconds()+1)
	e.measured++
	e.rate += max(rateWeight, 1/float64(e.measured)) * (rate - e.rate)
	s.rates[e.Service] = s.poolRate(e.Service) + rateWeight*(rate-s.poolRate(e.Service))
}

func (s *State) poolRate(service string) float64 {
	if r, ok := s.rates[service]; ok {
		return r
	}
	return firstRate
}

func (s *State) rateOf(e *endpoint) float64 {
	if e.measured >= enoughMeasured {
		return e.rate
	}
	return s.poolRate(e.Service)
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
	e.memory -= r.memory
	if !r.answered {
		e.reading -= r.Uncached
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
	if stage != Rejected && stage != Misdirected && stage != Abandoned {
		e.failures += failureWeight * (failed - e.failures)
	}
}

const (
	// failureWeight is the weight of the newest run in the share of failures:
	// ten runs in a row tell a faulty endpoint from one with a single fault.
	failureWeight = 0.1
	// latencyWeight is the same of the latency of plain calls.
	latencyWeight = 0.2
)

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

// Gone says that an incarnation has ended, before the platform's list tells.
func (s *State) Gone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.endpoints[id]; ok {
		e.Draining = true
	}
}

// Leaving says that an endpoint takes no new work, by its own word.
func (s *State) Leaving(id string) { s.Gone(id) }

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
			r.on.reading -= r.Uncached
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
		list = append(list, View{e.Endpoint, e.running, e.reading, e.memory, now.Before(e.avoidUntil), now.Before(e.doubtUntil), e.failures})
	}
	return list
}
