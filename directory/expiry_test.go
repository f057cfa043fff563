package directory

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/logline/logtest"
)

// Guards against one log line for each of the thousands of entries that expire in one
// outage.
func TestHeldRemovalsShareALogLine(t *testing.T) {
	lines := logtest.Record(t)
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		const entries = 300
		for n := range entries {
			s.put(strconv.Itoa(n))
		}
		follow(t, s, time.Second)
		time.Sleep(time.Second)
		s.setDown(true)
		time.Sleep(4 * time.Second)
		for n := range entries {
			s.remove(strconv.Itoa(n))
		}
		s.setDown(false)
		time.Sleep(time.Second)
	})
	held := 0
	for _, l := range lines.All() {
		if count, ok := l.Fields["count"].(int); ok {
			held += count
		}
	}
	if n := len(lines.All()); held != 300 || n > 10 {
		t.Errorf("%d lines name %d held removals, want 300 in a few lines", n, held)
	}
}
