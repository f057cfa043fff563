package lease

import (
	"strconv"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/objectapi"
)

// The holder loses its power right after it has renewed its lease. Until another
// instance takes it, nobody rolls out the weights that operators have named, and
// callers get answers of the old ones.
func TestLostHolderIsReplacedSoon(t *testing.T) {
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
				t.Errorf("taken over %v after the last renewal: the holder may still believe", took)
			}
			return
		}
	}
	t.Fatal("never taken over")
}
