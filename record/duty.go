package record

import (
	"sort"

	"github.com/zeebo/xxh3"
)

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
	type scored struct {
		score uint64
		name  string
	}
	rank := []scored{{watchScore(kind, self), self}}
	for _, m := range members {
		if m.StoreReachable && m.Name != self {
			rank = append(rank, scored{watchScore(kind, m.Name), m.Name})
		}
	}
	sort.Slice(rank, func(i, j int) bool {
		if rank[i].score != rank[j].score {
			return rank[i].score > rank[j].score
		}
		return rank[i].name < rank[j].name
	})
	for _, r := range rank[:min(len(rank), WatchersPerKind)] {
		if r.name == self {
			return true
		}
	}
	return false
}

func watchScore(kind Kind, name string) uint64 {
	return xxh3.HashString(string(kind) + "/" + name)
}
