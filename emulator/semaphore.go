package emulator

import (
	"container/heap"
	"sync"
)

// semaphore grants slots by priority, lower values first, then by arrival.
type semaphore struct {
	mu      sync.Mutex
	free    int
	seq     uint64
	waiters waiterHeap
}

type waiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	index    int
}

func newSemaphore(slots int) *semaphore { return &semaphore{free: slots} }

// acquire waits for a slot until done is closed. It reports whether it got one.
func (s *semaphore) acquire(priority int, done <-chan struct{}) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	s.seq++
	w := &waiter{priority: priority, seq: s.seq, ready: make(chan struct{})}
	heap.Push(&s.waiters, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-done:
	}
	s.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&s.waiters, w.index)
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	s.release()
	return false
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.waiters).(*waiter).ready)
}

type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
