package hosted

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// rejectionLedger judges what callers were answered by what ran.
type rejectionLedger struct {
	mu   sync.Mutex
	runs map[string]int
	// arrivals counts the sends of each request.
	arrivals map[string]int
}

func newRejectionLedger() *rejectionLedger {
	return &rejectionLedger{runs: map[string]int{}, arrivals: map[string]int{}}
}

// arrived records a send and returns how many there were before.
func (l *rejectionLedger) arrived(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id]++
	return l.arrivals[id] - 1
}

func (l *rejectionLedger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// check fails the test for each request that ran more than once, or ran although its status promises that it has not.
func (l *rejectionLedger) check(t *testing.T, statuses map[string]int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	refused, twice, byStatus := 0, 0, map[int]int{}
	for id, status := range statuses {
		byStatus[status]++
		switch status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if l.runs[id] > 0 {
				refused++
			}
		}
		if l.runs[id] > 1 {
			twice++
		}
	}
	t.Logf("%d requests, by status %v", len(statuses), byStatus)
	if refused > 0 || twice > 0 {
		t.Errorf("%d requests were refused as not run, and ran; %d ran more than once", refused, twice)
	}
}

// connectionTexts holds a text for each connection.
type connectionTexts struct {
	mu   sync.Mutex
	text map[net.Conn]string
}

func (c *connectionTexts) set(conn net.Conn, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.text[conn] = text
}

// take returns the text of a connection and removes it.
func (c *connectionTexts) take(conn net.Conn) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := c.text[conn]
	delete(c.text, conn)
	return text
}

// extraWork is how long endpoints work after they have written an extra response.
const extraWork = 15 * time.Millisecond

// Guards against an extra response, written where the response to a send is due, that is taken for a rejection of that send,
// which runs.
func TestExtraRejectionIsNotAttributedToAnotherSend(t *testing.T) {
	rejection := func(status int, named bool) func(*platformtest.Exchange) string {
		return func(x *platformtest.Exchange) string {
			if named {
				return x.Rejection(status)
			}
			return fmt.Sprintf("HTTP/1.1 %d X\r\nSardinedock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status)
		}
	}
	chunked := func(x *platformtest.Exchange) string {
		return "HTTP/1.1 503 X\r\nSardinedock-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		// extra returns the copy of its rejection that the endpoint writes late.
		extra func(*platformtest.Exchange) string
		// rejected is how many sends of each request are rejected first.
		rejected int
	}{
		"copy of the 503 for the same request": {rejection(503, true), 2},
		"copy of the 429 for the same request": {rejection(429, true), 2},
		"copy of the 421 for the same request": {rejection(421, true), 2},
		"copy after one rejection":             {rejection(503, true), 1},
		"503 that names no request":            {rejection(503, false), 1},
		"421 that names no request":            {rejection(421, false), 1},
		"chunked 503 that names no request":    {chunked, 1},
	} {
		for _, path := range []string{"/confirm/", "/draft/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 1)
				ledger := newRejectionLedger()
				late := &connectionTexts{text: map[net.Conn]string{}}
				handler := func(x *platformtest.Exchange) bool {
					x.Write("%s", late.take(x.Conn))
					if ledger.arrived(x.ID()) < c.rejected {
						late.set(x.Conn, c.extra(x))
						x.Reject(503)
						return true
					}
					ledger.ran(x.ID())
					time.Sleep(extraWork)
					x.Answer(200, "done")
					return true
				}
				f.endpoint("e1", "orders", handler)
				f.endpoint("e2", "orders", handler)
				f.endpoint("e3", "pool", handler)
				f.endpoint("e4", "pool", handler)
				f.serve(4, nil)
				statuses := map[string]int{}
				for k := range 20 {
					req := f.request("POST", fmt.Sprintf("%s%d", path, k), "x")
					if path == "/draft/" {
						prompt(req)
					}
					statuses[req.Header.Get("Sardinedock-Request-Id")] = f.do(req).status
				}
				ledger.check(t, statuses)
			})
		}
	}
}
