// Package policy holds the decisions under load that need nothing but their
// arguments: which endpoints a prompt may go to, which of them it takes, who
// is refused and for how long. Nothing here does I/O, starts a goroutine,
// reads a clock or draws a random number; time is an argument.
package policy

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
)

// MaxCandidates bounds how many endpoints one decision weighs. Four get most
// of what the whole pool would give; the rest is room for exclusions.
const MaxCandidates = 16

// Ranking is a list of endpoints prepared for rendezvous hashing: every
// instance finds the same order for a key from the list alone, and a change of
// the list moves only the keys of the endpoints concerned.
//
// It is made for 2,400 endpoints and thousands of decisions a second, so names
// are hashed once when the list changes and a decision keeps only the best few
// instead of sorting all. It is immutable; any goroutine may use it.
type Ranking struct {
	names []string
	seeds []uint64
}

// NewRanking prepares the list. Indexes returned by Top refer to it.
func NewRanking(names []string) *Ranking {
	r := &Ranking{names: append([]string(nil), names...), seeds: make([]uint64, len(names))}
	for i, name := range names {
		r.seeds[i] = xxh3.HashString(name)
	}
	return r
}

// Len is the number of endpoints.
func (r *Ranking) Len() int { return len(r.names) }

// Name returns the endpoint of an index.
func (r *Ranking) Name(i int) string { return r.names[i] }

// Top appends to dst the indexes of the k first endpoints for the key, best
// first, of those that usable accepts; nil accepts all. k is cut to
// MaxCandidates. With a dst of enough capacity nothing is allocated.
func (r *Ranking) Top(dst []int, key prefix.Hash, k int, usable func(i int) bool) []int {
	k = min(k, MaxCandidates, len(r.seeds))
	if k <= 0 {
		return dst
	}
	var best [MaxCandidates]scored
	n := 0
	seed := binary.LittleEndian.Uint64(key[:8]) ^ binary.LittleEndian.Uint64(key[8:])
	for i, s := range r.seeds {
		score := mix(s ^ seed)
		if n == k && score <= best[n-1].score {
			continue
		}
		if usable != nil && !usable(i) {
			continue
		}
		if n < k {
			n++
		}
		insert(best[:n], scored{score, i})
	}
	for _, b := range best[:n] {
		dst = append(dst, b.index)
	}
	return dst
}

type scored struct {
	score uint64
	index int
}

// insert puts s in its place and drops what was last.
func insert(best []scored, s scored) {
	i := len(best) - 1
	for i > 0 && best[i-1].score < s.score {
		best[i] = best[i-1]
		i--
	}
	best[i] = s
}

// mix is the finalizer of splitmix64: each bit of x reaches every bit of the
// result, so that the order of one key says nothing of another's.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
