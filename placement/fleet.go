package placement

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
	"github.com/sardinedock/sardinedock/kvoffload"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// candidateCount is how many endpoints are considered for a request. Four give most of
	// the benefit of considering the whole pool.
	candidateCount = 4
	// maxFirstWait is the estimated time to first token up to which the first candidate is
	// taken without asking the others.
	maxFirstWait = 50 * time.Millisecond
	// askTimeout is how long an owner may take to answer an ask without a wait. It covers a
	// one-way network latency of three milliseconds and a busy machine, and is the longest
	// delay that an unreachable owner may add to a request.
	askTimeout = 20 * time.Millisecond
	// pollWait is how long an owner delays the reply to a poll for a queued request. Each
	// poll shows both sides that the other is alive.
	pollWait = 400 * time.Millisecond
	// pollTimeout is more than twice pollWait, since an unresponsive connection is given
	// half of it.
	pollTimeout = 2 * (pollWait + 100*time.Millisecond)
	// maxTries is how often a request is placed anew because an owner or endpoint became
	// unavailable while it waited.
	maxTries = 4
)

var (
	placed          = metrics.GetOrCreateCounter("sardinedock_place_granted_total")
	asksSent        = metrics.GetOrCreateCounter("sardinedock_place_asks_total")
	asksFailed      = metrics.GetOrCreateCounter("sardinedock_place_asks_failed_total")
	fallbacks       = metrics.GetOrCreateCounter("sardinedock_place_without_owner_total")
	placedElsewhere = metrics.GetOrCreateCounter("sardinedock_place_shifted_total")
	refused         = metrics.GetOrCreateCounter("sardinedock_place_refused_total")
)

// Peers calls other instances. bound is the call's timeout.
type Peers interface {
	Ask(ctx context.Context, address string, bound time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error)
	Report(ctx context.Context, address string, bound time.Duration, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error)
	HandOver(ctx context.Context, address string, bound time.Duration, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error)
	Warn(ctx context.Context, address string, bound time.Duration, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error)
}

// FleetConfig is the configuration of a Fleet.
type FleetConfig struct {
	// Caller identifies this instance in messages.
	Caller *fleetpb.Caller
	Clock  clock.Clock
	Peers  Peers
	// OwnerServer runs the endpoints that this instance owns.
	OwnerServer *OwnerServer
	// AskLeaving asks the endpoint at an address whether it is leaving. If nil, endpoints
	// are not asked.
	AskLeaving func(ctx context.Context, address string) (leaving bool, err error)
	// KVOffload exports and imports the KV cache of prefixes. If nil, nothing is exported or
	// imported.
	KVOffload *kvoffload.Coordinator
	// Publish publishes a value to all instances, one version above the current one. It is
	// called by one goroutine and may block.
	Publish func(ctx context.Context, key exchange.Key, value []byte, ttl time.Duration) error
}

// Fleet places requests by asking the owners of the endpoints. It implements Placer.
type Fleet struct {
	cfg           FleetConfig
	routes        atomic.Pointer[routes]
	states        *states
	leavingChecks *leavingChecks
	guard         *guard
	limits        *limits
	reports       *reporter
	inbox         *ring.Ring[[]exchange.Item]
	outbox        *ring.Ring[publication]

	levelsMu sync.Mutex
	levels   *prefix.Levels

	routesMu sync.Mutex // serialises changes of routes
}

// placement is the state of one request's placement.
type placement struct {
	request  Request
	routes   *routes
	pool     *poolRoutes
	deadline time.Time
	weight   float64
	alone    bool
	// limit has to be passed to limits.done at the end; nil if the organisation has none.
	limit  *policy.OrganisationLimit
	blocks []byte
	tries  int
	// withdrawn is the number of asks that were withdrawn.
	withdrawn int
	// kvoffload is the longest prefix whose KV cache can be imported; empty if there is none.
	kvoffload kvoffload.Prefix
	// levels are the prefix lengths, in blocks, at which a shared level ends.
	levels []int
}

// NewFleet returns a Fleet without records. It refuses all requests until SetRecords is
// called.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		cfg:           cfg,
		states:        newStates(),
		leavingChecks: newLeavingChecks(cfg.AskLeaving),
		inbox:         ring.New[[]exchange.Item]("place_inbox", shareQueueSize),
		outbox:        ring.New[publication]("place_outbox", shareQueueSize),
		levels:        prefix.NewLevels(prefix.DefaultLevelSets),
	}
	f.guard = newGuard(f.publish)
	f.limits = newLimits(cfg.Caller.GetInstance(), f.publish)
	f.reports = newReporter(f)
	f.routes.Store(newRoutes(&member.View{Self: cfg.Caller.GetInstance()}, nil))
	return f
}

// SetRecords applies a snapshot of the records.
func (f *Fleet) SetRecords(ctx context.Context, r *record.Snapshot) {
	f.routesMu.Lock()
	defer f.routesMu.Unlock()
	f.setRoutes(ctx, newRoutes(f.routes.Load().view, r))
}

// SetView applies a view of the fleet's members.
func (f *Fleet) SetView(ctx context.Context, v *member.View) {
	f.routesMu.Lock()
	defer f.routesMu.Unlock()
	f.setRoutes(ctx, newRoutes(v, f.routes.Load().records))
}

func (f *Fleet) setRoutes(ctx context.Context, r *routes) {
	f.routes.Store(r)
	f.states.retain(r.owners)
	f.leavingChecks.retain(r.owners)
	f.limits.setMembers(f.cfg.Clock.Now(), r.view, r.records)
	members := make([]string, 0, len(r.view.Members))
	for _, m := range r.view.Members {
		if m.Status != fleetpb.MemberStatus_MEMBER_STATUS_DEAD && m.Status != fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
			members = append(members, m.Name)
		}
	}
	_ = f.cfg.OwnerServer.SetOwned(ctx, r.owned(), members, r.ownerOf)
}

// Owned returns the names of the endpoints that this instance owns now, sorted.
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
	t := &placement{request: r, deadline: now.Add(classWait(r.Class))}
	if err := f.admit(t, now); err != nil {
		refused.Inc()
		return Grant{}, err
	}
	g, err := f.place(ctx, t)
	if err != nil {
		f.limits.done(t.limit)
		refused.Inc()
		return Grant{}, err
	}
	placed.Inc()
	f.importStored(ctx, t, g)
	return g, nil
}

// admit refuses requests that have crashed endpoints or exceed their organisation's limit.
func (f *Fleet) admit(t *placement, now time.Time) error {
	verdict, left := f.guard.verdict(now, t.request.Fingerprint)
	if verdict == policy.CrashRefused {
		err := fault.New(fault.Suspect, "change the request, or send it again after the time in Retry-After", "the request crashed the endpoints that ran it")
		return fault.WithRetryAfter(err, left)
	}
	t.alone = verdict == policy.CrashSuspect || verdict == policy.CrashConfined
	limit, ok, after := f.limits.admit(now, t.request.Organisation)
	if !ok {
		err := fault.New(fault.LimitExceeded, "send fewer requests, or have the organisation's limit raised", "organisation %q is at its limit", t.request.Organisation)
		return fault.WithRetryAfter(err, after)
	}
	t.limit = limit
	return nil
}

// place finds an endpoint, and tries again if an owner or endpoint becomes unavailable
// meanwhile.
func (f *Fleet) place(ctx context.Context, t *placement) (Grant, error) {
	for ; ; t.tries++ {
		list, err := f.candidates(t)
		if err != nil {
			return Grant{}, err
		}
		f.findStored(t)
		if t.tries >= maxTries {
			return f.placeLocally(ctx, t, list)
		}
		g, again, err := f.placeOnce(ctx, t, list)
		if !again {
			return g, err
		}
	}
}

// candidates returns the endpoints to consider, in order of preference.
func (f *Fleet) candidates(t *placement) ([]candidate, error) {
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
		return !e.GetLeaving() && f.states.usable(e.GetName(), now) && !f.leavingChecks.knownLeaving(e.GetName(), now) && !slices.Contains(t.request.Exclude, e.GetName())
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
	return fault.WithRetryAfter(err, localRetryAfter)
}

// key returns the hash by which the endpoints are ordered: the deepest level of the prompt
// that other prompts share.
func (f *Fleet) key(t *placement) prefix.Hash {
	r := t.request
	salt := prefix.Salt(r.Organisation, r.Model, r.Version)
	f.levelsMu.Lock()
	defer f.levelsMu.Unlock()
	key := f.levels.Key(salt, r.Blocks, 0)
	f.levels.Observe(salt, r.Blocks)
	t.levels = f.levels.Ends(t.levels[:0], r.Blocks)
	return key
}

// granted attaches the placement to a grant and counts the request as running.
func (f *Fleet) granted(t *placement, g Grant) Grant {
	g.placement = t
	f.states.sent(g.Endpoint)
	return g
}

// FirstToken implements Placer.
func (f *Fleet) FirstToken(g Grant, cachedTokens int64, after time.Duration) {
	if g.ID == 0 || g.placement == nil {
		return
	}
	f.reports.add(g, &fleetpb.GrantEnd{
		Endpoint: g.Endpoint, GrantId: g.ID, RequestId: g.placement.request.ID,
		State: fleetpb.GrantState_GRANT_STATE_FIRST_TOKEN, CachedTokens: cachedTokens, FirstTokenMs: after.Milliseconds(),
	})
}

// Done implements Placer.
func (f *Fleet) Done(g Grant, res Result) {
	if g.placement == nil {
		return
	}
	now := f.cfg.Clock.Now()
	f.states.ended(g.Endpoint)
	f.limits.done(g.placement.limit)
	switch res.End {
	case EndCrashed:
		f.states.markCrashed(g.Endpoint, now)
		f.guard.recordCrash(now, g.Endpoint, max(res.Incarnation, g.Incarnation), g.Alone, g.placement.request.Fingerprint)
		f.warn(now, g.placement.request.Fingerprint, !g.placement.request.Class.GetNonIdempotent())
	case EndDone:
		f.guard.recordCompletion(now, g.placement.request.Fingerprint)
		f.reportUse(g)
	}
	if g.ID == 0 {
		return
	}
	f.reports.add(g, &fleetpb.GrantEnd{
		Endpoint: g.Endpoint, GrantId: g.ID, RequestId: g.placement.request.ID, State: stateOf(res.End),
		CachedTokens: res.CachedTokens, PromptTokens: res.PromptTokens, OutputTokens: res.OutputTokens, Incarnation: res.Incarnation,
	})
}
