package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	host = "desk.example"
	// forged stands in headers that callers must not set.
	forged = "forged"
	// isolated is the organisation that shares no cached parts.
	isolated = "khangai"
	open     = "kumasi"
	// patience is the callers' own bound, in their requests too.
	patience = 3 * time.Second
	// lateBound is how much later than its timeout a final answer may come.
	lateBound = 700 * time.Millisecond
)

// caller sends one request after the other over a kept connection, until the
// instance closes it.
type caller struct {
	soak *soak
	rng  *rand.Rand
	n    int
	sent int

	conn     net.Conn
	reader   *bufio.Reader
	instance *instance
	life     int
}

func (c *caller) run() {
	for !c.soak.over.Load() {
		if c.conn == nil && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.request()
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
	c.drop()
}

func (c *caller) connect() bool {
	c.instance = c.soak.instances[c.rng.IntN(len(c.soak.instances))]
	c.life = c.instance.life()
	conn, err := net.DialTimeout("tcp4", c.instance.callers.address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// paths by kind of request.
var paths = map[kind]string{lookup: "/stock/", confirm: "/confirm/", draft: "/draft/", check: "/check/"}

func (c *caller) next() *call {
	c.sent++
	k := kind(c.rng.IntN(4))
	r := &call{id: fmt.Sprintf("c%d-%d", c.n, c.sent), kind: k, instance: c.instance.n, incarnation: c.life, organisation: open}
	if c.rng.IntN(3) == 0 {
		r.organisation = isolated
	}
	r.key, r.droppedIn = c.soak.keyFor(c.rng, r.organisation)
	r.path = fmt.Sprintf("%s%d?x=%d", paths[k], c.rng.IntN(50), c.sent)
	if v := c.soak.addedRoute(c.rng); k == lookup && v > 0 {
		r.path, r.addedIn = fmt.Sprintf("/added-%d/x", v), v
	}
	if k != lookup {
		r.body = strings.Repeat("b", 1+c.rng.IntN(300))
	}
	if k == draft || k == check {
		r.parts = fmt.Sprintf("cat%d:1000,own%s:200", c.rng.IntN(4), r.id)
	}
	return r
}

// head of the request on the wire.
func (r *call) head() string {
	method := "POST"
	if r.kind == lookup {
		method = "GET"
	}
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: %s\r\nSardinedock-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"Sardinedock-Hold: %s\r\nSardinedock-Kv-Backup: %s\r\nKv-From: %s\r\nSardinedock-Tenant-Id: %s\r\n",
		method, r.path, host, r.id, patience.Milliseconds(), r.key, forged, forged, forged, forged)
	if r.parts != "" {
		h += fmt.Sprintf("Sardinedock-Model: %s\r\nSardinedock-Token-Usage: 1200,40\r\nSardinedock-Prompt-Prefix: %s\r\n", model, r.parts)
	}
	if r.kind != lookup {
		h += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return h + "\r\n"
}

// request sends one request and judges its answer.
func (c *caller) request() {
	r := c.next()
	r.sentAt = time.Now()
	c.soak.ledger.sent(r)
	_ = c.conn.SetDeadline(r.sentAt.Add(patience))
	if _, err := io.WriteString(c.conn, r.head()+r.body); err != nil {
		c.drop()
		return
	}
	if (r.kind == draft || r.kind == check) && c.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
		c.drop()
		c.soak.ledger.left(r)
		return
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		c.cut(r, nil)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.cut(r, body)
		return
	}
	c.judge(r, resp, string(body))
	if resp.Close {
		c.drop()
		return
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *caller) judge(r *call, resp *http.Response, body string) {
	l := c.soak.ledger
	signature := resp.Header.Get("Sardinedock-Response-Signature")
	c.soak.judgeRecords(r, resp.StatusCode, signature != "")
	c.late(r, resp.StatusCode)
	if signature != "" && resp.StatusCode == http.StatusOK && r.parts != "" {
		l.answered(r, resp.StatusCode, signature, "")
		want := ""
		for n := 1; n <= eventsOf(r.kind); n++ {
			want += eventText(r.id, n)
		}
		if body != want {
			l.breach("ORDER: the stream of %s ends as complete with %q", r.id, body)
		}
		return
	}
	l.answered(r, resp.StatusCode, signature, body)
}

// late judges whether a final answer came in time.
func (c *caller) late(r *call, status int) {
	took := time.Since(r.sentAt)
	if took > platformtest.RouteTimeout+lateBound && c.instance.calm(r.sentAt.Add(-contact), time.Now()) {
		c.soak.ledger.breach("LATE: %s got %d after %v", r.id, status, took)
	}
}

// cut judges a connection that ended before the answer did.
func (c *caller) cut(r *call, got []byte) {
	c.drop()
	now := time.Now()
	l := c.soak.ledger
	l.count("cut")
	want := ""
	for n := 1; n <= eventsOf(r.kind); n++ {
		want += eventText(r.id, n)
	}
	if len(got) > 0 && r.parts != "" && !strings.HasPrefix(want, string(got)) {
		l.breach("ORDER: %s got %q before the connection ended", r.id, got)
	}
	if now.Sub(r.sentAt) >= patience {
		if c.instance.calm(r.sentAt.Add(-contact), now) {
			l.breach("LATE: %s got no whole answer within %v", r.id, patience)
		}
		return
	}
	if now.Sub(r.sentAt) > platformtest.RouteTimeout-lateBound/2 {
		// The route's time was over, or all but.
		return
	}
	if !c.instance.calm(r.sentAt.Add(-contact), now) || c.soak.endpointFaults.meets(r.sentAt.Add(-contact), now) {
		return
	}
	l.cutAtPeace(r, c.instance.terms.meets(r.sentAt, now))
}
