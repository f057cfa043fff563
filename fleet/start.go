package fleet

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// pullTimeout is the timeout for one page of a peer's state.
	pullTimeout = 500 * time.Millisecond
	// pullStagger is the delay before the next peer is tried in parallel.
	pullStagger = 100 * time.Millisecond
	// maxPullPages limits the pages pulled from one peer.
	maxPullPages = 64
)

// Pull fetches the full state from a peer, so that an instance that starts while
// the object API is unreachable can serve at once. It tries the addresses in order
// and starts with the next one after pullStagger or a failure, so that an
// unresponsive peer does not delay the start by a whole timeout. It reports whether
// a peer that has all records returned them. Run must have been called.
func (n *Node) Pull(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addresses))
	tried := 0
	next := time.NewTimer(0)
	defer next.Stop()
	for running := 0; tried < len(addresses) || running > 0; {
		select {
		case <-next.C:
			if tried == len(addresses) {
				continue
			}
			address := addresses[tried]
			tried++
			running++
			next.Reset(pullStagger)
			go func() { results <- address != n.cfg.Self.Address && n.pullAll(ctx, address) }()
		case complete := <-results:
			running--
			if complete {
				return true
			}
			next.Reset(0)
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// pullAll fetches all pages from one peer and reports whether the peer has all
// records.
func (n *Node) pullAll(ctx context.Context, address string) bool {
	from := uint32(1)
	complete := false
	for range maxPullPages {
		var o outgoing
		err := n.do(ctx, func(c *core, now time.Time) []outgoing {
			o = c.pull(member.Peer{Address: address}, from, now)
			return nil
		})
		if err != nil {
			return false
		}
		reply, err := n.cfg.Client.Exchange(ctx, address, pullTimeout, o.request)
		if err != nil {
			return false
		}
		err = n.do(ctx, func(c *core, now time.Time) []outgoing {
			c.handleReply(o, reply, now)
			return nil
		})
		if err != nil {
			return false
		}
		complete = reply.GetComplete()
		if from = reply.GetPullNext(); from == 0 {
			break
		}
	}
	return complete
}

// Dump is the node's part of the state dump for operators.
type Dump struct {
	Self    string          `json:"self"`
	Items   int             `json:"items"`
	Kinds   map[string]int  `json:"items_by_kind"`
	Members []member.Member `json:"members"`
	Budget  int             `json:"budget_bytes"`
}

// Dump returns the current state. Counts are missing if ctx is done or the node
// has stopped before its goroutine counted the items.
func (n *Node) Dump(ctx context.Context) Dump {
	view := n.View()
	var counted Dump
	err := n.do(ctx, func(c *core, _ time.Time) []outgoing {
		counted = Dump{Items: c.store.Len(), Kinds: c.counts(), Budget: int(c.budget)}
		return nil
	})
	if err != nil {
		return Dump{Self: view.Self, Members: view.Members}
	}
	counted.Self, counted.Members = view.Self, view.Members
	return counted
}

// counts returns the number of items by the name of their kind.
func (c *core) counts() map[string]int {
	counts := map[string]int{}
	for kind, name := range fleetpb.ItemKind_name {
		if n := c.store.Count(fleetpb.ItemKind(kind)); n > 0 {
			counts[name] = n
		}
	}
	return counts
}
