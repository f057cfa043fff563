package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// An instance is told to end, and a request on a slow link comes in two halves: the
// second one only when the balancer sends nothing here any more. The time that the
// instance has left does not suffice for it. Taken all the same, it is cut in the
// middle, and its caller does not learn whether it has run; it has to be told that it
// has not, so that another instance can take it at once.
func TestEndingInstanceTakesNoMoreRequests(t *testing.T) {
	f := newFixture(t, 1)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	var reached atomic.Int64
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		reached.Add(1)
		x.StreamHead()
		x.Event(1)
		<-release
		return false
	})
	f.serve(1, func(r map[string]any) {
		r["routes"].([]any)[2].(map[string]any)["timeoutMs"] = 8000
		r["limits"].(map[string]any)["headerTimeoutMs"] = 8000
	})
	conn, err := net.Dial("tcp4", f.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\n", deskHost)
	f.eventually("the first half read", func() bool { return f.instances[0].server.Connections() == 1 })
	ended := make(chan struct{})
	go func() {
		f.instances[0].Shutdown()
		close(ended)
	}()
	f.eventually("the listener closed", f.instances[0].server.Ending)
	_, _ = fmt.Fprintf(conn, "Sardinedock-Request-Id: id-1\r\nAuthorization: Bearer %s\r\nSardinedock-Model: m\r\n"+
		"Sardinedock-Token-Usage: 1500,40\r\nSardinedock-Prompt-Prefix: c1:1000,own:500\r\nContent-Length: 1\r\n\r\nx", deskKey)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the request got no answer: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("status %d, Retry-After %q, last on its connection %v; want a refusal that says when to return",
			answer.StatusCode, answer.Header.Get("Retry-After"), answer.Close)
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
	select {
	case <-ended:
	case <-time.After(wait):
		t.Error("the instance does not end")
	}
}
