package objectapi_test

import (
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against answers of the object API without end that use up the memory of the process: each is bounded, and several are received
// at once.
func TestAnswersOfTheObjectAPIWithoutEndAreBoundedInSum(t *testing.T) {
	const (
		// limit is twice what is received at a time, since the pieces of an answer are joined.
		limit    = 2 * 64 << 20
		parallel = 8
		lasts    = time.Second
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	x := strings.Repeat("x", 4096)
	for name, answer := range map[string]struct{ head, repeated string }{
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", x},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + x + "\r\n"},
	} {
		e, err := platformtest.NewEndlessEndpoint(answer.head, answer.repeated)
		if err != nil {
			t.Fatal(err)
		}
		c := objectapi.NewClient(objectapi.Config{Address: e.Address(), Instance: "entry-1", Timeout: lasts})
		peak := platformtest.HeapGrowth(lasts, func() {
			var wg sync.WaitGroup
			for range parallel {
				wg.Go(func() {
					if _, err := c.List(t.Context(), "records"); err == nil {
						t.Error("an answer without end was read as one")
					}
				})
			}
			wg.Wait()
		})
		e.Close()
		if t.Logf("%s: the heap grew by %d MB", name, peak>>20); peak > limit {
			t.Errorf("%s: the heap grew by %d MB, want at most %d", name, peak>>20, limit>>20)
		}
	}
}
