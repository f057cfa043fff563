package kvoffload

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/ring"
)

const (
	// Lifetime is how long a prefix is assumed to stay in the KV store. A prefix
	// still used after that is exported again. With 11,000 prefixes, instances
	// publish three changes a second to each other.
	Lifetime = time.Hour
	// usesQueueSize bounds the queue of uses. The oldest are dropped when it is full,
	// since a prefix in use will be used again.
	usesQueueSize = 256
	// transferTimeout bounds an export or import. Normally either takes a tenth of
	// the time that computing the prefix takes.
	transferTimeout = 2 * time.Second
)

var (
	exportsTotal   = metrics.GetOrCreateCounter("sardinedock_kept_exports_total")
	exportFailures = metrics.GetOrCreateCounter("sardinedock_kept_exports_failed_total")
	importsTotal   = metrics.GetOrCreateCounter("sardinedock_kept_imports_total")
	importFailures = metrics.GetOrCreateCounter("sardinedock_kept_imports_failed_total")
	importedBlocks = metrics.GetOrCreateCounter("sardinedock_kept_imported_blocks_total")
)

// Engine is the part of an engine's interface that a Coordinator uses. Both methods return
// the number of blocks transferred.
type Engine interface {
	Export(ctx context.Context, h endpoint.KVHandle) (int, error)
	Import(ctx context.Context, h endpoint.KVHandle) (int, error)
}

// Config configures a Coordinator.
type Config struct {
	Clock clock.Clock
	// Dial returns a client of the engine at an address.
	Dial func(address string) Engine
	// Publish sends an exported prefix to all instances. It is called in the
	// goroutine of Run and may block.
	Publish func(ctx context.Context, p Prefix, ttl time.Duration)
}

// Coordinator makes engines export and import prefixes. Its methods are safe for concurrent
// use; only Run and Import block.
type Coordinator struct {
	cfg     Config
	catalog *Catalog
	uses    *ring.Ring[Use]
}

// Use is a request that an endpoint has answered, so that it has the request's prompt
// cached.
type Use struct {
	Address string
	Salt    prefix.Hash
	// Chain is the hashes of the prompt's blocks.
	Chain []prefix.Hash
	// Levels are the lengths in blocks of the prefixes that the prompt shares with
	// other prompts, shortest first.
	Levels []int
}

// NewCoordinator returns a Coordinator that exports nothing until Run.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, catalog: NewCatalog(), uses: ring.New[Use]("kept_uses", usesQueueSize)}
}

// AddUse queues a use for export, unless its longest level is shorter than minBlocks.
func (c *Coordinator) AddUse(u Use) {
	if n := len(u.Levels); n > 0 && u.Levels[n-1] >= minBlocks {
		c.uses.Push(u)
	}
}

// AddRemote adds a prefix that another instance has published. ttl is limited to Lifetime.
func (c *Coordinator) AddRemote(p Prefix, ttl time.Duration) {
	c.catalog.Add(p, c.cfg.Clock.Now().Add(min(ttl, Lifetime)))
}

// LongestPrefix returns the longest prefix of a prompt that is in the KV store. chain is
// the hashes of the prompt's blocks.
func (c *Coordinator) LongestPrefix(chain []prefix.Hash) (Prefix, bool) {
	return c.catalog.LongestPrefix(c.cfg.Clock.Now(), chain)
}

// Import makes an engine import a prefix from the KV store. A failure costs only time,
// since the engine computes what it does not have. A prefix that the KV store no longer
// has is removed from the catalog.
func (c *Coordinator) Import(ctx context.Context, address string, salt prefix.Hash, p Prefix) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	importsTotal.Inc()
	blocks, err := c.cfg.Dial(address).Import(ctx, handle(salt, p.Last, nil))
	if err == nil {
		importedBlocks.Add(blocks)
		return
	}
	importFailures.Inc()
	if fault.Is(err, fault.NotFound) {
		c.catalog.Remove(p.Last)
	}
}

// Run exports prefixes of the queued uses until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	selector := NewSelector()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.uses.C():
			c.exportLevels(ctx, selector, u)
		}
	}
}

// exportLevels exports the levels of a prompt that are not in the KV store yet, as far
// as the Selector allows, shortest first. It stops at the first failure.
func (c *Coordinator) exportLevels(ctx context.Context, s *Selector, u Use) {
	for {
		now := c.cfg.Clock.Now()
		known, _ := c.catalog.LongestPrefix(now, u.Chain)
		blocks := s.Next(now, known.Blocks, u.Levels)
		if blocks == 0 || !c.export(ctx, u, blocks) {
			return
		}
	}
}

// export exports the first blocks of a prompt and reports whether all of them are
// stored.
func (c *Coordinator) export(ctx context.Context, u Use, blocks int) bool {
	chain := u.Chain[:blocks]
	p := Prefix{chain[blocks-1], blocks}
	bounded, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	exportsTotal.Inc()
	stored, err := c.cfg.Dial(u.Address).Export(bounded, handle(u.Salt, p.Last, chain))
	if err != nil || stored < blocks {
		// If fewer blocks were stored, the engine has evicted the end of the prefix
		// since its use. It is not added to the catalog, because the stored prefix
		// is shorter than the one that the handle names.
		exportFailures.Inc()
		return false
	}
	c.catalog.Add(p, c.cfg.Clock.Now().Add(Lifetime))
	c.cfg.Publish(ctx, p, Lifetime)
	return true
}

// handle returns the handle of a prefix in the KV store. It is derived from the prefix's
// content, so that two instances that export it concurrently write the same value.
func handle(salt, last prefix.Hash, chain []prefix.Hash) endpoint.KVHandle {
	h := endpoint.KVHandle{Handle: last.String(), Salt: salt.String()}
	for _, b := range chain {
		h.Blocks = append(h.Blocks, b.String())
	}
	return h
}

// Dump is the Coordinator's part of the state dump.
type Dump struct {
	Known         int    `json:"known"`
	Exports       uint64 `json:"exports"`
	ExportsFailed uint64 `json:"exports_failed"`
	Imports       uint64 `json:"imports"`
	ImportsFailed uint64 `json:"imports_failed"`
}

// Dump returns the current state.
func (c *Coordinator) Dump() Dump {
	return Dump{c.catalog.Len(), exportsTotal.Get(), exportFailures.Get(), importsTotal.Get(), importFailures.Get()}
}
