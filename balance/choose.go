package balance

import (
	"math"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/selfreport"
)

const (
	// uncachedWeight is the weight of a token that has to be read, relative to a token of
	// the endpoint's backlog. Reading it delays the endpoint's other requests as much as
	// this one, so it counts twice.
	uncachedWeight = 2.0
	// fetchedWeight is the weight of a token that can be fetched from another endpoint: it
	// takes link time and memory, but hardly any computation.
	fetchedWeight = 0.4
	// crossDCTokens is the weight, in tokens, of sending to another data centre: a round
	// trip of a few ms and the price of the traffic.
	crossDCTokens = 150.0
	// runningTokens is the weight of each running request, since it shares the engine's
	// steps with all others.
	runningTokens = 60.0
	// overflowWeight is the weight of a token that does not fit into memory: it waits until
	// other requests have ended, which takes longer than reading it.
	overflowWeight = 4.0
	// staleAccepted is how long after a new version was named callers accept an older one
	// equally well. From then on staleTokens is added to the cost of an endpoint with an
	// older version.
	staleAccepted = 1400 * time.Millisecond
	staleTokens   = 6000.0
	// staleShare is the percentage of staleBound after which an endpoint with old weights
	// gets no requests, for example one that restarts with its previous version. The rest of
	// the bound is left for requests in the endpoint's queue.
	staleShare = 75
	// loadingSoonTokens is the weight of an endpoint that is among the next to load new
	// weights: what a run generates after the change is of no use to its caller. It is
	// scaled down for requests with fewer output tokens than loadingSoonOutput, which end
	// before the load.
	loadingSoonTokens = 16000.0
	loadingSoonOutput = 200.0
	// suspectTokens is the weight of an endpoint that has just broken a connection or was
	// unreachable. It is more than any load, so that the endpoint is the last choice but
	// remains one: if a network fault makes all endpoints suspected, callers would otherwise
	// be refused although the endpoints serve.
	suspectTokens = 1e7
	// failureTolerance is how far the failure rate of a plain endpoint may exceed its
	// service's by chance.
	failureTolerance = 0.2
	// failureMemory is the time constant with which the failure rate of a plain endpoint
	// that gets no requests decays.
	failureMemory = 2 * time.Second
	// failureTokens is the weight of an endpoint whose runs all fail.
	failureTokens = 20000.0
)

// Choose returns the endpoint on which a request should run now. ok is false if no endpoint
// can take it at this moment; the caller should retry when the channel of Changed is closed,
// and after some time, since the end of an avoidance period is not signalled. If all endpoints
// that could have taken the request have used up their rate limits or pause, PassedOver of the
// placement is the best of them.
//
// The cost of an endpoint is the sum of its backlog and of the tokens that it would have to
// read, both in prompt tokens. Both matter when bursts of long prompts with shared prefixes
// arrive while some endpoints are slow, loading or down: a choice by cached parts alone
// overloads the endpoint that has a hot prefix, and one by load alone makes every endpoint
// read every prefix.
func (s *State) Choose(now time.Time, a Ask) (Placement, bool) { return s.choose(now, a, nil) }

// choose is Choose for a request with an allowance, which is sent to an endpoint below its limit if there is one. If
// the endpoints that could take the request are at their limits, and the allowance leaves no room there, load of the
// placement says so.
func (s *State) choose(now time.Time, a Ask, allow *allowance) (Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := chooser{allow: allow, accepts: s.accepts, hasRoom: s.hasRoom, limits: s.limits, paused: pausedSet(a.Paused), serviceFailures: s.failures[a.Service], ask: a, now: now, keys: map[int64][]prefix.PartKey{}, targets: s.desired[a.Model], tooOld: s.staleBound * staleShare / 100}
	list := s.byService[a.Service]
	if a.Release == "" && s.hasSeveralReleases(a.Service) {
		c.countReleases(list)
	}
	for i := range list {
		e := list[(uint64(i)+a.Offset)%uint64(len(list))]
		c.slowness, c.version = s.slowness(now, e), e.version(a.Model)
		c.consider(e, s.bestSource(&c, list, e))
	}
	c.considerLimited(s.sizesOf(a.Service).smaller(a.PromptTokens + a.OutputTokens))
	aboveLimit := c.best.endpoint == nil && c.atLimit.endpoint != nil
	if aboveLimit {
		c.best = c.atLimit
	}
	if c.best.endpoint == nil {
		return c.unplaced(), false
	}
	p := c.placement()
	p.load, p.aboveLimit = c.load, aboveLimit
	p.SaveTo = s.saveTo(&c, p)
	rate := s.rateOf(now, c.best.endpoint)
	p.Backlog = tokenTime(p.Ahead, rate)
	p.FirstToken = p.Backlog + tokenTime(p.Uncached, rate) + fixedTime
	return p, true
}

// pausedSet returns the times until the endpoints that pause take a request.
func pausedSet(list []selfreport.Pause) map[string]time.Duration {
	if len(list) == 0 {
		return nil
	}
	set := make(map[string]time.Duration, len(list))
	for _, p := range list {
		set[p.Endpoint] = p.Left
	}
	return set
}

// tokenTime returns how long it takes to read tokens at a rate in tokens per ms.
func tokenTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// saveShare is the minimum size of the shared parts that a request reads, in percent of the
// request's own part, for the prompt to be saved in a cache store.
const saveShare = 50

// saveTo returns the address of the cache store that should keep what the placement reads;
// empty for none. Endpoints save whole prompts, and the last part belongs to this request
// alone: no other request uses it, and in the store it evicts parts that others use. So a
// prompt is saved only if enough of it is shared.
//
// Each prompt is assigned to one store by a hash of its last shared part, so that all stores
// are filled and none duplicates another. If one of several stores were preferred while more
// catalogues are in use than it can keep, it would evict parts within seconds while the
// others stay empty, and parts that the engines have evicted as well would be read again.
func (s *State) saveTo(c *chooser, p Placement) string {
	n := len(c.ask.Parts)
	if n < 2 {
		return ""
	}
	own := c.ask.Parts[n-1].Tokens
	if shared := p.Uncached - own; shared <= 0 || 100*shared < saveShare*own {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, k := range s.stores {
		if score := k.score(p.Keys[n-2]); best == "" || score > bestScore {
			best, bestScore = k.Address, score
		}
	}
	return best
}

// rateTolerance is how far the measured rate of an endpoint may differ from its pool's and
// still count as equal: measurements of identical endpoints differ by as much.
const rateTolerance = 0.08

// slowness returns the factor by which an endpoint reads slower than its pool.
func (s *State) slowness(now time.Time, e *endpoint) float64 {
	ratio := s.poolRate(e.Service) / s.rateOf(now, e)
	if ratio > 1-rateTolerance && ratio < 1+rateTolerance {
		return 1
	}
	return ratio
}

// source is an endpoint or cache store that has leading parts of the prompt.
type source struct {
	// id of the endpoint; empty for a store.
	id      string
	address string
	parts   int
}

// bestSource returns the endpoint or cache store that has read most leading parts of the
// prompt for the version that e has loaded.
func (s *State) bestSource(c *chooser, list []*endpoint, e *endpoint) source {
	if len(c.ask.Parts) == 0 {
		return source{}
	}
	version := c.version
	if found, ok := c.sources[version]; ok {
		return found
	}
	var best source
	for _, other := range list {
		cache := other.caches[c.ask.Model]
		if cache == nil || cache.version != version || c.now.Before(other.suspectUntil) {
			continue
		}
		if _, read := cache.parts.leading(c.keysOf(version)); read > best.parts {
			best = source{other.ID, other.Address, read}
		}
	}
	for _, k := range s.stores {
		if _, read := k.parts.leading(c.keysOf(version)); read > best.parts {
			best = source{address: k.Address, parts: read}
		}
	}
	if c.sources == nil {
		c.sources = map[int64]source{}
	}
	c.sources[version] = best
	return best
}

// chooser compares the endpoints for one request.
type chooser struct {
	ask     Ask
	now     time.Time
	keys    map[int64][]prefix.PartKey
	sources map[int64]source
	// targets are the versions that operators have named. An endpoint that has been behind
	// one of them for longer than tooOld gets no requests.
	targets []desired
	tooOld  time.Duration

	// serviceFailures is the failure rate of the service's runs.
	serviceFailures float64

	// State of the endpoint under consideration: its slowness relative to its pool, the
	// version of its weights, and whether the request exceeds its free memory.
	slowness float64
	version  int64
	full     bool

	// accepts reports whether an endpoint accepts new requests, hasRoom whether it may be sent one more
	// at present.
	accepts func(*endpoint) bool
	hasRoom func(*endpoint, time.Time) bool
	limits  Limiter
	// ready is the number of endpoints of each release that accept requests; nil if there is one release, or
	// the request is bound to one.
	ready map[string]int
	// limited are the endpoints with a rate limit, paused the time until each endpoint that
	// pauses takes a request.
	limited []candidate
	paused  map[string]time.Duration
	// overLimit is the cheapest endpoint that would have been chosen but has used up its rate
	// limit, overPause the cheapest that pauses, and pauseLeft the time until the first pause
	// ends.
	overLimit, overPause candidate
	pauseLeft            time.Duration
	// temporary reports whether an endpoint was skipped for a temporary reason other than
	// what it has stated.
	temporary bool

	best candidate

	// allow is set if the request observes the limits of endpoints. load is then that of the endpoints that could
	// take it, and atLimit the cheapest of those at their limits that have room for it all the same.
	allow   *allowance
	load    poolLoad
	atLimit candidate
}

// candidate is an endpoint that can run the request.
type candidate struct {
	*endpoint
	cost     float64
	version  int64
	full     bool
	uncached int64
	fetch    string
}

func (c *chooser) keysOf(version int64) []prefix.PartKey {
	k, ok := c.keys[version]
	if !ok {
		k = prefix.PartKeys(nil, Scope(c.ask.Wall, version), c.ask.Model, c.ask.Parts)
		c.keys[version] = k
	}
	return k
}

func (c *chooser) consider(e *endpoint, from source) {
	if !c.accepts(e) || !e.runs(c.ask.Release) {
		return
	}
	if left, ok := c.paused[e.ID]; ok {
		c.skipPaused(e, from, left)
		return
	}
	if !c.hasRoom(e, c.now) || c.now.Before(e.avoidUntil) || c.now.Before(e.loadingUntil) || c.excluded(e.ID) || behindFor(c.targets, c.version, c.now) > c.tooOld {
		c.temporary = true
		return
	}
	full := false
	if c.allow != nil {
		limit := c.allow.limit(e)
		excess := c.allow.excess(e, limit)
		full = excess >= 0
		c.load.add(e, limit, full)
		if full && excess >= c.allow.beyond(e) {
			return
		}
	}
	cost, uncached, fetch := c.cost(e, from)
	found := candidate{endpoint: e, cost: cost, version: c.version, full: c.full, uncached: uncached, fetch: fetch}
	switch {
	case full:
		if c.atLimit.endpoint == nil || cost < c.atLimit.cost {
			c.atLimit = found
		}
	case c.limits.Limited(e.ID):
		c.limited = append(c.limited, found)
	case c.best.endpoint == nil || cost < c.best.cost:
		c.best = found
	}
}

// skipPaused records an endpoint that pauses.
func (c *chooser) skipPaused(e *endpoint, from source, left time.Duration) {
	cost, _, _ := c.cost(e, from)
	if c.overPause.endpoint == nil || cost < c.overPause.cost {
		c.overPause = candidate{endpoint: e, cost: cost}
	}
	if c.pauseLeft == 0 || left < c.pauseLeft {
		c.pauseLeft = left
	}
}

// passedOver returns the cheapest endpoint that was skipped because of what it has stated and is
// cheaper than the chosen one, and what that is.
func (c *chooser) passedOver() (id string, why Obstacle) {
	over := c.overLimit
	if over.endpoint != nil {
		id, why = over.ID, RateLimit
	}
	cheaper := func(than candidate) bool { return than.endpoint == nil || c.overPause.cost < than.cost }
	if c.overPause.endpoint != nil && cheaper(c.best) && cheaper(over) {
		id, why = c.overPause.ID, Pause
	}
	return id, why
}

// unplaced returns the placement of a request that no endpoint takes. PassedOver and PassedFor are
// set only if what endpoints have stated is the only reason.
func (c *chooser) unplaced() Placement {
	switch {
	case c.load.full > 0:
		return Placement{load: c.load}
	case c.temporary:
		return Placement{}
	case c.overLimit.endpoint != nil:
		return Placement{PassedOver: c.overLimit.ID, PassedFor: RateLimit}
	case c.overPause.endpoint != nil:
		return Placement{PassedOver: c.overPause.ID, PassedFor: Pause, pauseLeft: c.pauseLeft}
	}
	return Placement{}
}

func (c *chooser) excluded(id string) bool {
	for _, x := range c.ask.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// cost returns the cost of running the request on e, in prompt tokens. fetch is the address
// from which missing parts should be fetched; empty for none.
func (c *chooser) cost(e *endpoint, from source) (cost float64, uncached int64, fetch string) {
	if c.ask.DataCentre != e.DataCentre {
		cost += crossDCTokens
	}
	cost += failureTokens * c.excessFailures(e)
	if c.now.Before(e.suspectUntil) {
		cost += suspectTokens
	}
	if c.ask.Model == "" {
		return cost + c.plainCost(e), 0, ""
	}
	own := 0
	if cache := e.caches[c.ask.Model]; cache != nil && cache.version == c.version {
		own, _ = cache.parts.leading(c.keysOf(cache.version))
	}
	local := prefix.PartTokens(c.ask.Parts[:own])
	var fetched int64
	if from.parts > own && from.id != e.ID {
		fetched = prefix.PartTokens(c.ask.Parts[own:from.parts])
		fetch = from.address
	}
	uncached = max(c.ask.PromptTokens-local-fetched, 0)
	cost += c.slowness*(float64(e.reading.ahead(c.ask.Rank))+uncachedWeight*float64(uncached)) + fetchedWeight*float64(fetched)
	cost += runningTokens * float64(e.running)
	if c.isReserved(e) {
		cost += reservedTokens
	}
	if c.now.Before(e.loadingSoonUntil) {
		cost += loadingSoonTokens * min(1, float64(c.ask.OutputTokens)/loadingSoonOutput)
	}
	if behindFor(c.targets, c.version, c.now) > staleAccepted {
		cost += staleTokens
	}
	over := -c.freeMemory(e)
	if c.full = over > 0; c.full {
		cost += overflowWeight * float64(over)
	}
	return cost, uncached, fetch
}

// excessFailures returns the share of an endpoint's runs that fail through the endpoint's
// own fault.
//
// In a plain service many requests may fail on any endpoint. If the endpoints' failure rates
// were compared directly, the random results of the last few runs would decide which
// endpoint looks best, and that one would get all requests while the others idle. So only
// what exceeds the service's failure rate by more than failureTolerance counts; a faulty
// endpoint exceeds it by far.
func (c *chooser) excessFailures(e *endpoint) float64 {
	if c.ask.Model != "" {
		return e.failures
	}
	idle := c.now.Sub(e.failuresAt).Seconds()
	return max(e.failures*math.Exp(-idle/failureMemory.Seconds())-c.serviceFailures-failureTolerance, 0)
}

// freeMemory returns how much of an endpoint's memory, in tokens, is left when the request
// runs there too; negative if it does not fit.
func (c *chooser) freeMemory(e *endpoint) int64 {
	need := c.ask.PromptTokens + outputMemory(c.ask.OutputTokens) - e.shared(c.keysOf(c.version), c.ask.Parts)
	return e.capacity - e.memory - need
}

// plainCost returns the cost of an endpoint of a plain service, from its load and its
// average latency.
func (c *chooser) plainCost(e *endpoint) float64 {
	return float64(e.running+1) / float64(max(e.Slots, 1)) * (e.latencyMs + 1) * e.pace.now(c.now) * plainTokens
}

// plainTokens converts the cost of plain calls, in ms, to the scale of the other weights.
const plainTokens = 50.0

func (c *chooser) placement() Placement {
	e := c.best
	p := Placement{
		Endpoint: e.Endpoint, Ahead: e.reading.ahead(c.ask.Rank), Queued: e.reading.total(), Running: e.running,
		Uncached: e.uncached, FetchFrom: e.fetch,
	}
	p.PassedOver, p.PassedFor = c.passedOver()
	if c.ask.Model != "" {
		p.Version, p.Full = e.version, e.full
		p.Keys = c.keysOf(p.Version)
	}
	return p
}
