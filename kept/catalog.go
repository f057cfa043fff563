// Package kept knows which prefixes' KV cache is kept in the platform's KV
// store, has engines export what is worth keeping, and has them import it
// where that is cheaper than computing it again.
package kept

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

// catalogLimit bounds the prefixes that an instance knows of, at some 100
// bytes each. At 1,100 organisations it is 15 prefixes for each.
const catalogLimit = 1 << 14

// Prefix is a kept prefix. It is named by the hash of its last block, which
// chains from organisation, model and version; the engine refuses an import
// whose salt differs all the same.
type Prefix struct {
	Last prefix.Hash
	// Blocks is its length.
	Blocks int
}

// Catalog is what is known to be kept. An entry may be wrong: the KV store
// forgets as it likes, and an import that finds nothing costs a round trip.
// Any goroutine may use it.
type Catalog struct {
	mu      sync.Mutex
	entries map[prefix.Hash]entry
}

type entry struct {
	blocks  int
	expires time.Time
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{entries: map[prefix.Hash]entry{}} }

// Add notes that a prefix is kept until then. Over the limit, an entry that
// expires soonest among a few makes room.
func (c *Catalog) Add(p Prefix, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, held := c.entries[p.Last]; !held && len(c.entries) >= catalogLimit {
		delete(c.entries, c.soonest())
	}
	c.entries[p.Last] = entry{p.Blocks, until}
}

// soonest picks among the entries that the map's iteration happens to begin
// with, which is enough to let go of old ones.
func (c *Catalog) soonest() prefix.Hash {
	const sample = 8
	var found prefix.Hash
	var expires time.Time
	seen := 0
	for h, e := range c.entries {
		if seen == 0 || e.expires.Before(expires) {
			found, expires = h, e.expires
		}
		if seen++; seen == sample {
			break
		}
	}
	return found
}

// Forget notes that a prefix is not kept after all.
func (c *Catalog) Forget(last prefix.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, last)
}

// Deepest returns the longest kept prefix of a prompt.
func (c *Catalog) Deepest(now time.Time, chain []prefix.Hash) (Prefix, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return Prefix{}, false
	}
	for i := len(chain) - 1; i >= 0; i-- {
		e, ok := c.entries[chain[i]]
		if !ok || e.blocks != i+1 {
			continue
		}
		if now.Before(e.expires) {
			return Prefix{chain[i], e.blocks}, true
		}
		delete(c.entries, chain[i])
	}
	return Prefix{}, false
}

// Len is the number of entries.
func (c *Catalog) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}
