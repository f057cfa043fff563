package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// Forwarders returns the instances through which requests for a service can be sent: those that are alive,
// as far as is known here, do not shut down and have not announced that they reach none of its
// endpoints. In a large fleet most instances send no messages to this one and count as alive.
func (n *Node) Forwarders(service string) []Peer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Peer
	for _, p := range n.peers {
		state, heard := n.states[p.Name]
		switch {
		case heard && (state.leaving || slices.Contains(state.lostServices, service)):
		case heard && now.Sub(state.at) >= livenessTimeout:
		case !heard && n.roles.smallFleet:
		default:
			list = append(list, p)
		}
	}
	return list
}

// IsInstance reports whether an address belongs to a listed instance.
func (n *Node) IsInstance(ip netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.peers, func(p Peer) bool { return p.Address.Addr() == ip })
}
