package owner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Organisations with different weights and request sizes are all backlogged. Each must get
// its share of the endpoint's time, to within one request of each, however much another has
// queued.
func TestOrganisationsAreServedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue()
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		weight, cost, served := make([]float64, n), make([]float64, n), make([]float64, n)
		next := 0
		push := func(o int) {
			next++
			a := ask(fmt.Sprint(next), fmt.Sprint(o), false, nil)
			a.Weight = weight[o]
			q.push(&waiter{ask: a, tokens: int64(cost[o]), rank: rankShort})
		}
		for o := range n {
			weight[o] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			cost[o] = rapid.Float64Range(1, 100).Draw(t, "cost")
			for range rapid.IntRange(1, 20).Draw(t, "waiting") {
				push(o)
			}
		}
		for range 400 {
			w := q.pick(func(rank) bool { return true })
			var o int
			_, _ = fmt.Sscan(w.ask.Organisation, &o)
			q.remove(w)
			q.charge(w.ask.Organisation, w.ask.Weight, cost[o])
			served[o] += cost[o]
			push(o)
		}
		for a := range n {
			for b := range n {
				if ahead := served[a]/weight[a] - served[b]/weight[b]; ahead > cost[a]/weight[a]+cost[b]/weight[b]+1e-6 {
					t.Fatalf("organisation %d got %.1f for weight %.2f, %d got %.1f for %.2f", a, served[a], weight[a], b, served[b], weight[b])
				}
			}
		}
	})
}
