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

// The rates of the exchange. Together they limit what an instance sends, both
// without changes and with very many, independently of the fleet's size.
const (
	// heartbeatInterval is the time between calls to one peer when nothing
	// changes. A call is a heartbeat and compares the root checksums. As each
	// member is called once a second on average, the failure of one is detected
	// within about a second.
	heartbeatInterval = time.Second
	// pushInterval is the time between pushes of pending changes to pushFanout
	// random partners. Seven such rounds reach 360 instances.
	pushInterval = 100 * time.Millisecond
	pushFanout   = 2
	// bytesPerSecond and burstBytes limit the changes sent by a token bucket.
	// When it is empty there are no pushes, and a heartbeat still carries up to
	// maxCallBytes of changes.
	bytesPerSecond = 1500
	burstBytes     = 64 << 10
	maxCallBytes   = 1000
	maxPushBytes   = 4000
	// compareInterval is the minimum time between full compares, which cost
	// about 2 KB each. While changes are always propagating, the root checksums
	// of two instances rarely agree.
	compareInterval = 10 * time.Second
	// maxFollowUps limits the further calls that one exchange leads to.
	maxFollowUps = 4
	// pullPageBytes is the approximate size of one page that a starting instance
	// pulls.
	pullPageBytes = 512 << 10
	// checkFanout is how many peers are asked to call a member that did not
	// answer (an indirect probe): the network path from here may have failed,
	// not the member.
	checkFanout = 3
	// checkDeadline is the time after which the missing results of a check count
	// as negative. A call that was skipped because too many were in flight never
	// returns a result, and a check that stayed pending would keep the member
	// from ever being suspected.
	checkDeadline = 3 * time.Second
	// expireInterval is the time between removals of expired items.
	expireInterval = time.Second
	// stallThreshold is the pause between two ticks from which on this instance
	// is taken to have stalled: failures of calls made before are not evidence
	// against the peers.
	stallThreshold = time.Second
)

var (
	followUpsSkipped = metrics.GetOrCreateCounter("sardinedock_fleet_follow_ups_cut_total")
	compares         = metrics.GetOrCreateCounter("sardinedock_fleet_compares_total")
	ownStalls        = metrics.GetOrCreateCounter("sardinedock_fleet_own_stalls_total")
)

// purpose is the reason for a call to a peer.
type purpose int

const (
	purposeHeartbeat purpose = iota
	purposePush
	purposeCheck
	purposePull
)

// outgoing is a call that the core requests its Node to make.
type outgoing struct {
	peer    member.Peer
	request *fleetpb.ExchangeRequest
	purpose purpose
	// suspect is the name of the member that a check is about.
	suspect string
	// rounds counts the calls of this exchange before this one.
	rounds  int
	started time.Time
	// bundle holds the changes that the request carries.
	bundle exchange.Bundle
}

// core is the state machine of the exchange and the membership of one instance,
// without I/O, goroutines and clocks: it is given messages and the time, and
// returns the messages to send. It is not safe for concurrent use.
type core struct {
	fleet string
	store *exchange.Store
	table *member.Table
	// recordsComplete reports whether this instance has all records.
	recordsComplete func() bool
	// onChange is called with the items that were newer than the stored ones.
	onChange func([]exchange.Item)

	// budget is the fill of the token bucket, in bytes. It may be negative.
	budget       float64
	lastTick     time.Time
	lastCall     time.Time
	lastPush     time.Time
	lastCompare  time.Time
	lastExpire   time.Time
	stalledAt    time.Time
	checks       map[string]*pendingCheck
	rng          *rand.Rand
	callInterval time.Duration
}

// pendingCheck is an indirect probe of a member through peers.
type pendingCheck struct {
	pending int // calls without a result
	reached bool
	since   time.Time
}

func newCore(cfg Config, random *rand.Rand, now time.Time) *core {
	c := &core{
		fleet:           cfg.Fleet,
		store:           exchange.NewStore(),
		table:           member.New(cfg.Self, cfg.Seeds, cfg.Timeouts, random),
		recordsComplete: cfg.Complete,
		onChange:        cfg.Changed,
		budget:          burstBytes,
		lastTick:        now,
		checks:          map[string]*pendingCheck{},
		rng:             random,
	}
	c.store.SetMinor(member.Minor)
	c.put(now, c.table.SelfItem())
	return c
}

// put publishes items of this instance.
func (c *core) put(now time.Time, items ...exchange.Item) {
	var changed []exchange.Item
	for _, it := range items {
		if c.store.Put(it, "", now) {
			changed = append(changed, it)
		}
	}
	c.apply(changed, now)
}

// apply updates the membership from items that the store accepted and passes
// them on to onChange.
func (c *core) apply(items []exchange.Item, now time.Time) {
	if len(items) == 0 {
		return
	}
	for _, it := range items {
		if it.Key.Kind == fleetpb.ItemKind_ITEM_KIND_MEMBER {
			c.put(now, c.table.Apply(it, now)...)
		}
	}
	c.onChange(items)
}

// tick does the periodic work and returns the calls that are due. It is called
// about every pushInterval.
func (c *core) tick(now time.Time) []outgoing {
	if now.Sub(c.lastTick) > stallThreshold {
		ownStalls.Inc()
		c.stalledAt = now
	}
	c.budget = min(burstBytes, c.budget+bytesPerSecond*now.Sub(c.lastTick).Seconds())
	c.lastTick = now
	c.put(now, c.table.Tick(now)...)
	c.expireChecks(now)
	if now.Sub(c.lastExpire) >= expireInterval {
		c.lastExpire = now
		c.expire(now)
	}
	var out []outgoing
	if now.Sub(c.lastCall) >= c.callInterval {
		c.lastCall = now
		// A jitter of 10 % keeps instances that started together from calling
		// at the same moments.
		c.callInterval = heartbeatInterval*9/10 + time.Duration(c.rng.Int64N(int64(heartbeatInterval/5)))
		if peer, ok := c.table.NextPeer(); ok {
			out = append(out, c.newCall(peer, purposeHeartbeat, maxCallBytes, now))
		}
	}
	return append(out, c.pushes(now)...)
}

// expire removes expired items, and the members whose items expired.
func (c *core) expire(now time.Time) {
	c.store.Expire(now)
	for _, name := range c.table.Names() {
		if _, ok := c.store.Get(memberKey(name)); !ok {
			c.table.Forget(name)
		}
	}
}

// pushes returns calls that send pending changes to a few random partners, if a
// push is due.
func (c *core) pushes(now time.Time) []outgoing {
	if c.budget <= 0 || now.Sub(c.lastPush) < pushInterval || !c.store.HasPending(c.fleetSize()) {
		return nil
	}
	c.lastPush = now
	var out []outgoing
	for _, peer := range c.table.Partners(pushFanout, "") {
		out = append(out, c.newCall(peer, purposePush, maxPushBytes, now))
	}
	return out
}

func (c *core) fleetSize() int { return c.table.Len() + 1 }

// newCall builds the first call of an exchange, with up to maxBytes of pending
// changes.
func (c *core) newCall(peer member.Peer, p purpose, maxBytes int, now time.Time) outgoing {
	var b exchange.Bundle
	c.store.AddPending(&b, peer.Name, c.fleetSize(), maxBytes, now)
	c.addPeerStatus(&b, peer.Name, 0)
	return outgoing{peer: peer, purpose: p, request: c.request(&b), started: now, bundle: b}
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

// addPeerStatus adds the peer's own member item to the bundle if it calls the peer
// suspected or dead, or has a higher incarnation than the peer, so that the peer
// can refute it. incarnation is 0 if the peer's is not known.
func (c *core) addPeerStatus(b *exchange.Bundle, name string, incarnation uint64) {
	m, ok := c.table.Find(name)
	if !ok {
		return
	}
	stale := incarnation > 0 && m.Incarnation > incarnation
	if stale || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD {
		c.store.Reconcile(b, []*fleetpb.ItemKey{{Kind: fleetpb.ItemKind_ITEM_KIND_MEMBER, Name: name}}, nil, c.lastTick)
	}
}

// serve handles a peer's call and returns the reply.
func (c *core) serve(in *fleetpb.ExchangeRequest, now time.Time) *fleetpb.ExchangeReply {
	name := in.GetCaller().GetInstance()
	known := c.store.AlreadyKnown(in.GetItems(), in.GetSummaries())
	c.apply(c.store.Merge(in.GetItems(), name, now), now)
	if in.GetRoot() == c.store.Root() {
		c.store.MarkInSync(c.fleetSize())
	}
	var b exchange.Bundle
	c.store.Reconcile(&b, in.GetWant(), in.GetSummaries(), now)
	c.store.AddNewer(&b, in.GetItems(), now)
	if c.budget > 0 {
		c.store.AddPending(&b, name, c.fleetSize(), maxCallBytes, now)
	}
	c.addPeerStatus(&b, name, in.GetCaller().GetIncarnation())
	c.budget -= float64(b.Bytes())
	reply := &fleetpb.ExchangeReply{
		Caller: c.caller(), Items: b.Items, Summaries: b.Summaries, Want: b.Want,
		Root: c.store.Root(), Complete: c.recordsComplete(), Known: known,
	}
	if len(in.GetBucketSums()) > 0 {
		differing, covered := c.store.Differing(in.GetBucketSums(), c.rng.IntN(exchange.Buckets))
		reply.Summaries, reply.Buckets = append(reply.Summaries, differing...), covered
	}
	if in.GetPullFrom() > 0 {
		reply.Items, reply.PullNext = c.store.Page(in.GetPullFrom(), pullPageBytes, now)
	}
	return reply
}

// handleReply processes the reply to a call and returns the calls that follow.
func (c *core) handleReply(o outgoing, in *fleetpb.ExchangeReply, now time.Time) []outgoing {
	c.mergeReply(o, in, now)
	if o.purpose == purposeCheck {
		return c.recordCheck(o.suspect, len(in.GetReached()) > 0, now)
	}
	var out []outgoing
	if o.peer.Name != "" && in.GetCaller().GetInstance() != o.peer.Name {
		// Another instance has the address now, so the expected one has
		// probably ended.
		out = c.startCheck(o.peer, now)
	}
	if o.purpose == purposePull {
		return out
	}
	return append(out, c.followUp(o, in, now)...)
}

// mergeReply merges the items of a reply into the store.
func (c *core) mergeReply(o outgoing, in *fleetpb.ExchangeReply, now time.Time) {
	name := in.GetCaller().GetInstance()
	o.bundle.MarkRedundant(in.GetKnown())
	if o.purpose == purposePull {
		c.apply(c.store.MergeSnapshot(in.GetItems(), name, now), now)
	} else {
		c.apply(c.store.Merge(in.GetItems(), name, now), now)
	}
	if in.GetRoot() == c.store.Root() {
		c.store.MarkInSync(c.fleetSize())
	}
}

// followUp returns the next call of an exchange, if one is needed: it sends what
// the peer requested or lacks, requests what this instance lacks, and begins a
// full compare if one is due.
func (c *core) followUp(o outgoing, in *fleetpb.ExchangeReply, now time.Time) []outgoing {
	var b exchange.Bundle
	c.store.Reconcile(&b, in.GetWant(), in.GetSummaries(), now)
	c.store.AddMissing(&b, in.GetBuckets(), in.GetSummaries(), now)
	c.store.AddNewer(&b, in.GetItems(), now)
	differ := in.GetRoot() != c.store.Root()
	compare := differ && now.Sub(c.lastCompare) >= compareInterval && len(in.GetBuckets()) == 0
	if differ && o.purpose == purposeHeartbeat && o.rounds == 0 {
		c.store.AddRecent(&b)
	}
	if b.Empty() && !compare {
		return nil
	}
	if o.rounds >= maxFollowUps {
		followUpsSkipped.Inc()
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

// pull builds a call by which a starting instance requests a page of the peer's
// full state, beginning with bucket from.
func (c *core) pull(peer member.Peer, from uint32, now time.Time) outgoing {
	o := c.newCall(peer, purposePull, maxCallBytes, now)
	o.request.PullFrom = from
	return o
}

// handleFailure processes the failure of a call and returns the calls that follow.
// Calls started before this instance last stalled are ignored.
func (c *core) handleFailure(o outgoing, now time.Time) []outgoing {
	if !o.started.After(c.stalledAt) {
		return nil
	}
	if o.purpose == purposeCheck {
		return c.recordCheck(o.suspect, false, now)
	}
	if o.peer.Name == "" {
		return nil
	}
	return c.startCheck(o.peer, now)
}

// startCheck returns calls that ask other peers to check a member that did not
// answer. Without other peers the member is suspected at once.
func (c *core) startCheck(peer member.Peer, now time.Time) []outgoing {
	m, ok := c.table.Find(peer.Name)
	checkable := m.Status == fleetpb.MemberStatus_MEMBER_STATUS_ALIVE || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEAVING
	if !ok || !checkable || c.checks[peer.Name] != nil {
		return nil
	}
	var out []outgoing
	for _, helper := range c.table.Partners(checkFanout, peer.Name) {
		o := c.newCall(helper, purposeCheck, maxCallBytes, now)
		o.suspect, o.request.Check = peer.Name, []*fleetpb.Target{{Instance: peer.Name, Address: peer.Address}}
		out = append(out, o)
	}
	if len(out) == 0 {
		c.put(now, c.table.Suspect(peer.Name)...)
		return nil
	}
	c.checks[peer.Name] = &pendingCheck{pending: len(out), since: now}
	return out
}

// recordCheck records one result of a check. The member is suspected only if none
// of the peers reached it.
func (c *core) recordCheck(name string, reached bool, now time.Time) []outgoing {
	check := c.checks[name]
	if check == nil {
		return nil
	}
	check.pending--
	check.reached = check.reached || reached
	if check.pending > 0 {
		return nil
	}
	delete(c.checks, name)
	if !check.reached {
		c.put(now, c.table.Suspect(name)...)
	}
	return nil
}

// expireChecks concludes the checks that have been pending for checkDeadline.
func (c *core) expireChecks(now time.Time) {
	var overdue []string
	for name, check := range c.checks {
		if now.Sub(check.since) >= checkDeadline {
			overdue = append(overdue, name)
		}
	}
	slices.Sort(overdue)
	for _, name := range overdue {
		c.checks[name].pending = 1
		c.recordCheck(name, false, now)
	}
}

func memberKey(name string) exchange.Key {
	return exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_MEMBER, Name: name}
}
