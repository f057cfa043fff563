package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// resetEarly answers a request with a part of an answer without framing, before it reads the body, and resets the connection later.
func resetEarly(c net.Conn, later time.Duration) {
	var head fasthttp.RequestHeader
	if head.Read(bufio.NewReader(c)) != nil {
		return
	}
	contentType, part := "text/plain", "part"
	if len(head.Peek("Sardinedock-Model")) > 0 {
		contentType, part = "text/event-stream", events(2)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: %s\r\n\r\n%s", signedFields(string(head.Peek("Sardinedock-Request-Id")), "s"), contentType, part)
	time.Sleep(later)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a part of an answer without framing that reaches its caller as a whole one: its endpoint resets the connection while
// the request is sent.
func TestUnframedAnswerResetDuringTheUploadDoesNotReachTheCallerAsWhole(t *testing.T) {
	const tries, parallel, endpoints = 120, 4, 4
	f := newFixtureWith(t, 1, 10_000)
	for k := range endpoints {
		var conns atomic.Int64
		address := serveConns(t, func(c net.Conn) { resetEarly(c, time.Duration(conns.Add(1)%3)*10*time.Millisecond) })
		service, versions := "orders", map[string]int64(nil)
		if k%2 == 0 {
			service, versions = "pool", map[string]int64{"m": 1}
		}
		f.store.Put("servers", fmt.Sprintf("e%d", k), platformtest.EntryAt(address, service, "ready", versions))
	}
	f.serve(endpoints, func(r map[string]any) { r["limits"].(map[string]any)["maxBodyBytes"] = 4 << 20 })
	body := strings.Repeat("x", 2<<20)
	var next, complete atomic.Int64
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for n := next.Add(1); n <= tries; n = next.Add(1) {
				var req *http.Request
				switch n % 3 {
				case 0:
					req = f.request("POST", fmt.Sprintf("/confirm/%d", n), body)
				case 1:
					req = prompt(f.request("POST", fmt.Sprintf("/draft/%d", n), body))
				default:
					req = prompt(f.request("POST", fmt.Sprintf("/check/%d", n), body))
				}
				if a := f.do(req); a.looksWhole() {
					complete.Add(1)
				} else if !a.truncated && a.status != 502 && a.status != 503 {
					t.Errorf("%s: %+v", req.URL.Path, a)
				}
			}
		})
	}
	wg.Wait()
	if n := complete.Load(); n > 0 {
		t.Errorf("%d of %d parts of answers look whole", n, tries)
	}
}
