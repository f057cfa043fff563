package member

import (
	"cmp"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// partnerCount is how many peers an instance exchanges state with at a
	// time. With a few, connections are reused and TLS handshakes are rare;
	// with eight random ones, it is unlikely that no instance calls a member.
	partnerCount = 8
	// ringCount is how many of the partners are the next live members on a ring
	// of hashed names. With random partners only, a few members of a large fleet
	// are called by no other one, and their failure would go undetected.
	ringCount = 2
	// callsPerPartner is the number of calls after which the oldest random
	// partner is replaced by another member, so that each member calls each
	// other one in bounded time.
	callsPerPartner = 16
	// callsPerReconnect is the number of calls of which one goes to an address
	// that no live member has: a dead member's, a seed's, or one that the
	// platform lists. These calls join the two sides again after a partition.
	callsPerReconnect = 8
)

// Peer is the destination of a message. Name is empty if it is not known which
// instance has the address.
type Peer struct {
	Name    string
	Address string
}

// partners is the rotation of the peers to call.
type partners struct {
	queue    []string // shuffled names of the members that become partners next
	rotating []string
	ring     []string
	next     int
	calls    int
}

// NextPeer returns the peer for the next exchange, or false if there is neither a
// live member nor an address to reconnect to.
func (t *Table) NextPeer() (Peer, bool) {
	p := &t.partners
	p.calls++
	if p.calls%callsPerPartner == 0 && len(p.rotating) > 0 {
		p.rotating = p.rotating[1:]
	}
	if p.calls%callsPerReconnect == 0 || len(t.members) == 0 {
		if peer, ok := t.reconnectPeer(); ok {
			return peer, true
		}
	}
	list := t.partnerNames()
	if len(list) == 0 {
		return t.reconnectPeer()
	}
	p.next++
	m := t.members[list[p.next%len(list)]]
	return Peer{m.Name, m.Address}, true
}

// Partners returns up to k random partners other than the named one, to push
// changes to or to request a check from.
func (t *Table) Partners(k int, except string) []Peer {
	names := t.partnerNames()
	var list []Peer
	for _, i := range t.random.Perm(len(names)) {
		m := t.members[names[i]]
		if m.Name != except && len(list) < k {
			list = append(list, Peer{m.Name, m.Address})
		}
	}
	return list
}

// partnerNames returns the names of the current partners.
func (t *Table) partnerNames() []string {
	t.fillRing()
	t.fillPartners()
	return slices.Concat(t.partners.ring, t.partners.rotating)
}

// fillRing selects the next live members after this instance on the ring.
func (t *Table) fillRing() {
	type successor struct {
		distance uint64
		name     string
	}
	own := ringPosition(t.self.Name)
	var next []successor
	for name, s := range t.members {
		if !s.live() {
			continue
		}
		next = append(next, successor{s.position - own, name})
		slices.SortFunc(next, func(a, b successor) int { return cmp.Compare(a.distance, b.distance) })
		next = next[:min(len(next), ringCount)]
	}
	t.partners.ring = t.partners.ring[:0]
	for _, s := range next {
		t.partners.ring = append(t.partners.ring, s.name)
	}
}

func ringPosition(name string) uint64 { return xxh3.HashString(name) }

// fillPartners replaces random partners that are no longer live or became ring
// partners.
func (t *Table) fillPartners() {
	p := &t.partners
	p.rotating = slices.DeleteFunc(p.rotating, func(name string) bool { return !t.isLive(name) || slices.Contains(p.ring, name) })
	skipped := 0
	for len(p.rotating) < partnerCount-ringCount && len(p.rotating)+len(p.ring) < len(t.members) {
		if len(p.queue) == 0 {
			p.queue = t.shuffled()
		}
		name := p.queue[0]
		p.queue = p.queue[1:]
		if t.isLive(name) && !slices.Contains(p.rotating, name) && !slices.Contains(p.ring, name) {
			p.rotating = append(p.rotating, name)
			skipped = 0
			continue
		}
		skipped++
		if skipped > 2*len(t.members) {
			return
		}
	}
}

func (t *Table) isLive(name string) bool {
	s := t.members[name]
	return s != nil && s.live()
}

func (t *Table) shuffled() []string {
	names := t.Names()
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// reconnectPeer returns a random peer whose address no live member has.
func (t *Table) reconnectPeer() (Peer, bool) {
	list := t.reconnectCandidates()
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[t.random.IntN(len(list))], true
}

// reconnectCandidates returns, in a deterministic order, the dead members and the
// addresses of seeds and of the platform's list that no live member has.
func (t *Table) reconnectCandidates() []Peer {
	live := map[string]bool{t.self.Address: true}
	var list []Peer
	for _, s := range t.members {
		if s.live() {
			live[s.Address] = true
		} else if s.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD {
			list = append(list, Peer{s.Name, s.Address})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	list = slices.DeleteFunc(list, func(p Peer) bool { return live[p.Address] })
	for _, address := range slices.Concat(t.seeds, t.listed) {
		if !live[address] {
			live[address] = true
			list = append(list, Peer{Address: address})
		}
	}
	return list
}
