package owner

import "math/bits"

// blockIndex maps keys to indexes of blocks. It is a hash table with linear probing, at
// most three quarters full. It takes four to eleven bytes per block where a Go map takes
// about fifty, and an owner in the largest fleet has a million blocks.
type blockIndex struct {
	// slots contain the block's index plus one; 0 marks an empty slot.
	slots  []int32
	length int
}

const minIndexSlots = 64

// home is the slot at which the search for a key begins. Keys are hashes already; the
// multiplication only guards against an uneven distribution of the bits used.
func (x *blockIndex) home(key blockKey) int {
	shift := 64 - bits.Len(uint(len(x.slots)-1))
	return int(uint64(key) * 0x9e3779b97f4a7c15 >> shift)
}

// find returns the index of a key's block.
func (x *blockIndex) find(blocks []cachedBlock, key blockKey) (int32, bool) {
	if x.length == 0 {
		return noBlock, false
	}
	mask := len(x.slots) - 1
	for i := x.home(key); x.slots[i] != 0; i = (i + 1) & mask {
		if index := x.slots[i] - 1; blocks[index].key == key {
			return index, true
		}
	}
	return noBlock, false
}

// add inserts a block whose key is not in the index.
func (x *blockIndex) add(blocks []cachedBlock, index int32) {
	if (x.length+1)*4 > len(x.slots)*3 {
		x.grow(blocks)
	}
	x.put(blocks[index].key, index)
	x.length++
}

func (x *blockIndex) put(key blockKey, index int32) {
	mask := len(x.slots) - 1
	i := x.home(key)
	for x.slots[i] != 0 {
		i = (i + 1) & mask
	}
	x.slots[i] = index + 1
}

func (x *blockIndex) grow(blocks []cachedBlock) {
	oldSlots := x.slots
	x.slots = make([]int32, max(2*len(oldSlots), minIndexSlots))
	for _, p := range oldSlots {
		if p != 0 {
			x.put(blocks[p-1].key, p-1)
		}
	}
}

// remove deletes a key that is in the index, and moves later entries of its probe sequence
// up to close the gap.
func (x *blockIndex) remove(blocks []cachedBlock, key blockKey) {
	mask := len(x.slots) - 1
	gap := x.home(key)
	for blocks[x.slots[gap]-1].key != key {
		gap = (gap + 1) & mask
	}
	for i := (gap + 1) & mask; x.slots[i] != 0; i = (i + 1) & mask {
		home := x.home(blocks[x.slots[i]-1].key)
		if (i-home)&mask >= (i-gap)&mask {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
	x.length--
}
