package owner

import (
	"slices"
	"strings"
)

// waiter is an ask that is queued for a slot.
type waiter struct {
	ask Ask
	// tokens is the number of uncached tokens when the ask was queued; rank follows from
	// it.
	tokens int64
	rank   rank
}

// orgQueue is the queue of one organisation.
type orgQueue struct {
	organisation string
	weight       float64
	// finish is the virtual time up to which the organisation has been served.
	finish  float64
	waiters []*waiter
	work    work
}

// work is the sum of queued requests and their uncached tokens.
type work struct {
	requests int
	// tokens to compute, by rank.
	tokens [rankCount]int64
}

func (w *work) add(r rank, tokens int64) {
	w.requests++
	w.tokens[r] += tokens
}

func (w *work) remove(r rank, tokens int64) {
	w.requests--
	w.tokens[r] -= tokens
}

// upTo returns the tokens of all ranks up to and including r.
func (w work) upTo(r rank) int64 {
	sum := int64(0)
	for i := rankUrgent; i <= r; i++ {
		sum += w.tokens[i]
	}
	return sum
}

// fairQueue shares one endpoint among organisations by weight. It is start-time fair
// queueing (SFQ) over the endpoint time that each request is charged for.
//
// In a single FIFO, a small organisation's request would wait behind thousands of others
// when one large organisation's burst fills the queue. Here it starts after at most one
// request of each other organisation, as far as its own share allows. An idle organisation
// accumulates no credit. Queues of idle organisations are dropped once the virtual time has
// passed their finish time, so that only recently served organisations take memory.
type fairQueue struct {
	queues      map[string]*orgQueue
	virtualTime float64
	length      int
	work        work
}

func newFairQueue() *fairQueue { return &fairQueue{queues: map[string]*orgQueue{}} }

func (q *fairQueue) orgQueue(organisation string, weight float64) *orgQueue {
	l, ok := q.queues[organisation]
	if !ok {
		l = &orgQueue{organisation: organisation, finish: q.virtualTime}
		q.queues[organisation] = l
	}
	if weight <= 0 {
		weight = 1
	}
	l.weight = weight
	return l
}

// push appends a waiter to its organisation's queue.
func (q *fairQueue) push(w *waiter) {
	l := q.orgQueue(w.ask.Organisation, w.ask.Weight)
	l.waiters = append(l.waiters, w)
	l.work.add(w.rank, w.tokens)
	q.work.add(w.rank, w.tokens)
	q.length++
}

// pick returns the next waiter in fair order among those whose rank is allowed, or nil.
// Ties are broken by the organisation's name, so that equal states give equal decisions.
func (q *fairQueue) pick(allowed func(rank) bool) *waiter {
	var best *orgQueue
	var first *waiter
	for _, l := range q.queues {
		if best != nil && !q.less(l, best) {
			continue
		}
		if w := l.first(allowed); w != nil {
			best, first = l, w
		}
	}
	return first
}

func (l *orgQueue) first(allowed func(rank) bool) *waiter {
	for _, w := range l.waiters {
		if allowed(w.rank) {
			return w
		}
	}
	return nil
}

func (q *fairQueue) less(a, b *orgQueue) bool {
	sa, sb := max(a.finish, q.virtualTime), max(b.finish, q.virtualTime)
	if sa != sb {
		return sa < sb
	}
	return a.organisation < b.organisation
}

// charge charges an organisation for served time, whether the request was queued or not.
func (q *fairQueue) charge(organisation string, weight, cost float64) {
	l := q.orgQueue(organisation, weight)
	start := max(l.finish, q.virtualTime)
	l.finish = start + cost/l.weight
	if q.length > 0 {
		q.virtualTime = max(q.virtualTime, start)
	} else {
		q.virtualTime = l.finish
	}
	q.prune()
}

// prune drops the queues of organisations that have no waiter and whose finish time the
// virtual time has reached.
func (q *fairQueue) prune() {
	for name, l := range q.queues {
		if len(l.waiters) == 0 && l.finish <= q.virtualTime {
			delete(q.queues, name)
		}
	}
}

// remove removes a waiter and reports whether it was queued.
func (q *fairQueue) remove(w *waiter) bool {
	l := q.queues[w.ask.Organisation]
	if l == nil {
		return false
	}
	for i, x := range l.waiters {
		if x == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			l.work.remove(w.rank, w.tokens)
			q.work.remove(w.rank, w.tokens)
			q.length--
			return true
		}
	}
	return false
}

// ahead returns the requests and tokens that are served before a request of the rank queued
// behind own, the work of its organisation: that work, and of each other organisation at
// most its share by weight.
func (q *fairQueue) ahead(organisation string, weight float64, r rank, own work) (int, int64) {
	if weight <= 0 {
		weight = 1
	}
	count, sum := own.requests, own.upTo(r)
	for name, l := range q.queues {
		if name == organisation || len(l.waiters) == 0 {
			continue
		}
		share := l.weight / weight
		count += min(l.work.requests, int(float64(own.requests+1)*share+0.5))
		sum += min(l.work.upTo(r), int64(float64(own.upTo(r))*share)+l.waiters[0].tokens)
	}
	return count, sum
}

// sorted returns the organisations' queues sorted by name.
func (q *fairQueue) sorted() []*orgQueue {
	list := make([]*orgQueue, 0, len(q.queues))
	for _, l := range q.queues {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *orgQueue) int { return strings.Compare(a.organisation, b.organisation) })
	return list
}
