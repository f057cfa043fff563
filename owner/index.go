package owner

import "math/bits"

// blockIndex finds blocks by key: a table of places with linear probing, at
// most three quarters full. It takes four to eleven bytes a block where a Go
// map takes some fifty, and an owner at the largest size holds a million.
type blockIndex struct {
	// places hold a block's place plus one; 0 is empty.
	slots  []int32
	length int
}

const minIndexSlots = 64

// home is where the search for a key begins. Keys are hashes already; the
// multiplication only guards against a bad choice of their bits.
func (x *blockIndex) home(key blockKey) int {
	shift := 64 - bits.Len(uint(len(x.slots)-1))
	return int(uint64(key) * 0x9e3779b97f4a7c15 >> shift)
}

// find returns the place of a key among the blocks.
func (x *blockIndex) find(blocks []cachedBlock, key blockKey) (int32, bool) {
	if x.length == 0 {
		return noBlock, false
	}
	mask := len(x.slots) - 1
	for i := x.home(key); x.slots[i] != 0; i = (i + 1) & mask {
		if place := x.slots[i] - 1; blocks[place].key == key {
			return place, true
		}
	}
	return noBlock, false
}

// add enters a key that is not there.
func (x *blockIndex) add(blocks []cachedBlock, place int32) {
	if (x.length+1)*4 > len(x.slots)*3 {
		x.grow(blocks)
	}
	x.put(blocks[place].key, place)
	x.length++
}

func (x *blockIndex) put(key blockKey, place int32) {
	mask := len(x.slots) - 1
	i := x.home(key)
	for x.slots[i] != 0 {
		i = (i + 1) & mask
	}
	x.slots[i] = place + 1
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

// remove takes a key out and moves up what had to go further for it.
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
