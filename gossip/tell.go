package gossip

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// relayEvery is how long a relay gathers what it passes on. It bounds the
	// datagrams that reach an instance to a hundred a second from each relay.
	relayEvery = 10 * time.Millisecond
	// relaySoon is the same for what has to go at once: the entries of a rollout come
	// in bursts, from several watches.
	relaySoon = 2 * time.Millisecond
	// maxRelayed keeps a datagram that brings others below the usual MTU.
	maxRelayed = 1400
	// relayedOverhead is what encoding adds to a relayed datagram.
	relayedOverhead = 3
	// relayRing bounds what waits to be passed on. The oldest is given up first.
	relayRing = 4096
)

// relayed is a datagram to pass on.
type relayed struct {
	data []byte
	// soon says that it brings news that should not wait.
	soon bool
}

// audienceNow returns whom to tell, chosen anew now and then.
func (n *Node) audienceNow() audience {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Before(n.audienceUntil) {
		return n.audience
	}
	self := Peer{Name: n.name, DataCentre: n.dataCentre, LinkMbps: n.linkMbps}
	// Of a peer that was never heard of, the zero value is long ago.
	alive := func(name string) bool {
		h := n.heard[name]
		return name == n.name && !n.leaving || !h.leaving && now.Sub(h.at) < relayAlive
	}
	n.audience, n.audienceUntil = newAudience(self, n.peers, alive), now.Add(audienceFor)
	return n.audience
}

// broadcast tells all peers, by way of relays in a large fleet.
func (n *Node) broadcast(d *gossippb.Datagram) {
	a := n.audienceNow()
	plain := encode(d)
	for _, p := range a.direct {
		n.write(plain, p)
	}
	if len(a.relays) == 0 {
		return
	}
	d.Relay = true
	asking := encode(d)
	for _, relays := range a.relays {
		p := pickRelay(relays, n.name, isHeartbeat(d), d.GetNumber())
		if p.Name == n.name {
			n.relays.Push(relayed{plain, isUrgent(d)})
			continue
		}
		n.write(asking, p)
	}
}

// isHeartbeat reports whether a datagram tells nothing of runs or endpoints.
func isHeartbeat(d *gossippb.Datagram) bool {
	return len(d.GetStarts())+len(d.GetStages())+len(d.GetNotices())+len(d.GetEntries())+len(d.GetCaches()) == 0
}

// isUrgent reports whether a datagram brings news that others wait for.
func isUrgent(d *gossippb.Datagram) bool { return len(d.GetNotices())+len(d.GetEntries()) > 0 }

// passOn gathers what others have asked to pass on, and tells this data centre.
//
// Load: hundreds of requests a second at dozens of instances, three words each. Harm
// prevented: passed on one by one, each instance is woken thousands of times a second,
// which costs it more than serving its callers.
func (n *Node) passOn(ctx context.Context) {
	for {
		var batch []relayed
		select {
		case <-ctx.Done():
			return
		case r := <-n.relays.C():
			batch = n.gatherRelayed(ctx, r)
		}
		a := n.ownDataCentre()
		for _, d := range n.packRelayed(batch) {
			data := encode(d)
			for _, p := range a {
				n.write(data, p)
			}
		}
	}
}

// gatherRelayed waits a moment for more.
func (n *Node) gatherRelayed(ctx context.Context, first relayed) []relayed {
	batch := []relayed{first}
	timer := time.NewTimer(relayEvery)
	defer timer.Stop()
	soon := first.soon
	for !soon {
		select {
		case r := <-n.relays.C():
			batch = append(batch, r)
			soon = r.soon
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	_ = clock.Sleep(ctx, relaySoon)
	for n.relays.Len() > 0 {
		batch = append(batch, <-n.relays.C())
	}
	return batch
}

// packRelayed puts datagrams of others into as few as will do.
func (n *Node) packRelayed(batch []relayed) []*gossippb.Datagram {
	current := n.empty()
	list := []*gossippb.Datagram{current}
	size := proto.Size(current)
	for _, r := range batch {
		add := len(r.data) + relayedOverhead
		if size+add > maxRelayed && len(current.GetRelayed()) > 0 {
			current = n.empty()
			list = append(list, current)
			size = proto.Size(current)
		}
		current.Relayed = append(current.Relayed, r.data)
		size += add
	}
	return list
}

// ownDataCentre returns the peers of this data centre.
func (n *Node) ownDataCentre() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Peer
	for _, p := range n.peers {
		if p.DataCentre == n.dataCentre {
			list = append(list, p)
		}
	}
	return list
}

func encode(d *gossippb.Datagram) []byte {
	data, err := proto.Marshal(d)
	if err != nil {
		log.WithError(err).Error("encode a datagram")
	}
	return data
}

func (n *Node) write(data []byte, p Peer) {
	if _, err := n.conn.WriteToUDPAddrPort(data, p.Address); err != nil {
		failsTotal.Inc()
		return
	}
	sentTotal.Inc()
}
