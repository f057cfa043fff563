// Package ewma calculates exponentially weighted moving averages.
package ewma

// Average is an exponentially weighted average. The zero value is that of no values.
type Average struct {
	Value float64
	// N is the number of values.
	N int
}

// Add adds a value with a weight from 0 to 1. The first ones count equally, so that the average does not begin at 0.
func (a *Average) Add(value, weight float64) {
	a.N++
	a.Value += max(weight, 1/float64(a.N)) * (value - a.Value)
}
