package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// pack packs a batch into datagrams; an empty batch gives a heartbeat. If revisions is set, the
// first datagram carries the revisions when they are due.
func (n *Node) pack(batch []item, revisions bool) []*gossippb.Datagram {
	current := n.newDatagram()
	if revisions {
		n.addRevisions(current)
	}
	list := []*gossippb.Datagram{current}
	size := proto.Size(current)
	for _, i := range batch {
		add := 4 + itemSize(i)
		if size+add > maxDatagramBytes && size > 0 {
			current = n.newDatagram()
			list = append(list, current)
			size = proto.Size(current)
		}
		size += add
		switch {
		case i.start != nil:
			current.Starts = append(current.Starts, i.start)
		case i.stage != nil:
			current.Stages = append(current.Stages, i.stage)
		case i.notice != nil:
			current.Notices = append(current.Notices, i.notice)
		case i.entry != nil:
			current.Entries = append(current.Entries, i.entry)
		case i.cache != nil:
			current.Caches = append(current.Caches, i.cache)
		case i.quotaUse != nil:
			current.QuotaUses = append(current.QuotaUses, i.quotaUse)
		case i.booking != nil:
			current.QuotaBookings = append(current.QuotaBookings, i.booking)
		}
	}
	return list
}

func itemSize(i item) int {
	switch {
	case i.start != nil:
		return proto.Size(i.start)
	case i.stage != nil:
		return proto.Size(i.stage)
	case i.notice != nil:
		return proto.Size(i.notice)
	case i.entry != nil:
		return proto.Size(i.entry)
	case i.cache != nil:
		return proto.Size(i.cache)
	case i.quotaUse != nil:
		return proto.Size(i.quotaUse)
	case i.booking != nil:
		return proto.Size(i.booking)
	}
	return 0
}

// newDatagram returns a datagram that carries only this instance's own state.
func (n *Node) newDatagram() *gossippb.Datagram {
	d := &gossippb.Datagram{Instance: n.name, Incarnation: n.incarnation}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.number++
	d.Number = n.number
	d.Leaving, d.StoreLost, d.LostServices = n.leaving, n.storeLost, n.lostServices
	if d.Scheduler = n.roles.self; d.Scheduler {
		d.Live = uint32(n.roles.live)
	}
	return d
}

// addRevisions adds the newest known revisions, and the time since this instance last read
// each kind, if they are due.
func (n *Node) addRevisions(d *gossippb.Datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Before(n.revisionsDue) {
		return
	}
	n.revisionsDue = now.Add(revisionsInterval)
	for kind, revision := range n.revisions {
		d.Revisions = append(d.Revisions, &gossippb.Revision{Kind: kind, Revision: revision, ReadMsAgo: n.readAgeMs(kind, now)})
	}
}

// readAgeMs returns how many milliseconds ago this instance read a kind, or -1 if it has not.
// n.mu must be held.
func (n *Node) readAgeMs(kind string, now time.Time) int64 {
	at, ok := n.reads[kind]
	if !ok {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
