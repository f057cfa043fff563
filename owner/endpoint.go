package owner

import (
	"time"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// maxQueued bounds the asks that wait at one endpoint. At the largest burst
	// a queue this long is some ten seconds of work; who comes later is better
	// told so at once.
	maxQueued = 512
	// firstHold is how long a request is taken to hold a slot before any ended.
	firstHold = time.Second
	// holdMemory is the weight of the newest request in the mean hold time.
	holdMemory = 0.05
	// defaultTimeout ends a grant whose ask named none.
	defaultTimeout = 10 * time.Minute
	// longTokens is from how many tokens on a prefill is long: a few chunks of an
	// engine. Cold catalogues are far above it, cached ones far below.
	longTokens = 1536
	// chunkTokens is what an engine computes at a time; work of a lower rank
	// waits for the end of the chunk at most.
	chunkTokens = 512
	// longPatience and longFactor bound how long short work may go before a
	// long prefill that was sent: a multiple of its own time, at least this.
	longPatience = 500 * time.Millisecond
	longFactor   = 3
	// timeoutMargin is what a grant outlives its request by, so that a report
	// under way is not too late.
	timeoutMargin = 5 * time.Second
)

// lane is one of the two queues of an endpoint.
type lane int

const (
	waiting lane = iota
	urgent
	lanes
)

func laneOf(a Ask) lane {
	if a.Urgent {
		return urgent
	}
	return waiting
}

// rank is the order in which an engine computes prompts; a lower one interrupts
// a higher one after the chunk that is being computed.
type rank int

const (
	rankUrgent rank = iota
	rankShort
	rankLong
	ranks
)

func rankOf(a Ask, tokens int64) rank {
	switch {
	case a.Urgent:
		return rankUrgent
	case tokens > longTokens:
		return rankLong
	default:
		return rankShort
	}
}

// requestKey names an ask.
type requestKey struct{ caller, request string }

func (a Ask) key() requestKey { return requestKey{a.Caller, a.RequestID} }

// grant is a slot that was given away.
type grant struct {
	id     uint64
	ask    Ask
	lane   lane
	rank   rank
	cached int64
	// depth is how many blocks were known before the grant.
	depth   int
	tokens  int64
	since   time.Time
	expires time.Time
	started bool
	// mark is the window's at the send.
	mark int64
}

// Endpoint is the state of one endpoint at its owner. Since every request for
// the endpoint passes it, it knows what runs there, who waits, and what the
// cache holds; no report has to be waited for.
type Endpoint struct {
	cfg         Config
	status      fleetpb.EndpointStatus
	incarnation uint64
	models      []string
	known       *knowledge
	// levels is shared with the book's other endpoints; nil where there is none.
	levels     *prefix.Levels
	window     policy.Window
	grants     map[uint64]*grant
	granted    map[requestKey]uint64
	queued     map[requestKey]*waiter
	queue      [lanes]*fairQueue
	aloneQueue []*waiter
	inUse      [lanes]int
	pending    [ranks]int64
	hold       [lanes]time.Duration
	aloneRuns  bool
	lastGrant  uint64
	foreign    foreignLoad
	// began is when this owner was first asked; cacheKnown says that what the
	// cache held before is known: nothing, or what the former owner told.
	began      time.Time
	cacheKnown bool
	// longSince is when the newest long prefill was sent.
	longSince time.Time
}

// New returns a live endpoint of which nothing is known.
func New(cfg Config) *Endpoint {
	e := &Endpoint{
		cfg:       cfg,
		status:    fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE,
		known:     newKnowledge(cfg.CacheBlocks),
		window:    policy.NewWindow(cfg.PrefillTokensPerSecond),
		grants:    map[uint64]*grant{},
		granted:   map[requestKey]uint64{},
		queued:    map[requestKey]*waiter{},
		lastGrant: cfg.FirstGrantID,
		hold:      [lanes]time.Duration{firstHold, firstHold},
	}
	for l := range e.queue {
		e.queue[l] = newFairQueue()
	}
	return e
}

// Name is the endpoint's name.
func (e *Endpoint) Name() string { return e.cfg.Name }

// Ask answers an ask with a grant, a place in the queue, an offer or a refusal.
//
// It is made for the burst on the hour, when more is asked than the endpoint
// can start in time: who cannot start before its deadline hears so now and not
// after having waited, and nobody is told to wait for what will not come. An
// ask that was sent twice, since its answer was lost, gets the same grant and
// takes no second slot.
func (e *Endpoint) Ask(now time.Time, a Ask) Decision {
	if d, ok := e.repeated(now, a); ok {
		return d
	}
	if !e.live() {
		return refuse(a, ReasonEndpoint, 0)
	}
	p := e.appraise(now, a)
	offer := e.offer(now, a, p)
	impatient := a.Patience > 0 && e.costly(a, offer, p)
	if a.Mode == Probe || impatient {
		return Decision{Kind: Offered, Caller: a.Caller, RequestID: a.RequestID, Offers: []policy.Offer{offer}}
	}
	if start := now.Add(offer.Wait); start.After(a.Deadline) {
		return refuse(a, ReasonDeadline, retryAfter(a.RequestID, start.Sub(a.Deadline)))
	}
	if e.open(now, a, p.rank) {
		return e.grant(now, a, p)
	}
	if len(e.queued) >= maxQueued {
		return refuse(a, ReasonQueueFull, retryAfter(a.RequestID, offer.Wait))
	}
	e.enqueue(a, p)
	return Decision{Kind: Queued, Caller: a.Caller, RequestID: a.RequestID, Offer: offer}
}

// costly reports whether the time until the first token, of waiting and of
// computing what is not cached, is over the ask's patience.
//
// It is made for prompts whose shared part lies at another candidate, since a
// burst had spread it or this endpoint has evicted it. To ask the others costs
// a round trip of a millisecond or two; a catalogue computed twice costs a
// quarter of a second here and evicts another one.
func (e *Endpoint) costly(a Ask, offer policy.Offer, p appraisal) bool {
	return offer.Wait+e.window.PrefillTime(p.missing) > a.Patience
}

// repeated answers an ask that is known already.
func (e *Endpoint) repeated(now time.Time, a Ask) (Decision, bool) {
	if id, ok := e.granted[a.key()]; ok && a.Mode == Take {
		return e.grantedDecision(e.grants[id]), true
	}
	if _, ok := e.queued[a.key()]; ok && a.Mode == Take {
		return Decision{Kind: Queued, Caller: a.Caller, RequestID: a.RequestID, Offer: e.offer(now, a, e.appraise(now, a))}, true
	}
	return Decision{}, false
}

func (e *Endpoint) live() bool { return e.status == fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE }

// open reports whether an ask may start at once: a slot of its lane is free,
// nobody of its lane or above waits, and the endpoint is not behind with what
// it has.
func (e *Endpoint) open(now time.Time, a Ask, r rank) bool {
	if len(e.aloneQueue) > 0 || e.aloneRuns {
		return false
	}
	if a.Alone {
		return len(e.grants) == 0
	}
	if a.Urgent {
		return e.queue[urgent].length == 0 && e.slotFree(urgent)
	}
	return len(e.queued) == 0 && e.slotFree(waiting) && e.prefillFree(now, r)
}

// slotFree reports whether the lane may use one more slot. The slots kept for
// urgent requests are kept free beside those that urgent requests use already:
// under a burst of urgent work, with a fixed number it would use up its slots
// while waiting work filled all others, and each next one would wait until a
// long answer has ended.
func (e *Endpoint) slotFree(l lane) bool {
	used := e.inUse[waiting] + e.inUse[urgent] + e.foreign.requests()
	if l == urgent {
		return used < e.cfg.Slots
	}
	return used < e.cfg.Slots-e.cfg.UrgentSlots
}

// prefillFree reports whether the endpoint may be sent one more prompt that may
// wait.
//
// It is made for cold catalogues among many cached ones: one cold prompt takes
// a second of an engine, and everything behind it would wait as long. So one
// long prefill is sent at a time, with a priority behind the short ones, and
// short ones go on while they are within the window. When they have gone before
// the long one for several times its own time they are held back until it is
// done, so that a stream of short ones cannot hold it up for ever.
func (e *Endpoint) prefillFree(now time.Time, r rank) bool {
	if r == rankLong {
		return e.pending[rankLong] == 0 && e.window.Admits(e.pending[rankShort]+e.pending[rankUrgent])
	}
	return !e.longOverdue(now) && e.window.Admits(e.pending[rankShort]+e.pending[rankUrgent])
}

func (e *Endpoint) longOverdue(now time.Time) bool {
	if e.pending[rankLong] == 0 {
		return false
	}
	return now.Sub(e.longSince) > longPatience+longFactor*e.window.PrefillTime(e.pending[rankLong])
}

func (e *Endpoint) grant(now time.Time, a Ask, p appraisal) Decision {
	timeout := a.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	e.lastGrant++
	g := &grant{
		id:      e.lastGrant,
		ask:     a,
		lane:    laneOf(a),
		rank:    p.rank,
		cached:  p.cached,
		depth:   p.depth,
		tokens:  p.missing,
		mark:    e.window.Mark(),
		since:   now,
		expires: now.Add(timeout + timeoutMargin),
	}
	_, twice := e.granted[a.key()]
	invariant.Check(!twice, "one_grant_per_request", "request %s of %s granted twice on %s", a.RequestID, a.Caller, e.cfg.Name)
	e.grants[g.id] = g
	e.granted[a.key()] = g.id
	e.inUse[g.lane]++
	e.pending[g.rank] += g.tokens
	if g.rank == rankLong {
		e.longSince = now
	}
	e.aloneRuns = a.Alone
	e.foreign.note(len(e.grants))
	e.queue[g.lane].charge(a.Organisation, a.Weight, e.cost(g.lane, g.tokens))
	e.known.use(a.Blocks)
	invariant.Check(e.inUse[waiting] <= max(e.cfg.Slots-e.cfg.UrgentSlots, 0) || g.lane == urgent || a.Alone, "urgent_slots_kept",
		"%d waiting requests run on %s", e.inUse[waiting], e.cfg.Name)
	d := e.grantedDecision(g)
	d.Levels = e.levelEnds(a.Blocks)
	return d
}

// levelEnds learns from a prompt and returns where its shared levels end.
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

func (e *Endpoint) enqueue(a Ask, p appraisal) {
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
		e.pending[g.rank] -= g.tokens
	}
	e.inUse[g.lane]--
	e.aloneRuns = e.aloneRuns && !g.ask.Alone
	delete(e.grants, g.id)
	delete(e.granted, g.ask.key())
	invariant.Check(e.inUse[g.lane] >= 0 && e.pending[g.rank] >= 0, "slots_balanced",
		"%d slots and %d tokens in use on %s", e.inUse[g.lane], e.pending[g.rank], e.cfg.Name)
}

// pump grants what may start now.
func (e *Endpoint) pump(now time.Time) []Decision {
	var out []Decision
	for w := e.next(now); w != nil; w = e.next(now) {
		e.dequeue(w)
		out = append(out, e.grant(now, w.ask, e.appraise(now, w.ask)))
	}
	return out
}

// next returns the waiter that may start now, nil if none.
func (e *Endpoint) next(now time.Time) *waiter {
	if !e.live() || e.aloneRuns {
		return nil
	}
	if len(e.aloneQueue) > 0 {
		if len(e.grants) == 0 {
			return e.aloneQueue[0]
		}
		return nil
	}
	if e.queue[urgent].length > 0 {
		if e.slotFree(urgent) {
			return e.queue[urgent].head(func(rank) bool { return true })
		}
		return nil
	}
	if e.queue[waiting].length == 0 || !e.slotFree(waiting) {
		return nil
	}
	var free [ranks]bool
	for r := range free {
		free[r] = e.prefillFree(now, rank(r))
	}
	return e.queue[waiting].head(func(r rank) bool { return free[r] })
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
