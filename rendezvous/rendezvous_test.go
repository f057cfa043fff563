package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

// Guards against instances that rank the same names differently: a task that is assigned by
// rank would be done twice or not at all.
func TestRankIsIndependentOfListOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 20, rapid.ID[string]).Draw(t, "names")
		shuffled := rapid.Permutation(names).Draw(t, "order")
		key := rapid.String().Draw(t, "key")
		seen := map[int]string{}
		for _, n := range names {
			rank := Rank(key, n, shuffled)
			if other, twice := seen[rank]; twice {
				t.Fatalf("%q and %q both have rank %d", n, other, rank)
			}
			seen[rank] = n
			if got := Rank(key, n, names); got != rank {
				t.Fatalf("%q has rank %d or %d, by the order of the list", n, got, rank)
			}
		}
		if first := First(key, shuffled); first != seen[0] {
			t.Fatalf("first is %q, rank 0 has %q", first, seen[0])
		}
	})
}

// Guards against the removal of one instance changing the keys of the others. Keys are, for
// example, endpoints whose caches one instance reads; another one would read them all again.
func TestRemovedNameMovesOnlyItsOwnKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	left := names[1:]
	for n := range 200 {
		key := fmt.Sprint(n)
		if before, after := First(key, names), First(key, left); before != "a" && after != before {
			t.Errorf("key %s moved from %s to %s", key, before, after)
		}
	}
}
