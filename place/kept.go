package place

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/kept"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// keeps reports whether the pool's endpoints export and import KV cache.
func (f *Fleet) keeps(p *poolRoutes) bool {
	return f.cfg.Kept != nil && p != nil && p.record.GetKvImportTokensPerSecond() > 0
}

// findKept notes the longest prefix of the prompt that could be imported.
func (f *Fleet) findKept(t *ticket) {
	if f.keeps(t.pool) {
		t.kept, _ = f.cfg.Kept.LongestPrefix(t.request.Blocks)
	}
}

// keptTokens of the prompt could be imported.
func (t *ticket) keptTokens() int64 {
	return int64(t.kept.Blocks) * t.pool.record.GetBlockTokens()
}

// importKept has the granted endpoint import what it lacks, where that takes
// less time than computing it. The slot is held meanwhile. It is not done for
// an endpoint without an owner: nobody knows what is cached there, and most
// often it is what the endpoint was chosen for.
func (f *Fleet) importKept(ctx context.Context, t *ticket, g Grant) {
	if t.kept.Blocks == 0 || g.ID == 0 || ctx.Err() != nil {
		return
	}
	prices := t.pool.prices()
	prices.Recompute = 1
	if prices.Import(t.request.PromptTokens, t.keptTokens(), g.CachedTokens) == 0 {
		return
	}
	f.cfg.Kept.Import(ctx, g.Address, t.salt(), t.kept)
}

// keep tells the keeper that the endpoint now has the prompt's shared levels.
func (f *Fleet) keep(g Grant) {
	t := g.ticket
	if len(t.levels) == 0 || !f.keeps(t.pool) {
		return
	}
	f.cfg.Kept.AddUse(kept.Use{Address: g.Address, Salt: t.salt(), Chain: t.request.Blocks, Levels: t.levels})
}

// learnLevels takes over the levels that the owner knows, which has seen more of
// the prompt's kind than this instance.
func (t *ticket) learnLevels(ends []int32) {
	if len(ends) < len(t.levels) {
		return
	}
	t.levels = t.levels[:0]
	for _, blocks := range ends {
		if int(blocks) <= len(t.request.Blocks) {
			t.levels = append(t.levels, int(blocks))
		}
	}
}

func (t *ticket) salt() prefix.Hash {
	return prefix.Salt(t.request.Organisation, t.request.Model, t.request.Version)
}

// PublishKept tells all instances of a kept prefix. It does not block.
func (f *Fleet) PublishKept(p kept.Prefix, ttl time.Duration) {
	value, err := proto.Marshal(&fleetpb.KeptState{Blocks: int64(p.Blocks)})
	if err == nil {
		f.publish(fleetpb.ItemKind_ITEM_KIND_KEPT, p.Last.String(), value, ttl)
	}
}

func (f *Fleet) heardKept(it exchange.Item) {
	s := &fleetpb.KeptState{}
	last, ok := prefix.ParseHash(it.Key.Name)
	if f.cfg.Kept == nil || !ok || proto.Unmarshal(it.Value, s) != nil || s.GetBlocks() <= 0 {
		return
	}
	f.cfg.Kept.AddRemote(kept.Prefix{Last: last, Blocks: int(s.GetBlocks())}, it.TTL)
}
