package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A refusal must reach a caller that is still sending its request. If the connection were closed
// with unread bytes, the reset would overtake the answer.
func TestRefusalOfATooLongRequestReachesItsCaller(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.eventually("ready", func() bool { return f.readyStatus(0) == 200 })
	long := func(n int) string { return strings.Repeat("x", n) }
	for want, text := range map[int]string{
		http.StatusRequestHeaderFieldsTooLarge: fmt.Sprintf("GET /stock/1 HTTP/1.1\r\nHost: %s\r\nX-Long: %s\r\n\r\n", deskHost, long(200_000)),
		http.StatusRequestEntityTooLarge:       fmt.Sprintf("POST /confirm/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", deskHost, 2*bodyBytes, long(200_000)),
	} {
		conn, err := net.Dial("tcp4", f.callers[0])
		if err != nil {
			t.Fatal(err)
		}
		// A slow caller: the refusal arrives before it has sent the whole request.
		for len(text) > 0 {
			n := min(len(text), 50_000)
			if _, err := conn.Write([]byte(text[:n])); err != nil {
				t.Errorf("%d: write: %v", want, err)
				break
			}
			text = text[n:]
			time.Sleep(50 * time.Millisecond)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("want %d, got %v, %v", want, resp, err)
		}
		_ = conn.Close()
	}
}
