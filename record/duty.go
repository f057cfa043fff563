package record

import "github.com/sardinedock/sardinedock/rendezvous"

// WatchersPerKind is how many instances watch one kind of record. Three of
// them outlive the loss of any two; the others hear from peers.
const WatchersPerKind = 3

// Member is an instance as the choice of the watchers sees it.
type Member struct {
	Name string
	// StoreReachable is the member's own word that the object API answers it.
	StoreReachable bool
}

// WatchDuty reports whether an instance has to watch a kind of record.
//
// Load: a waiting watch costs the object API a call, and its rates grow more
// slowly than the fleet, so five kinds at every instance would use them up.
// Harm prevented: refused calls of those who need the object API for more than
// news. A few instances of each kind, chosen by rendezvous hashing, watch it.
// All find the same ones from the list of live members alone, and each part of
// a divided fleet finds its own.
func WatchDuty(members []Member, self string, kind Kind) bool {
	return Chosen(members, self, string(kind), WatchersPerKind)
}

// Chosen reports whether this instance is one of the n that rendezvous hashing
// chooses for a duty from the live members. Those that the object API does not
// answer come last: they are chosen where there are not enough others, so that
// during an outage the same few go on trying and not all. An instance that is
// not among the members counts as one that is answered.
func Chosen(members []Member, self, duty string, n int) bool {
	own := candidate{reachable: true, score: rendezvous.Score(duty, self), name: self}
	for _, m := range members {
		if m.Name == self {
			own.reachable = m.StoreReachable
		}
	}
	ahead := 0
	for _, m := range members {
		other := candidate{m.StoreReachable, rendezvous.Score(duty, m.Name), m.Name}
		if m.Name != self && other.before(own) {
			ahead++
		}
	}
	return ahead < n
}

// candidate is a member as the choice for one duty ranks it.
type candidate struct {
	reachable bool
	score     uint64
	name      string
}

func (c candidate) before(other candidate) bool {
	if c.reachable != other.reachable {
		return c.reachable
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}
