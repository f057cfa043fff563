package claim

import (
	"testing"
	"time"
)

// Whatever stands in a shard, reading it must not fail in a crash, and what is
// written back must hold every claim that was read.
func FuzzShard(f *testing.F) {
	t := &table{}
	t, _ = parseTable(nil)
	_, _, _ = t.take(Request{Key: NewKey("o", "k"), Attempt: "a"}, time.Unix(1, 0))
	t.finish(NewKey("o", "k"), "a", Answer{Status: 200, Body: []byte("x"), Kept: true})
	value, _ := t.encode()
	f.Add(value)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		first, err := parseTable(value)
		if err != nil {
			return
		}
		again, err := first.encode()
		if err != nil {
			t.Skip()
		}
		second, err := parseTable(again)
		if err != nil {
			t.Fatal(err)
		}
		if len(second.byKey) != len(first.byKey) || second.size != first.size {
			t.Fatalf("%d claims of %d bytes became %d of %d", len(first.byKey), first.size, len(second.byKey), second.size)
		}
	})
}
