package place

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/kept"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// candidateCount is how many endpoints a decision weighs. Four get most of
	// what the whole pool would give.
	candidateCount = 4
	// patience is the wait up to which the first candidate is taken without a
	// look at the others.
	patience = 50 * time.Millisecond
	// askBound is how long an owner may take to answer an ask that it need not
	// hold back. A way of three milliseconds and a busy machine fit in; a
	// request must not notice more when the owner is gone.
	askBound = 20 * time.Millisecond
	// pollWait is how long an owner holds the reply back for a request that is
	// queued there. Each poll is a sign of life of both ends.
	pollWait = 400 * time.Millisecond
	// pollBound is twice as long and more, since a connection that has gone
	// silent is given half of it.
	pollBound = 2 * (pollWait + 100*time.Millisecond)
	// maxTries bounds how often a request is placed anew because an owner or
	// endpoint went away while it waited.
	maxTries = 4
)

var (
	placed      = metrics.GetOrCreateCounter("sardinedock_place_granted_total")
	asksSent    = metrics.GetOrCreateCounter("sardinedock_place_asks_total")
	asksFailed  = metrics.GetOrCreateCounter("sardinedock_place_asks_failed_total")
	fallbacks   = metrics.GetOrCreateCounter("sardinedock_place_without_owner_total")
	shifted     = metrics.GetOrCreateCounter("sardinedock_place_shifted_total")
	refusedLate = metrics.GetOrCreateCounter("sardinedock_place_refused_total")
)

// Peers is how other instances are called.
type Peers interface {
	Ask(ctx context.Context, address string, bound time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error)
	Report(ctx context.Context, address string, bound time.Duration, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error)
	HandOver(ctx context.Context, address string, bound time.Duration, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error)
	Warn(ctx context.Context, address string, bound time.Duration, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error)
}

// FleetConfig is what a Fleet needs.
type FleetConfig struct {
	// Caller names this instance in messages.
	Caller *fleetpb.Caller
	Clock  clock.Clock
	Peers  Peers
	// Duty owns the endpoints of this instance.
	Duty *Duty
	// AskLeaving asks the endpoint at an address whether it leaves; nil asks none.
	AskLeaving func(ctx context.Context, address string) (leaving bool, err error)
	// Kept has prefixes exported and imported.
	Kept *kept.Coordinator
	// Publish shares a state with all instances, one version above the one
	// held. It is called by one goroutine and may block.
	Publish func(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error
}

// Fleet places requests with the owners of the endpoints. It implements Placer.
type Fleet struct {
	cfg     FleetConfig
	routes  atomic.Pointer[routes]
	states  *states
	looks   *looks
	guard   *guard
	limits  *limits
	reports *reporter
	inbox   *ring.Ring[[]exchange.Item]
	outbox  *ring.Ring[publication]

	levelsMu sync.Mutex
	levels   *prefix.Levels

	changes sync.Mutex // one change of routes at a time
}

// ticket is one request on its way through placing.
type ticket struct {
	request  Request
	routes   *routes
	pool     *poolRoutes
	deadline time.Time
	weight   float64
	alone    bool
	// limit has to be told of the end; nil where the organisation has none.
	limit  *policy.OrganisationLimit
	blocks []byte
	tries  int
	// withdrawn counts the asks that were taken back.
	withdrawn int
	// kept is the longest prefix that can be imported; none if it is empty.
	kept kept.Prefix
	// levels are the numbers of leading blocks at which a shared level ends.
	levels []int
}

// NewFleet returns a placer without records, which refuses all requests.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		cfg:    cfg,
		states: newStates(),
		looks:  newLooks(cfg.AskLeaving),
		inbox:  ring.New[[]exchange.Item]("place_inbox", shareRing),
		outbox: ring.New[publication]("place_outbox", shareRing),
		levels: prefix.NewLevels(prefix.DefaultLevelSets),
	}
	f.guard = newGuard(f.publish)
	f.limits = newLimits(cfg.Caller.GetInstance(), f.publish)
	f.reports = newReporter(f)
	f.routes.Store(newRoutes(&member.View{Self: cfg.Caller.GetInstance()}, nil))
	return f
}

// SetRecords puts records in force.
func (f *Fleet) SetRecords(ctx context.Context, r *record.Snapshot) {
	f.changes.Lock()
	defer f.changes.Unlock()
	f.setRoutes(ctx, newRoutes(f.routes.Load().view, r))
}

// SetView takes the members as they are now.
func (f *Fleet) SetView(ctx context.Context, v *member.View) {
	f.changes.Lock()
	defer f.changes.Unlock()
	f.setRoutes(ctx, newRoutes(v, f.routes.Load().records))
}

func (f *Fleet) setRoutes(ctx context.Context, r *routes) {
	f.routes.Store(r)
	f.states.keep(r.owners)
	f.looks.keep(r.owners)
	f.limits.setMembers(f.cfg.Clock.Now(), r.view, r.records)
	members := make([]string, 0, len(r.view.Members))
	for _, m := range r.view.Members {
		if m.Status != fleetpb.MemberStatus_MEMBER_STATUS_DEAD && m.Status != fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
			members = append(members, m.Name)
		}
	}
	_ = f.cfg.Duty.SetOwned(ctx, r.owned(), members, r.next)
}

// Owned lists the endpoints that this instance owns now.
func (f *Fleet) Owned() []string {
	var names []string
	for _, cfg := range f.routes.Load().owned() {
		names = append(names, cfg.Name)
	}
	slices.Sort(names)
	return names
}

// Place implements Placer.
func (f *Fleet) Place(ctx context.Context, r Request) (Grant, error) {
	now := f.cfg.Clock.Now()
	t := &ticket{request: r, deadline: now.Add(classWait(r.Class))}
	if err := f.admit(t, now); err != nil {
		refusedLate.Inc()
		return Grant{}, err
	}
	g, err := f.place(ctx, t)
	if err != nil {
		f.limits.done(t.limit)
		refusedLate.Inc()
		return Grant{}, err
	}
	placed.Inc()
	f.importKept(ctx, t, g)
	return g, nil
}

// admit refuses requests that crashed endpoints or are over their
// organisation's limit.
func (f *Fleet) admit(t *ticket, now time.Time) error {
	verdict, left := f.guard.verdict(now, t.request.Fingerprint)
	if verdict == policy.CrashRefused {
		err := fault.New(fault.Suspect, "change the request, or send it again after the time in Retry-After", "the request was in flight at two crashes of endpoints and is not run")
		return fault.WithRetryAfter(err, left)
	}
	t.alone = verdict == policy.CrashSuspect
	limit, ok, after := f.limits.admit(now, t.request.Organisation)
	if !ok {
		err := fault.New(fault.LimitExceeded, "send fewer requests, or have the organisation's limit raised", "organisation %q is at its limit", t.request.Organisation)
		return fault.WithRetryAfter(err, after)
	}
	t.limit = limit
	return nil
}

// place finds an endpoint, anew when an owner or endpoint goes away meanwhile.
func (f *Fleet) place(ctx context.Context, t *ticket) (Grant, error) {
	for ; ; t.tries++ {
		list, err := f.candidates(t)
		if err != nil {
			return Grant{}, err
		}
		f.findKept(t)
		if t.tries >= maxTries {
			return f.placeOwn(ctx, t, list)
		}
		g, again, err := f.placeOnce(ctx, t, list)
		if !again {
			return g, err
		}
	}
}

// candidates lists the endpoints to weigh, first choice first.
func (f *Fleet) candidates(t *ticket) ([]candidate, error) {
	t.routes = f.routes.Load()
	t.pool = t.routes.pools[t.request.PoolName]
	if t.pool == nil {
		return nil, errNoEndpoint(t.request.PoolName)
	}
	if o, ok := t.routes.records.Organisation(t.request.Organisation); ok {
		t.weight = o.GetWeight()
	}
	now := f.cfg.Clock.Now()
	usable := func(i int) bool {
		e := t.pool.endpoints[i]
		return !e.GetLeaving() && f.states.usable(e.GetName(), now) && !f.looks.knownLeaving(e.GetName(), now) && !slices.Contains(t.request.Exclude, e.GetName())
	}
	key := f.key(t)
	var found [candidateCount]int
	top := t.pool.ranking.Top(found[:0], key, candidateCount, func(i int) bool { return t.pool.near[i] && usable(i) })
	if len(top) == 0 {
		top = t.pool.ranking.Top(found[:0], key, candidateCount, usable)
	}
	if len(top) == 0 {
		return nil, errNoEndpoint(t.request.PoolName)
	}
	list := make([]candidate, 0, len(top))
	for _, i := range top {
		list = append(list, candidate{name: t.pool.endpoints[i].GetName(), address: t.pool.endpoints[i].GetAddress()})
	}
	return list, nil
}

func errNoEndpoint(pool string) error {
	err := fault.New(fault.Unavailable, "add endpoints to the pool, or see in /debug/state why those it has are not used", "no endpoint of pool %q can take the request", pool)
	return fault.WithRetryAfter(err, ownRetryAfter)
}

// key is what the endpoints are ordered by: the deepest level of the prompt
// that others share.
func (f *Fleet) key(t *ticket) prefix.Hash {
	r := t.request
	salt := prefix.Salt(r.Organisation, r.Model, r.Version)
	f.levelsMu.Lock()
	defer f.levelsMu.Unlock()
	key := f.levels.Key(salt, r.Blocks, 0)
	f.levels.Observe(salt, r.Blocks)
	t.levels = f.levels.Ends(t.levels[:0], r.Blocks)
	return key
}

// granted finishes a grant.
func (f *Fleet) granted(t *ticket, g Grant) Grant {
	g.ticket = t
	f.states.sent(g.Endpoint)
	return g
}

// FirstToken implements Placer.
func (f *Fleet) FirstToken(g Grant, cachedTokens int64, after time.Duration) {
	if g.ID == 0 || g.ticket == nil {
		return
	}
	f.reports.add(g, &fleetpb.GrantEnd{
		Endpoint: g.Endpoint, GrantId: g.ID, RequestId: g.ticket.request.ID,
		State: fleetpb.GrantState_GRANT_STATE_FIRST_TOKEN, CachedTokens: cachedTokens, FirstTokenMs: after.Milliseconds(),
	})
}

// Done implements Placer.
func (f *Fleet) Done(g Grant, res Result) {
	if g.ticket == nil {
		return
	}
	now := f.cfg.Clock.Now()
	f.states.ended(g.Endpoint)
	f.limits.done(g.ticket.limit)
	switch res.End {
	case EndCrashed:
		f.states.sawCrash(g.Endpoint, now)
		f.guard.crashed(now, g.Endpoint, max(res.Incarnation, g.Incarnation), []owner.Fingerprint{g.ticket.request.Fingerprint})
		f.warn(now, g.ticket)
	case EndDone:
		f.guard.completed(now, g.ticket.request.Fingerprint)
		f.keep(g)
	}
	if g.ID == 0 {
		return
	}
	f.reports.add(g, &fleetpb.GrantEnd{
		Endpoint: g.Endpoint, GrantId: g.ID, RequestId: g.ticket.request.ID, State: stateOf(res.End),
		CachedTokens: res.CachedTokens, PromptTokens: res.PromptTokens, OutputTokens: res.OutputTokens, Incarnation: res.Incarnation,
	})
}
