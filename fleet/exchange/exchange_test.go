package exchange_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const kind = fleetpb.ItemKind_ITEM_KIND_RECORD

var start = time.Unix(1000, 0)

func item(name string, epoch, version uint64, value string) exchange.Item {
	return exchange.Item{Key: exchange.Key{Kind: kind, Name: name}, Epoch: epoch, Version: version, Value: []byte(value)}
}

// compare runs one full compare begun by a with b, as two instances do.
func compare(a, b *exchange.Store) {
	summaries, covered := b.Differing(a.BucketSums(), 0)
	var toB exchange.Bundle
	a.Reconcile(&toB, nil, summaries, start)
	a.AddMissing(&toB, covered, summaries, start)
	b.Merge(toB.Items, "a", start)
	var toA exchange.Bundle
	b.Reconcile(&toA, toB.Want, nil, start)
	a.Merge(toA.Items, "b", start)
}

// Messages between instances are lost, duplicated and reordered, and some come from a
// peer that was partitioned for long. If an old version could replace a newer one, an
// operator would see a change come into force and be reverted.
func TestNoItemReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stores := []*exchange.Store{exchange.NewStore(), exchange.NewStore(), exchange.NewStore()}
		highest := make([]map[string][2]uint64, len(stores))
		for i := range highest {
			highest[i] = map[string][2]uint64{}
		}
		var sent [][]*fleetpb.Item
		check := func(i int) {
			stores[i].Each(kind, func(it exchange.Item) {
				now, was := [2]uint64{it.Epoch, it.Version}, highest[i][it.Key.Name]
				if now[0] < was[0] || now[0] == was[0] && now[1] < was[1] {
					t.Fatalf("store %d: %s went from %v to %v", i, it.Key.Name, was, now)
				}
				highest[i][it.Key.Name] = now
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "store")
				name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
				epoch, version := rapid.Uint64Range(0, 3).Draw(t, "epoch"), rapid.Uint64Range(1, 9).Draw(t, "version")
				stores[i].Put(item(name, epoch, version, fmt.Sprint(epoch, version)), "", start)
				check(i)
			},
			"send": func(t *rapid.T) {
				var b exchange.Bundle
				stores[rapid.IntRange(0, 2).Draw(t, "from")].AddPending(&b, "", 3, rapid.IntRange(1, 500).Draw(t, "bytes"), start)
				sent = append(sent, b.Items)
			},
			"deliver": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing was sent")
				}
				i := rapid.IntRange(0, 2).Draw(t, "to")
				stores[i].Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")], "peer", start)
				check(i)
			},
			"compare": func(t *rapid.T) {
				a, b := rapid.IntRange(0, 2).Draw(t, "a"), rapid.IntRange(0, 2).Draw(t, "b")
				compare(stores[a], stores[b])
				check(a)
				check(b)
				if stores[a].Root() != stores[b].Root() {
					t.Fatal("two stores differ after a full compare")
				}
			},
		})
	})
}

// A record of a large pool is changed. If each peer sent the value without a request,
// one change would cost the value's size times the number of sends.
func TestLargeValueIsAnnouncedAndFetchedOnce(t *testing.T) {
	a, b := exchange.NewStore(), exchange.NewStore()
	large := string(bytes.Repeat([]byte("x"), 100_000))
	a.Put(item("pool", 0, 7, large), "", start)
	var first exchange.Bundle
	a.AddPending(&first, "b", 8, 1000, start)
	if len(first.Items) != 0 || len(first.Summaries) != 1 {
		t.Fatalf("sent %d items and %d summaries, want 0 and 1", len(first.Items), len(first.Summaries))
	}
	var want exchange.Bundle
	b.Reconcile(&want, nil, first.Summaries, start)
	var answer exchange.Bundle
	a.Reconcile(&answer, want.Want, nil, start)
	b.Merge(answer.Items, "a", start)
	if got, _ := b.Get(exchange.Key{Kind: kind, Name: "pool"}); string(got.Value) != large {
		t.Fatalf("got a wrong value, of %d bytes", len(got.Value))
	}
	var again exchange.Bundle
	b.Reconcile(&again, nil, first.Summaries, start)
	if !again.Empty() {
		t.Fatal("the value would be fetched a second time")
	}
}

func TestChangeStopsBeingSent(t *testing.T) {
	s := exchange.NewStore()
	s.Put(item("a", 0, 1, "v"), "", start)
	sends := 0
	for s.HasPending(8) {
		var b exchange.Bundle
		s.AddPending(&b, "peer", 8, 1000, start)
		sends += len(b.Items)
	}
	if want := exchange.SendLimit(8); sends != want {
		t.Fatalf("sent %d times, want %d", sends, want)
	}
}

func TestItemWithTTLExpires(t *testing.T) {
	s := exchange.NewStore()
	it := item("a", 0, 1, "v")
	it.TTL = time.Second
	s.Put(it, "", start)
	s.Expire(start.Add(999 * time.Millisecond))
	if s.Len() != 1 {
		t.Fatal("the item expired too early")
	}
	s.Expire(start.Add(time.Second))
	if s.Len() != 0 || s.Root() != 0 {
		t.Fatal("the item has not expired")
	}
}
