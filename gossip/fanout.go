package gossip

import (
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// directPeers is how many instances of another data centre are told one by one.
// Beyond that one of them passes the word on: bytes between data centres cost
// money, and their number would grow with the square of the fleet. In a small one a
// relay that has just died would cost many others the word for a second.
const directPeers = 8

// target is a peer to tell, and whether it passes the word on.
type target struct {
	Peer
	relays bool
}

// fanout chooses whom to tell: all of the own data centre, and of each other one
// all, or one live instance that tells the rest. The turn goes round among these,
// so that none carries more than the others and a dead one costs a part only.
func fanout(own string, peers []Peer, live func(name string) bool, turn uint64) []target {
	var list []target
	others := map[string][]Peer{}
	for _, p := range peers {
		if p.DataCentre == own {
			list = append(list, target{Peer: p})
			continue
		}
		others[p.DataCentre] = append(others[p.DataCentre], p)
	}
	for _, group := range others {
		list = append(list, tellGroup(group, live, turn)...)
	}
	return list
}

func tellGroup(group []Peer, live func(name string) bool, turn uint64) []target {
	var able []Peer
	for _, p := range group {
		if live(p.Name) {
			able = append(able, p)
		}
	}
	if len(group) > directPeers && len(able) > 0 {
		return []target{{Peer: able[turn%uint64(len(able))], relays: true}}
	}
	list := make([]target, 0, len(group))
	for _, p := range group {
		list = append(list, target{Peer: p})
	}
	return list
}

// broadcast tells all peers.
func (n *Node) broadcast(d *gossippb.Datagram) {
	n.mu.Lock()
	now := time.Now()
	// Of a peer that was never heard of, the zero value is long ago.
	live := func(name string) bool { return n.heard[name].alive(now) }
	list := fanout(n.dataCentre, n.peers, live, d.GetNumber())
	n.mu.Unlock()
	plain := n.encode(d, false)
	var relayed []byte
	for _, t := range list {
		if !t.relays {
			n.write(plain, t.Peer)
			continue
		}
		if relayed == nil {
			relayed = n.encode(d, true)
		}
		n.write(relayed, t.Peer)
	}
}

// relay passes a datagram of another data centre on within this one.
func (n *Node) relay(d *gossippb.Datagram) {
	relayedTotal.Inc()
	data := n.encode(d, false)
	n.mu.Lock()
	peers := append([]Peer(nil), n.peers...)
	n.mu.Unlock()
	for _, p := range peers {
		if p.DataCentre == n.dataCentre && p.Name != d.GetInstance() {
			n.write(data, p)
		}
	}
}

func (n *Node) encode(d *gossippb.Datagram, relay bool) []byte {
	d.Relay = relay
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
