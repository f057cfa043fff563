package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// peerState is the state of a peer according to its last datagram.
type peerState struct {
	incarnation uint64
	// number is that of the newest datagram.
	number  uint64
	at      time.Time
	leaving bool
	// leavingSince is when the peer first announced its shutdown.
	leavingSince time.Time
	storeLost    bool
	// lostServices are the services of which the peer reaches no endpoint.
	lostServices []string
	scheduler    bool
	// live is the number of live instances that the peer reported as a scheduler.
	live int
}

// alive reports whether a peer counts as alive and is not shutting down.
func (s peerState) alive(now time.Time) bool { return !s.leaving && now.Sub(s.at) < livenessTimeout }

// receive reads datagrams and applies them until ctx is done.
func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sendFailuresTotal.Inc()
			continue
		}
		var d gossippb.Datagram
		if proto.Unmarshal(buf[:size], &d) != nil || d.GetInstance() == "" {
			malformedTotal.Inc()
			continue
		}
		receivedTotal.Inc()
		if d.GetInstance() == n.name {
			continue
		}
		if d.GetRelayTo() != gossippb.Audience_RECEIVER {
			relayedTotal.Inc()
			n.enqueueRelay(&d, buf[:size])
		}
		n.answerAsks(&d, from)
		for _, v := range d.GetDecisions() {
			n.asks.deliver(v)
		}
		n.apply(&d)
		n.applyRelayed(&d)
	}
}

// applyRelayed applies the datagrams that a relay has forwarded. This instance's own messages
// come back among them and are skipped: the start of a run that has ended meanwhile would
// otherwise be counted for ever.
func (n *Node) applyRelayed(d *gossippb.Datagram) {
	for _, data := range d.GetRelayed() {
		var inner gossippb.Datagram
		if proto.Unmarshal(data, &inner) != nil || inner.GetInstance() == "" {
			malformedTotal.Inc()
			continue
		}
		if inner.GetInstance() != n.name {
			n.apply(&inner)
		}
	}
}

// admission is the result of checking a datagram's sender.
type admission struct {
	// accepted is set if the datagram is to be applied, restarted if its sender is new or has
	// restarted.
	accepted, restarted bool
	// scheduler is set if the sender has just become a scheduler, or restarted as one.
	scheduler bool
}

// admit records that a datagram was received, and returns whether it is accepted and what has
// changed about its sender. A datagram of an earlier incarnation was delayed in the network and
// is dropped while the later incarnation is alive. Once that one has timed out, the sender must
// have restarted with its clock set back; otherwise it would be ignored for the life of its
// process.
func (n *Node) admit(d *gossippb.Datagram, now time.Time) admission {
	n.mu.Lock()
	defer n.mu.Unlock()
	prev := n.states[d.GetInstance()]
	if d.GetIncarnation() < prev.incarnation && now.Sub(prev.at) < livenessTimeout {
		return admission{}
	}
	restarted := d.GetIncarnation() != prev.incarnation
	next := peerState{
		incarnation: d.GetIncarnation(), number: d.GetNumber(), at: now, leaving: d.GetLeaving(), storeLost: d.GetStoreLost(),
		lostServices: d.GetLostServices(), scheduler: d.GetScheduler(), live: int(d.GetLive()),
	}
	if next.leaving {
		next.leavingSince = now
		if prev.leaving && !restarted {
			next.leavingSince = prev.leavingSince
		}
	}
	if !restarted {
		// Instances of an earlier version number only some of their datagrams.
		next.number = max(next.number, prev.number)
	}
	// A scheduler may forward a datagram after a newer one has arrived.
	older := d.GetNumber() > 0 && d.GetNumber() < prev.number
	if !restarted && (older || len(d.GetAsks())+len(d.GetDecisions()) > 0) {
		// Datagrams with asks or decisions carry no other state of their sender.
		next = prev
		next.at = now
		if len(d.GetDecisions()) > 0 {
			// A former scheduler would otherwise still be asked for as long as it answers, because
			// its heartbeats go to schedulers only.
			next.scheduler = d.GetScheduler()
		}
	}
	n.states[d.GetInstance()] = next
	return admission{accepted: true, restarted: restarted, scheduler: next.scheduler && (restarted || !prev.scheduler)}
}

// announceTo sends this instance's state to a peer that has started, if this instance is a
// scheduler, so that the peer need not wait for the next heartbeat.
func (n *Node) announceTo(name string) {
	if !n.IsScheduler() {
		return
	}
	for _, p := range n.allPeers() {
		if p.Name == name {
			n.write(encode(n.newDatagram()), p.Address)
			return
		}
	}
}

// readTime returns when a peer last read a kind from the store, by its own report. It is not
// forwarded: each hop would shift the time by the network delay, and between peers that
// exchange many datagrams a second a read would never become old, so that in the end no
// instance would read the store.
func readTime(r *gossippb.Revision) time.Time {
	if r.GetReadMsAgo() < 0 {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(r.GetReadMsAgo()) * time.Millisecond)
}

// apply applies a datagram's sender state and messages.
func (n *Node) apply(d *gossippb.Datagram) {
	a := n.admit(d, time.Now())
	if !a.accepted {
		return
	}
	if a.restarted || a.scheduler {
		// If a scheduler were not yet counted, this instance could take over its role.
		n.updateRoles(time.Now())
	}
	if a.restarted {
		n.announceTo(d.GetInstance())
	}
	if a.scheduler {
		n.handler.SchedulerStarted(d.GetInstance())
	}
	for _, c := range d.GetCaches() {
		n.handler.Cache(c)
	}
	for _, e := range d.GetEntries() {
		n.recordRevision(e.GetKind(), e.GetRevision())
		n.handler.Entry(e)
	}
	for _, r := range d.GetRevisions() {
		n.recordRevision(r.GetKind(), r.GetRevision())
		n.handler.Revision(r.GetKind(), r.GetRevision(), readTime(r))
	}
	for _, s := range d.GetStarts() {
		n.handler.Started(s)
	}
	for _, s := range d.GetStages() {
		n.handler.Stage(s)
	}
	for _, u := range d.GetQuotaUses() {
		n.handler.QuotaUsed(u)
	}
	for _, b := range d.GetQuotaBookings() {
		n.handler.QuotaBooked(b)
	}
	for _, s := range d.GetNotices() {
		n.handler.Notice(d.GetInstance(), s)
	}
}
