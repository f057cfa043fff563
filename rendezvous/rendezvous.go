// Package rendezvous chooses among names by rendezvous hashing: whoever has the same
// list of names makes the same choice without asking anybody, and a name that comes or
// goes changes only the choices that fell on it.
package rendezvous

import "github.com/zeebo/xxh3"

// Score ranks a name for a key; the highest comes first.
func Score(key, name string) uint64 { return xxh3.HashStringSeed(name, xxh3.HashString(key)) }

// First returns the name that comes first for a key; empty without names.
func First(key string, names []string) string {
	seed := xxh3.HashString(key)
	first, best := "", uint64(0)
	for _, n := range names {
		score := xxh3.HashStringSeed(n, seed)
		if first == "" || score > best || score == best && n < first {
			first, best = n, score
		}
	}
	return first
}

// Rank returns how many of the names come before self for a key. Self need not be
// among them.
func Rank(key, self string, names []string) int {
	seed := xxh3.HashString(key)
	own := xxh3.HashStringSeed(self, seed)
	ahead := 0
	for _, n := range names {
		if score := xxh3.HashStringSeed(n, seed); score > own || score == own && n < self {
			ahead++
		}
	}
	return ahead
}

// ScoreOf is Score for a key that is a hash already.
func ScoreOf(key uint64, name string) uint64 { return xxh3.HashStringSeed(name, key) }
