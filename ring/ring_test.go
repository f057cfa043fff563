package ring

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

func TestOfferRefusesWhenFull(t *testing.T) {
	r := New[int]("test_offer", 1)
	if !r.Offer(1) || r.Offer(2) {
		t.Fatal("want the first accepted and the second refused")
	}
	if got := <-r.C(); got != 1 {
		t.Fatalf("got %d, want 1", got)
	}
}

func TestPutEndsWithItsContext(t *testing.T) {
	r := New[int]("test_put", 1)
	ctx, cancel := context.WithCancel(context.Background())
	if err := r.Put(ctx, 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := r.Put(ctx, 2); err == nil {
		t.Fatal("want an error from a full ring after the context ended")
	}
}

func TestPushKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		n := rapid.IntRange(0, 40).Draw(t, "n")
		r := New[int]("test_push", size)
		lost := 0
		for i := range n {
			lost += r.Push(i)
		}
		if lost != max(0, n-size) {
			t.Fatalf("lost %d of %d in a ring of %d", lost, n, size)
		}
		for want := lost; want < n; want++ {
			if got := <-r.C(); got != want {
				t.Fatalf("got %d, want %d", got, want)
			}
		}
	})
}
