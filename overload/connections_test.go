package overload

import (
	"slices"
	"testing"
	"time"
)

// Guards against a request that is lost for others, and against an ordinary new connection that is closed before an old one.
func TestGiveUpTakesWhatIsLeastMissed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ago := func(s Stage, d time.Duration) Connection { return Connection{Stage: s, Since: now.Add(-d)} }
	list := []Connection{
		ago(StageServed, time.Hour), ago(StageBody, time.Minute), ago(StageHead, 2*time.Second), ago(StageIdle, time.Millisecond),
		ago(StageIdle, 5*time.Second), ago(StageHead, 3*time.Second), ago(StageIdle, 9*time.Second), ago(-1, time.Hour),
	}
	want := []int{6, 4, 5, 2, 1, 3}
	for n := range len(list) + 1 {
		if got := GiveUp(now, list, n); !slices.Equal(got, want[:min(n, len(want))]) {
			t.Errorf("%d of them: %v, want the first of %v", n, got, want)
		}
	}
}
