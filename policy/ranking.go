// Package policy implements the decisions under load that depend only on their arguments: which
// endpoints are candidates for a prompt, which of them is chosen, and which requests are refused
// and for how long. It does no I/O, starts no goroutines, reads no clock and uses no random
// numbers; the time is an argument.
package policy

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/prefix"
)

// MaxCandidates limits how many endpoints one decision considers. Four give most of the benefit of
// considering the whole pool; the rest leaves room for excluded endpoints.
const MaxCandidates = 16

// Ranking is a list of endpoints prepared for rendezvous hashing: every instance computes the same
// order for a key from the list alone, and a change of the list moves only the keys of the
// endpoints concerned.
//
// It is designed for 2,400 endpoints and thousands of decisions a second. Names are therefore
// hashed once when the list changes, and a decision tracks only the best few instead of sorting
// all. A Ranking is immutable and safe for concurrent use.
type Ranking struct {
	names []string
	seeds []uint64
}

// NewRanking returns a Ranking of the names. The indexes that Top returns refer to names.
func NewRanking(names []string) *Ranking {
	r := &Ranking{names: append([]string(nil), names...), seeds: make([]uint64, len(names))}
	for i, name := range names {
		r.seeds[i] = xxh3.HashString(name)
	}
	return r
}

// Len returns the number of endpoints.
func (r *Ranking) Len() int { return len(r.names) }

// Name returns the name of the endpoint with index i.
func (r *Ranking) Name(i int) string { return r.names[i] }

// Top appends to dst the indexes of the first k endpoints for the key for which usable returns
// true, best first. A nil usable accepts all. k is limited to MaxCandidates. Top does not allocate
// if dst has enough capacity.
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

// insert inserts s into best, which is sorted by descending score, and drops the last element.
func insert(best []scored, s scored) {
	i := len(best) - 1
	for i > 0 && best[i-1].score < s.score {
		best[i] = best[i-1]
		i--
	}
	best[i] = s
}

// mix is the finalizer of splitmix64. Each bit of x affects every bit of the result, so that the
// orders of different keys are independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
