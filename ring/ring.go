// Package ring joins duties by bounded queues. What happens when a queue is
// full is chosen where the queue is made and counted when it happens.
package ring

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Ring is a bounded queue between the goroutines of two duties.
type Ring[T any] struct {
	ch      chan T
	dropped *metrics.Counter
}

// New returns a ring of the given size. The name labels its metrics.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{
		ch:      make(chan T, size),
		dropped: metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_ring_dropped_total{ring=%q}", name)),
	}
}

// Offer adds v, or refuses it and returns false when the ring is full: for
// work whose sender has a better answer than to wait.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Inc()
		return false
	}
}

// Push adds v and gives up the oldest entries when the ring is full: for
// reports of which only the newest matter. It never blocks. It returns how
// many entries it gave up.
func (r *Ring[T]) Push(v T) int {
	lost := 0
	for {
		select {
		case r.ch <- v:
			return lost
		default:
		}
		select {
		case <-r.ch:
			lost++
			r.dropped.Inc()
		default:
		}
	}
}

// Put adds v and blocks while the ring is full, until ctx ends: for work that
// must not be lost and whose sender is to be slowed down.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// C is the receiving end.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len is the number of entries now.
func (r *Ring[T]) Len() int { return len(r.ch) }
