package main

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

// chunk is the number of tokens an engine computes before it checks for more urgent work, as
// engines with chunked prefill do.
const chunk = 512

// event is a function to run at a point in virtual time. Events with the same time run in the
// order they were created.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// timeline is a discrete-event scheduler with virtual time.
type timeline struct {
	now    time.Duration
	seq    int
	events events
}

func (t *timeline) after(d time.Duration, run func()) {
	t.seq++
	heap.Push(&t.events, event{t.now + d, t.seq, run})
}

func (t *timeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

// lru models an engine's block cache.
type lru struct {
	size  int
	index map[prefix.Hash]*list.Element
	order *list.List
}

func newLRU(size int) *lru {
	return &lru{size, make(map[prefix.Hash]*list.Element, size), list.New()}
}

func (c *lru) depth(chain []prefix.Hash) int {
	for i, h := range chain {
		if c.index[h] == nil {
			return i
		}
	}
	return len(chain)
}

func (c *lru) use(chain []prefix.Hash) {
	for _, h := range slices.Backward(chain) {
		if e := c.index[h]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.index[h] = c.order.PushFront(h)
		if c.order.Len() > c.size {
			delete(c.index, c.order.Remove(c.order.Back()).(prefix.Hash))
		}
	}
}

// engine models an endpoint. It has a number of slots, computes one prefill at a time, the most
// urgent first, and decodes all its requests at the same rate.
type engine struct {
	s       *scenario
	t       *timeline
	cache   *lru
	queue   []*request
	prefill []*job
	used    int
	busy    bool
	slow    float64
	paused  bool
	onFirst func(*request)
	onDone  func(*request)
}

type job struct {
	r    *request
	left int64
}

// insert inserts x into q, which is ordered by priority and then by arrival.
func insert[T any](q []T, x T, priority func(T) int) []T {
	i := len(q)
	for i > 0 && priority(x) < priority(q[i-1]) {
		i--
	}
	return slices.Insert(q, i, x)
}

func (e *engine) send(r *request) {
	r.sent = e.t.now
	e.queue = insert(e.queue, r, func(r *request) int { return r.priority })
	e.admit()
}

func (e *engine) load() int { return e.used + len(e.queue) }

func (e *engine) admit() {
	for e.used < e.s.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.used++
		e.prefill = insert(e.prefill, &job{r, -1}, func(j *job) int { return j.r.priority })
	}
	e.step()
}

// step computes one chunk of the first prompt.
func (e *engine) step() {
	if e.busy || e.paused || len(e.prefill) == 0 {
		return
	}
	j := e.prefill[0]
	if j.left < 0 {
		depth := min(e.cache.depth(j.r.chain), len(j.r.chain)-1)
		j.r.started, j.r.cached = e.t.now, depth*blockTokens
		j.left = j.r.tokens - int64(j.r.cached)
	}
	tokens := min(j.left, chunk)
	j.left -= tokens
	e.busy = true
	e.t.after(time.Duration(float64(tokens)/e.s.prefillRate*e.slow*1e9), func() {
		e.busy = false
		if j.left == 0 {
			e.prefill = slices.DeleteFunc(e.prefill, func(x *job) bool { return x == j })
			e.begin(j.r)
		}
		e.step()
	})
}

func (e *engine) begin(r *request) {
	e.cache.use(r.chain)
	r.first = e.t.now
	e.onFirst(r)
	e.t.after(time.Duration(r.output)*e.s.tokenTime, func() {
		r.finished = e.t.now
		e.used--
		e.onDone(r)
		e.admit()
	})
}
