package record

import "github.com/sardinedock/sardinedock/rendezvous"

// WatchersPerKind is how many instances watch one kind of record. With three, changes
// still arrive after the loss of any two; the other instances receive them from
// peers.
const WatchersPerKind = 3

// Member is a live instance that may be assigned to watch.
type Member struct {
	Name string
	// StoreReachable is whether the member reports that it can reach the object API.
	StoreReachable bool
}

// IsWatcher reports whether an instance has to watch a kind of record.
//
// A pending watch counts as a call against the object API's rate limits, which grow
// more slowly than the fleet. If every instance watched all five kinds, the watches
// would use up the limits, and calls that need the object API for other purposes
// would be refused. So only a few instances, chosen by rendezvous hashing, watch each
// kind. Instances with the same list of live members choose the same watchers, and
// each side of a network partition chooses its own.
func IsWatcher(members []Member, self string, kind Kind) bool {
	return IsChosen(members, self, string(kind), WatchersPerKind)
}

// IsChosen reports whether this instance is one of the n that rendezvous hashing
// assigns to a task from among the live members. Members that cannot reach the
// object API rank last: they are chosen only if there are not enough others, so
// that during an outage the same few instances retry and not all of them. An
// instance that is not in members counts as able to reach it.
func IsChosen(members []Member, self, task string, n int) bool {
	own := candidate{reachable: true, score: rendezvous.Score(task, self), name: self}
	for _, m := range members {
		if m.Name == self {
			own.reachable = m.StoreReachable
		}
	}
	ahead := 0
	for _, m := range members {
		other := candidate{m.StoreReachable, rendezvous.Score(task, m.Name), m.Name}
		if m.Name != self && other.before(own) {
			ahead++
		}
	}
	return ahead < n
}

// candidate is a member with its rank for one task.
type candidate struct {
	reachable bool
	score     uint64
	name      string
}

// before reports whether c ranks before other.
func (c candidate) before(other candidate) bool {
	if c.reachable != other.reachable {
		return c.reachable
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}
