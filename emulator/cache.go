package emulator

import (
	"container/list"

	"github.com/sardinedock/sardinedock/prefix"
)

// blockCache is an engine's prefix cache: a bounded number of blocks with least-recently-used
// eviction. The engine's mutex guards it.
type blockCache struct {
	limit   int
	order   *list.List
	entries map[prefix.Hash]*list.Element
}

// cachedBlock records the salt, model and version for which a block was computed, so that a match
// under any other is detected.
type cachedBlock struct {
	hash    prefix.Hash
	salt    string
	model   string
	version string
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), entries: map[prefix.Hash]*list.Element{}}
}

// match returns the number of leading blocks that are cached, and how many of those were computed
// under another salt, model or version than origin's.
func (c *blockCache) match(blocks []prefix.Hash, origin cachedBlock) (depth, stale int) {
	for _, b := range blocks {
		element, ok := c.entries[b]
		if !ok {
			break
		}
		entry := element.Value.(cachedBlock)
		origin.hash = b
		if entry != origin {
			stale++
		}
		depth++
	}
	c.touch(blocks[:depth])
	return depth, stale
}

// touch marks blocks as the most recently used. The first block is touched last, so that the end of
// a prompt is evicted before its start.
func (c *blockCache) touch(blocks []prefix.Hash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.entries[blocks[i]]; ok {
			c.order.MoveToFront(element)
		}
	}
}

// insert adds blocks and returns those that are new and those that were evicted.
func (c *blockCache) insert(blocks []prefix.Hash, origin cachedBlock) (stored, evicted []prefix.Hash) {
	if len(blocks) > c.limit {
		blocks = blocks[:c.limit]
	}
	for _, b := range blocks {
		if _, ok := c.entries[b]; ok {
			continue
		}
		origin.hash = b
		c.entries[b] = c.order.PushFront(origin)
		stored = append(stored, b)
	}
	c.touch(blocks)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		hash := last.Value.(cachedBlock).hash
		c.order.Remove(last)
		delete(c.entries, hash)
		evicted = append(evicted, hash)
	}
	return stored, evicted
}

func (c *blockCache) free() int64 { return int64(c.limit - c.order.Len()) }
