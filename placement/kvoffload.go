package placement

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/kvoffload"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// canImport reports whether the pool's endpoints export and import KV cache.
func (f *Fleet) canImport(p *poolRoutes) bool {
	return f.cfg.KVOffload != nil && p != nil && p.record.GetKvImportTokensPerSecond() > 0
}

// findStored sets t.kvoffload to the longest prefix of the prompt that can be imported.
func (f *Fleet) findStored(t *placement) {
	if f.canImport(t.pool) {
		t.kvoffload, _ = f.cfg.KVOffload.LongestPrefix(t.request.Blocks)
	}
}

// storedTokens is the number of prompt tokens that can be imported.
func (t *placement) storedTokens() int64 {
	return int64(t.kvoffload.Blocks) * t.pool.record.GetBlockTokens()
}

// importStored has the granted endpoint import the part of the prefix that it lacks, if that
// is faster than computing it. The slot is occupied meanwhile. Nothing is imported for a
// grant without an owner: it is unknown what is cached at the endpoint, and most often it
// was chosen because the prefix is.
func (f *Fleet) importStored(ctx context.Context, t *placement, g Grant) {
	if t.kvoffload.Blocks == 0 || g.ID == 0 || ctx.Err() != nil {
		return
	}
	costs := t.pool.costs()
	costs.Recompute = 1
	if costs.Import(t.request.PromptTokens, t.storedTokens(), g.CachedTokens) == 0 {
		return
	}
	f.cfg.KVOffload.Import(ctx, g.Address, t.salt(), t.kvoffload)
}

// reportUse reports to the kvoffload.Coordinator that the endpoint now has the prompt's shared
// levels cached.
func (f *Fleet) reportUse(g Grant) {
	t := g.placement
	if len(t.levels) == 0 || !f.canImport(t.pool) {
		return
	}
	f.cfg.KVOffload.AddUse(kvoffload.Use{Address: g.Address, Salt: t.salt(), Chain: t.request.Blocks, Levels: t.levels})
}

// setLevels replaces the levels by the owner's, unless they are fewer. The owner sees more
// prompts with the same prefix than this instance.
func (t *placement) setLevels(ends []int32) {
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

func (t *placement) salt() prefix.Hash {
	return prefix.Salt(t.request.Organisation, t.request.Model, t.request.Version)
}

// PublishStored publishes an exported prefix to all instances. It does not block.
func (f *Fleet) PublishStored(p kvoffload.Prefix, ttl time.Duration) {
	value, err := proto.Marshal(&fleetpb.KeptState{Blocks: int64(p.Blocks)})
	if err == nil {
		f.publish(fleetpb.ItemKind_ITEM_KIND_KEPT, p.Last.String(), value, ttl)
	}
}

func (f *Fleet) mergeStored(it exchange.Item) {
	s := &fleetpb.KeptState{}
	last, ok := prefix.ParseHash(it.Key.Name)
	if f.cfg.KVOffload == nil || !ok || proto.Unmarshal(it.Value, s) != nil || s.GetBlocks() <= 0 {
		return
	}
	f.cfg.KVOffload.AddRemote(kvoffload.Prefix{Last: last, Blocks: int(s.GetBlocks())}, it.TTL)
}
