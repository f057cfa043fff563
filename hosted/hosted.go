// Package hosted assembles one instance on the users' platform and runs it from its start to its
// shutdown: it follows the platform's store, exchanges messages with the other instances, rolls out
// weights while it holds the lease, and serves callers.
package hosted

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/bufferlimit"
	"github.com/sardinedock/sardinedock/cachefeed"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/internal/sockstate"
	"github.com/sardinedock/sardinedock/lease"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/overload"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/reachability"
	"github.com/sardinedock/sardinedock/rollout"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

const (
	// headerBytes and bodyBytes bound the sizes of any request: 32 KB and 4 MiB are the most that
	// operators may set in the records.
	headerBytes = 32 << 10
	bodyBytes   = 4 << 20
	// recordsReadInterval is the time between two reads of the records by the whole fleet, in
	// addition to the watches; instances take turns. A change that all watches miss is found within
	// it.
	recordsReadInterval = 500 * time.Millisecond
	// slowReadInterval is the same for endpoints and weights, whose bounds are wider.
	slowReadInterval = time.Second
	// watchers is how many schedulers watch the endpoints for the whole fleet. With three, changes
	// still arrive if two are killed or cut off at once.
	watchers = 3
	// leaseName is the name of the rollout's lease.
	leaseName = "weights"
	// leaseCandidates is how many instances try to acquire the lease. Two are enough to replace a
	// holder; each further one costs reads.
	leaseCandidates = 2
	// callerUserTimeout is the TCP user timeout of callers' connections: how long sent bytes may
	// stay unacknowledged. A caller that vanishes while nothing is sent to it is noticed by the second
	// of Go's keep-alive probes, after 30 s.
	callerUserTimeout = 10 * time.Second
	// unreadShare is the fraction, 1/unreadShare, of the instance's memory that may be held for callers and endpoints
	// that read slowly. The rest is for requests that are being served, the state and garbage.
	unreadShare = 4
	// intakeShare is the same for answers that are being received whole.
	intakeShare = 8
	// requestShare is the same for requests until they are answered, minRequestBytes the least memory for them: a body of the largest
	// size takes it twice while it is joined, in the part that large ones may use. defaultRequestBytes is the memory for them if none is
	// stated.
	requestShare        = 4
	minRequestBytes     = 4 * bodyBytes
	defaultRequestBytes = 256 << 20
	// runtimeShare is the share of the instance's memory that the Go runtime may use before it collects garbage more
	// often. The rest is for the program itself, programMb at least, and for what the kernel holds for connections.
	runtimeShare = 0.7
	programMb    = 24
	// minRuntimeShare is the least share where programMb is much of the memory.
	minRuntimeShare = 0.5
	// maxReady and maxMetrics bound the connections to these addresses.
	maxReady, maxMetrics = 16, 8
	// sweepInterval is the time between two sweeps of expired state, such as runs without a
	// reported end.
	sweepInterval = time.Second
	// bytesPerMB is the unit of memory in the settings.
	bytesPerMB = 1 << 20
)

// LimitMemory sets the soft limit of the Go runtime's memory for a process that runs one instance, so that the garbage of closed
// connections is collected before the machine's memory is used up. Without a memory in the settings, or with one in the
// environment variable GOMEMLIMIT, it has no effect.
func LimitMemory(s *settingspb.Hosted) {
	if mb := s.GetMemoryMb(); mb > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		limit := min(mb*runtimeShare, max(mb-programMb, mb*minRuntimeShare))
		debug.SetMemoryLimit(int64(limit * bytesPerMB))
	}
}

// Instance is one gateway instance, running in this process.
type Instance struct {
	// settings are those of the start; bounds are those in force.
	settings    *settingspb.Hosted
	bounds      atomic.Pointer[settingspb.HostedBounds]
	incarnation uint64
	started     time.Time
	state       *balance.State
	table       atomic.Pointer[route.Table]
	budget      *policy.FleetRetries
	quotas      *quota.Book
	statements  *statements
	origins     *origins
	recorder    *releaseRecorder
	guard       *gateway.CrashGuard
	gate        overload.Gate
	paths       *reachability.Table
	// poolLostAt is when this instance found a pool out of reach, in Unix ns; 0 if all are in reach.
	poolLostAt atomic.Int64
	relays     *relays
	// peerRelays are the connections to other instances, to which requests are forwarded.
	peerRelays *relays
	forwarders *forwarders
	store      *platform.Store
	node       *gossip.Node
	placer     *placer
	followers  map[string]*directory.Follower
	rollout    *rollout.Hosted
	feed       *cachefeed.Feed
	lease      *lease.Manager
	server     *gateway.Server
	// intake bounds the answers that are received whole; nil without a memory in the settings.
	intake *bufferlimit.Intake
	// requests bounds what requests of callers and of other instances occupy.
	requests *bufferlimit.Intake
	// slow bounds what is held for peers that read slowly; nil for no bound.
	slow   *gateway.SlowReaders
	cancel context.CancelFunc
	// entries and peers are decoded from the store's objects; only their followers use them.
	entries   entries
	changeLog changeLog
	peers     decoded[gossip.Peer]
	// listedPeers is the number of instances in the last list.
	listedPeers     int
	endpointsListed atomic.Bool
	// reregister makes join register this instance again.
	reregister chan struct{}
	// settled is set once this instance knows enough of the others to watch the store for them.
	settled atomic.Bool
	leaving atomic.Bool
	// shutdownAt is when Shutdown was called.
	shutdownAt atomic.Pointer[time.Time]
	killed     atomic.Bool
	listeners  []net.Listener
	// metricsLn is nil if the address for metrics could not be bound.
	metricsLn net.Listener
}

// Start starts an instance. It returns once the addresses are bound; callers are served once
// records are loaded.
func Start(s *settingspb.Hosted) (*Instance, error) {
	i := &Instance{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		state:       balance.NewState(milliseconds(s.GetBounds().GetWeightsMs())),
		store:       platform.NewStore(s.GetStore()),
		paths:       reachability.NewTable(),
	}
	requestMemory := int64(defaultRequestBytes)
	if mb := s.GetMemoryMb(); mb > 0 {
		requestMemory = max(int64(mb*bytesPerMB/requestShare), minRequestBytes)
		i.intake = bufferlimit.NewIntake(int64(mb * bytesPerMB / intakeShare))
		i.slow = gateway.NewSlowReaders(int64(mb * bytesPerMB / unreadShare))
	}
	i.requests = bufferlimit.NewRequestIntake(requestMemory)
	i.relays = newRelays(i.maxIdleConnections, i.intake)
	i.peerRelays = newRelays(func(string) int { return math.MaxInt }, i.intake)
	i.forwarders = newForwarders(s.GetDataCentre())
	i.reregister = make(chan struct{}, 1)
	i.quotas = quota.NewBook(time.Now(), s.GetInstance(), i.incarnation)
	b := s.GetBounds()
	i.bounds.Store(b)
	i.budget = policy.NewFleetRetries(i.started, b.GetRetryRatio(), b.GetRetrySlack(), seconds(b.GetRetryWindowSeconds()))
	if s.GetFirstStart() {
		i.budget.NoEarlierRetries()
	}
	if err := i.bind(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.origins = &origins{
		book: origin.NewBook(), state: i.state, node: i.node, started: i.started, settled: &i.settled,
		record: &recordReader{ctx: ctx, store: i.store}, lists: &listReads{ctx: ctx, store: i.store},
		listed: func() uint64 {
			f := i.followers[platform.KindEndpoints]
			return max(f.Revision(), uint64(f.Span().To))
		},
	}
	i.recorder = i.newRecorder()
	i.guard = gateway.NewCrashGuard(s.GetInstance(), i.node.BroadcastNotice)
	limits := ratelimit.NewLimits(time.Now(), s.GetInstance(), i.incarnation)
	i.state.SetLimiter(limits)
	i.statements = newStatements(limits, i.state.ServiceOf, i.node.BroadcastNotice)
	i.state.SetLeaving(i.statements.departures.Holds)
	i.state.SetBrittle(i.statements.brittle.Holds, i.turn)
	i.state.SetKnown(i.knownShare)
	i.placer = newPlacer(i)
	descriptors := inbound.MaxDescriptors(cmp.Or(int(s.GetMaxDescriptors()), defaultDescriptors))
	callersLn, readyLn, forwardedLn := i.listeners[0], i.listeners[1], i.listeners[2]
	i.server = gateway.NewServer(gateway.Config{
		Instance: s.GetInstance(), DataCentre: s.GetDataCentre(), Table: i.table.Load, State: i.state, Budget: i.budget, Guard: i.guard, Gate: &i.gate, Paths: i.paths,
		Broadcaster: i.node, Placer: i.placer, Statements: i.statements, Peers: i, Origins: i.origins, Dialect: platform.Dialect{}, Relay: i.relays.to, PeerRelay: i.peerRelays.to, Slow: i.slow,
		PriceQuotas: s.GetPriceQuotas(), Started: time.Now(), HeaderBytes: headerBytes, BodyBytes: bodyBytes,
		Requests: i.requests, MaxConnections: shareOf(descriptors, callersShare), MaxForwarded: shareOf(descriptors, forwardedShare),
	})
	i.startTasks(ctx)
	go func() { i.logServeError("callers", i.server.Serve(callersLn)) }()
	go func() { i.logServeError("forwarded", i.server.ServeForwarded(forwardedLn)) }()
	go func() {
		i.logServeError("ready", inbound.NewProbeServer(i.answerReady).Serve(inbound.Limit(readyLn, "ready", maxReady)))
	}()
	if i.metricsLn != nil {
		go func() {
			i.logServeError("metrics", inbound.NewProbeServer(i.answerMetrics).Serve(inbound.Limit(i.metricsLn, "metrics", maxMetrics)))
		}()
	}
	log.WithField("data_centre", s.GetDataCentre()).WithField("callers", s.GetListen().GetCallers()).WithField("descriptors", descriptors).Info("started")
	return i, nil
}

// bind binds the addresses for callers, readiness, forwarded requests and datagrams, or none if one
// fails. An instance without its metrics address still serves callers.
func (i *Instance) bind() error {
	l := i.settings.GetListen()
	// Requests are forwarded over TCP to the address that has the datagrams, which all instances know.
	for _, address := range []string{l.GetCallers(), l.GetReady(), l.GetGossip()} {
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
	ln, err := listen(l.GetMetrics())
	if err != nil {
		log.WithError(err).Error("metrics and the state dump are not served")
		return nil
	}
	i.metricsLn = ln
	i.listeners = append(i.listeners, ln)
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

func (i *Instance) logServeError(what string, err error) {
	if err != nil && !i.leaving.Load() {
		log.WithError(err).WithField("listener", what).Error("serving ended")
	}
}

// startTasks starts the background tasks, which end with ctx.
func (i *Instance) startTasks(ctx context.Context) {
	i.lease = lease.NewManager(lease.Config{
		Store: i.store, Name: leaseName, Self: i.settings.GetInstance(),
		Length:    milliseconds(i.settings.GetBounds().GetLeaseMs()),
		Candidate: i.isCandidate,
		Unfit:     i.isUnfit,
	})
	control := platform.NewControl(i.relays.to, i.statements.Observe)
	i.rollout = rollout.NewHosted(rollout.HostedConfig{
		Self: i.settings.GetInstance(), Lease: i.lease, Control: control, State: i.state,
		Pools: i.pools, LoadExpected: i.broadcastLoadExpected, Loading: i.broadcastLoading, SetLoaded: i.broadcastLoaded,
	})
	i.feed = cachefeed.New(cachefeed.Config{
		Source: control, Owned: i.ownedHolders,
		Apply: i.state.UpdateCache, Publish: i.reportCache, KnownParts: i.state.CachedParts,
	})
	i.followers = map[string]*directory.Follower{}
	i.follow(platform.KindRecords, i.applyRecords)
	i.follow(platform.KindEndpoints, i.applyEndpoints)
	i.follow(platform.KindWeights, i.applyWeights)
	i.follow(kindInstances, i.applyInstances)
	go i.node.Run(ctx)
	for kind, f := range i.followers {
		if kind != kindInstances {
			go f.Run(ctx)
		}
	}
	go i.join(ctx)
	go i.rollout.Run(ctx)
	go i.sweep(ctx)
	go i.watchLag(ctx)
	go i.followQuotas(ctx)
	go i.recorder.run(ctx)
	go i.removeLost(ctx)
	go i.server.ProbeUnresponsive(ctx)
	go i.server.ProbePaths(ctx)
	go i.feed.Run(ctx)
	if i.slow != nil {
		go i.slow.Run(ctx)
	}
	i.lease.Start()
}

// follow creates the follower of a kind; startTasks or join runs it.
func (i *Instance) follow(kind string, changed func([]directory.Change)) {
	cfg := directory.Config{
		Store: i.store, Kind: kind, Changed: changed, PublishRevision: i.node.BroadcastRevision,
		ReadInterval: readInterval(kind), ReadPosition: func() int { return i.fleetView().ReadPosition(kind) }, PublishRead: i.node.BroadcastRead,
	}
	switch kind {
	case platform.KindRecords:
		// Records have the tightest bound, change rarely and do not fit into datagrams. All
		// schedulers watch them and notify the others of newer ones.
		cfg.Watches = func() bool { return i.settled.Load() && i.node.IsScheduler() }
	default:
		// Each change costs each watch a call to the store, so a few instances watch and notify the
		// others.
		cfg.Watches = func() bool { return i.watches(kind) }
		cfg.PublishChange = i.broadcastEntry
	}
	if kind == platform.KindEndpoints {
		cfg.ReachabilityChanged = i.node.ReportStore
		cfg.MinExpiryOutage = minExpiryOutage(i.bounds.Load())
		cfg.Delivered = i.recorder.addDelivered
	}
	i.followers[kind] = directory.NewFollower(cfg)
}

// newRecorder returns the writer of the record of releases.
func (i *Instance) newRecorder() *releaseRecorder {
	return &releaseRecorder{
		store: i.store,
		isWriter: func() bool {
			return i.settled.Load() && !i.leaving.Load() && i.isAmongFirst(platform.KindEndpoints, 1)
		},
		services: func() []string {
			t := i.table.Load()
			if t == nil {
				return nil
			}
			return t.ResumableServices()
		},
		listed: i.state.Releases,
		span:   func() directory.Span { return i.followers[platform.KindEndpoints].Span() },
	}
}

// readInterval returns the time between two reads of a kind by the whole fleet.
func readInterval(kind string) time.Duration {
	switch kind {
	case platform.KindRecords:
		return recordsReadInterval
	case kindInstances:
		return instancesReadInterval
	}
	return slowReadInterval
}

func (i *Instance) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) == nil {
		now := time.Now()
		i.state.Sweep(now)
		i.quotas.Sweep(now)
		bookingsLate.Add(i.quotas.TakeLapsed())
		i.statements.sweep(now, i.state.Exists)
		i.statements.repeatOwn(now)
		i.repeatDepartures()
		i.origins.book.Sweep(now)
		i.guard.Repeat(now, i.repeater())
		i.changeLog.flush(now)
	}
}

// divideRetries divides the slack of the fleet's retry limit by the number of listed instances.
func (i *Instance) divideRetries() {
	position, listed := i.node.Listed()
	if listed == 0 {
		return
	}
	if before := i.budget.SetInstances(position, listed); before != listed {
		log.WithField("instances", listed).WithField("before", before).WithField("up_ms", time.Since(i.started).Milliseconds()).Info("retry limit divided anew")
	}
}

// Ready reports whether callers should be sent here.
func (i *Instance) Ready() bool {
	return !i.leaving.Load() && i.table.Load() != nil && i.endpointsListed.Load()
}

func (i *Instance) answerReady(ctx *fasthttp.RequestCtx) {
	if !i.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
