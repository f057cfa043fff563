package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

const (
	host = "desk.example"
	// forged is the value callers send in headers that only the router may set.
	forged = "forged"
	// isolatedOrg is the organisation that shares no cached prompt parts with others.
	isolatedOrg = "khangai"
	openOrg     = "kumasi"
	// callerTimeout is the callers' own timeout, which they also send as the deadline.
	callerTimeout = 3 * time.Second
	// lateTolerance is how much later than the route's timeout a final answer may come.
	lateTolerance = 700 * time.Millisecond
)

// caller sends requests one after the other over a persistent connection, and reconnects to a
// random instance when the connection is closed.
type caller struct {
	soak *soak
	rng  *rand.Rand
	n    int
	sent int

	conn     net.Conn
	reader   *bufio.Reader
	instance *instance
	starts   int
	// inTime is for the last request; it is nil until the answer must be there.
	inTime *atomic.Pointer[sentInTime]
}

func (c *caller) run() {
	for !c.soak.callersStop.Load() {
		if c.conn == nil && !c.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.request()
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *caller) connect() bool {
	c.instance = c.soak.instances[c.rng.IntN(len(c.soak.instances))]
	c.starts = c.instance.starts()
	conn, err := net.DialTimeout("tcp4", c.instance.callers.address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// paths are the path prefixes by kind of request.
var paths = map[kind]string{lookup: "/stock/", confirm: "/confirm/", draft: "/draft/", check: "/check/"}

func (c *caller) newCall() *call {
	k, organisation := kind(c.rng.IntN(4)), openOrg
	if c.rng.IntN(3) == 0 {
		organisation = isolatedOrg
	}
	return c.callOf(k, organisation)
}

// callOf returns the caller's next request, of the given kind and organisation.
func (c *caller) callOf(k kind, organisation string) *call {
	c.sent++
	r := &call{id: fmt.Sprintf("c%d-%d", c.n, c.sent), kind: k, instance: c.instance.n, incarnation: c.starts, organisation: organisation}
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
	if c.soak.seed >= firstScarceSeed {
		c.soak.drawSizes(r)
	}
	return r
}

// head returns the request line and headers.
func (r *call) head() string {
	method := "POST"
	if r.kind == lookup {
		method = "GET"
	}
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: %s\r\nSardinedock-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"Sardinedock-Hold: %s\r\nSardinedock-Kv-Backup: %s\r\nKv-From: %s\r\nSardinedock-Tenant-Id: %s\r\n",
		method, r.path, host, r.id, callerTimeout.Milliseconds(), r.key, forged, forged, forged, forged)
	if r.parts != "" {
		h += fmt.Sprintf("Sardinedock-Model: %s\r\nSardinedock-Token-Usage: 1200,40\r\nSardinedock-Prompt-Prefix: %s\r\n", model, r.parts)
	}
	if r.kind != lookup {
		h += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return h + "\r\n"
}

// request sends the next request and checks its answer. Some streams are abandoned by closing the
// connection.
func (c *caller) request() { c.send(c.newCall()) }

// send sends a request on the caller's connection and checks its answer.
func (c *caller) send(r *call) {
	r.sentAt = time.Now()
	c.soak.checker.sent(r)
	_ = c.conn.SetDeadline(r.sentAt.Add(callerTimeout))
	defer c.noteSentInTime(r).Stop()
	if _, err := io.WriteString(c.conn, r.head()+r.body); err != nil {
		c.disconnect()
		return
	}
	if (r.kind == draft || r.kind == check) && !r.crashes() && c.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
		c.disconnect()
		c.soak.checker.left(r)
		return
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		c.checkBrokenConnection(r, "")
		return
	}
	if resp.Header.Get(leavingHeader) != "" {
		c.soak.passedOn(r, resp.Header.Get("Sardinedock-Response-Signature"))
	}
	var body strings.Builder
	if r.stopsFor > 0 {
		_, err = io.Copy(&body, io.LimitReader(resp.Body, int64(r.stopsAfter)))
		if err == nil && body.Len() == r.stopsAfter && c.stopReading(r) {
			return
		}
	}
	if err == nil {
		_, err = io.Copy(&body, resp.Body)
	}
	_ = resp.Body.Close()
	if err != nil {
		c.checkBrokenConnection(r, body.String())
		return
	}
	c.checkResponse(r, resp, body.String())
	if resp.Close {
		c.disconnect()
		return
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		time.Sleep(100 * time.Millisecond)
	}
}

// stopReading stops reading the answer to a request for a while, by which the caller's timeout is extended. It reports
// true if the caller has closed its connection then.
func (c *caller) stopReading(r *call) (left bool) {
	c.soak.checker.count("stopped reading")
	time.Sleep(r.stopsFor)
	_ = c.conn.SetDeadline(r.sentAt.Add(callerTimeout + r.stopsFor))
	if r.leavesStopped {
		c.disconnect()
		c.soak.checker.left(r)
	}
	return r.leavesStopped
}

func (c *caller) checkResponse(r *call, resp *http.Response, body string) {
	ck := c.soak.checker
	if refusedAsCrashing(resp, body) {
		ck.count("refused as crashing")
		if !r.crashes() {
			ck.count("harmless, refused as crashing")
		}
	}
	if after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
		r.retryAfter = max(0, after)
	}
	signature := resp.Header.Get("Sardinedock-Response-Signature")
	c.soak.checkRecords(r, resp.StatusCode, signature != "")
	c.checkLateness(r, resp.StatusCode)
	if signature != "" && resp.StatusCode == http.StatusOK && r.parts != "" {
		ck.answered(r, resp.StatusCode, signature, "")
		if n, ok := r.missing(body); n > 0 || !ok {
			ck.addViolation("ORDER: the stream of %s ends as complete with %d bytes, %.200q", r.id, len(body), body)
		}
		return
	}
	ck.answered(r, resp.StatusCode, signature, body)
}

// sentInTime is what the router had sent to a caller, in bytes, by the time at which an answer must be there.
type sentInTime struct {
	down  downstream
	bytes int64
}

// noteSentInTime records sentInTime for a request once that time has come.
func (c *caller) noteSentInTime(r *call) *time.Timer {
	conn, link, note := c.conn, c.instance.callers, &atomic.Pointer[sentInTime]{}
	c.inTime = note
	return time.AfterFunc(platformtest.RouteTimeout+lateTolerance+r.stopsFor, func() {
		down := link.downstream(conn)
		note.Store(&sentInTime{down, down.sent()})
	})
}

// sentLate reports whether the router has sent some of the last answer too late. What was sent in time is not late, although
// the caller has not read it, as in a test process that gets little processor time.
func (c *caller) sentLate() bool {
	s := c.inTime.Load()
	return s != nil && s.down.sent() > s.bytes+controlBytes
}

// checkLateness checks that a final answer came in time.
func (c *caller) checkLateness(r *call, status int) {
	took := time.Since(r.sentAt) - r.stopsFor
	if took > platformtest.RouteTimeout+lateTolerance && c.sentLate() && c.instance.undisturbed(r.sentAt.Add(-stabilisationTime), time.Now()) {
		c.soak.checker.addViolation("LATE: %s got %d after %v", r.id, status, took)
	}
}

// checkBrokenConnection checks a connection that ended before the answer was complete.
func (c *caller) checkBrokenConnection(r *call, got string) {
	now, down := time.Now(), c.instance.callers.downstream(c.conn)
	late := c.sentLate() || !down.closed() && !down.unread()
	c.disconnect()
	ck := c.soak.checker
	ck.count("cut")
	if r.parts != "" && !r.isStart(got) {
		ck.addViolation("ORDER: %s got %d bytes, %.200q, before the connection ended", r.id, len(got), got)
	}
	if now.Sub(r.sentAt)-r.stopsFor >= callerTimeout {
		if late && c.instance.undisturbed(r.sentAt.Add(-stabilisationTime), now) {
			ck.addViolation("LATE: %s, sent at %s, got no whole answer within %v, but %d bytes", r.id, formatTime(r.sentAt), callerTimeout, len(got))
		}
		return
	}
	if now.Sub(r.sentAt) > platformtest.RouteTimeout-lateTolerance/2 {
		// The route's timeout had passed, or nearly.
		return
	}
	if !c.instance.undisturbed(r.sentAt.Add(-stabilisationTime), now) || c.soak.endpointFaults.overlaps(r.sentAt.Add(-stabilisationTime), now) {
		return
	}
	ck.unansweredWithoutFault(r, c.instance.shutdowns.overlaps(r.sentAt, now))
}
