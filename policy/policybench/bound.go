package main

import (
	"container/heap"
	"math"
	"time"
)

// bound is the least that any placement has to compute: all caches taken for
// one, which always drops what is used again last (Belady's rule), and no two
// endpoints ever hold the same block. The cached blocks of any placement are at
// most that many different ones, so none has more hits on the same requests.
type bound struct{ prompt, computed int64 }

func (b bound) hitRate() float64 { return 1 - float64(b.computed)/float64(b.prompt) }

// kept is a part in the cache; a part may be cut short.
type kept struct{ id, blocks, next int }

// farthest is a heap by next use; entries that were used since are stale.
type farthest []kept

func (f farthest) Len() int           { return len(f) }
func (f farthest) Less(i, j int) bool { return f[i].next > f[j].next }
func (f farthest) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *farthest) Push(x any)        { *f = append(*f, x.(kept)) }
func (f *farthest) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
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
	var order farthest
	held, size := map[int]kept{}, 0
	for _, r := range list {
		for _, p := range r.parts {
			was := held[p.id]
			if r.at >= from {
				b.prompt += int64(p.blocks) * blockTokens
				b.computed += int64(p.blocks-was.blocks) * blockTokens
			}
			uses[p.id] = uses[p.id][1:]
			next := math.MaxInt
			if len(uses[p.id]) > 0 {
				next = uses[p.id][0]
			}
			size += p.blocks - was.blocks
			held[p.id] = kept{p.id, p.blocks, next}
			heap.Push(&order, held[p.id])
		}
		for size > capacity {
			k := heap.Pop(&order).(kept)
			if now, ok := held[k.id]; !ok || now.next != k.next {
				continue
			}
			cut := min(held[k.id].blocks, size-capacity)
			size -= cut
			k.blocks = held[k.id].blocks - cut
			delete(held, k.id)
			if k.blocks > 0 {
				held[k.id] = k
				heap.Push(&order, k)
			}
		}
	}
	return b
}
