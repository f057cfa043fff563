package record

import "github.com/zeebo/xxh3"

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
// All find the same ones from the list of live members alone; each part of a
// divided fleet finds its own. Members that the object API does not answer do
// not count, but an instance always counts itself, so that somebody goes on
// trying when it answers nobody.
func WatchDuty(members []Member, self string, kind Kind) bool {
	return Chosen(members, self, string(kind), WatchersPerKind)
}

// Chosen reports whether this instance is one of the n that rendezvous hashing
// chooses for a duty from the live members. An instance always counts itself.
func Chosen(members []Member, self, duty string, n int) bool {
	own, ahead := dutyScore(duty, self), 0
	for _, m := range members {
		if !m.StoreReachable || m.Name == self {
			continue
		}
		score := dutyScore(duty, m.Name)
		if score > own || (score == own && m.Name < self) {
			ahead++
		}
	}
	return ahead < n
}

func dutyScore(duty, name string) uint64 {
	return xxh3.HashString(duty + "/" + name)
}
