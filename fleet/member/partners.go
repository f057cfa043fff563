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
	// time. A few keep their connections, and so their TLS handshakes, in use;
	// eight random ones leave no instance without anybody that calls it.
	partnerCount = 8
	// ringCount of them are the next live members on a ring of hashed names.
	// Chance alone leaves a few members of a large fleet without anybody that
	// calls them, and nobody would notice their deaths.
	ringCount = 2
	// callsPerPartner is after how many calls the oldest partner gives way to
	// the next member, so that each member is called by each other one in
	// bounded time.
	callsPerPartner = 16
	// strangerEvery is how many calls go to partners before one goes to an
	// address that no live member has: a dead member, a seed, one that the
	// platform lists. This is what joins two halves again after a partition.
	strangerEvery = 8
)

// Peer is where to send a message. Name is empty for an address of which no
// instance is known.
type Peer struct {
	Name    string
	Address string
}

// partners is the rotation of the peers to call.
type partners struct {
	order   []string // shuffled names still to become partners
	current []string
	ring    []string
	at      int
	calls   int
}

// NextPeer returns the peer for the next exchange, or false where nobody is
// known to be alive or worth a try.
func (t *Table) NextPeer() (Peer, bool) {
	p := &t.partners
	p.calls++
	if p.calls%callsPerPartner == 0 && len(p.current) > 0 {
		p.current = p.current[1:]
	}
	if p.calls%strangerEvery == 0 || len(t.members) == 0 {
		if peer, ok := t.stranger(); ok {
			return peer, true
		}
	}
	list := t.partnerNames()
	if len(list) == 0 {
		return t.stranger()
	}
	p.at++
	m := t.members[list[p.at%len(list)]]
	return Peer{m.Name, m.Address}, true
}

// Partners returns up to k random partners but for one, to whom a change is
// told or whom a check is asked of.
func (t *Table) Partners(k int, but string) []Peer {
	names := t.partnerNames()
	var list []Peer
	for _, i := range t.random.Perm(len(names)) {
		m := t.members[names[i]]
		if m.Name != but && len(list) < k {
			list = append(list, Peer{m.Name, m.Address})
		}
	}
	return list
}

// partnerNames lists the partners now.
func (t *Table) partnerNames() []string {
	t.fillRing()
	t.fillPartners()
	return slices.Concat(t.partners.ring, t.partners.current)
}

// fillRing finds the next live members after this instance on the ring.
func (t *Table) fillRing() {
	type successor struct {
		distance uint64
		name     string
	}
	own := ringPlace(t.self.Name)
	var next []successor
	for name, s := range t.members {
		if !s.live() {
			continue
		}
		next = append(next, successor{s.place - own, name})
		slices.SortFunc(next, func(a, b successor) int { return cmp.Compare(a.distance, b.distance) })
		next = next[:min(len(next), ringCount)]
	}
	t.partners.ring = t.partners.ring[:0]
	for _, s := range next {
		t.partners.ring = append(t.partners.ring, s.name)
	}
}

func ringPlace(name string) uint64 { return xxh3.HashString(name) }

// fillPartners drops random partners that are gone and takes the next ones.
func (t *Table) fillPartners() {
	p := &t.partners
	p.current = slices.DeleteFunc(p.current, func(name string) bool { return !t.isLive(name) || slices.Contains(p.ring, name) })
	skipped := 0
	for len(p.current) < partnerCount-ringCount && len(p.current)+len(p.ring) < len(t.members) {
		if len(p.order) == 0 {
			p.order = t.shuffled()
		}
		name := p.order[0]
		p.order = p.order[1:]
		if t.isLive(name) && !slices.Contains(p.current, name) && !slices.Contains(p.ring, name) {
			p.current = append(p.current, name)
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

// stranger returns a random address that no live member has.
func (t *Table) stranger() (Peer, bool) {
	list := t.strangers()
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[t.random.IntN(len(list))], true
}

// strangers lists, in a fixed order, dead members and the addresses of seeds
// and of the platform's list that no live member has.
func (t *Table) strangers() []Peer {
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
