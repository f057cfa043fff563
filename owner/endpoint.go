package owner

import (
	"time"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// maxQueued is the maximum number of asks queued at one endpoint. In the largest
	// expected burst a queue of this length is about ten seconds of work; later asks are
	// better refused at once.
	maxQueued = 512
	// initialHoldTime is the assumed time that a request occupies a slot until the first
	// measurement.
	initialHoldTime = time.Second
	// holdTimeSmoothing is the weight of the newest request in the moving average of hold
	// times.
	holdTimeSmoothing = 0.05
	// defaultTimeout is the timeout of a grant whose ask specified none.
	defaultTimeout = 10 * time.Minute
	// longPrefillTokens is the number of uncached tokens above which a prefill counts as
	// long: a few chunks of an engine. Prompts with a large shared prefix are far above it
	// if the prefix is not cached, and far below it otherwise.
	longPrefillTokens = 1536
	// chunkTokens is how many tokens an engine computes at a time. Work of a higher
	// priority waits at most until the end of the current chunk.
	chunkTokens = 512
	// longMinDelay and longDelayFactor limit how long short prefills may overtake a long
	// one that was sent: longMinDelay plus longDelayFactor times the long one's own time.
	longMinDelay    = 500 * time.Millisecond
	longDelayFactor = 3
	// timeoutMargin is how much longer a grant lasts than its request, so that a report in
	// transit still arrives in time.
	timeoutMargin = 5 * time.Second
)

// lane is one of an endpoint's two queues: one for urgent requests and one for all others.
type lane int

const (
	laneNormal lane = iota
	laneUrgent
	laneCount
)

func laneOf(a Ask) lane {
	if a.Urgent {
		return laneUrgent
	}
	return laneNormal
}

// rank is the priority in which an engine computes prompts. A lower rank preempts a higher
// one at the end of the current chunk.
type rank int

const (
	rankUrgent rank = iota
	rankShort
	rankLong
	rankCount
)

func rankOf(a Ask, tokens int64) rank {
	switch {
	case a.Urgent:
		return rankUrgent
	case tokens > longPrefillTokens:
		return rankLong
	default:
		return rankShort
	}
}

// requestKey identifies an ask.
type requestKey struct{ caller, request string }

func (a Ask) key() requestKey { return requestKey{a.Caller, a.RequestID} }

// grant is an allocated slot.
type grant struct {
	id     uint64
	ask    Ask
	lane   lane
	rank   rank
	cached int64
	// knownBlocks is the number of leading blocks that were in the cache model before the
	// grant.
	knownBlocks int
	tokens      int64
	since       time.Time
	expires     time.Time
	started     bool
	// mark is the window's mark when the request was granted.
	mark int64
}

// Endpoint is the owner's state of one endpoint. Since every request for the endpoint
// passes through the owner, it knows the running requests, the queue and the cache contents
// without waiting for reports.
type Endpoint struct {
	cfg         Config
	status      fleetpb.EndpointStatus
	incarnation uint64
	models      []string
	known       *cacheModel
	// levels is shared with the registry's other endpoints; nil for an endpoint outside one.
	levels        *prefix.Levels
	window        policy.Window
	grants        map[uint64]*grant
	granted       map[requestKey]uint64
	queued        map[requestKey]*waiter
	queue         [laneCount]*fairQueue
	aloneQueue    []*waiter
	inUse         [laneCount]int
	pendingTokens [rankCount]int64
	meanHold      [laneCount]time.Duration
	aloneRunning  bool
	lastGrant     uint64
	external      externalLoad
	// firstAsk is the time of the first ask at this owner. cacheKnown is set if the cache
	// contents from before this owner are known: the cache was empty or the former owner
	// sent a snapshot.
	firstAsk   time.Time
	cacheKnown bool
	// longSince is the time at which the newest long prefill was granted.
	longSince time.Time
}

// New returns a live endpoint with an empty cache model.
func New(cfg Config) *Endpoint {
	e := &Endpoint{
		cfg:       cfg,
		status:    fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE,
		known:     newCacheModel(cfg.CacheBlocks),
		window:    policy.NewWindow(cfg.PrefillTokensPerSecond),
		grants:    map[uint64]*grant{},
		granted:   map[requestKey]uint64{},
		queued:    map[requestKey]*waiter{},
		lastGrant: cfg.FirstGrantID,
		meanHold:  [laneCount]time.Duration{initialHoldTime, initialHoldTime},
	}
	for l := range e.queue {
		e.queue[l] = newFairQueue()
	}
	return e
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.cfg.Name }

// Ask answers an ask with a grant, a place in the queue, an offer or a refusal.
//
// In a burst, more is asked for than the endpoint can start in time. A request that cannot
// start before its deadline is therefore refused at once, not after it has waited in vain.
// An ask that was repeated because its answer was lost gets the same grant and takes no
// second slot.
func (e *Endpoint) Ask(now time.Time, a Ask) Decision {
	if d, ok := e.repeated(now, a); ok {
		return d
	}
	if !e.live() {
		return refuse(a, ReasonEndpoint, 0)
	}
	p := e.estimateCache(now, a)
	offer := e.offer(now, a, p)
	tooSlow := a.Patience > 0 && e.exceedsPatience(a, offer, p)
	if a.Mode == Probe || tooSlow {
		return Decision{Kind: Offered, Caller: a.Caller, RequestID: a.RequestID, Offers: []policy.Offer{offer}}
	}
	if start := now.Add(offer.Wait); start.After(a.Deadline) {
		return refuse(a, ReasonDeadline, retryAfter(a.RequestID, start.Sub(a.Deadline)))
	}
	if e.canStart(now, a, p.rank) {
		return e.grant(now, a, p)
	}
	if len(e.queued) >= maxQueued {
		return refuse(a, ReasonQueueFull, retryAfter(a.RequestID, offer.Wait))
	}
	e.enqueue(a, p)
	return Decision{Kind: Queued, Caller: a.Caller, RequestID: a.RequestID, Offer: offer}
}

// exceedsPatience reports whether the expected time to first token, of queueing and of
// computing uncached tokens, is over the ask's patience.
//
// The shared part of a prompt may be cached at another candidate, because a burst spread it
// there or this endpoint evicted it. Asking the others costs a round trip of one or two
// milliseconds; computing a long shared prefix again costs a quarter of a second here and
// evicts another prefix.
func (e *Endpoint) exceedsPatience(a Ask, offer policy.Offer, p cacheEstimate) bool {
	return offer.Wait+e.window.PrefillTime(p.missing) > a.Patience
}

// repeated returns the answer to a Take that is already granted or queued.
func (e *Endpoint) repeated(now time.Time, a Ask) (Decision, bool) {
	if id, ok := e.granted[a.key()]; ok && a.Mode == Take {
		return e.grantedDecision(e.grants[id]), true
	}
	if _, ok := e.queued[a.key()]; ok && a.Mode == Take {
		return Decision{Kind: Queued, Caller: a.Caller, RequestID: a.RequestID, Offer: e.offer(now, a, e.estimateCache(now, a))}, true
	}
	return Decision{}, false
}

func (e *Endpoint) live() bool { return e.status == fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE }

// canStart reports whether an ask may start at once: a slot of its lane is free, no ask is
// queued in its lane or one of higher priority, and for an ask that is not urgent the
// pending prefill work is within the window. An ask that has to run alone starts when
// nothing else runs.
func (e *Endpoint) canStart(now time.Time, a Ask, r rank) bool {
	if len(e.aloneQueue) > 0 || e.aloneRunning {
		return false
	}
	if a.Alone {
		return len(e.grants) == 0
	}
	if a.Urgent {
		return e.queue[laneUrgent].length == 0 && e.slotFree(laneUrgent)
	}
	return len(e.queued) == 0 && e.slotFree(laneNormal) && e.prefillFree(now, r)
}

// slotFree reports whether the lane may use one more slot. The slots reserved for urgent
// requests are free slots in addition to those that urgent requests already use. With a
// fixed number, a burst of urgent requests would use up the reserved slots while other
// requests fill the rest, and each further urgent request would wait for a long response to
// end.
func (e *Endpoint) slotFree(l lane) bool {
	used := e.inUse[laneNormal] + e.inUse[laneUrgent] + e.external.requests()
	if l == laneUrgent {
		return used < e.cfg.Slots
	}
	return used < e.cfg.Slots-e.cfg.UrgentSlots
}

// prefillFree reports whether one more non-urgent prompt may be sent.
//
// An uncached long prompt takes an engine about a second, and everything queued behind it
// would wait as long. So one long prefill is sent at a time, at a lower priority than the
// short ones, which continue while they are within the window. Once short ones have
// overtaken the long one for several times its own time they are held back until it is
// done, so that a stream of short ones cannot starve it.
func (e *Endpoint) prefillFree(now time.Time, r rank) bool {
	if r == rankLong {
		return e.pendingTokens[rankLong] == 0 && e.window.Admits(e.pendingTokens[rankShort]+e.pendingTokens[rankUrgent])
	}
	return !e.longOverdue(now) && e.window.Admits(e.pendingTokens[rankShort]+e.pendingTokens[rankUrgent])
}

func (e *Endpoint) longOverdue(now time.Time) bool {
	if e.pendingTokens[rankLong] == 0 {
		return false
	}
	return now.Sub(e.longSince) > longMinDelay+longDelayFactor*e.window.PrefillTime(e.pendingTokens[rankLong])
}

func (e *Endpoint) grant(now time.Time, a Ask, p cacheEstimate) Decision {
	timeout := a.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	e.lastGrant++
	g := &grant{
		id:          e.lastGrant,
		ask:         a,
		lane:        laneOf(a),
		rank:        p.rank,
		cached:      p.cached,
		knownBlocks: p.knownBlocks,
		tokens:      p.missing,
		mark:        e.window.Mark(),
		since:       now,
		expires:     now.Add(timeout + timeoutMargin),
	}
	_, twice := e.granted[a.key()]
	invariant.Check(!twice, "one_grant_per_request", "request %s of caller %s was granted twice on %s", a.RequestID, a.Caller, e.cfg.Name)
	e.grants[g.id] = g
	e.granted[a.key()] = g.id
	e.inUse[g.lane]++
	e.pendingTokens[g.rank] += g.tokens
	if g.rank == rankLong {
		e.longSince = now
	}
	e.aloneRunning = a.Alone
	e.external.observeGrants(len(e.grants))
	e.queue[g.lane].charge(a.Organisation, a.Weight, e.cost(g.lane, g.tokens))
	e.known.use(a.Blocks)
	invariant.Check(e.inUse[laneNormal] <= max(e.cfg.Slots-e.cfg.UrgentSlots, 0) || g.lane == laneUrgent || a.Alone, "urgent_slots_kept",
		"%d requests that are not urgent run on %s", e.inUse[laneNormal], e.cfg.Name)
	d := e.grantedDecision(g)
	d.Levels = e.levelEnds(a.Blocks)
	return d
}

// levelEnds records a prompt and returns where its shared levels end, in blocks.
func (e *Endpoint) levelEnds(chain []prefix.Hash) []int {
	if e.levels == nil {
		return nil
	}
	e.levels.Observe(prefix.Hash{}, chain)
	return e.levels.Ends(nil, chain)
}

func (e *Endpoint) grantedDecision(g *grant) Decision {
	return Decision{Kind: Granted, Caller: g.ask.Caller, RequestID: g.ask.RequestID, Offer: policy.Offer{
		Endpoint: e.cfg.Name, GrantID: g.id, CachedTokens: g.cached, Incarnation: e.incarnation, Alone: g.ask.Alone,
		Long: g.rank == rankLong,
	}}
}

func (e *Endpoint) enqueue(a Ask, p cacheEstimate) {
	w := &waiter{ask: a, tokens: p.missing, rank: p.rank}
	e.queued[a.key()] = w
	if a.Alone {
		e.aloneQueue = append(e.aloneQueue, w)
		return
	}
	e.queue[laneOf(a)].push(w)
}

// release frees a grant's slot.
func (e *Endpoint) release(g *grant) {
	if !g.started {
		e.pendingTokens[g.rank] -= g.tokens
	}
	e.inUse[g.lane]--
	e.aloneRunning = e.aloneRunning && !g.ask.Alone
	delete(e.grants, g.id)
	delete(e.granted, g.ask.key())
	invariant.Check(e.inUse[g.lane] >= 0 && e.pendingTokens[g.rank] >= 0, "slots_balanced",
		"%d slots and %d tokens in use on %s", e.inUse[g.lane], e.pendingTokens[g.rank], e.cfg.Name)
}

// grantQueued grants the queued asks that may start now.
func (e *Endpoint) grantQueued(now time.Time) []Decision {
	var out []Decision
	for w := e.next(now); w != nil; w = e.next(now) {
		e.dequeue(w)
		out = append(out, e.grant(now, w.ask, e.estimateCache(now, w.ask)))
	}
	return out
}

// next returns the queued ask that may start now, or nil.
func (e *Endpoint) next(now time.Time) *waiter {
	if !e.live() || e.aloneRunning {
		return nil
	}
	if len(e.aloneQueue) > 0 {
		if len(e.grants) == 0 {
			return e.aloneQueue[0]
		}
		return nil
	}
	if e.queue[laneUrgent].length > 0 {
		if e.slotFree(laneUrgent) {
			return e.queue[laneUrgent].pick(func(rank) bool { return true })
		}
		return nil
	}
	if e.queue[laneNormal].length == 0 || !e.slotFree(laneNormal) {
		return nil
	}
	var free [rankCount]bool
	for r := range free {
		free[r] = e.prefillFree(now, rank(r))
	}
	return e.queue[laneNormal].pick(func(r rank) bool { return free[r] })
}

func (e *Endpoint) dequeue(w *waiter) {
	delete(e.queued, w.ask.key())
	for i, x := range e.aloneQueue {
		if x == w {
			e.aloneQueue = append(e.aloneQueue[:i], e.aloneQueue[i+1:]...)
			return
		}
	}
	removed := e.queue[laneOf(w.ask)].remove(w)
	invariant.Check(removed, "queued_once", "request %s was not in the queue of %s", w.ask.RequestID, e.cfg.Name)
}
