package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// rawAnswer writes an answer of which the test gives the whole head after the status line but for the ID and the
// signature.
func rawAnswer(x *platformtest.Exchange, proto string, status int, head, body string) {
	x.Write("%s %d X\r\nSardinedock-Request-Id: %s\r\nSardinedock-Response-Signature: %s\r\n%s\r\n%s", proto, status, x.ID(), x.Signature(), head, body)
}

// Guards against framing that contradicts itself or the body: what the caller gets is the endpoint's whole body, or
// does not look complete.
func TestAnswersWithFaultyFraming(t *testing.T) {
	const http11, http10 = "HTTP/1.1", "HTTP/1.0"
	for name, c := range map[string]struct {
		method, proto string
		status        int
		head, body    string
		// want is the body that the caller gets; wantStatus 0 means an answer that does not look complete.
		wantStatus int
		want       string
	}{
		"length and chunks":              {"POST", http11, 200, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\n\r\n", 200, "half"},
		"two lengths":                    {"POST", http11, 200, "Content-Length: 4\r\nContent-Length: 3\r\n", "half", 0, ""},
		"malformed length":               {"POST", http11, 200, "Content-Length: 4, 4\r\n", "half", 0, ""},
		"negative length":                {"POST", http11, 200, "Content-Length: -4\r\n", "half", 0, ""},
		"body shorter than its length":   {"POST", http11, 200, "Content-Length: 9\r\n", "half", 0, ""},
		"chunked before another coding":  {"POST", http11, 200, "Transfer-Encoding: chunked, gzip\r\n", "4\r\nhalf\r\n0\r\n\r\n", 0, ""},
		"chunks without the last":        {"POST", http11, 200, "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", 0, ""},
		"chunk shorter than its size":    {"POST", http11, 200, "Transfer-Encoding: chunked\r\n", "9\r\nhalf", 0, ""},
		"malformed chunk size":           {"POST", http11, 200, "Transfer-Encoding: chunked\r\n", "zz\r\nhalf\r\n0\r\n\r\n", 0, ""},
		"last chunk without its line":    {"POST", http11, 200, "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n0\r\n", 200, "half"},
		"HTTP/1.0 with a length":         {"POST", http10, 200, "Content-Length: 4\r\n", "half", 200, "half"},
		"HTTP/1.0 without framing":       {"POST", http10, 200, "", "half", 200, "half"},
		"HTTP/1.0 with chunks":           {"POST", http10, 200, "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", 0, ""},
		"204 without a length":           {"POST", http11, 204, "", "", 204, ""},
		"304 without a length":           {"GET", http11, 304, "", "", 304, ""},
		"HEAD without a length":          {"HEAD", http11, 200, "", "", 200, ""},
		"HEAD with a length":             {"HEAD", http11, 200, "Content-Length: 9\r\n", "", 200, ""},
		"empty without framing":          {"POST", http11, 200, "", "", 200, ""},
		"failure without framing":        {"POST", http11, 500, "", "half", 500, "half"},
		"informational before the final": {"POST", http11, 200, "Content-Length: 4\r\n", "half", 200, "half"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
				if strings.HasPrefix(name, "informational") {
					x.Write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
				}
				rawAnswer(x, c.proto, c.status, c.head, c.body)
				return false
			})
			f.serve(1, nil)
			path := "/confirm/1"
			if c.method != "POST" {
				path = "/stock/1"
			}
			a := f.do(f.request(c.method, path, ""))
			switch {
			case c.wantStatus == 0 && a.looksWhole():
				t.Errorf("%+v looks complete", a)
			case c.wantStatus != 0 && (a.status != c.wantStatus || a.body != c.want || a.truncated):
				t.Errorf("%+v, want %d %q", a, c.wantStatus, c.want)
			}
		})
	}
}

// Guards against bytes after a whole answer that the next request on the connection gets as its own, whether they
// arrive at once or when that request has been sent.
func TestBytesAfterAnAnswerBelongToNobody(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		f := newFixture(t, 1)
		var n atomic.Int64
		f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
			body := fmt.Sprintf("own %d", n.Add(1))
			rawAnswer(x, "HTTP/1.1", 200, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
			time.Sleep(delay)
			x.Write("HTTP/1.1 200 OK\r\nSardinedock-Response-Signature: %s\r\nContent-Length: 5\r\n\r\nextra", x.Signature())
			return true
		})
		f.serve(1, nil)
		for k := 1; k <= 4; k++ {
			if a := f.do(f.request("POST", "/confirm/1", "")); a.status != 200 || a.body != fmt.Sprintf("own %d", k) {
				t.Errorf("extra bytes after %v, request %d: %+v", delay, k, a)
			}
		}
	}
}

// Guards against an answer without framing that never ends, and holds its caller beyond the route's timeout.
func TestUnframedAnswerThatNeverEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/plain")
		for !x.CallerClosed(20 * time.Millisecond) {
			x.Write("more")
		}
		return false
	})
	f.serve(1, nil)
	began := time.Now()
	a := f.do(f.request("POST", "/confirm/1", ""))
	if limit := platformtest.RouteTimeout + 500*time.Millisecond; a.looksWhole() || time.Since(began) > limit {
		t.Errorf("%+v after %v", a, time.Since(began))
	}
}

// Guards against a request that follows an answer without framing on the same connection: it must get no bytes, since
// the caller would take them for the rest of that answer.
func TestConnectionEndsWithAnUnframedAnswer(t *testing.T) {
	f := newFixture(t, 1)
	e := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		x.UnframedHead("text/plain")
		x.Write("half")
		return false
	})
	f.serve(1, nil)
	c, err := net.Dial("tcp4", f.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, id := range []string{"one", "two"} {
		_, _ = fmt.Fprintf(c, "POST /confirm/1 HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", deskHost, id, deskKey)
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	var text strings.Builder
	_, err = bufio.NewReader(c).WriteTo(&text)
	if n := strings.Count(text.String(), "HTTP/1.1"); n != 1 || !strings.Contains(text.String(), "Connection: close") {
		t.Errorf("%v, %d answers: %q", err, n, text.String())
	}
	if n := e.Served(); n != 1 {
		t.Errorf("%d requests ran, want the first only", n)
	}
}
