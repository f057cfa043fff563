package inbound

import (
	"math/bits"
	"sync"
)

const (
	// minRecycled is the least capacity of memory that is recycled, maxRecycledBits the binary logarithm of the largest. Crowds of clients
	// would leave large pieces to the garbage collector faster than it runs.
	minRecycled     = 16 << 10
	maxRecycledBits = 26
)

// recycled has a pool for each power of two.
var recycled [maxRecycledBits + 1]sync.Pool

// roundUp returns the capacity to allocate for n bytes: a power of two if it is recycled.
func roundUp(n int) int {
	if n < minRecycled || n > 1<<maxRecycledBits {
		return n
	}
	return 1 << bits.Len(uint(n-1))
}

// allocate returns an empty slice with the given capacity.
func allocate(capacity int) []byte {
	if class := classOf(capacity); class >= 0 {
		if p, ok := recycled[class].Get().(*[]byte); ok {
			return (*p)[:0]
		}
	}
	return make([]byte, 0, capacity)
}

// recycle has memory used again to which nobody else refers.
func recycle(b []byte) {
	if class := classOf(cap(b)); class >= 0 {
		// Declared here, so that only what is recycled has its header on the heap.
		header := b
		recycled[class].Put(&header)
	}
}

// classOf returns the index in recycled of a capacity; negative if it has none.
func classOf(capacity int) int {
	if capacity < minRecycled || capacity > 1<<maxRecycledBits || capacity&(capacity-1) != 0 {
		return -1
	}
	return bits.Len(uint(capacity)) - 1
}
