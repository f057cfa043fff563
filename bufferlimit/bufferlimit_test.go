package bufferlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

const tick = 100 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// The load: 100 callers a tick stop reading, 1,000 in all, and 50 others go on to read. Guards against others being closed in place
// of those that have stopped.
func TestCallersThatStopReadingAreClosedAndOthersAreNot(t *testing.T) {
	const stopped, reading, bound, answer = 1000, 50, 36 << 20, 200 << 10
	table := NewTable(bound)
	for step := range int64(50) {
		now := start.Add(time.Duration(step) * tick)
		for id := uint64(step) * 100; id < min(uint64(step+1)*100, stopped); id++ {
			table.Observe(now, id, Observation{Held: answer / 2, Offered: answer / 2, MaxStall: 2 * time.Second})
		}
		for id := range uint64(reading) {
			table.Observe(now, stopped+id, Observation{Held: answer, Offered: (step + 1) * answer, Read: step * answer, MaxStall: 2 * time.Second})
		}
		for _, c := range table.Decide(now) {
			if c.ID >= stopped {
				t.Fatalf("step %d: caller %d that reads is closed: %+v", step, c.ID, c)
			}
		}
		if table.Held() > excess*bound || step > 1 && table.Held() > bound {
			t.Fatalf("step %d: %d bytes held, bound %d", step, table.Held(), bound)
		}
	}
	if v := table.View(start.Add(50 * tick)); v.Connections != reading {
		t.Errorf("%d connections are left, want the %d that read", v.Connections, reading)
	}
}

// Guards against closing a caller that reads slowly but steadily, or a stream that has little to send, while memory is free,
// and against keeping one that reads next to nothing.
func TestStall(t *testing.T) {
	const stall = 2 * time.Second
	tests := []struct {
		name string
		// offered and read are bytes at each tick.
		offered, read func(tick int64) int64
		closed        bool
	}{
		{"reads nothing", func(int64) int64 { return 1000 }, func(int64) int64 { return 0 }, true},
		{"reads a byte a tick", func(int64) int64 { return 10_000 }, func(n int64) int64 { return n }, true},
		{"reads above the minimum rate", func(int64) int64 { return 100_000 }, func(n int64) int64 { return n * (MinRate/10 + 2) }, false},
		{"reads all of a slow stream a tick late", func(n int64) int64 { return n + 1 }, func(n int64) int64 { return n }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(1 << 30)
			closed := time.Duration(0)
			for n := range int64(100) {
				now := start.Add(time.Duration(n) * tick)
				table.Observe(now, 1, Observation{Held: 5000, Offered: tt.offered(n), Read: tt.read(n), MaxStall: stall})
				if list := table.Decide(now); len(list) > 0 && closed == 0 {
					closed = now.Sub(start)
				}
			}
			if (closed > 0) != tt.closed || closed > 2*stall {
				t.Errorf("closed after %v, want closed: %v", closed, tt.closed)
			}
		})
	}
}

// Guards against wrong totals, and against a connection named that need not be closed, in any order of events.
func TestSumIsKeptUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 1000
		table, now := NewTable(bound), start
		held, began, read := map[uint64]int64{}, map[uint64]time.Time{}, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := rapid.Uint64Range(1, 8).Draw(t, "id")
			unread := rapid.Int64Range(0, 900).Draw(t, "unread")
			read += rapid.Int64Range(0, 5000).Draw(t, "read")
			table.Observe(now, id, Observation{Held: unread, Offered: read + unread, Read: read})
			if held[id] == 0 {
				began[id] = now
			}
			held[id] = unread
			before := table.Held()
			for _, c := range table.Decide(now) {
				if before <= bound || c.Held != held[c.ID] {
					t.Fatalf("%+v closed with %d held in all", c, before)
				}
				before -= c.Held
				held[c.ID] = 0
			}
			sum, old := int64(0), int64(0)
			for id, h := range held {
				sum += h
				if now.Sub(began[id]) >= Grace {
					old += h
				}
			}
			if table.Held() != sum || sum > bound && old > 0 || sum > excess*bound {
				t.Fatalf("%d held, counted %d, of which %d can be closed", table.Held(), sum, old)
			}
		}
	})
}
