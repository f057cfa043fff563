package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/prefix"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("engine-%d", i)
	}
	return list
}

func keyOfByte(b byte) prefix.Hash { return prefix.Salt(string(b), "m", "1") }

// Removing an endpoint must move only its own keys. If the order of the others changed too, every
// change of the list would invalidate the whole pool's caches.
func TestRemovedEndpointMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := names(rapid.IntRange(2, 40).Draw(t, "endpoints"))
		key := keyOfByte(rapid.Byte().Draw(t, "key"))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
		all := NewRanking(list)
		rest := NewRanking(slices.Delete(slices.Clone(list), removed, removed+1))
		var want, got []string
		for _, i := range all.Top(nil, key, 5, func(i int) bool { return i != removed }) {
			want = append(want, all.Name(i))
		}
		for _, i := range rest.Top(nil, key, 5, nil) {
			got = append(got, rest.Name(i))
		}
		if !slices.Equal(got, want) {
			t.Fatalf("without %s: %v, want %v", list[removed], got, want)
		}
	})
}

func TestTopIsPrefixOfFullOrder(t *testing.T) {
	r := NewRanking(names(MaxCandidates))
	for b := range byte(100) {
		whole := r.Top(nil, keyOfByte(b), MaxCandidates, nil)
		if sorted := slices.Sorted(slices.Values(whole)); len(slices.Compact(sorted)) != MaxCandidates {
			t.Fatalf("key %d: %v is not a permutation of all endpoints", b, whole)
		}
		if top := r.Top(nil, keyOfByte(b), 4, nil); !slices.Equal(top, whole[:4]) {
			t.Fatalf("key %d: first four %v of %v", b, top, whole)
		}
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	const endpoints, keys = 16, 16000
	r := NewRanking(names(endpoints))
	var first [endpoints]int
	for i := range keys {
		first[r.Top(nil, prefix.Salt(fmt.Sprint(i), "m", "1"), 1, nil)[0]]++
	}
	for i, n := range first {
		if n < keys/endpoints*85/100 || n > keys/endpoints*115/100 {
			t.Errorf("%s is first for %d of %d keys", r.Name(i), n, keys)
		}
	}
}

func BenchmarkTopOf2400(b *testing.B) {
	r := NewRanking(names(2400))
	key := keyOfByte(1)
	dst := make([]int, 0, MaxCandidates)
	b.ReportAllocs()
	for b.Loop() {
		dst = r.Top(dst[:0], key, 4, func(int) bool { return true })
	}
}

// BenchmarkDecisionOf2400 measures what an instance does for one request: compute the key, find
// four candidates, and choose among their offers.
func BenchmarkDecisionOf2400(b *testing.B) {
	r := NewRanking(names(2400))
	levels := prefix.NewLevels(prefix.DefaultLevelSets)
	salt := prefix.Salt("a", "m", "1")
	chain := prefix.Blocks(nil, salt, make([]byte, 200*256), 64)
	costs := CostModel{PrefillTokensPerSecond: 20000, Recompute: DefaultRecompute}
	var found [4]int
	offers := make([]Offer, 4)
	b.ReportAllocs()
	for b.Loop() {
		key := levels.Key(salt, chain, 0)
		levels.Observe(salt, chain)
		for i, e := range r.Top(found[:0], key, 4, func(int) bool { return true }) {
			offers[i] = Offer{Endpoint: r.Name(e), CachedTokens: int64(i) * 1000, Wait: 1000}
		}
		Choose(12800, 0, offers, costs)
	}
}
