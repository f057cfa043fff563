// Package rendezvous implements rendezvous hashing: all instances with the same list of
// names make the same choice without communication, and adding or removing a name changes the
// choice only for the keys that choose that name.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Score returns the score of a name for a key; the name with the highest score is chosen
// first.
func Score(key, name string) uint64 { return xxh3.HashStringSeed(name, xxh3.HashString(key)) }

// First returns the name with the highest score for a key; empty if there are no names.
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

// Rank returns how many of the names are chosen before self for a key. self need not be one
// of the names.
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

// IsAmongFirst reports whether self is one of the names, and one of the first n of them for a key.
func IsAmongFirst(n int, key, self string, names []string) bool {
	return slices.Contains(names, self) && Rank(key, self, names) < n
}

// ScoreOf is Score for a key that is already a hash.
func ScoreOf(key uint64, name string) uint64 { return xxh3.HashStringSeed(name, key) }
