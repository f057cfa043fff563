package gossip

import (
	"bytes"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/rendezvous"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// relayHeartbeatDelay is how long a scheduler batches the heartbeats that it forwards. Three
	// of them may be lost before an instance counts as dead.
	relayHeartbeatDelay = 100 * time.Millisecond
	// relayUrgentDelay is the same for urgent messages: the entries of a rollout arrive in
	// bursts, from several watches.
	relayUrgentDelay = 2 * time.Millisecond
	// maxRelayedBytes keeps a datagram that contains forwarded ones below the usual MTU.
	maxRelayedBytes = 1400
	// relayedOverhead is the encoding overhead of a forwarded datagram.
	relayedOverhead = 3
	// relayQueueSize bounds the queue of datagrams to forward. When it is full, the oldest one is
	// dropped.
	relayQueueSize = 4096
)

// relayed is a datagram to forward.
type relayed struct {
	data     []byte
	audience gossippb.Audience
	// urgent is set if the datagram carries messages that should not be delayed.
	urgent bool
}

// enqueueRelay queues a received datagram for forwarding. Reports on runs join those of this
// instance, in the order of arrival: the end of a run reported by another instance could
// otherwise overtake its start, which this instance reports, and the other schedulers would
// count the run until it is swept.
func (n *Node) enqueueRelay(d *gossippb.Datagram, data []byte) {
	if d.GetRelayTo() == gossippb.Audience_SCHEDULERS && !isHeartbeat(d) {
		for _, s := range d.GetStarts() {
			n.out.Push(item{start: s})
		}
		for _, s := range d.GetStages() {
			n.out.Push(item{stage: s})
		}
		for _, c := range d.GetCaches() {
			n.out.Push(item{cache: c})
		}
		for _, u := range d.GetQuotaUses() {
			n.out.Push(item{quotaUse: u})
		}
		for _, b := range d.GetQuotaBookings() {
			n.out.Push(item{booking: b})
		}
		return
	}
	for _, inner := range d.GetRelayed() {
		n.relayQueue.Push(relayed{inner, d.GetRelayTo(), true})
	}
	if len(d.GetRelayed()) == 0 {
		n.relayQueue.Push(relayed{bytes.Clone(data), d.GetRelayTo(), isUrgent(d)})
	}
}

// route sends each message of a batch to the instances that need it.
func (n *Node) route(batch []item) {
	r := n.currentRoles()
	if r.smallFleet {
		n.sendTo(n.allPeers(), gossippb.Audience_RECEIVER, batch)
		return
	}
	var all []item
	reports := map[string][]item{}
	sendHeartbeat := false
	for _, i := range batch {
		switch {
		case i.isBroadcast():
			all = append(all, i)
		case i.isHeartbeatOnly():
			sendHeartbeat = true
		default:
			reports[i.scheduler] = append(reports[i.scheduler], i)
		}
	}
	if sendHeartbeat && len(all) == 0 {
		n.sendHeartbeat()
	}
	if len(all) > 0 {
		n.broadcast(r, all)
	}
	for scheduler, list := range reports {
		n.report(r, scheduler, list)
	}
}

// broadcast sends messages that are for all instances. A scheduler sends them directly to the
// instances of its data centre, and to one scheduler of each other data centre, which forwards
// them; any other instance has a scheduler do so.
func (n *Node) broadcast(r roles, batch []item) {
	if r.self || len(r.others) == 0 {
		for _, d := range n.pack(batch, true) {
			n.sendDatagram(d, r.direct, gossippb.Audience_RECEIVER)
			n.sendDatagram(d, r.forwarders, gossippb.Audience_DATA_CENTRE)
		}
		return
	}
	n.sendTo([]Peer{n.defaultScheduler(r.others)}, gossippb.Audience_EVERYBODY, batch)
}

// report sends reports on runs and caches to the schedulers. All reports on one run go through
// the scheduler that placed it, so that its end does not overtake its start.
func (n *Node) report(r roles, scheduler string, batch []item) {
	if r.self {
		n.sendPacked(r.receivers, gossippb.Audience_RECEIVER, batch, false)
		return
	}
	schedulers := r.others
	if len(schedulers) == 0 {
		schedulers = r.receivers
	}
	if len(schedulers) == 0 {
		return
	}
	to := n.defaultScheduler(schedulers)
	for _, p := range schedulers {
		if p.Name == scheduler {
			to = p
		}
	}
	n.sendPacked([]Peer{to}, gossippb.Audience_SCHEDULERS, batch, false)
}

// defaultScheduler returns the scheduler through which this instance sends messages that are
// not tied to a particular one. schedulers must not be empty.
func (n *Node) defaultScheduler(schedulers []Peer) Peer {
	return schedulers[rendezvous.Score("usual", n.name)%uint64(len(schedulers))]
}

// sendHeartbeat announces that this instance is alive. An instance that is not a scheduler
// sends to the schedulers in turn, so that the failure of a single one does not make its
// senders appear dead. While it knows of no scheduler, it sends to the first instances in
// schedulerOrder.
func (n *Node) sendHeartbeat() {
	r := n.currentRoles()
	n.heartbeats++
	switch {
	case r.smallFleet || r.self:
		n.sendTo(n.allPeers(), gossippb.Audience_RECEIVER, nil)
	case len(r.others) > 0:
		to := r.others[n.heartbeats%uint64(len(r.others))]
		n.sendTo([]Peer{to}, gossippb.Audience_SCHEDULERS, nil)
	default:
		n.sendTo(n.likelySchedulers(n.heartbeats), gossippb.Audience_RECEIVER, nil)
	}
}

// likelySchedulers returns the instances that are schedulers if they are alive: the first ones in
// schedulerOrder, and further ones the longer none of them responds.
func (n *Node) likelySchedulers(number uint64) []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	from := int(number%4) * schedulerCount
	if from >= len(n.order) {
		from = 0
	}
	return n.order[from:min(from+schedulerCount, len(n.order))]
}

// allPeers returns all peers.
func (n *Node) allPeers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers
}

// sendTo packs a batch and sends it to each of the peers, with the revisions if they are due.
func (n *Node) sendTo(peers []Peer, relayTo gossippb.Audience, batch []item) {
	n.sendPacked(peers, relayTo, batch, true)
}

// sendPacked is sendTo with or without revisions. Reports on runs are sent without: the
// revisions would reach the schedulers only, but count as sent to all instances.
func (n *Node) sendPacked(peers []Peer, relayTo gossippb.Audience, batch []item, revisions bool) {
	if len(peers) == 0 {
		return
	}
	for _, d := range n.pack(batch, revisions) {
		n.sendDatagram(d, peers, relayTo)
	}
}

// sendDatagram sends one datagram to each of the peers.
func (n *Node) sendDatagram(d *gossippb.Datagram, peers []Peer, relayTo gossippb.Audience) {
	if len(peers) == 0 {
		return
	}
	d.RelayTo = relayTo
	data := encode(d)
	for _, p := range peers {
		if p.Name != n.name {
			n.write(data, p.Address)
		}
	}
}

// isHeartbeat reports whether a datagram carries no messages about runs, endpoints or caches.
func isHeartbeat(d *gossippb.Datagram) bool {
	return len(d.GetStarts())+len(d.GetStages())+len(d.GetNotices())+len(d.GetEntries())+len(d.GetCaches())+len(d.GetQuotaUses())+len(d.GetQuotaBookings()) == 0
}

// isUrgent reports whether a datagram carries messages that should not be delayed.
func isUrgent(d *gossippb.Datagram) bool { return len(d.GetNotices())+len(d.GetEntries()) > 0 }

// forward batches the datagrams that peers have asked to be forwarded, and sends them to their
// audiences.
//
// Hundreds of instances send three heartbeats a second each, and several watches report the same
// rollout. Without batching, each scheduler would be woken thousands of times a second, which
// costs it more than serving its callers.
func (n *Node) forward(ctx context.Context) {
	for {
		var batch []relayed
		select {
		case <-ctx.Done():
			return
		case r := <-n.relayQueue.C():
			batch = n.gatherRelayed(ctx, r)
		}
		n.forwardBatch(n.currentRoles(), batch)
	}
}

// forwardBatch sends datagrams to their audiences.
func (n *Node) forwardBatch(r roles, batch []relayed) {
	local, remote := n.splitByDataCentre(r.direct)
	n.sendRelayed(local, gossippb.Audience_RECEIVER, batch, gossippb.Audience_EVERYBODY, gossippb.Audience_DATA_CENTRE)
	n.sendRelayed(remote, gossippb.Audience_RECEIVER, batch, gossippb.Audience_EVERYBODY)
	n.sendRelayed(r.forwarders, gossippb.Audience_DATA_CENTRE, batch, gossippb.Audience_EVERYBODY)
	n.sendRelayed(r.others, gossippb.Audience_RECEIVER, batch, gossippb.Audience_SCHEDULERS)
}

// splitByDataCentre returns the peers of this instance's data centre, and the others.
func (n *Node) splitByDataCentre(peers []Peer) (local, remote []Peer) {
	for _, p := range peers {
		if p.DataCentre == n.dataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

// sendRelayed sends the peers those datagrams of a batch that are for one of the audiences, and
// has them forward the datagrams to relayTo.
func (n *Node) sendRelayed(peers []Peer, relayTo gossippb.Audience, batch []relayed, audiences ...gossippb.Audience) {
	batch = slices.DeleteFunc(slices.Clone(batch), func(r relayed) bool { return !slices.Contains(audiences, r.audience) })
	if len(batch) == 0 || len(peers) == 0 {
		return
	}
	for _, d := range n.packRelayed(batch) {
		d.RelayTo = relayTo
		data := encode(d)
		for _, p := range peers {
			n.write(data, p.Address)
		}
	}
}

// gatherRelayed collects further datagrams for a short time.
func (n *Node) gatherRelayed(ctx context.Context, first relayed) []relayed {
	batch := []relayed{first}
	timer := time.NewTimer(relayHeartbeatDelay)
	defer timer.Stop()
	for urgent := first.urgent; !urgent; {
		select {
		case r := <-n.relayQueue.C():
			batch = append(batch, r)
			urgent = r.urgent
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	_ = clock.Sleep(ctx, relayUrgentDelay)
	for n.relayQueue.Len() > 0 {
		batch = append(batch, <-n.relayQueue.C())
	}
	return batch
}

// packRelayed packs datagrams to forward into as few datagrams as possible.
func (n *Node) packRelayed(batch []relayed) []*gossippb.Datagram {
	current := n.newDatagram()
	list := []*gossippb.Datagram{current}
	size := proto.Size(current)
	for _, r := range batch {
		add := len(r.data) + relayedOverhead
		if size+add > maxRelayedBytes && len(current.GetRelayed()) > 0 {
			current = n.newDatagram()
			list = append(list, current)
			size = proto.Size(current)
		}
		current.Relayed = append(current.Relayed, r.data)
		size += add
	}
	return list
}

func encode(d *gossippb.Datagram) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		log.WithError(err).Error("encode gossip datagram")
	}
	return data
}

func (n *Node) write(data []byte, to netip.AddrPort) {
	if _, err := n.conn.WriteToUDPAddrPort(data, to); err != nil {
		sendFailuresTotal.Inc()
		return
	}
	sentTotal.Inc()
}
