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
	m := &cacheModel{capacity: int(min(max(cacheBlocks, 1), MaxCacheModelBytes/blockBytes))}
	m.clear()
	return m
}

// clear removes all blocks.
func (m *cacheModel) clear() {
	m.index = blockIndex{}
	m.blocks = m.blocks[:0]
	m.free, m.newest, m.oldest = noBlock, noBlock, noBlock
}

// markUncertain makes all blocks uncertain.
func (m *cacheModel) markUncertain() { m.epoch++ }

// knownBlocks returns how many leading blocks are in the model, and how many of these are
// certain.
func (m *cacheModel) knownBlocks(chain []prefix.Hash) (known, certain int) {
	for _, h := range chain {
		i, ok := m.index.find(m.blocks, keyOf(h))
		if !ok {
			break
		}
		if certain == known && m.blocks[i].epoch == m.epoch {
			certain++
		}
		known++
	}
	return known, certain
}

// use records that a request computed the chain, so its blocks are cached now. The first
// blocks become the most recently used, since engines evict a chain from its end.
func (m *cacheModel) use(chain []prefix.Hash) {
	for i := len(chain) - 1; i >= 0; i-- {
		m.touch(keyOf(chain[i]))
	}
}

func (m *cacheModel) touch(key blockKey) {
	i, ok := m.index.find(m.blocks, key)
	if ok {
		m.unlink(i)
	} else {
		i = m.allocate()
		m.blocks[i].key = key
		m.index.add(m.blocks, i)
	}
	b := &m.blocks[i]
	b.epoch = m.epoch
	b.prev, b.next = noBlock, m.newest
	if m.newest != noBlock {
		m.blocks[m.newest].prev = i
	}
	m.newest = i
	if m.oldest == noBlock {
		m.oldest = i
	}
}

// allocate returns a free entry, evicting the oldest block if the model is full.
func (m *cacheModel) allocate() int32 {
	if m.index.length >= m.capacity {
		m.forget(m.blocks[m.oldest].key)
	}
	if m.free != noBlock {
		i := m.free
		m.free = m.blocks[i].next
		return i
	}
	m.blocks = append(m.blocks, cachedBlock{})
	return int32(len(m.blocks) - 1)
}

func (m *cacheModel) unlink(i int32) {
	b := m.blocks[i]
	if b.prev != noBlock {
		m.blocks[b.prev].next = b.next
	} else {
		m.newest = b.next
	}
	if b.next != noBlock {
		m.blocks[b.next].prev = b.prev
	} else {
		m.oldest = b.prev
	}
}

// forget removes one block.
func (m *cacheModel) forget(key blockKey) {
	i, ok := m.index.find(m.blocks, key)
	if !ok {
		return
	}
	m.unlink(i)
	m.index.remove(m.blocks, key)
	m.blocks[i].next = m.free
	m.free = i
}

// event applies one event of the engine. It reports whether events before it were lost.
func (m *cacheModel) event(ev CacheEvent) bool {
	gap := m.seq != 0 && ev.Seq > m.seq+1
	if ev.Seq <= m.seq {
		return false
	}
	m.seq = ev.Seq
	if gap {
		m.markUncertain()
	}
	m.apply(ev)
	return gap
}

func (m *cacheModel) apply(ev CacheEvent) {
	switch ev.Op {
	case CacheClear:
		m.clear()
	case CacheStore:
		m.use(ev.Blocks)
	case CacheEvict:
		for _, h := range ev.Blocks {
			m.forget(keyOf(h))
		}
	}
}
