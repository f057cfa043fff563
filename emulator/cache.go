package emulator

import (
	"container/list"

	"github.com/sardinedock/sardinedock/prefix"
)

// blockCache is an engine's prefix cache: a bounded number of blocks, of which
// the least recently used goes first. The engine's mutex guards it.
type blockCache struct {
	limit   int
	order   *list.List
	entries map[prefix.Hash]*list.Element
}

// cachedBlock remembers under what a block was computed, so that any use under
// something else is noticed.
type cachedBlock struct {
	hash    prefix.Hash
	salt    string
	model   string
	version string
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), entries: map[prefix.Hash]*list.Element{}}
}

// match returns how many of the blocks are cached from the first one on, and
// how many of those were computed under another salt or version.
func (c *blockCache) match(blocks []prefix.Hash, like cachedBlock) (depth, stale int) {
	for _, b := range blocks {
		element, ok := c.entries[b]
		if !ok {
			break
		}
		entry := element.Value.(cachedBlock)
		like.hash = b
		if entry != like {
			stale++
		}
		depth++
	}
	c.touch(blocks[:depth])
	return depth, stale
}

// touch makes blocks the most recent ones. The first block comes last, so that
// the end of a prompt goes before its start.
func (c *blockCache) touch(blocks []prefix.Hash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.entries[blocks[i]]; ok {
			c.order.MoveToFront(element)
		}
	}
}

// insert adds blocks and returns those that were new and those that went.
func (c *blockCache) insert(blocks []prefix.Hash, like cachedBlock) (stored, evicted []prefix.Hash) {
	if len(blocks) > c.limit {
		blocks = blocks[:c.limit]
	}
	for _, b := range blocks {
		if _, ok := c.entries[b]; ok {
			continue
		}
		like.hash = b
		c.entries[b] = c.order.PushFront(like)
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
