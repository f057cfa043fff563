package gossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against requests forwarded to an instance that leaves, is dead, or has lost the service itself; and
// against instances of a large fleet that are treated as dead since they send no messages to this one.
func TestForwardersAreInstancesThatCanServe(t *testing.T) {
	names := func(n *Node) (list []string) {
		for _, p := range n.Forwarders("orders") {
			list = append(list, p.Name)
		}
		return list
	}
	now := time.Now()
	n := &Node{name: "self", states: map[string]peerState{
		"good":    {at: now},
		"leaving": {at: now, leaving: true},
		"lost":    {at: now, lostServices: []string{"orders"}},
		"other":   {at: now, lostServices: []string{"pool"}},
		"dead":    {at: now.Add(-2 * livenessTimeout)},
	}}
	for k, name := range []string{"good", "leaving", "lost", "other", "dead", "unheard"} {
		n.peers = append(n.peers, Peer{Name: name, Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", k+1))})
	}
	n.roles.smallFleet = true
	if got := names(n); !slices.Equal(got, []string{"good", "other"}) {
		t.Errorf("small fleet: %v", got)
	}
	n.roles.smallFleet = false
	if got := names(n); !slices.Equal(got, []string{"good", "other", "unheard"}) {
		t.Errorf("large fleet: %v", got)
	}
	if !n.IsInstance(netip.MustParseAddr("10.0.0.3")) || n.IsInstance(netip.MustParseAddr("10.0.0.9")) {
		t.Error("a listed instance is not known, or another address is")
	}
}
