package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// The rates of the exchange. Together they bound what an instance sends at
// rest and under a storm of changes, whatever the fleet's size.
const (
	// callEvery is how often an instance calls one peer when nothing changes.
	// It is heartbeat and compare in one: with each member called once a
	// second on average, a dead one is noticed within about a second.
	callEvery = time.Second
	// pushEvery is how often changes are told while there are any, to
	// pushPeers random partners. Seven such rounds reach 360 instances.
	pushEvery = 100 * time.Millisecond
	pushPeers = 2
	// bytesPerSecond and burstBytes bound the changes told; what exceeds them
	// goes with the regular calls, callBytes at most.
	bytesPerSecond = 1500
	burstBytes     = 64 << 10
	callBytes      = 1000
	pushBytes      = 4000
	// compareEvery bounds full compares, which cost about 2 KB each, when the
	// roots stay different because changes are on their way all the time.
	compareEvery = 10 * time.Second
	// followUps bounds the calls that one exchange leads to.
	followUps = 4
	// pageBytes is the size of one page of a starting instance's pull.
	pageBytes = 512 << 10
	// checkPeers are asked to try a member that did not answer: the way from
	// here may be broken, not the member.
	checkPeers = 3
	// checkEnds is when a question to peers counts as answered by nobody. A call
	// that was not made, since too many were open, never brings an answer, and
	// a question that stayed open would keep the member from being suspected
	// for ever.
	checkEnds = 3 * time.Second
	// expireEvery is how often items past their TTL are looked for.
	expireEvery = time.Second
	// stallBound is a pause of this instance after which failures of its
	// calls say nothing of the peers.
	stallBound = time.Second
)

var (
	followUpsCut = metrics.GetOrCreateCounter("sardinedock_fleet_follow_ups_cut_total")
	compares     = metrics.GetOrCreateCounter("sardinedock_fleet_compares_total")
	ownStalls    = metrics.GetOrCreateCounter("sardinedock_fleet_own_stalls_total")
)

// purpose is what a call to a peer is for.
type purpose int

const (
	purposeCall purpose = iota
	purposePush
	purposeCheck
	purposePull
)

// outgoing is a call that the core wants made.
type outgoing struct {
	peer    member.Peer
	request *fleetpb.ExchangeRequest
	purpose purpose
	// suspect is the member that a check is about.
	suspect string
	rounds  int
	started time.Time
	// told is what the request tells of changes.
	told exchange.Bundle
}

// core is the exchange and the membership of one instance, apart from sockets,
// goroutines and clocks. It takes messages and the time, and returns messages.
type core struct {
	fleet    string
	store    *exchange.Store
	table    *member.Table
	complete func() bool
	// changed is told of the items that were new here.
	changed func([]exchange.Item)

	budget      float64
	lastTick    time.Time
	lastCall    time.Time
	lastPush    time.Time
	lastCompare time.Time
	lastExpire  time.Time
	stalledAt   time.Time
	checks      map[string]*check
	jitter      *rand.Rand
	nextCall    time.Duration
}

// check is an open question to peers about a member.
type check struct {
	open    int
	reached bool
	since   time.Time
}

func newCore(cfg Config, random *rand.Rand, now time.Time) *core {
	c := &core{
		fleet:    cfg.Fleet,
		store:    exchange.NewStore(),
		table:    member.New(cfg.Self, cfg.Seeds, cfg.Bounds, random),
		complete: cfg.Complete,
		changed:  cfg.Changed,
		budget:   burstBytes,
		lastTick: now,
		checks:   map[string]*check{},
		jitter:   random,
	}
	c.store.SetMinor(member.Minor)
	c.put(now, c.table.SelfItem())
	return c
}

// put publishes this instance's own items.
func (c *core) put(now time.Time, items ...exchange.Item) {
	var news []exchange.Item
	for _, it := range items {
		if c.store.Put(it, "", now) {
			news = append(news, it)
		}
	}
	c.learn(news, now)
}

// learn acts on items that were new here.
func (c *core) learn(items []exchange.Item, now time.Time) {
	if len(items) == 0 {
		return
	}
	for _, it := range items {
		if it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_MEMBER {
			c.put(now, c.table.Apply(it, now)...)
		}
	}
	c.changed(items)
}

// tick returns the calls that are due. It is called about every pushEvery.
func (c *core) tick(now time.Time) []outgoing {
	if now.Sub(c.lastTick) > stallBound {
		ownStalls.Inc()
		c.stalledAt = now
	}
	c.budget = min(burstBytes, c.budget+bytesPerSecond*now.Sub(c.lastTick).Seconds())
	c.lastTick = now
	c.put(now, c.table.Tick(now)...)
	c.endChecks(now)
	if now.Sub(c.lastExpire) >= expireEvery {
		c.lastExpire = now
		c.expire(now)
	}
	var out []outgoing
	if now.Sub(c.lastCall) >= c.nextCall {
		c.lastCall = now
		// A jitter of a tenth keeps instances that started together from
		// calling in step.
		c.nextCall = callEvery*9/10 + time.Duration(c.jitter.Int64N(int64(callEvery/5)))
		if peer, ok := c.table.NextPeer(); ok {
			out = append(out, c.call(peer, purposeCall, callBytes, now))
		}
	}
	return append(out, c.pushes(now)...)
}

func (c *core) expire(now time.Time) {
	c.store.Expire(now)
	for _, name := range c.table.Names() {
		if _, ok := c.store.Get(memberKey(name)); !ok {
			c.table.Forget(name)
		}
	}
}

// pushes tells changes to a few random partners.
func (c *core) pushes(now time.Time) []outgoing {
	if c.budget <= 0 || now.Sub(c.lastPush) < pushEvery || !c.store.HasHot(c.size()) {
		return nil
	}
	c.lastPush = now
	var out []outgoing
	for _, peer := range c.table.Partners(pushPeers, "") {
		out = append(out, c.call(peer, purposePush, pushBytes, now))
	}
	return out
}

func (c *core) size() int { return c.table.Len() + 1 }

// call builds the message of one exchange.
func (c *core) call(peer member.Peer, p purpose, maxBytes int, now time.Time) outgoing {
	var b exchange.Bundle
	c.store.Next(&b, peer.Name, c.size(), maxBytes, now)
	c.tellVerdict(&b, peer.Name, 0)
	return outgoing{peer: peer, purpose: p, request: c.request(&b), started: now, told: b}
}

func (c *core) request(b *exchange.Bundle) *fleetpb.ExchangeRequest {
	c.budget -= float64(b.Bytes())
	return &fleetpb.ExchangeRequest{
		Caller: c.caller(), Items: b.Items, Summaries: b.Summaries, Want: b.Want, Root: c.store.Root(),
	}
}

func (c *core) caller() *fleetpb.Caller {
	self := c.table.Self()
	return &fleetpb.Caller{Fleet: c.fleet, Instance: self.Name, Incarnation: self.Incarnation}
}

// tellVerdict adds what is held of the peer itself where that is not what the
// peer says, so that it can refute it. An incarnation of 0 is not known.
func (c *core) tellVerdict(b *exchange.Bundle, name string, incarnation uint64) {
	m, ok := c.table.Find(name)
	if !ok {
		return
	}
	stale := incarnation > 0 && m.Incarnation > incarnation
	if stale || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD {
		c.store.Answer(b, []*fleetpb.ItemKey{{Kind: fleetpb.ItemKind_ITEM_KIND_MEMBER, Name: name}}, nil, c.lastTick)
	}
}

// serve answers a peer's call.
func (c *core) serve(in *fleetpb.ExchangeRequest, now time.Time) *fleetpb.ExchangeReply {
	name := in.GetCaller().GetInstance()
	known := c.store.Stale(in.GetItems(), in.GetSummaries())
	c.learn(c.store.Take(in.GetItems(), name, now), now)
	if in.GetRoot() == c.store.Root() {
		c.store.Agreed(c.size())
	}
	var b exchange.Bundle
	c.store.Answer(&b, in.GetWant(), in.GetSummaries(), now)
	c.store.Correct(&b, in.GetItems(), now)
	if c.budget > 0 {
		c.store.Next(&b, name, c.size(), callBytes, now)
	}
	c.tellVerdict(&b, name, in.GetCaller().GetIncarnation())
	c.budget -= float64(b.Bytes())
	reply := &fleetpb.ExchangeReply{
		Caller: c.caller(), Items: b.Items, Summaries: b.Summaries, Want: b.Want,
		Root: c.store.Root(), Complete: c.complete(), Known: known,
	}
	if len(in.GetBucketSums()) > 0 {
		differing, covered := c.store.Differing(in.GetBucketSums(), c.jitter.IntN(exchange.Buckets))
		reply.Summaries, reply.Buckets = append(reply.Summaries, differing...), covered
	}
	if in.GetPullFrom() > 0 {
		reply.Items, reply.PullNext = c.store.Page(in.GetPullFrom(), pageBytes, now)
	}
	return reply
}

// replied takes the reply to a call and returns the calls that follow.
func (c *core) replied(o outgoing, in *fleetpb.ExchangeReply, now time.Time) []outgoing {
	c.takeReply(o, in, now)
	if o.purpose == purposeCheck {
		return c.checked(o.suspect, len(in.GetReached()) > 0, now)
	}
	var out []outgoing
	if o.peer.Name != "" && in.GetCaller().GetInstance() != o.peer.Name {
		// The address has gone to another instance, so the one that had it is
		// no more.
		out = c.ask(o.peer, now)
	}
	if o.purpose == purposePull {
		return out
	}
	return append(out, c.followUp(o, in, now)...)
}

// takeReply merges what a reply told.
func (c *core) takeReply(o outgoing, in *fleetpb.ExchangeReply, now time.Time) {
	name := in.GetCaller().GetInstance()
	o.told.Known(in.GetKnown())
	if o.purpose == purposePull {
		c.learn(c.store.Adopt(in.GetItems(), name, now), now)
	} else {
		c.learn(c.store.Take(in.GetItems(), name, now), now)
	}
	if in.GetRoot() == c.store.Root() {
		c.store.Agreed(c.size())
	}
}

// followUp sends what the peer asked for or lacks, asks for what this instance
// lacks, and begins a compare where one is due.
func (c *core) followUp(o outgoing, in *fleetpb.ExchangeReply, now time.Time) []outgoing {
	var b exchange.Bundle
	c.store.Answer(&b, in.GetWant(), in.GetSummaries(), now)
	c.store.Missing(&b, in.GetBuckets(), in.GetSummaries(), now)
	c.store.Correct(&b, in.GetItems(), now)
	differ := in.GetRoot() != c.store.Root()
	compare := differ && now.Sub(c.lastCompare) >= compareEvery && len(in.GetBuckets()) == 0
	if differ && o.purpose == purposeCall && o.rounds == 0 {
		c.store.Recent(&b)
	}
	if b.Empty() && !compare {
		return nil
	}
	if o.rounds >= followUps {
		followUpsCut.Inc()
		return nil
	}
	peer := member.Peer{Name: in.GetCaller().GetInstance(), Address: o.peer.Address}
	next := outgoing{peer: peer, purpose: o.purpose, request: c.request(&b), rounds: o.rounds + 1, started: now}
	if compare {
		compares.Inc()
		c.lastCompare = now
		next.request.BucketSums = c.store.BucketSums()
	}
	return []outgoing{next}
}

// pull is the first call of a starting instance: it asks a peer for all state.
func (c *core) pull(peer member.Peer, from uint32, now time.Time) outgoing {
	o := c.call(peer, purposePull, callBytes, now)
	o.request.PullFrom = from
	return o
}

// failed takes the failure of a call.
func (c *core) failed(o outgoing, now time.Time) []outgoing {
	if !o.started.After(c.stalledAt) {
		return nil
	}
	if o.purpose == purposeCheck {
		return c.checked(o.suspect, false, now)
	}
	if o.peer.Name == "" {
		return nil
	}
	return c.ask(o.peer, now)
}

// ask has a member that did not answer checked by others.
func (c *core) ask(peer member.Peer, now time.Time) []outgoing {
	m, ok := c.table.Find(peer.Name)
	undecided := m.Status == fleetpb.MemberStatus_MEMBER_STATUS_ALIVE || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEAVING
	if !ok || !undecided || c.checks[peer.Name] != nil {
		return nil
	}
	var out []outgoing
	for _, helper := range c.table.Partners(checkPeers, peer.Name) {
		o := c.call(helper, purposeCheck, callBytes, now)
		o.suspect, o.request.Check = peer.Name, []*fleetpb.Target{{Instance: peer.Name, Address: peer.Address}}
		out = append(out, o)
	}
	if len(out) == 0 {
		c.put(now, c.table.Suspect(peer.Name)...)
		return nil
	}
	c.checks[peer.Name] = &check{open: len(out), since: now}
	return out
}

// checked counts one answer about a member. Only when nobody reached it is it
// suspected.
func (c *core) checked(name string, reached bool, now time.Time) []outgoing {
	q := c.checks[name]
	if q == nil {
		return nil
	}
	q.open--
	q.reached = q.reached || reached
	if q.open > 0 {
		return nil
	}
	delete(c.checks, name)
	if !q.reached {
		c.put(now, c.table.Suspect(name)...)
	}
	return nil
}

// endChecks decides questions whose answers are overdue.
func (c *core) endChecks(now time.Time) {
	var overdue []string
	for name, q := range c.checks {
		if now.Sub(q.since) >= checkEnds {
			overdue = append(overdue, name)
		}
	}
	slices.Sort(overdue)
	for _, name := range overdue {
		c.checks[name].open = 1
		c.checked(name, false, now)
	}
}

func memberKey(name string) exchange.Key {
	return exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_MEMBER, Name: name}
}
