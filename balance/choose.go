package balance

import (
	"math"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// uncachedWeight is what a token that has to be read weighs against one that
	// the endpoint reads for others before. Reading it costs the endpoint's
	// other requests as much as this one, so it counts twice.
	uncachedWeight = 2.0
	// fetchedWeight is the same for a token that can be fetched from another
	// endpoint: it takes link time and memory, but hardly any computing.
	fetchedWeight = 0.4
	// farTokens is what a send into another data centre weighs, in tokens: a
	// round trip of a few ms and the price of the bytes between them.
	farTokens = 150.0
	// runningTokens is what each running request weighs, since it shares the
	// steps of all others.
	runningTokens = 60.0
	// overflowWeight counts tokens that do not fit into memory: they wait until
	// other requests have ended, which takes longer than reading them.
	overflowWeight = 4.0
	// staleAccepted is how long after a version was named callers are as content
	// with an older one; staleTokens weighs it from then on.
	staleAccepted = 1400 * time.Millisecond
	staleTokens   = 6000.0
	// staleShare is the part in percent of the bound on old weights after which
	// an endpoint that has them gets no work, such as one that restarts with the
	// version it had before. The rest is room for what waits at the endpoint.
	staleShare = 75
	// soonTokens weighs an endpoint that is among the next to take new weights:
	// what a run makes after the change is of no use to its caller.
	// Runs with little output end before.
	soonTokens = 16000.0
	soonOutput = 200.0
	// doubtTokens weighs an endpoint that broke a connection or could not be reached
	// just now: more than any load, so that it is the last choice but still one.
	// With all endpoints in doubt, after a network's fault, callers would otherwise
	// be turned away though the endpoints serve.
	doubtTokens = 1e7
	// evenFailures is how far the share of failures of a plain endpoint may lie above its
	// service's by chance.
	evenFailures = 0.2
	// failureMemory is how long failures of a plain endpoint that gets no work weigh
	// against it.
	failureMemory = 2 * time.Second
	// failureTokens is the weight of an endpoint all of whose runs fail.
	failureTokens = 20000.0
)

// Choose returns the endpoint that a request should run on now. ok is false
// where none can take it at this moment; it may be asked for again when Changed
// tells, or after a pause, since times of avoidance end silently. Where all that could have
// got what they take, the placement names the best of them in PassedOver.
//
// Load: bursts of long prompts that share their beginnings, with a few endpoints
// slow, loading or gone. Harm prevented: a choice by cached parts alone buries
// the endpoint that holds a hot prefix, one by load alone has every endpoint read
// every prefix. The sum of what waits ahead and of what would have to be read
// weighs both in one unit, prompt tokens.
func (s *State) Choose(now time.Time, a Ask) (Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := chooser{limits: s.limits, usualFailures: s.failures[a.Service], ask: a, now: now, keys: map[int64][]prefix.PartKey{}, named: s.wanted[a.Model], tooOld: s.staleBound * staleShare / 100}
	list := s.byService[a.Service]
	for i := range list {
		e := list[(uint64(i)+a.Turn)%uint64(len(list))]
		c.slowness, c.version = s.slowness(e), e.version(a.Model)
		c.consider(e, s.holder(&c, list, e))
	}
	c.considerLimited(s.sizesOf(a.Service).smaller(a.PromptTokens + a.OutputTokens))
	if c.best.endpoint == nil {
		return c.atLimit(), false
	}
	p := c.placement()
	p.SaveTo = s.saveTo(&c, p)
	rate := s.rateOf(c.best.endpoint)
	p.Backlog = tokenTime(p.Ahead, rate)
	p.First = p.Backlog + tokenTime(p.Uncached, rate) + fixedTime
	return p, true
}

// tokenTime is how long it takes to read tokens at a rate in tokens a ms.
func tokenTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// saveShare is the least part in percent of a request's own part that the shared parts
// which it reads have to come to for the store to keep them all.
const saveShare = 50

// saveTo returns the store that should keep what the placement reads. Endpoints send
// whole prompts, and the last part is the request's own: nobody asks for it again, and
// in the store it pushes out what others ask for. So only a prompt most of which is
// worth keeping is sent.
//
// Load: more catalogues are in use than one store holds, and there are several. Harm
// prevented: with one store preferred it forgets parts within seconds while the
// others stay empty, and what engines have forgotten too is read again. Each prompt
// belongs to one store by a hash of its last shared part, so that all of them are
// filled and none holds what another one does.
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
	for _, k := range s.kept {
		if score := k.score(p.Keys[n-2]); best == "" || score > bestScore {
			best, bestScore = k.Address, score
		}
	}
	return best
}

// evenShare is how far the measured rate of an endpoint may lie from its pool's
// to count as even: measurements of equal endpoints differ by as much.
const evenShare = 0.08

// slowness is how much longer an endpoint reads than its pool does.
func (s *State) slowness(e *endpoint) float64 {
	ratio := s.poolRate(e.Service) / s.rateOf(e)
	if ratio > 1-evenShare && ratio < 1+evenShare {
		return 1
	}
	return ratio
}

// source has leading parts of the prompt.
type source struct {
	// id of the endpoint; empty for a store.
	id      string
	address string
	parts   int
}

// holder finds who has read most of the prompt for the version that e holds.
func (s *State) holder(c *chooser, list []*endpoint, e *endpoint) source {
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
		if cache == nil || cache.version != version || c.now.Before(other.doubtUntil) {
			continue
		}
		if _, read := cache.parts.leading(c.keysOf(version)); read > best.parts {
			best = source{other.ID, other.Address, read}
		}
	}
	for _, k := range s.kept {
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

// chooser compares the endpoints for one ask.
type chooser struct {
	ask     Ask
	now     time.Time
	keys    map[int64][]prefix.PartKey
	sources map[int64]source
	// named are the versions that operators have named; an endpoint that is
	// behind one of them for tooOld gets no work.
	named  []wanted
	tooOld time.Duration

	// usualFailures is the share of the service's runs that fail.
	usualFailures float64

	// slowness of the endpoint that is looked at, against its pool, the version of
	// its weights, and whether its memory does not hold the request.
	slowness float64
	version  int64
	full     bool

	limits Limiter
	// limited are the endpoints that name a rate, passedOver the cheapest of them that would
	// have been chosen and takes no more.
	limited    []candidate
	passedOver string
	// returns says that an endpoint is left out for a moment for another reason.
	returns bool

	best candidate
}

// candidate is an endpoint that may take the request.
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
	if e.Draining {
		return
	}
	if c.now.Before(e.avoidUntil) || c.now.Before(e.loadingUntil) || c.excluded(e.ID) || behindFor(c.named, c.version, c.now) > c.tooOld {
		c.returns = true
		return
	}
	cost, uncached, fetch := c.cost(e, from)
	found := candidate{endpoint: e, cost: cost, version: c.version, full: c.full, uncached: uncached, fetch: fetch}
	switch {
	case c.limits.Limited(e.ID):
		c.limited = append(c.limited, found)
	case c.best.endpoint == nil || cost < c.best.cost:
		c.best = found
	}
}

// atLimit describes that no endpoint takes the request. Where each of them has got what it
// takes, PassedOver is set.
func (c *chooser) atLimit() Placement {
	if c.returns {
		return Placement{}
	}
	return Placement{PassedOver: c.passedOver}
}

func (c *chooser) excluded(id string) bool {
	for _, x := range c.ask.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// cost weighs an endpoint in prompt tokens. fetch is set where parts should
// come from another endpoint.
func (c *chooser) cost(e *endpoint, from source) (cost float64, uncached int64, fetch string) {
	if c.ask.DataCentre != e.DataCentre {
		cost += farTokens
	}
	cost += failureTokens * c.faults(e)
	if c.now.Before(e.doubtUntil) {
		cost += doubtTokens
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
	if c.now.Before(e.soonUntil) {
		cost += soonTokens * min(1, float64(c.ask.OutputTokens)/soonOutput)
	}
	if behindFor(c.named, c.version, c.now) > staleAccepted {
		cost += staleTokens
	}
	over := -c.room(e)
	if c.full = over > 0; c.full {
		cost += overflowWeight * float64(over)
	}
	return cost, uncached, fetch
}

// faults is the share of an endpoint's runs that fail through its own fault.
//
// Load: look-ups of which many fail wherever they run. Harm prevented: the chance of the
// last few runs decides which endpoint looks best, and that one gets all work while the
// others idle. A faulty one fails by far more than its service does.
func (c *chooser) faults(e *endpoint) float64 {
	if c.ask.Model != "" {
		return e.failures
	}
	idle := c.now.Sub(e.judgedAt).Seconds()
	return max(e.failures*math.Exp(-idle/failureMemory.Seconds())-c.usualFailures-evenFailures, 0)
}

// room is how much of an endpoint's memory, in tokens, is left once the request
// runs there too; less than 0 where it does not fit.
func (c *chooser) room(e *endpoint) int64 {
	need := c.ask.PromptTokens + outputRoom(c.ask.OutputTokens) - e.shared(c.keysOf(c.version), c.ask.Parts)
	return e.capacity - e.memory - need
}

// plainCost weighs an endpoint of a plain service by its load and usual latency.
func (c *chooser) plainCost(e *endpoint) float64 {
	return float64(e.running+1) / float64(max(e.Slots, 1)) * (e.latencyMs + 1) * plainTokens
}

// plainTokens puts the cost of plain calls, in ms, beside the other weights.
const plainTokens = 50.0

func (c *chooser) placement() Placement {
	e := c.best
	p := Placement{
		Endpoint: e.Endpoint, Ahead: e.reading.ahead(c.ask.Rank), Queued: e.reading.total(), Running: e.running,
		Uncached: e.uncached, FetchFrom: e.fetch, PassedOver: c.passedOver,
	}
	if c.ask.Model != "" {
		p.Version, p.Full = e.version, e.full
		p.Keys = c.keysOf(p.Version)
	}
	return p
}
