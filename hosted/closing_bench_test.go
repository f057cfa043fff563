package hosted

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// BenchmarkClosing measures, as ms/closing, how long an instance takes after it aborts open
// requests until it has answered all their callers. This time has to be reserved at the end of the
// grace period.
func BenchmarkClosing(b *testing.B) {
	for _, open := range []int{0, 10, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			var took time.Duration
			for range b.N {
				took += measureShutdown(b, open)
			}
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms/closing")
		})
	}
}

// measureShutdown shuts an instance down with the given number of open requests, and returns the
// time from their abort to its end.
func measureShutdown(tb testing.TB, open int) time.Duration {
	f := newFixture(tb, 1)
	defer f.instances[0].Kill()
	release := make(chan struct{})
	defer close(release)
	e := f.endpoint("e1", "orders", func(*platformtest.Exchange) bool { <-release; return false })
	f.serve(1, func(r map[string]any) { r["routes"].([]any)[1].(map[string]any)["timeoutMs"] = 20000 })
	for n := range open {
		conn, err := net.Dial("tcp4", f.callers[0])
		if err != nil {
			tb.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: open-%d\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", deskHost, n, deskKey)
	}
	f.eventually("all requests at the endpoint", func() bool { return e.Served() == open })
	i := f.instances[0]
	began := time.Now()
	i.Shutdown()
	if open == 0 {
		return time.Since(began) - i.acceptPeriod()
	}
	return time.Since(began) - (i.grace() - shutdownMargin)
}
