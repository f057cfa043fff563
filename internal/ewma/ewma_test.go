package ewma

import (
	"math"
	"testing"
)

// Guards against an average that begins at 0, or that does not follow its values.
func TestAverageFollowsItsValues(t *testing.T) {
	var a Average
	for k, want := range []float64{4, 6, 8} {
		a.Add([]float64{4, 8, 12}[k], 0.1)
		if math.Abs(a.Value-want) > 1e-9 || a.N != k+1 {
			t.Errorf("%+v after %d values, want their mean %v", a, k+1, want)
		}
	}
	for range 100 {
		a.Add(100, 0.1)
	}
	if math.Abs(a.Value-100) > 0.01 {
		t.Errorf("%v after 100 values of 100", a.Value)
	}
}
