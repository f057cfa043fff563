// Package gossip exchanges UDP datagrams between instances: starts and ends of runs, notices
// about endpoints, and the newest object revisions seen. It also asks schedulers which endpoint
// a request goes to. In a small fleet every instance is a scheduler; in a larger one a few
// schedulers place the requests of all instances. Datagrams are used so that an unreachable or
// frozen peer blocks no sender; a lost datagram costs performance only, not correctness.
package gossip

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// flushInterval is how long messages are batched. Placing requests on information that is
	// 10 ms old misses less than one request of an instance that serves 100 requests/s.
	flushInterval = 10 * time.Millisecond
	// flushIntervalToScheduler is the batching time where the receiving scheduler batches for
	// flushInterval again. It only joins the messages of one request, so that both delays
	// together are little more than flushInterval.
	flushIntervalToScheduler = 2 * time.Millisecond
	// heartbeatInterval is the time between heartbeats of an instance that has nothing else to
	// send; livenessTimeout is how long after its last datagram a peer still counts as alive.
	heartbeatInterval = 300 * time.Millisecond
	livenessTimeout   = 1100 * time.Millisecond
	// maxDatagramBytes keeps a datagram below the usual MTU.
	maxDatagramBytes = 1300
	// revisionsInterval is the time between two datagrams that carry all revisions although none
	// has changed. A receiver that missed the change waits 0.1 s before it reads the store
	// itself, so this delays it by as much again. Revisions in every datagram were half of all
	// bytes sent.
	revisionsInterval = 100 * time.Millisecond
	// outQueueSize bounds the send queue. When it is full, the oldest message is dropped.
	outQueueSize = 4096
)

var (
	sentTotal         = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_sent_total")
	receivedTotal     = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_received_total")
	relayedTotal      = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_relayed_total")
	malformedTotal    = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_bad_total")
	sendFailuresTotal = metrics.GetOrCreateCounter("sardinedock_gossip_send_failures_total")
)

// Handler is called with the messages received from peers, from one goroutine and in the
// order of arrival. It must not block.
type Handler interface {
	Started(*gossippb.RunStart)
	Stage(*gossippb.RunStage)
	Notice(from string, n *gossippb.Notice)
	// Entry is called with a change that a peer received from its watch.
	Entry(e *gossippb.Entry)
	// Cache is called with a report on the cache of an endpoint or a store.
	Cache(n *gossippb.CacheNews)
	// SchedulerStarted is called for a scheduler that was unknown, has restarted or has just
	// taken the role: it does not know yet what is cached where.
	SchedulerStarted(name string)
	// Asked decides which endpoint a peer's request goes to.
	Asked(a *gossippb.Ask) *gossippb.Decision
	// QuotaUsed is called with the amount of a quota that another instance has used.
	QuotaUsed(u *gossippb.QuotaUse)
	// QuotaBooked is called with a booking that another instance has made.
	QuotaBooked(b *gossippb.QuotaBooking)
	// Revision is called with the newest revision of a kind that a peer has seen, and the time
	// when that peer last read the kind from the store; zero if it has not.
	Revision(kind string, revision uint64, readAt time.Time)
}

// Peer is another instance.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// LinkMbps is the bandwidth of the instance's network link; 0 if unknown.
	LinkMbps float64
}

// Node sends and receives gossip. Its methods are safe for concurrent use; only Run and Ask
// block.
type Node struct {
	name        string
	dataCentre  string
	incarnation uint64
	conn        *net.UDPConn
	handler     Handler
	linkMbps    float64
	out         *ring.Ring[item]
	relayQueue  *ring.Ring[relayed]
	asks        asks
	// heartbeats counts the heartbeats sent; used by the send goroutine only.
	heartbeats uint64

	mu sync.Mutex
	// number is that of the last datagram.
	number uint64
	peers  []Peer
	// order lists all instances including this one, sorted by schedulerOrder.
	order     []Peer
	roles     roles
	candidacy candidacy
	states    map[string]peerState
	// listedAt holds the time since which each peer has been listed.
	listedAt  map[string]time.Time
	revisions map[string]uint64
	// reads holds, for each kind, the time when this instance last read it from the store.
	reads map[string]time.Time
	// revisionsDue is the time from which the next datagram carries the revisions.
	revisionsDue time.Time
	leaving      bool
	storeLost    bool
	// lostServices are those of which this instance reaches no endpoint.
	lostServices []string
}

// item is one queued message; at most one of the message fields is set.
type item struct {
	start    *gossippb.RunStart
	stage    *gossippb.RunStage
	notice   *gossippb.Notice
	entry    *gossippb.Entry
	cache    *gossippb.CacheNews
	quotaUse *gossippb.QuotaUse
	booking  *gossippb.QuotaBooking
	// scheduler is the name of the scheduler that placed the run; empty for this instance.
	scheduler string
	// urgent requests that the batch is sent without delay.
	urgent bool
}

// isBroadcast reports whether the message is for all instances and not only for schedulers.
func (i item) isBroadcast() bool { return i.notice != nil || i.entry != nil }

// isHeartbeatOnly reports whether the item carries no message and only requests an immediate
// heartbeat, which carries this instance's own state.
func (i item) isHeartbeatOnly() bool {
	return i.start == nil && i.stage == nil && i.cache == nil && i.quotaUse == nil && !i.isBroadcast()
}

// New binds the UDP address of self. incarnation must increase with every start.
func New(self Peer, incarnation uint64, h Handler) (*Node, error) {
	bind := net.UDPAddrFromAddrPort(self.Address)
	conn, err := net.ListenUDP("udp4", bind)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the UDP port, or configure another one", "listen for gossip datagrams")
	}
	return &Node{
		name: self.Name, dataCentre: self.DataCentre, linkMbps: self.LinkMbps,
		incarnation: incarnation, conn: conn, handler: h,
		out:        ring.New[item]("gossip_out", outQueueSize),
		relayQueue: ring.New[relayed]("gossip_relay", relayQueueSize),
		states:     map[string]peerState{},
		revisions:  map[string]uint64{},
		reads:      map[string]time.Time{},
		roles:      roles{smallFleet: true, self: true, live: 1},
	}, nil
}

// Run sends and receives until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.receive(ctx) })
	wg.Go(func() { n.forward(ctx) })
	n.send(ctx)
	_ = n.conn.Close()
	wg.Wait()
}

// SetPeers replaces the list of instances that messages are sent to.
func (n *Node) SetPeers(peers []Peer) {
	n.setPeers(peers)
	n.updateRoles(time.Now())
}

func (n *Node) setPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = nil
	listed := map[string]bool{}
	all := []Peer{{Name: n.name, DataCentre: n.dataCentre, LinkMbps: n.linkMbps}}
	for _, p := range peers {
		listed[p.Name] = true
		if p.Name != n.name {
			n.peers = append(n.peers, p)
			all = append(all, p)
		}
	}
	n.order = schedulerOrder(all)
	// Replaced instances come back under new names; the states of the old names would
	// accumulate without limit.
	now := time.Now()
	n.recordListed(now, listed)
	maps.DeleteFunc(n.states, func(name string, state peerState) bool { return !listed[name] && now.Sub(state.at) > livenessTimeout })
}

// recordListed updates listedAt for the given peers. n.mu must be held.
func (n *Node) recordListed(now time.Time, listed map[string]bool) {
	next := make(map[string]time.Time, len(listed))
	for name := range listed {
		next[name] = now
		if at, ok := n.listedAt[name]; ok {
			next[name] = at
		}
	}
	n.listedAt = next
}

// ReportStart reports to the schedulers that a request placed by this instance was sent.
func (n *Node) ReportStart(s *gossippb.RunStart) { n.out.Push(item{start: s}) }

// ReportStage reports the stage that a run has reached. placedBy is the name of the scheduler
// that placed it; empty if this instance did.
func (n *Node) ReportStage(s *gossippb.RunStage, placedBy string) {
	n.out.Push(item{stage: s, scheduler: placedBy})
}

// BroadcastNotice sends a notice about an endpoint to all instances without delay.
func (n *Node) BroadcastNotice(s *gossippb.Notice) { n.out.Push(item{notice: s, urgent: true}) }

// BroadcastRevision sends the newest revision seen of a kind to all instances, without delay
// if it is newer than any known here.
func (n *Node) BroadcastRevision(kind string, revision uint64) {
	if n.recordRevision(kind, revision) {
		n.out.Push(item{urgent: true})
	}
}

// recordRevision records a revision and reports whether it is newer than any known here. A
// revision received from a peer is included in the next datagram, so that it also reaches
// instances that the peer's own datagram did not reach.
func (n *Node) recordRevision(kind string, revision uint64) (newest bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision <= n.revisions[kind] {
		return false
	}
	n.revisions[kind] = revision
	n.revisionsDue = time.Time{}
	return true
}

// BroadcastRead announces without delay that this instance has read a kind from the store, so
// that the others need not read it too.
func (n *Node) BroadcastRead(kind string) {
	n.mu.Lock()
	n.reads[kind] = time.Now()
	// A kind without objects has no known revision. Its reads have to be sent too, or every
	// instance reads the kind itself.
	n.revisions[kind] = max(n.revisions[kind], 0)
	n.revisionsDue = time.Time{}
	n.mu.Unlock()
	n.out.Push(item{urgent: true})
}

// BroadcastEntry sends a change received from this instance's watch to all instances without
// delay.
func (n *Node) BroadcastEntry(e *gossippb.Entry) {
	n.recordRevision(e.GetKind(), e.GetRevision())
	n.out.Push(item{entry: e, urgent: true})
}

// ReportCache sends a report on the cache of an endpoint or a store to the schedulers. It has
// to fit into one datagram.
func (n *Node) ReportCache(c *gossippb.CacheNews) { n.out.Push(item{cache: c}) }

// ReportQuotaUse reports to the schedulers how much of a quota this instance has used.
func (n *Node) ReportQuotaUse(u *gossippb.QuotaUse) { n.out.Push(item{quotaUse: u}) }

// ReportQuotaBooking reports a booking to the schedulers.
func (n *Node) ReportQuotaBooking(b *gossippb.QuotaBooking) { n.out.Push(item{booking: b}) }

// ReportStore records whether this instance reaches the platform's store, and announces it.
func (n *Node) ReportStore(reached bool) {
	n.mu.Lock()
	n.storeLost = !reached
	n.mu.Unlock()
	n.out.Push(item{urgent: true})
}

// maxLostServices bounds the services that are announced as lost, so that they fit into each datagram.
const maxLostServices = 32

// ReportLostServices records the services of which this instance reaches no endpoint, and announces
// them.
func (n *Node) ReportLostServices(services []string) {
	n.mu.Lock()
	n.lostServices = services[:min(len(services), maxLostServices)]
	n.mu.Unlock()
	n.out.Push(item{urgent: true})
}

// ReachesStore returns the value last passed to ReportStore.
func (n *Node) ReachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.storeLost
}

// BroadcastLeaving announces that this instance is shutting down.
func (n *Node) BroadcastLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.out.Push(item{urgent: true})
}

// HasRemainingPeer reports whether any live peer is not shutting down. If there is none,
// firstLeaving is the earliest time after since at which a peer announced its shutdown; zero if
// none did.
func (n *Node) HasRemainingPeer(now, since time.Time) (remaining bool, firstLeaving time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, state := range n.states {
		if state.alive(now) {
			return true, time.Time{}
		}
		if state.leaving && state.leavingSince.After(since) && (firstLeaving.IsZero() || state.leavingSince.Before(firstLeaving)) {
			firstLeaving = state.leavingSince
		}
	}
	return false, firstLeaving
}

// send batches queued messages, sends them, and sends heartbeats.
func (n *Node) send(ctx context.Context) {
	roleTicker := time.NewTicker(roleCheckInterval)
	defer roleTicker.Stop()
	var lastHeartbeat time.Time
	announced := n.IsScheduler()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-roleTicker.C:
			n.updateRoles(now)
			if role := n.IsScheduler(); now.Sub(lastHeartbeat) >= heartbeatInterval || role != announced {
				n.sendHeartbeat()
				lastHeartbeat, announced = now, role
			}
		case i := <-n.out.C():
			n.route(n.gather(ctx, i))
		}
	}
}

// gather collects further messages for a short time, unless the first one is urgent.
func (n *Node) gather(ctx context.Context, first item) []item {
	batch := []item{first}
	if !first.urgent {
		_ = clock.Sleep(ctx, n.flushInterval())
	}
	for {
		select {
		case i := <-n.out.C():
			batch = append(batch, i)
		default:
			return batch
		}
	}
}

// flushInterval returns how long this instance batches messages: only briefly if a scheduler
// batches them again.
func (n *Node) flushInterval() time.Duration {
	if n.IsScheduler() {
		return flushInterval
	}
	return flushIntervalToScheduler
}
