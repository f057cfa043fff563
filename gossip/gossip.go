// Package gossip tells the other instances of a small fleet at once what this
// one does: runs that begin and end, endpoints that turn work away, revisions
// that were seen. It uses datagrams, so that a peer that is cut off or frozen
// holds nobody up; what is lost costs speed only.
package gossip

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// flushEvery is how long what is to be told is gathered. A choice made on
	// knowledge of 10 ms ago misses under one request of an instance at 100
	// requests a second.
	flushEvery = 10 * time.Millisecond
	// flushToRelay is the same where relays gather too, for 10 ms: it joins the words of
	// one request only, so that both together cost little more than flushEvery alone.
	flushToRelay = 2 * time.Millisecond
	// beatEvery is the time between datagrams of an instance that has nothing
	// to tell; aliveFor is how long a silent peer counts as live.
	beatEvery = 300 * time.Millisecond
	aliveFor  = 1100 * time.Millisecond
	// maxDatagram keeps a datagram below the usual MTU.
	maxDatagram = 1300
	// revisionsEvery is the time between two datagrams that bring all revisions
	// though none has changed. A receiver that missed the change itself waits for
	// 0.1 s before it reads, so it loses as much again; brought in each datagram they
	// were half of its bytes.
	revisionsEvery = 100 * time.Millisecond
	// outRing bounds what waits to be told. The oldest is given up first.
	outRing = 4096
)

var (
	sentTotal     = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_sent_total")
	receivedTotal = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_received_total")
	relayedTotal  = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_relayed_total")
	badTotal      = metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_bad_total")
	failsTotal    = metrics.GetOrCreateCounter("sardinedock_gossip_send_failures_total")
)

// Handler is told what peers tell, by one goroutine, in the order of arrival.
// It must not block.
type Handler interface {
	Started(*gossippb.RunStart)
	Stage(*gossippb.RunStage)
	Notice(from string, n *gossippb.Notice)
	// Entry is told of a change that a peer's watch has heard of.
	Entry(e *gossippb.Entry)
	// Cache is told of what an endpoint or a store says of its cache.
	Cache(n *gossippb.CacheNews)
	// PeerStarted is told of a peer that was not known, or has started anew.
	PeerStarted(name string)
	// Revision is told of the newest revision of a kind that a peer has seen, and of
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

// Node is the duty that tells and hears. Any goroutine may call its methods;
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

	mu            sync.Mutex
	peers         []Peer
	audience      audience
	audienceUntil time.Time
	heard         map[string]heard
	revisions     map[string]uint64
	// reads has for each kind when this instance has read it last.
	reads map[string]time.Time
	// revisionsDue is when the next datagram has to bring the revisions.
	revisionsDue time.Time
	leaving      bool
	storeLost    bool
}

// heard is what was last heard of a peer.
type heard struct {
	incarnation uint64
	at          time.Time
	leaving     bool
	storeLost   bool
}

// alive reports whether a peer counts as live.
func (h heard) alive(now time.Time) bool { return !h.leaving && now.Sub(h.at) < aliveFor }

// item is one thing to tell; exactly one field is set.
type item struct {
	start  *gossippb.RunStart
	stage  *gossippb.RunStage
	notice *gossippb.Notice
	entry  *gossippb.Entry
	cache  *gossippb.CacheNews
	// now asks for a datagram at once.
	now bool
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
		heard:     map[string]heard{},
		revisions: map[string]uint64{},
		reads:     map[string]time.Time{},
	}, nil
}

// Run tells and hears until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.receive(ctx) })
	wg.Go(func() { n.passOn(ctx) })
	n.send(ctx)
	_ = n.conn.Close()
	wg.Wait()
}

// SetPeers replaces the instances that are told.
func (n *Node) SetPeers(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = nil
	n.audienceUntil = time.Time{}
	listed := map[string]bool{}
	for _, p := range peers {
		listed[p.Name] = true
		if p.Name != n.name {
			n.peers = append(n.peers, p)
		}
	}
	// Instances are replaced under new names; what was heard of old ones would
	// grow for ever.
	now := time.Now()
	maps.DeleteFunc(n.heard, func(name string, h heard) bool { return !listed[name] && now.Sub(h.at) > aliveFor })
}

// Live returns the number of instances that were heard of lately, this one
// included.
func (n *Node) Live(now time.Time) int { return len(n.LivePeers(now)) }

// LivePeers returns the names of the live instances, this one included.
func (n *Node) LivePeers(now time.Time) []string {
	return n.live(now, func(heard) bool { return true })
}

// WithStore returns the names of the live instances that reach the platform's
// store, and this one's in any case.
func (n *Node) WithStore(now time.Time) []string {
	return n.live(now, func(h heard) bool { return !h.storeLost })
}

func (n *Node) live(now time.Time, counts func(heard) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := []string{n.name}
	for name, h := range n.heard {
		if h.alive(now) && counts(h) {
			names = append(names, name)
		}
	}
	return names
}

// TellStart tells that a request was sent.
func (n *Node) TellStart(s *gossippb.RunStart) { n.out.Push(item{start: s}) }

// TellStage tells how far a run has come.
func (n *Node) TellStage(s *gossippb.RunStage) { n.out.Push(item{stage: s}) }

// TellNotice tells something of an endpoint, at once.
func (n *Node) TellNotice(s *gossippb.Notice) { n.out.Push(item{notice: s, now: true}) }

// TellRevision tells the newest revision seen of a kind, at once where it is new.
func (n *Node) TellRevision(kind string, revision uint64) {
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

// TellRead tells at once that this instance has read a kind from the store, so that
// the others need not do the same.
func (n *Node) TellRead(kind string) {
	n.mu.Lock()
	n.reads[kind] = time.Now()
	n.revisionsDue = time.Time{}
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// TellEntry tells a change that this instance's watch has heard of, at once.
func (n *Node) TellEntry(e *gossippb.Entry) {
	n.knows(e.GetKind(), e.GetRevision())
	n.out.Push(item{entry: e, now: true})
}

// TellCache tells what an endpoint or a store says of its cache. It has to fit
// into a datagram.
func (n *Node) TellCache(c *gossippb.CacheNews) { n.out.Push(item{cache: c}) }

// TellStore tells whether this instance reaches the platform's store.
func (n *Node) TellStore(reached bool) {
	n.mu.Lock()
	n.storeLost = !reached
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// TellLeaving tells that this instance ends.
func (n *Node) TellLeaving() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.out.Push(item{now: true})
}

// send gathers what is to be told and sends it.
func (n *Node) send(ctx context.Context) {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	var number uint64
	for {
		var batch []item
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		case i := <-n.out.C():
			batch = n.gather(ctx, i)
		}
		for _, d := range n.datagrams(batch) {
			number++
			d.Number = number
			n.broadcast(d)
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

// flushEvery is how long this instance gathers what it tells. Where relays gather too,
// it does so briefly.
func (n *Node) flushEvery() time.Duration {
	if len(n.audienceNow().relays) > 0 {
		return flushToRelay
	}
	return flushEvery
}

func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failsTotal.Inc()
			continue
		}
		var d gossippb.Datagram
		if proto.Unmarshal(buf[:size], &d) != nil || d.GetInstance() == "" {
			badTotal.Inc()
			continue
		}
		receivedTotal.Inc()
		if d.GetInstance() == n.name {
			continue
		}
		if d.GetRelay() {
			relayedTotal.Inc()
			n.relays.Push(relayed{bytes.Clone(buf[:size]), isUrgent(&d)})
		}
		n.hear(&d)
		n.hearRelayed(&d)
	}
}

// hearRelayed applies what a relay passes on. This instance's own words come back with
// the others'; taken in, the start of a run that has ended meanwhile would count for
// ever.
func (n *Node) hearRelayed(d *gossippb.Datagram) {
	for _, data := range d.GetRelayed() {
		var inner gossippb.Datagram
		if proto.Unmarshal(data, &inner) != nil || inner.GetInstance() == "" {
			badTotal.Inc()
			continue
		}
		if inner.GetInstance() != n.name {
			n.hear(&inner)
		}
	}
}

// admit notes that a datagram came, and reports whether it counts and whether its
// sender has started anew. One of an earlier incarnation is thrown away while the
// later one is heard of: it was late on the way. Once that one has fallen silent,
// the sender has started again with its clock set back, and would otherwise be
// unheard for the life of its process.
func (n *Node) admit(d *gossippb.Datagram, now time.Time) (counts, anew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.heard[d.GetInstance()]
	if d.GetIncarnation() < h.incarnation && now.Sub(h.at) < aliveFor {
		return false, false
	}
	n.heard[d.GetInstance()] = heard{d.GetIncarnation(), now, d.GetLeaving(), d.GetStoreLost()}
	return true, d.GetIncarnation() != h.incarnation
}

// heardRead returns when a peer has read a kind last, by its own word. It is not told
// on: each time it would count from a little later, by the delay on the way, and with
// peers that tell each other many times a second a read would never grow old; in the
// end nobody would read.
func heardRead(r *gossippb.Revision) time.Time {
	if r.GetReadMsAgo() < 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(r.GetReadMsAgo()) * time.Millisecond)
}

// hear applies a datagram.
func (n *Node) hear(d *gossippb.Datagram) {
	counts, anew := n.admit(d, time.Now())
	if !counts {
		return
	}
	if anew {
		n.handler.PeerStarted(d.GetInstance())
	}
	for _, c := range d.GetCaches() {
		n.handler.Cache(c)
	}
	for _, e := range d.GetEntries() {
		n.knows(e.GetKind(), e.GetRevision())
		n.handler.Entry(e)
	}
	for _, r := range d.GetRevisions() {
		n.knows(r.GetKind(), r.GetRevision())
		n.handler.Revision(r.GetKind(), r.GetRevision(), heardRead(r))
	}
	for _, s := range d.GetStarts() {
		n.handler.Started(s)
	}
	for _, s := range d.GetStages() {
		n.handler.Stage(s)
	}
	for _, s := range d.GetNotices() {
		n.handler.Notice(d.GetInstance(), s)
	}
}
