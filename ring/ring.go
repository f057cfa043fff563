// Package ring provides bounded queues between goroutines. The sender chooses what happens
// when a queue is full; entries that are refused or dropped are counted.
package ring

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Ring is a bounded queue between goroutines.
type Ring[T any] struct {
	ch      chan T
	dropped *metrics.Counter
}

// New returns a ring of the given size. name is the label of its metrics.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{
		ch:      make(chan T, size),
		dropped: metrics.GetOrCreateCounter(fmt.Sprintf("sardinedock_ring_dropped_total{ring=%q}", name)),
	}
}

// Offer adds v, or returns false if the ring is full. It is meant for work whose sender has
// a better alternative than to wait.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Inc()
		return false
	}
}

// Push adds v and drops the oldest entries if the ring is full. It never blocks, and returns
// the number of entries dropped. It is meant for reports of which only the newest matter.
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

// Put adds v and blocks while the ring is full, or until ctx ends; then it returns the
// cause. It is meant for work that must not be lost and whose sender should be slowed down.
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

// C returns the receiving end.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the current number of entries.
func (r *Ring[T]) Len() int { return len(r.ch) }
