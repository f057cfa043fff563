package slopes

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// followedRecord is the record that is changed.
	followedRecord = "classes/followed"
	// followedFirstVersion is above the versions of the other records.
	followedFirstVersion = 1 << 20
	// changeInterval is the time from one change to the next.
	changeInterval = 500 * time.Millisecond
)

// measureSpread measures how long a change takes to propagate from one instance to all others,
// and how many bytes it adds to the traffic without changes.
func measureSpread(o Options, out io.Writer) error {
	fmt.Fprintf(out, "a change of %d bytes told from peer to peer, %d changes\n", o.ValueBytes, o.Changes)
	fmt.Fprintf(out, "%9s %10s %10s %10s %18s\n", "instances", "p50", "p99", "slowest", "B sent a change")
	for _, size := range o.Sizes {
		if err := measureSpreadSize(o, out, size); err != nil {
			return err
		}
	}
	return nil
}

func measureSpreadSize(o Options, out io.Writer, size int) error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	nodes, err := startNodes(ctx, &wg, size, syntheticItems(0, 10))
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	restBegin, restTraffic := time.Now(), trafficOfNodes(nodes)
	time.Sleep(o.Rest / 2)
	rest := float64(trafficOfNodes(nodes).sent-restTraffic.sent) / time.Since(restBegin).Seconds()
	begin, before := time.Now(), trafficOfNodes(nodes)
	var took []time.Duration
	for i := range o.Changes {
		at := time.Now()
		version := uint64(followedFirstVersion + i)
		key := exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_RECORD, Name: followedRecord}
		if err := nodes[i%size].node.Publish(ctx, exchange.Item{Key: key, Version: version, Value: make([]byte, o.ValueBytes)}); err != nil {
			return err
		}
		for slices.ContainsFunc(nodes, func(n *node) bool { return n.followedVersion.Load() < version }) {
			time.Sleep(changePollInterval)
		}
		took = append(took, time.Since(at))
		time.Sleep(max(0, changeInterval-time.Since(at)))
	}
	added := float64(trafficOfNodes(nodes).sent-before.sent) - rest*time.Since(begin).Seconds()
	slices.Sort(took)
	fmt.Fprintf(out, "%9d %10v %10v %10v %18.0f\n", size, quantile(took, 0.5).Round(time.Millisecond), quantile(took, 0.99).Round(time.Millisecond),
		took[len(took)-1].Round(time.Millisecond), added/float64(o.Changes*size))
	return nil
}
