package main

import (
	"container/heap"
	"math"
	"time"
)

// bound is a lower limit for the tokens that any placement has to compute: the caches of all
// endpoints are treated as one that always evicts the block that is reused last (Belady's
// algorithm), and no two endpoints hold the same block. Any placement has at most that many
// different blocks cached, so none has more hits for the same requests.
type bound struct{ prompt, computed int64 }

func (b bound) hitRate() float64 { return 1 - float64(b.computed)/float64(b.prompt) }

// cachedPart is a part in the cache; its end may have been evicted.
type cachedPart struct{ id, blocks, next int }

// byNextUse is a heap of cached parts, the one reused last first. Entries for parts that were used
// since are stale.
type byNextUse []cachedPart

func (h byNextUse) Len() int           { return len(h) }
func (h byNextUse) Less(i, j int) bool { return h[i].next > h[j].next }
func (h byNextUse) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byNextUse) Push(x any)        { *h = append(*h, x.(cachedPart)) }
func (h *byNextUse) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func computeBound(list []*request, capacity int, from time.Duration) bound {
	uses := map[int][]int{}
	for i, r := range list {
		for _, p := range r.parts {
			uses[p.id] = append(uses[p.id], i)
		}
	}
	var b bound
	var order byNextUse
	cache, size := map[int]cachedPart{}, 0
	for _, r := range list {
		for _, p := range r.parts {
			old := cache[p.id]
			if r.at >= from {
				b.prompt += int64(p.blocks) * blockTokens
				b.computed += int64(p.blocks-old.blocks) * blockTokens
			}
			uses[p.id] = uses[p.id][1:]
			next := math.MaxInt
			if len(uses[p.id]) > 0 {
				next = uses[p.id][0]
			}
			size += p.blocks - old.blocks
			cache[p.id] = cachedPart{p.id, p.blocks, next}
			heap.Push(&order, cache[p.id])
		}
		for size > capacity {
			k := heap.Pop(&order).(cachedPart)
			if now, ok := cache[k.id]; !ok || now.next != k.next {
				continue
			}
			cut := min(cache[k.id].blocks, size-capacity)
			size -= cut
			k.blocks = cache[k.id].blocks - cut
			delete(cache, k.id)
			if k.blocks > 0 {
				cache[k.id] = k
				heap.Push(&order, k)
			}
		}
	}
	return b
}
