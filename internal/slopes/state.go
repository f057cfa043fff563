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
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// measureState prints the heap memory that each kind of state takes, at several sizes.
func measureState(_ Options, out io.Writer) error {
	fmt.Fprintf(out, "heap bytes of one piece of state\n%-34s %10s %12s\n", "state", "pieces", "bytes each")
	for _, n := range []int{600, 1200, 2400} {
		printHeap(out, "endpoint's item in the exchange", n, func() any { return exchangeStoreOf(syntheticItems(n, 0)) })
		printHeap(out, "record's item in the exchange", n, func() any { return exchangeStoreOf(syntheticItems(0, n)) })
		printHeap(out, "record in the keeper", n, func() any { return recordsOf(n) })
		printHeap(out, "member", n, func() any { return memberTableOf(n) })
		printHeap(out, "endpoint in routes and ranking", n, func() any { return placementOf(n) })
	}
	printHeap(out, "placing without records", 1, func() any { return placementOf(0) })
	for _, blocks := range []int{1000, 4000, 16000, 150000} {
		printHeap(out, fmt.Sprintf("owned endpoint, %d blocks known", blocks), 16, func() any { return registryOf(16, blocks) })
	}
	return nil
}

// printHeap prints how much memory the value that build returns retains, divided by pieces.
func printHeap(out io.Writer, name string, pieces int, build func() any) {
	before := heapInUse()
	built := build()
	after := heapInUse()
	runtime.KeepAlive(built)
	fmt.Fprintf(out, "%-34s %10d %12.0f\n", name, pieces, float64(after-before)/float64(pieces))
}

func exchangeStoreOf(items []exchange.Item) *exchange.Store {
	s := exchange.NewStore()
	now := time.Now()
	for _, it := range items {
		s.Put(it, "peer", now)
	}
	return s
}

func memberTableOf(n int) *member.Table {
	t := member.New(member.Member{Name: "self"}, nil, member.DefaultTimeouts, rand.New(rand.NewPCG(1, 1)))
	other := member.New(member.Member{Name: "other"}, nil, member.DefaultTimeouts, rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		it := other.Update(func(m *member.Member) {
			m.Name, m.Address, m.DataCentre = fmt.Sprintf("entry-%04d", i), fmt.Sprintf("10.0.%d.%d:8082", i/256, i%256), "accra-1"
		})
		t.Apply(it, time.Now())
	}
	return t
}

func registryOf(endpoints, blocks int) *owner.Registry {
	r := owner.NewRegistry(policy.CostModel{Recompute: policy.DefaultRecompute})
	now := time.Now()
	for e := range endpoints {
		name := fmt.Sprintf("engine-%d", e)
		o := r.Add(owner.Config{Name: name, Slots: 64, BlockTokens: blockTokens, CacheBlocks: int64(blocks), PrefillTokensPerSecond: 20000})
		o.Status(now, fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE, 1)
		o.CacheEvent(owner.CacheEvent{Seq: 1, Incarnation: 1, Op: owner.CacheStore, Blocks: promptBlocks(blocks, e)})
	}
	return r
}

// recordsOf returns a registry with n records of organisations, encoded as in the object API.
func recordsOf(n int) *record.Registry {
	registry := record.NewRegistry(clock.System{})
	var items []record.Item
	for i := range n {
		name := fmt.Sprintf("customer-%04d", i)
		r := &recordspb.Record{SchemaVersion: 1, Name: name, Spec: &recordspb.Record_Organisation{Organisation: &recordspb.Organisation{
			Weight: 1, RequestsPerSecond: 100, KeyHashes: []string{record.HashKey(name), record.HashKey(name + "-next")},
		}}}
		value, _ := record.Marshal(r)
		items = append(items, record.Item{Kind: record.Organisations, Name: name, Version: uint64(i + 1), Value: value})
	}
	registry.Offer(items...)
	registry.SetComplete()
	return registry
}

// placementOf returns the placement of an instance that knows a pool of n endpoints.
func placementOf(n int) *placement.Fleet {
	ownerServer := placement.NewOwnerServer(placement.OwnerServerConfig{Self: "entry", Clock: clock.System{}})
	f := placement.NewFleet(placement.FleetConfig{
		Caller: &fleetpb.Caller{Fleet: fleetName, Instance: "entry"}, Clock: clock.System{}, Peers: &grantingPeers{}, OwnerServer: ownerServer,
	})
	if n > 0 {
		f.SetRecords(context.Background(), poolRecord(n))
		f.SetView(context.Background(), memberView("entry", []string{"other"}, []string{"peer"}))
	}
	return f
}
