package owner

import (
	"encoding/binary"

	"github.com/sardinedock/sardinedock/prefix"
)

const (
	// blockBytes is the memory per cached block: its entry and its part of the index.
	blockBytes = 40
	// MaxCacheModelBytes is the maximum size of one endpoint's cache model. For an engine
	// with a larger cache the model holds the most recently used blocks.
	MaxCacheModelBytes = 4 << 20
	noBlock            = int32(-1)
)

// blockKey is the first half of a block's hash, which is enough for the model. Hashes are
// chained from a salt per organisation, model and version, and a collision of 64 bits only
// causes one wrong estimate of what is cached, never a wrong response: the engine compares
// all 128 bits.
type blockKey uint64

func keyOf(h prefix.Hash) blockKey { return blockKey(binary.LittleEndian.Uint64(h[:8])) }

type cachedBlock struct {
	key        blockKey
	prev, next int32
	epoch      uint32
}

// cacheModel models an engine's KV cache as a list of blocks in the order of last use. It
// is approximate: the engine evicts by its own rules, and its events arrive late and with
// gaps. A gap shows in the sequence numbers and makes all earlier blocks uncertain, since
// an eviction may be among the lost events. A block that is used after the gap is certain
// again.
type cacheModel struct {
	index    blockIndex
	blocks   []cachedBlock
	free     int32
	newest   int32
	oldest   int32
	capacity int
	epoch    uint32
	seq      uint64
}

func newCacheModel(cacheBlocks int64) *cacheModel {
	k := &cacheModel{capacity: int(min(max(cacheBlocks, 1), MaxCacheModelBytes/blockBytes))}
	k.clear()
	return k
}

// clear removes all blocks.
func (k *cacheModel) clear() {
	k.index = blockIndex{}
	k.blocks = k.blocks[:0]
	k.free, k.newest, k.oldest = noBlock, noBlock, noBlock
}

// markUncertain makes all blocks uncertain.
func (k *cacheModel) markUncertain() { k.epoch++ }

// knownBlocks returns how many leading blocks are in the model, and how many of these are
// certain.
func (k *cacheModel) knownBlocks(chain []prefix.Hash) (known, certain int) {
	for _, h := range chain {
		i, ok := k.index.find(k.blocks, keyOf(h))
		if !ok {
			break
		}
		if certain == known && k.blocks[i].epoch == k.epoch {
			certain++
		}
		known++
	}
	return known, certain
}

// use records that a request computed the chain, so its blocks are cached now. The first
// blocks become the most recently used, since engines evict a chain from its end.
func (k *cacheModel) use(chain []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		k.touch(keyOf(chain[i]))
	}
}

func (k *cacheModel) touch(key blockKey) {
	i, ok := k.index.find(k.blocks, key)
	if ok {
		k.unlink(i)
	} else {
		i = k.allocate()
		k.blocks[i].key = key
		k.index.add(k.blocks, i)
	}
	b := &k.blocks[i]
	b.epoch = k.epoch
	b.prev, b.next = noBlock, k.newest
	if k.newest != noBlock {
		k.blocks[k.newest].prev = i
	}
	k.newest = i
	if k.oldest == noBlock {
		k.oldest = i
	}
}

// allocate returns a free entry, evicting the oldest block if the model is full.
func (k *cacheModel) allocate() int32 {
	if k.index.length >= k.capacity {
		k.forget(k.blocks[k.oldest].key)
	}
	if k.free != noBlock {
		i := k.free
		k.free = k.blocks[i].next
		return i
	}
	k.blocks = append(k.blocks, cachedBlock{})
	return int32(len(k.blocks) - 1)
}

func (k *cacheModel) unlink(i int32) {
	b := k.blocks[i]
	if b.prev != noBlock {
		k.blocks[b.prev].next = b.next
	} else {
		k.newest = b.next
	}
	if b.next != noBlock {
		k.blocks[b.next].prev = b.prev
	} else {
		k.oldest = b.prev
	}
}

// forget removes one block.
func (k *cacheModel) forget(key blockKey) {
	i, ok := k.index.find(k.blocks, key)
	if !ok {
		return
	}
	k.unlink(i)
	k.index.remove(k.blocks, key)
	k.blocks[i].next = k.free
	k.free = i
}

// event applies one event of the engine. It reports whether events before it were lost.
func (k *cacheModel) event(ev CacheEvent) bool {
	gap := k.seq != 0 && ev.Seq > k.seq+1
	if ev.Seq <= k.seq {
		return false
	}
	k.seq = ev.Seq
	if gap {
		k.markUncertain()
	}
	k.apply(ev)
	return gap
}

func (k *cacheModel) apply(ev CacheEvent) {
	switch ev.Op {
	case CacheClear:
		k.clear()
	case CacheStore:
		k.use(ev.Blocks)
	case CacheEvict:
		for _, h := range ev.Blocks {
			k.forget(keyOf(h))
		}
	}
}
