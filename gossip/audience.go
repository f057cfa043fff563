package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/rendezvous"
)

const (
	// directFleet is the largest fleet whose instances tell each other one by one. In
	// a small one a relay that has just died would cost many others the word for a
	// second; in a large one every instance would be woken by every word of every
	// other: 62 instances with 950 requests a second heard 2,300 datagrams a second
	// each, and spent two thirds of their processor time on them.
	directFleet = 16
	// relayMbps is the bandwidth that a relay has to have for each instance that it
	// tells: what 950 requests a second come to is 1 Mbit/s, and as much again is
	// left to callers.
	relayMbps = 2.0
	// leastRelays is how many instances of a data centre pass on what others tell, so
	// that one may die; mostRelays bounds them where no bandwidth is known. Each
	// further one is a further hundred datagrams a second at all others.
	leastRelays = 2
	mostRelays  = 6
	// relayAlive is the silence after which an instance is not asked to pass on: two
	// of its heartbeats, and some delay. What it was given in that time is lost.
	relayAlive = 700 * time.Millisecond
	// audienceFor is how long an audience is used before it is chosen anew.
	audienceFor = 100 * time.Millisecond
)

// audience is whom an instance tells.
type audience struct {
	// direct are told one by one.
	direct []Peer
	// relays of each further data centre, and of the own one, pass the word on.
	relays [][]Peer
}

// newAudience chooses whom to tell: everybody in a small fleet; in a large one some
// relays in each data centre, or everybody there while no relay is alive.
func newAudience(self Peer, peers []Peer, alive func(name string) bool) audience {
	if len(peers) < directFleet {
		return audience{direct: peers}
	}
	byDataCentre := map[string][]Peer{self.DataCentre: {self}}
	for _, p := range peers {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
	}
	var a audience
	for _, group := range byDataCentre {
		if relays := relaysOf(group, alive); len(relays) > 0 {
			a.relays = append(a.relays, relays)
			continue
		}
		a.direct = append(a.direct, group...)
	}
	return a
}

// relaysOf returns the instances of a data centre that pass on what others tell: those
// with the most bandwidth among the live ones, as many as can carry it.
func relaysOf(group []Peer, alive func(name string) bool) []Peer {
	live := make([]Peer, 0, len(group))
	for _, p := range group {
		if alive(p.Name) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rendezvous.Score(b.DataCentre, b.Name), rendezvous.Score(a.DataCentre, a.Name)))
	})
	bandwidth := 0.0
	for n, p := range live {
		enough := bandwidth >= relayMbps*float64(len(group))
		if n >= mostRelays || n >= leastRelays && enough {
			return live[:n]
		}
		bandwidth += p.LinkMbps
	}
	return live
}

// pickRelay chooses the relay for one datagram. Items go through the same one, so
// that the end of a run does not overtake its start; heartbeats go through all in
// turn, so that no single relay's end makes its senders look dead.
func pickRelay(relays []Peer, self string, heartbeat bool, number uint64) Peer {
	turn := rendezvous.Score("relay", self)
	if heartbeat {
		turn = number
	}
	return relays[turn%uint64(len(relays))]
}
