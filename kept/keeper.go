package kept

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
	// Lifetime is how long a prefix is taken to be kept. One that is still used
	// by then is exported again. At 11,000 prefixes it is three changes a second
	// that instances tell each other.
	Lifetime = time.Hour
	// usesRing bounds the uses that wait for the duty; the oldest are given up,
	// since a prefix in use is used again.
	usesRing = 256
	// transferBound ends an export or import that hangs; both take a tenth of
	// the time that computing the prefix takes.
	transferBound = 2 * time.Second
)

var (
	exports       = metrics.GetOrCreateCounter("sardinedock_kept_exports_total")
	exportsFailed = metrics.GetOrCreateCounter("sardinedock_kept_exports_failed_total")
	imports       = metrics.GetOrCreateCounter("sardinedock_kept_imports_total")
	importsFailed = metrics.GetOrCreateCounter("sardinedock_kept_imports_failed_total")
	importedBlock = metrics.GetOrCreateCounter("sardinedock_kept_imported_blocks_total")
)

// Engine is what an endpoint has to offer.
type Engine interface {
	Export(ctx context.Context, h endpoint.KVHandle) (int, error)
	Import(ctx context.Context, h endpoint.KVHandle) (int, error)
}

// Config is what a Keeper needs.
type Config struct {
	Clock clock.Clock
	// Dial returns the engine at an address.
	Dial func(address string) Engine
	// Publish tells all instances of a kept prefix. It is called by the duty's
	// goroutine and may block.
	Publish func(ctx context.Context, p Prefix, ttl time.Duration)
}

// Keeper has prefixes exported and imported. Its methods may be called by any
// goroutine; only Import blocks.
type Keeper struct {
	cfg     Config
	catalog *Catalog
	uses    *ring.Ring[Use]
}

// Use is one request that was answered at an endpoint, which therefore has its
// prompt cached.
type Use struct {
	Address string
	Salt    prefix.Hash
	// Chain is the prompt's blocks.
	Chain []prefix.Hash
	// Levels are the numbers of leading blocks that end a shared level, shortest
	// first.
	Levels []int
}

// NewKeeper returns a keeper that exports nothing before Run.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, catalog: NewCatalog(), uses: ring.New[Use]("kept_uses", usesRing)}
}

// Used notes a use of shared levels.
func (k *Keeper) Used(u Use) {
	if n := len(u.Levels); n > 0 && u.Levels[n-1] >= minBlocks {
		k.uses.Push(u)
	}
}

// Heard notes a prefix that another instance had exported.
func (k *Keeper) Heard(p Prefix, ttl time.Duration) {
	k.catalog.Add(p, k.cfg.Clock.Now().Add(min(ttl, Lifetime)))
}

// Deepest returns the longest kept prefix of a prompt.
func (k *Keeper) Deepest(chain []prefix.Hash) (Prefix, bool) {
	return k.catalog.Deepest(k.cfg.Clock.Now(), chain)
}

// Import has an engine take a kept prefix in. A failure costs nothing but the
// time: the engine computes what it does not have. A prefix that the KV store
// has lost is forgotten here.
func (k *Keeper) Import(ctx context.Context, address string, salt prefix.Hash, p Prefix) {
	ctx, cancel := context.WithTimeout(ctx, transferBound)
	defer cancel()
	imports.Inc()
	blocks, err := k.cfg.Dial(address).Import(ctx, handle(salt, p.Last, nil))
	if err == nil {
		importedBlock.Add(blocks)
		return
	}
	importsFailed.Inc()
	if fault.Is(err, fault.NotFound) {
		k.catalog.Forget(p.Last)
	}
}

// Run exports until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	selector := NewSelector()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-k.uses.C():
			k.used(ctx, selector, u)
		}
	}
}

// used exports the levels of a prompt that are not kept yet, shortest first.
func (k *Keeper) used(ctx context.Context, s *Selector, u Use) {
	for {
		now := k.cfg.Clock.Now()
		known, _ := k.catalog.Deepest(now, u.Chain)
		blocks := s.Next(now, known.Blocks, u.Levels)
		if blocks == 0 || !k.export(ctx, u, blocks) {
			return
		}
	}
}

// export has a level kept and reports whether it is.
func (k *Keeper) export(ctx context.Context, u Use, blocks int) bool {
	chain := u.Chain[:blocks]
	p := Prefix{chain[blocks-1], blocks}
	bounded, cancel := context.WithTimeout(ctx, transferBound)
	defer cancel()
	exports.Inc()
	stored, err := k.cfg.Dial(u.Address).Export(bounded, handle(u.Salt, p.Last, chain))
	if err != nil || stored < blocks {
		// The engine has evicted the end meanwhile, so what was kept under this
		// name is shorter than it says. It stays out of the catalog.
		exportsFailed.Inc()
		return false
	}
	k.catalog.Add(p, k.cfg.Clock.Now().Add(Lifetime))
	k.cfg.Publish(ctx, p, Lifetime)
	return true
}

// handle names a prefix in the KV store: by its content, so that two instances
// that export it at once write the same.
func handle(salt, last prefix.Hash, chain []prefix.Hash) endpoint.KVHandle {
	h := endpoint.KVHandle{Handle: last.String(), Salt: salt.String()}
	for _, b := range chain {
		h.Blocks = append(h.Blocks, b.String())
	}
	return h
}

// Dump is the keeper's part of the state dump.
type Dump struct {
	Known         int    `json:"known"`
	Exports       uint64 `json:"exports"`
	ExportsFailed uint64 `json:"exports_failed"`
	Imports       uint64 `json:"imports"`
	ImportsFailed uint64 `json:"imports_failed"`
}

// Dump returns the state now.
func (k *Keeper) Dump() Dump {
	return Dump{k.catalog.Len(), exports.Get(), exportsFailed.Get(), imports.Get(), importsFailed.Get()}
}
