// Package hosted puts one instance on the users' platform together, from its
// start to its shutdown: it follows the platform's store, tells and hears the
// other instances, rolls out weights while it holds the lease, and serves
// callers.
package hosted

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/cachefeed"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/internal/sockstate"
	"github.com/sardinedock/sardinedock/lease"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/rollout"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

const (
	// headerBytes and bodyBytes bound what is read of a request whatever the
	// records say: 32 KB and 4 MiB are what operators may set.
	headerBytes = 32 << 10
	bodyBytes   = 4 << 20
	// checkEvery is the time between two reads of the records by the whole fleet,
	// besides the watches; each instance takes its turn. A change that all
	// watches miss is found within it.
	checkEvery = 500 * time.Millisecond
	// slowCheck is the same for endpoints and weights, whose bounds are wider.
	slowCheck = time.Second
	// watchers is how many schedulers watch the endpoints for all. With three, two
	// may be killed or cut off at once, and changes are still heard.
	watchers = 3
	// leaseName is the lease of the rollout.
	leaseName = "weights"
	// leaseCandidates is how many instances try for the lease. Two are enough
	// for a holder to be replaced; each further one costs reads.
	leaseCandidates = 2
	// callerUserTimeout is how long bytes to a caller may stay unconfirmed.
	callerUserTimeout = 10 * time.Second
	// sweepEvery is how often runs that nobody ended are looked for.
	sweepEvery = time.Second
)

// Instance is one running process.
type Instance struct {
	// settings of the start; bounds are those in force.
	settings    *settingspb.Hosted
	bounds      atomic.Pointer[settingspb.HostedBounds]
	incarnation uint64
	state       *balance.State
	table       atomic.Pointer[route.Table]
	budget      *policy.FleetRetries
	quotas      *quota.Book
	rates       *rates
	guard       *gateway.CrashGuard
	relays      *relays
	store       *platform.Store
	node        *gossip.Node
	placer      *placer
	followers   map[string]*directory.Follower
	rollout     *rollout.Hosted
	feed        *cachefeed.Feed
	lease       *lease.Duty
	server      *gateway.Server
	cancel      context.CancelFunc
	// entries and peers are what the store's objects say, owned by their followers.
	entries   entries
	changeLog changeLog
	peers     decoded[gossip.Peer]
	// listedPeers is how many instances were listed last.
	listedPeers int
	endpoints   atomic.Bool
	// unlisted asks join to register this instance again.
	unlisted chan struct{}
	// settled says that this instance knows enough of the others to watch for them.
	settled atomic.Bool
	leaving atomic.Bool
	// toldToEnd is when Shutdown began.
	toldToEnd atomic.Pointer[time.Time]
	killed    atomic.Bool
	listeners []net.Listener
}

// Start starts the instance. It returns once the addresses are bound; callers
// are served as soon as records are known.
func Start(s *settingspb.Hosted) (*Instance, error) {
	i := &Instance{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		state:       balance.NewState(milliseconds(s.GetBounds().GetWeightsMs())),
		guard:       gateway.NewCrashGuard(),
		relays:      newRelays(),
		store:       platform.NewStore(s.GetStore()),
	}
	i.unlisted = make(chan struct{}, 1)
	i.quotas = quota.NewBook(time.Now(), s.GetInstance(), i.incarnation)
	b := s.GetBounds()
	i.bounds.Store(b)
	i.budget = policy.NewFleetRetries(b.GetRetryRatio(), b.GetRetrySlack(), seconds(b.GetRetryWindowSeconds()))
	if err := i.bind(); err != nil {
		return nil, err
	}
	limits := ratelimit.NewLimits(time.Now(), s.GetInstance(), i.incarnation)
	i.state.SetLimiter(limits)
	i.rates = newRates(limits, i.node.BroadcastNotice)
	i.placer = newPlacer(i)
	callers, readyAt, metricsAt := i.listeners[0], i.listeners[1], i.listeners[2]
	i.server = gateway.NewServer(gateway.Config{
		DataCentre: s.GetDataCentre(), Table: i.table.Load, State: i.state, Budget: i.budget, Guard: i.guard,
		Broadcaster: i.node, Placer: i.placer, Rates: i.rates, Peers: i, Dialect: platform.Dialect{}, Relay: i.relays.to,
		Started: time.Now(), HeaderBytes: headerBytes, BodyBytes: bodyBytes,
	})
	i.run()
	go func() { i.served("callers", i.server.Serve(callers)) }()
	ready := &fasthttp.Server{Handler: i.answerReady, NoDefaultServerHeader: true, NoDefaultDate: true}
	go func() { i.served("ready", ready.Serve(readyAt)) }()
	go func() { i.served("metrics", fasthttp.Serve(metricsAt, i.answerMetrics)) }()
	log.WithField("data_centre", s.GetDataCentre()).WithField("callers", s.GetListen().GetCallers()).Info("started")
	return i, nil
}

// bind takes all addresses, or none.
func (i *Instance) bind() error {
	l := i.settings.GetListen()
	for _, address := range []string{l.GetCallers(), l.GetReady(), l.GetMetrics()} {
		ln, err := listen(address)
		if err != nil {
			i.closeListeners()
			return err
		}
		i.listeners = append(i.listeners, ln)
	}
	node, err := i.newNode()
	if err != nil {
		i.closeListeners()
		return err
	}
	i.node = node
	return nil
}

func (i *Instance) newNode() (*gossip.Node, error) {
	at := i.settings.GetListen().GetGossip()
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "write IP:port", "address for datagrams %s", at)
	}
	self := gossip.Peer{Name: i.settings.GetInstance(), Address: address, DataCentre: i.settings.GetDataCentre(), LinkMbps: i.settings.GetLinkMbps()}
	return gossip.New(self, i.incarnation, receiver{i})
}

func (i *Instance) closeListeners() {
	for _, ln := range i.listeners {
		_ = ln.Close()
	}
}

func listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: sockstate.UserTimeout(callerUserTimeout)}
	ln, err := lc.Listen(context.Background(), "tcp4", address)
	return ln, fault.Wrap(err, fault.Unavailable, "free the port, or name another one", "listen on %s", address)
}

func (i *Instance) served(what string, err error) {
	if err != nil && !i.leaving.Load() {
		log.WithError(err).WithField("listener", what).Error("serving ended")
	}
}

// run starts the duties.
func (i *Instance) run() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.lease = lease.NewDuty(lease.Config{
		Store: i.store, Name: leaseName, Self: i.settings.GetInstance(),
		Length:    milliseconds(i.settings.GetBounds().GetLeaseMs()),
		Candidate: i.isCandidate,
	})
	i.rollout = rollout.NewHosted(rollout.HostedConfig{
		Self: i.settings.GetInstance(), Lease: i.lease, Control: platform.NewControl(i.relays.to), State: i.state,
		Pools: i.pools, LoadExpected: i.broadcastSoon, Loading: i.broadcastLoading, Holds: i.broadcastHolds,
	})
	i.feed = cachefeed.New(cachefeed.Config{
		Source: platform.NewControl(i.relays.to), Owned: i.ownedHolders,
		Apply: i.state.UpdateCache, Publish: i.reportCache, KnownParts: i.state.CachedParts,
	})
	i.followers = map[string]*directory.Follower{}
	i.follow(platform.KindRecords, i.takeRecords)
	i.follow(platform.KindEndpoints, i.takeEndpoints)
	i.follow(platform.KindWeights, i.takeWeights)
	i.follow(kindInstances, i.takeInstances)
	go i.node.Run(ctx)
	for kind, f := range i.followers {
		if kind != kindInstances {
			go f.Run(ctx)
		}
	}
	go i.join(ctx)
	go i.rollout.Run(ctx)
	go i.sweep(ctx)
	go i.followQuotas(ctx)
	go i.removeLost(ctx)
	go i.server.WatchSilence(ctx)
	go i.feed.Run(ctx)
	i.lease.Start()
}

// follow sets up the follower of a kind; run starts it.
func (i *Instance) follow(kind string, changed func([]directory.Change)) {
	cfg := directory.Config{
		Store: i.store, Kind: kind, Changed: changed, PublishRevision: i.node.BroadcastRevision,
		ReadInterval: readEvery(kind), ReadPosition: func() int { return i.standing().ReadPosition(kind) }, PublishRead: i.node.BroadcastRead,
	}
	switch kind {
	case platform.KindRecords:
		// They have the tightest bound, change rarely and do not fit into datagrams.
		// All schedulers watch them and tell the others that there are newer ones.
		cfg.Watches = func() bool { return i.settled.Load() && i.node.IsScheduler() }
	default:
		// Each change costs each watch a call of the store; a few watch, and tell
		// the others.
		cfg.Watches = func() bool { return i.watches(kind) }
		cfg.PublishChange = i.broadcastEntry
	}
	if kind == platform.KindEndpoints {
		cfg.ReachabilityChanged = i.node.ReportStore
		cfg.MinExpiryOutage = lapseAfter(i.bounds.Load())
	}
	i.followers[kind] = directory.NewFollower(cfg)
}

// readEvery is the time between two reads of a kind by the whole fleet.
func readEvery(kind string) time.Duration {
	switch kind {
	case platform.KindRecords:
		return checkEvery
	case kindInstances:
		return instancesEvery
	}
	return slowCheck
}

func (i *Instance) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) == nil {
		now := time.Now()
		i.state.Sweep(now)
		i.quotas.Sweep(now)
		i.rates.sweep(now, i.state.Exists)
		i.changeLog.flush(now)
		i.budget.SetInstances(i.node.Live())
	}
}

// Ready reports whether callers should be sent here.
func (i *Instance) Ready() bool {
	return !i.leaving.Load() && i.table.Load() != nil && i.endpoints.Load()
}

func (i *Instance) answerReady(ctx *fasthttp.RequestCtx) {
	if !i.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
