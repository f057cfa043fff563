// Package kvoffload tracks which prompt prefixes have their KV cache stored in the
// platform's KV store. It has engines export prefixes that are worth storing, and
// import them where that is cheaper than recomputing them.
package kvoffload

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

// maxCatalogEntries bounds the prefixes in a Catalog, at about 100 bytes each. With
// 1,100 organisations it allows 15 prefixes for each.
const maxCatalogEntries = 1 << 14

// Prefix is a prefix in the KV store. It is identified by the hash of its last block.
// The hash depends on organisation, model and version through the hashes of all blocks
// before it; in addition, the engine refuses an import whose salt differs.
type Prefix struct {
	Last prefix.Hash
	// Blocks is the length in blocks.
	Blocks int
}

// Catalog is the set of prefixes believed to be in the KV store. An entry may be
// stale, because the KV store evicts at any time; an import that finds nothing costs a
// round trip. It is safe for concurrent use.
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

// Add adds a prefix that expires at the given time. If the Catalog is full, it evicts
// the entry that expires first in a small sample.
func (c *Catalog) Add(p Prefix, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, exists := c.entries[p.Last]; !exists && len(c.entries) >= maxCatalogEntries {
		delete(c.entries, c.evictionCandidate())
	}
	c.entries[p.Last] = entry{p.Blocks, until}
}

// evictionCandidate returns the entry that expires first among the first few of the
// map's iteration order, which is good enough to evict old entries.
func (c *Catalog) evictionCandidate() prefix.Hash {
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

// Remove removes a prefix that is not in the KV store.
func (c *Catalog) Remove(last prefix.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, last)
}

// LongestPrefix returns the longest unexpired prefix of a prompt. chain is the hashes of
// the prompt's blocks.
func (c *Catalog) LongestPrefix(now time.Time, chain []prefix.Hash) (Prefix, bool) {
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

// Len returns the number of entries.
func (c *Catalog) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}
