package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkRequest measures requests on a kept connection through one instance, with its endpoint and its caller in this process.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b, 1)
	f.endpoint("orders-1", "orders", ok)
	f.serve(1, nil)
	for _, size := range []int{0, 300, 20_000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			conn, err := net.Dial("tcp4", f.callers[0])
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			body := strings.Repeat("b", size)
			var resp fasthttp.Response
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				_, err := fmt.Fprintf(conn, "POST /stock/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nSardinedock-Request-Id: id-%d\r\nSardinedock-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
					deskHost, deskKey, n, size, body)
				if err == nil {
					err = resp.Read(reader)
				}
				if err != nil || resp.StatusCode() != fasthttp.StatusOK {
					b.Fatalf("%d, %v", resp.StatusCode(), err)
				}
			}
		})
	}
}
