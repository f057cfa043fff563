package endpoint_test

import (
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against a pause in the head that counts twice: reading goes on after the time-out of a read.
func TestPauseInAHeadEndsAtTheTimeout(t *testing.T) {
	const silence, pause = 600 * time.Millisecond, 900 * time.Millisecond
	heads := platformtest.Heads("")
	var wg sync.WaitGroup
	for _, name := range []string{"length 0", "HTTP/1.0", "204", "no fields"} {
		for at := range len(heads[name]) {
			wg.Go(func() {
				e, err := platformtest.NewEndpoint("e", func(x *platformtest.Exchange) bool {
					x.Write("%s", heads[name][:at])
					_ = x.CallerClosed(pause)
					x.Write("%s", heads[name][at:])
					return false
				})
				if err != nil {
					t.Error(err)
					return
				}
				defer e.Close()
				c := endpoint.NewClient(e.Address(), dialTimeout, silence)
				defer c.Close()
				if err := c.Cancel(t.Context(), "r"); !fault.Is(err, fault.Broken) || !endpoint.IsTimeout(err) {
					t.Errorf("%s after %d bytes: %v, want a time-out", name, at, err)
				}
			})
		}
	}
	wg.Wait()
}
