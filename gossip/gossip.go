// Package gossip exchanges messages between instances: runs that begin and end, notices
// of endpoints, revisions that were seen; and it asks schedulers where requests go. In a
// small fleet all instances are schedulers; in a larger one a few are, which place the
// requests of all. It uses datagrams, so that a peer that is cut off or frozen holds nobody
// up; what is lost costs speed only.
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
	// flushEvery is how long messages are gathered. A choice made on
	// knowledge of 10 ms ago misses under one request of an instance at 100
	// requests a second.
	flushEvery = 10 * time.Millisecond
	// flushToScheduler is the same where a scheduler gathers too, for 10 ms: it joins the
	// messages of one request only, so that both together cost little more than flushEvery.
	flushToScheduler = 2 * time.Millisecond
	// beatEvery is the time between datagrams of an instance that has nothing
	// to send; aliveFor is how long a silent peer counts as live.
	beatEvery = 300 * time.Millisecond
	aliveFor  = 1100 * time.Millisecond
	// maxDatagram keeps a datagram below the usual MTU.
	maxDatagram = 1300
	// revisionsEvery is the time between two datagrams that bring all revisions
	// though none has changed. A receiver that missed the change itself waits for
	// 0.1 s before it reads, so it loses as much again; brought in each datagram they
	// were half of its bytes.
	revisionsEvery = 100 * time.Millisecond
	// outRing bounds what waits to be sent. The oldest is given up first.
	outRing = 4096
)

var (
	sentTotal     = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_sent_total")
	receivedTotal = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_received_total")
	relayedTotal  = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_relayed_total")
	badTotal      = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_bad_total")
	failsTotal    = metrics.GetOrCreateCounter("sardinedock_gossip_send_failures_total")
)

// Handler receives messages of peers, by one goroutine, in the order of arrival.
// It must not block.
type Handler interface {
	Started(*gossippb.RunStart)
	Stage(*gossippb.RunStage)
	Notice(from string, n *gossippb.Notice)
	// Entry receives a change that a peer's watch has brought.
	Entry(e *gossippb.Entry)
	// Cache receives what an endpoint or a store says of its cache.
	Cache(n *gossippb.CacheNews)
	// SchedulerStarted is called for a scheduler that was not known, has started anew or
	// has become one: it knows nothing of what is cached where.
	SchedulerStarted(name string)
	// Asked decides where a peer's request goes.
	Asked(a *gossippb.Ask) *gossippb.Decision
	// QuotaUsed receives what an instance let pass of a quota.
	QuotaUsed(u *gossippb.QuotaUse)
	// Revision receives the newest revision of a kind that a peer has seen, and of
	// when that peer has read the kind last; zero if it has not.
	Revision(kind string, revision uint64, readAt time.Time)
}

// Peer is another instance.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// LinkMbps is the bandwidth of its network link; 0 where that is not known.
	LinkMbps float64
}

// Node is the duty that sends and receives. Any goroutine may call its methods;
// none blocks.
type Node struct {
	name        string
	dataCentre  string
	incarnation uint64
	conn        *net.UDPConn
	handler     Handler
	linkMbps    float64
	out         *ring.Ring[item]
	relays      *ring.Ring[relayed]
	asks        asks
	// number of the last datagram; only send uses it.
	number uint64

	mu    sync.Mutex
	peers []Peer
	// order has all instances, this one too, as inOrder sorts them.
	order   []Peer
	roles   roles
	vacancy vacancy
	states  map[string]peerState
	// listedAt is since when each peer is listed.
	listedAt  map[string]time.Time
	revisions map[string]uint64
	// reads has for each kind when this instance has read it last.
	reads map[string]time.Time
	// revisionsDue is when the next datagram has to bring the revisions.
	revisionsDue time.Time
	leaving      bool
	storeLost    bool
}

// item is one thing to send; at most one of the messages is set.
type item struct {
	start  *gossippb.RunStart
	stage  *gossippb.RunStage
	notice *gossippb.Notice
	entry  *gossippb.Entry
	cache  *gossippb.CacheNews
	use    *gossippb.QuotaUse
	// via names the scheduler that has placed the run.
	via string
	// now asks for a datagram at once.
	now bool
}

// isNews reports whether all instances have to know of it, and not only schedulers.
func (i item) isNews() bool { return i.notice != nil || i.entry != nil }

// isBeat reports whether it only asks for a heartbeat at once, which brings what this
// instance says of itself.
func (i item) isBeat() bool {
	return i.start == nil && i.stage == nil && i.cache == nil && i.use == nil && !i.isNews()
}

// New binds self's address. incarnation must rise with every start.
func New(self Peer, incarnation uint64, h Handler) (*Node, error) {
	bind := net.UDPAddrFromAddrPort(self.Address)
	conn, err := net.ListenUDP("udp4", bind)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the port, or name another one", "listen for datagrams")
	}
	return &Node{
		name: self.Name, dataCentre: self.DataCentre, linkMbps: self.LinkMbps,
		incarnation: incarnation, conn: conn, handler: h,
		out:       ring.New[item]("gossip_out", outRing),
		relays:    ring.New[relayed]("gossip_relay", relayRing),
		states:    map[string]peerState{},
		revisions: map[string]uint64{},
		reads:     map[string]time.Time{},
		roles:     roles{small: true, self: true, live: 1},
	}, nil
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.receive(ctx) })
	wg.Go(func() { n.passOn(ctx) })
	n.send(ctx)
	_ = n.conn.Close()
	wg.Wait()
}

// SetPeers replaces the instances that messages are sent to.
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
	n.order = inOrder(all)
	// Instances are replaced under new names; what is known of old ones would
	// grow for ever.
	now := time.Now()
	n.noteListed(now, listed)
	maps.DeleteFunc(n.states, func(name string, h peerState) bool { return !listed[name] && now.Sub(h.at) > aliveFor })
}

// noteListed keeps since when each peer is listed; the mutex is held.
func (n *Node) noteListed(now time.Time, listed map[string]bool) {
	next := make(map[string]time.Time, len(listed))
	for name := range listed {
		next[name] = now
		if at, ok := n.listedAt[name]; ok {
			next[name] = at
		}
	}
	n.listedAt = next
}

// ReportStart reports to the schedulers that a request was sent that this instance has placed.
func (n *Node) ReportStart(s *gossippb.RunStart) { n.out.Push(item{start: s}) }

// ReportStage reports how far a run has come. placedBy names the scheduler that has placed
// it; it is empty where this instance has.
func (n *Node) ReportStage(s *gossippb.RunStage, placedBy string) {
	n.out.Push(item{stage: s, via: placedBy})
}

// BroadcastNotice sends all instances a notice of an endpoint, at once.
func (n *Node) BroadcastNotice(s *gossippb.Notice) { n.out.Push(item{notice: s, now: true}) }

// BroadcastRevision sends all instances the newest revision seen of a kind, at once where
// it is new.
func (n *Node) BroadcastRevision(kind string, revision uint64) {
	if n.knows(kind, revision) {
		n.out.Push(item{now: true})
	}
}

// knows notes a revision and reports whether it is the newest known here. One that a
// peer has told goes along with the next datagram, so that it also reaches those whom
// the peer's own datagram did not.
func (n *Node) knows(kind string, revision uint64) (newest bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision <= n.revisions[kind] {
		return false
	}
	n.revisions[kind] = revision
	n.revisionsDue = time.Time{}
	return true
}

// BroadcastRead says at once that this instance has read a kind from the store, so that
// the others need not do the same.
func (n *Node) BroadcastRead(kind string) {
	n.mu.Lock()
	n.reads[kind] = time.Now()
	// Of a kind without objects no revision is known; its reads have to be sent too, or
	// every instance reads it in its turn.
	n.revisions[kind] = max(n.revisions[kind], 0)
	n.revisionsDue = time.Time{}
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// BroadcastEntry sends all instances a change that this instance's watch has brought, at once.
func (n *Node) BroadcastEntry(e *gossippb.Entry) {
	n.knows(e.GetKind(), e.GetRevision())
	n.out.Push(item{entry: e, now: true})
}

// ReportCache reports what an endpoint or a store says of its cache. It has to fit
// into a datagram.
func (n *Node) ReportCache(c *gossippb.CacheNews) { n.out.Push(item{cache: c}) }

// ReportQuotaUse reports to the schedulers what was let pass of a quota.
func (n *Node) ReportQuotaUse(u *gossippb.QuotaUse) { n.out.Push(item{use: u}) }

// ReportStore says whether this instance reaches the platform's store.
func (n *Node) ReportStore(reached bool) {
	n.mu.Lock()
	n.storeLost = !reached
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// ReachesStore reports what ReportStore has said last.
func (n *Node) ReachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.storeLost
}

// BroadcastLeaving says that this instance ends.
func (n *Node) BroadcastLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// Staying reports whether a peer is alive that does not end. Where none is,
// firstLeaving is when the first of those that were told to end since a time was; zero if
// none was heard of.
func (n *Node) Staying(now, since time.Time) (staying bool, firstLeaving time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.states {
		if h.alive(now) {
			return true, time.Time{}
		}
		if h.leaving && h.leavingSince.After(since) && (firstLeaving.IsZero() || h.leavingSince.Before(firstLeaving)) {
			firstLeaving = h.leavingSince
		}
	}
	return false, firstLeaving
}

// send gathers messages and sends them.
func (n *Node) send(ctx context.Context) {
	look := time.NewTicker(roleEvery)
	defer look.Stop()
	var beaten time.Time
	announced := n.IsScheduler()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-look.C:
			n.updateRoles(now)
			if role := n.IsScheduler(); now.Sub(beaten) >= beatEvery || role != announced {
				n.beat(n.number)
				beaten, announced = now, role
			}
		case i := <-n.out.C():
			n.route(n.gather(ctx, i))
		}
	}
}

// gather waits a moment for more, unless the first thing has to go at once.
func (n *Node) gather(ctx context.Context, first item) []item {
	batch := []item{first}
	if !first.now {
		_ = clock.Sleep(ctx, n.flushEvery())
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

// flushEvery is how long this instance gathers messages. Where a scheduler gathers
// too, it does so briefly.
func (n *Node) flushEvery() time.Duration {
	if n.IsScheduler() {
		return flushEvery
	}
	return flushToScheduler
}
