package claim

import (
	"testing"
	"time"
)

// FuzzShard checks that no stored value makes decoding panic, and that encoding and decoding a
// shard loses no claim.
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
