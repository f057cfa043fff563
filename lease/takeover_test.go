package lease

import (
	"strconv"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/objectapi"
)

// Guards against a late takeover when the holder loses power right after it renewed its
// lease. Until another instance takes over, the weights that operators have requested are
// not rolled out, and callers get answers from the old ones.
func TestCrashedHolderIsReplacedInTime(t *testing.T) {
	const length, renewed = 3 * time.Second, 5 * time.Second
	start := time.Unix(1000, 0)
	attempts := 0
	m := NewMachine(length, func() string { attempts++; return strconv.Itoa(attempts) })
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		switch s := m.Next(now); s.Kind {
		case StepRead:
			version := 1 + objectapi.Version(min(elapsed, renewed)/time.Second)
			m.Observed(now, objectapi.Object{Version: version, Attempt: "other"}, Value{Holder: "other"})
		case StepWrite:
			if took := elapsed - renewed; took > length+length/4 {
				t.Errorf("taken over %v after the last renewal, with a lease of %v", took, length)
			} else if took < length {
				t.Errorf("taken over %v after the last renewal, while the holder may still rely on it", took)
			}
			return
		}
	}
	t.Fatal("never taken over")
}
