package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Two instances count on each other to do a duty. If they rank the same names
// differently, both do it, or neither.
func TestAllAgreeOnTheOrder(t *testing.T) {
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

// An instance ends. If the choices of all others moved with it, each holder would be
// read anew by another one.
func TestOneThatGoesMovesOnlyItsOwn(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	left := names[1:]
	for n := range 200 {
		key := fmt.Sprint(n)
		if before, after := First(key, names), First(key, left); before != "a" && after != before {
			t.Errorf("key %s moved from %s to %s", key, before, after)
		}
	}
}
