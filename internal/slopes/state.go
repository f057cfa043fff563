package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// measureState prints the heap that each kind of state takes, at three sizes.
func measureState(_ Options, out io.Writer) error {
	fmt.Fprintf(out, "heap bytes of one piece of state\n%-34s %10s %12s\n", "state", "pieces", "bytes each")
	for _, n := range []int{600, 1200, 2400} {
		printHeap(out, "endpoint's item in the exchange", n, func() any { return storeOf(someItems(n, 0)) })
		printHeap(out, "record's item in the exchange", n, func() any { return storeOf(someItems(0, n)) })
		printHeap(out, "record in the keeper", n, func() any { return keeperOf(n) })
		printHeap(out, "member", n, func() any { return tableOf(n) })
		printHeap(out, "endpoint in routes and ranking", n, func() any { return fleetOf(n) })
	}
	printHeap(out, "placing without records", 1, func() any { return fleetOf(0) })
	for _, blocks := range []int{1000, 4000, 16000, 150000} {
		printHeap(out, fmt.Sprintf("owned endpoint, %d blocks known", blocks), 16, func() any { return bookOf(16, blocks) })
	}
	return nil
}

// printHeap builds something and prints what it holds of the heap.
func printHeap(out io.Writer, name string, pieces int, build func() any) {
	before := heap()
	built := build()
	after := heap()
	runtime.KeepAlive(built)
	fmt.Fprintf(out, "%-34s %10d %12.0f\n", name, pieces, float64(after-before)/float64(pieces))
}

func storeOf(items []exchange.Item) *exchange.Store {
	s := exchange.NewStore()
	now := time.Now()
	for _, it := range items {
		s.Put(it, "peer", now)
	}
	return s
}

func tableOf(n int) *member.Table {
	t := member.New(member.Member{Name: "self"}, nil, member.DefaultBounds, rand.New(rand.NewPCG(1, 1)))
	other := member.New(member.Member{Name: "other"}, nil, member.DefaultBounds, rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		it := other.Update(func(m *member.Member) {
			m.Name, m.Address, m.DataCentre = fmt.Sprintf("entry-%04d", i), fmt.Sprintf("10.0.%d.%d:8082", i/256, i%256), "accra-1"
		})
		t.Apply(it, time.Now())
	}
	return t
}

func bookOf(endpoints, blocks int) *owner.Registry {
	b := owner.NewRegistry(policy.Prices{Recompute: policy.DefaultRecompute})
	now := time.Now()
	for e := range endpoints {
		name := fmt.Sprintf("engine-%d", e)
		o := b.Add(owner.Config{Name: name, Slots: 64, BlockTokens: blockTokens, CacheBlocks: int64(blocks), PrefillTokensPerSecond: 20000})
		o.Status(now, fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE, 1)
		o.CacheEvent(owner.CacheEvent{Seq: 1, Incarnation: 1, Op: owner.CacheStore, Blocks: chain(blocks, e)})
	}
	return b
}

// keeperOf holds records of organisations as they are in the object API.
func keeperOf(n int) *record.Registry {
	k := record.NewRegistry(clock.System{})
	var items []record.Item
	for i := range n {
		name := fmt.Sprintf("customer-%04d", i)
		r := &recordspb.Record{SchemaVersion: 1, Name: name, Spec: &recordspb.Record_Organisation{Organisation: &recordspb.Organisation{
			Weight: 1, RequestsPerSecond: 100, KeyHashes: []string{record.HashKey(name), record.HashKey(name + "-next")},
		}}}
		value, _ := record.Marshal(r)
		items = append(items, record.Item{Kind: record.Organisations, Name: name, Version: uint64(i + 1), Value: value})
	}
	k.Offer(items...)
	k.SetComplete()
	return k
}

// fleetOf is a placer that knows a pool of n endpoints.
func fleetOf(n int) *place.Fleet {
	duty := place.NewOwnerServer(place.OwnerServerConfig{Self: "entry", Clock: clock.System{}})
	f := place.NewFleet(place.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: fleetName, Instance: "entry"}, Clock: clock.System{}, Peers: &granting{}, OwnerServer: duty,
	})
	if n > 0 {
		f.SetRecords(context.Background(), poolRecord(n))
		f.SetView(context.Background(), viewOf("entry", []string{"other"}, []string{"peer"}))
	}
	return f
}
