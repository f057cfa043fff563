package claim

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkShard measures committing one claim to a shard of a given size: decoding it, adding
// the claim and encoding it.
func BenchmarkShard(b *testing.B) {
	for _, entries := range []int{100, 1000} {
		b.Run(fmt.Sprint(entries, "claims"), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			t, _ := parseTable(nil)
			for n := range entries {
				r := Request{Key: NewKey("accra-central", fmt.Sprint(n)), Attempt: "req-0123456789abcdef01234567", Timeout: time.Minute}
				_, _, _ = t.take(r, now)
				t.finish(r.Key, r.Attempt, Answer{Status: 200, ContentType: "text/plain", Body: []byte("POST /dispatch/7 0123456789abcdef"), Kept: true, Endpoint: "ordering-1"})
			}
			value, _ := t.encode()
			b.ReportMetric(float64(len(value))/float64(entries), "bytes/claim")
			for n := range b.N {
				t, _ := parseTable(value)
				t.expire(now)
				_, _, _ = t.take(Request{Key: NewKey("tema", fmt.Sprint(n)), Attempt: "a"}, now)
				_, _ = t.encode()
			}
		})
	}
}
