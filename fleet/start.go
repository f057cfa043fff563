package fleet

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// pullBound is how long one peer may take for a page of its state.
	pullBound = 500 * time.Millisecond
	// pullStagger is how long after one peer the next is tried.
	pullStagger = 100 * time.Millisecond
	// pullPages bounds the pages of one pull.
	pullPages = 64
)

// Pull fetches all state from a peer, so that an instance that starts while the
// object API is away serves at once. The addresses are tried one after the
// other, each a little after the one before it: one that is silent must not
// cost the start its bound. It reports whether a peer that holds all records
// has handed them over. Run must have been started.
func (n *Node) Pull(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addresses))
	tried := 0
	next := time.NewTimer(0)
	defer next.Stop()
	for open := 0; tried < len(addresses) || open > 0; {
		select {
		case <-next.C:
			if tried == len(addresses) {
				continue
			}
			address := addresses[tried]
			tried++
			open++
			next.Reset(pullStagger)
			go func() { results <- address != n.cfg.Self.Address && n.pullAll(ctx, address) }()
		case complete := <-results:
			open--
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

// pullAll fetches all pages from one peer.
func (n *Node) pullAll(ctx context.Context, address string) bool {
	from := uint32(1)
	complete := false
	for range pullPages {
		var o outgoing
		err := n.do(ctx, func(c *core, now time.Time) []outgoing {
			o = c.pull(member.Peer{Address: address}, from, now)
			return nil
		})
		if err != nil {
			return false
		}
		reply, err := n.cfg.Client.Exchange(ctx, address, pullBound, o.request)
		if err != nil {
			return false
		}
		err = n.do(ctx, func(c *core, now time.Time) []outgoing {
			c.replied(o, reply, now)
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

// Dump is the node's part of the state dump.
type Dump struct {
	Self    string          `json:"self"`
	Items   int             `json:"items"`
	Kinds   map[string]int  `json:"items_by_kind"`
	Members []member.Member `json:"members"`
	Budget  int             `json:"budget_bytes"`
}

// Dump returns the state now; without counts where the duty does not answer.
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

func (c *core) counts() map[string]int {
	counts := map[string]int{}
	for kind, name := range fleetpb.ItemKind_name {
		if n := c.store.Count(fleetpb.ItemKind(kind)); n > 0 {
			counts[name] = n
		}
	}
	return counts
}
