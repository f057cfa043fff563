package hosted

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Full endpoints reject confirmations, one after the other, until the fleet's retry budget is used
// up. The last one has a single send though other endpoints had room, and its log line has to state
// why.
func TestLogLineHasWhyARequestWasNotRetried(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixtureWith(t, 1, 0)
	full := func(x *platformtest.Exchange) bool { x.Reject(503); return true }
	f.endpoint("e1", "orders", full)
	f.endpoint("e2", "orders", full)
	f.serve(2, nil)
	const requests = 6
	for range requests {
		f.do(f.request("POST", "/confirm/1", "x"))
	}
	if !lines.Any("request", func(f log.Fields) bool { return f["retries"] == "used up" }) {
		t.Errorf("no log line of %d refused requests states that the retries are used up", requests)
	}
}

// A lookup breaks off at one endpoint and is rejected by the next. The rejection alone, as the
// logged reason, would hide the crash that came first.
func TestLogLineHasTheFirstSendsFailure(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	var sends atomic.Int64
	handler := func(x *platformtest.Exchange) bool {
		if sends.Add(1) == 1 {
			return false
		}
		x.Reject(503)
		return true
	}
	f.endpoint("e1", "orders", handler)
	f.endpoint("e2", "orders", handler)
	f.serve(2, nil)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 502 {
		t.Fatalf("status %d", a.status)
	}
	if !lines.Any("request", func(f log.Fields) bool { return f["first_why"] != nil && f["first_why"] != f["why"] }) {
		t.Error("no log line has the failure of the first send")
	}
}

// A request breaks off at two endpoints, and comes again. On-call could not see whether the requests
// at which endpoints crash are the same one.
func TestLogLinesOfTheSameContentThatBrokeHaveTheSameHash(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	breaks := func(*platformtest.Exchange) bool { return false }
	f.endpoint("e1", "orders", breaks)
	f.endpoint("e2", "orders", breaks)
	f.serve(2, nil)
	for _, path := range []string{"/stock/1", "/stock/1", "/stock/2"} {
		f.do(f.request("GET", path, ""))
	}
	var content []string
	for _, l := range lines.Lines("request") {
		content = append(content, fmt.Sprint(l["content"]))
	}
	ids, _ := lines.Lines("request")[0]["broken_at"].(string)
	if list := strings.Split(ids, ","); len(list) != 2 || list[0] == list[1] {
		t.Errorf("broken_at is %q, want both endpoints", ids)
	}
	if len(content) != 3 || content[0] != content[1] || content[0] == content[2] {
		t.Errorf("content of the three requests: %v, want the first two equal", content)
	}
}

// Requests that are not alike break off. On-call could not see whether a part of their prompts is the same, nor
// which one.
func TestLogLinesOfBrokenPromptsNameTheirSharedParts(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	breaks := func(*platformtest.Exchange) bool { return false }
	f.endpoint("e1", "pool", breaks)
	f.endpoint("e2", "pool", breaks)
	f.serve(2, nil)
	for k, parts := range []string{"a:400,both:600,own-1:500", "b:400,both:600,own-2:500"} {
		req := prompt(f.request("POST", fmt.Sprintf("/check/%d", k), "x"))
		req.Header.Set("Sardinedock-Prompt-Prefix", parts)
		f.do(req)
	}
	var named [][]string
	for _, l := range lines.Lines("request") {
		named = append(named, strings.Split(fmt.Sprint(l["parts"]), ","))
	}
	if len(named) != 2 || len(named[0]) != 2 || len(named[1]) != 2 || named[0][0] == named[1][0] || named[0][1] != named[1][1] {
		t.Errorf("parts of the two requests: %v, want two each, the second ones equal", named)
	}
}

// A request is rejected by two endpoints and served by the third, which alone was named. On-call could
// not state which endpoints reject, nor which of them had asked for no more requests.
func TestLogLineNamesEveryEndpointThatRejected(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	var sends atomic.Int64
	handler := func(x *platformtest.Exchange) bool {
		if sends.Add(1) < 3 {
			x.Reject(503)
		} else {
			x.Answer(200, "ok")
		}
		return true
	}
	for _, id := range []string{"e1", "e2", "e3"} {
		f.endpoint(id, "orders", handler)
	}
	f.serve(3, nil)
	f.do(f.request("GET", "/stock/1", ""))
	named := func(l log.Fields) bool {
		ids, _ := l["rejected_by"].(string)
		list := append(strings.Split(ids, ","), fmt.Sprint(l["endpoint"]))
		slices.Sort(list)
		return slices.Equal(list, []string{"e1", "e2", "e3"})
	}
	if !lines.Any("request", named) {
		t.Errorf("lines %v, want one with all three endpoints", lines.Lines("request"))
	}
}

// A caller is refused by an instance that has just started and has no records yet. The log line of
// that refusal had no ID, so that on-call, who only has the request's ID, found nothing in any log.
func TestRefusalBeforeTheFirstRecordsIsLoggedWithTheID(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v, want a refusal", a)
	}
	if !lines.Any("request", func(l log.Fields) bool { return l["request"] == "id-1" && l["why"] != nil }) {
		t.Errorf("lines %v, want one with the request's id", lines.Lines("request"))
	}
}

// A request on a persistent connection arrives after its instance has stopped listening, and is
// refused. The log line had no ID, and a failure to write the answer would have been logged under
// the previous request's ID.
func TestRefusalAfterTheListenerClosedIsLoggedWithTheID(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "done"); return true })
	f.serve(1, func(r map[string]any) { r["limits"].(map[string]any)["headerTimeoutMs"] = 8000 })
	conn, err := net.Dial("tcp4", f.callers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const head = "POST /confirm/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\nSardinedock-Request-Id: "
	_, _ = fmt.Fprintf(conn, head+"before\r\n\r\nx", deskHost, deskKey)
	reader := bufio.NewReader(conn)
	read(t, reader)
	_, _ = fmt.Fprintf(conn, head, deskHost, deskKey)
	f.eventually("the connection of the first half counted", func() bool { return f.instances[0].server.Connections() == 1 })
	go f.instances[0].Shutdown()
	f.eventually("the listener closed", f.instances[0].server.ShuttingDown)
	_, _ = fmt.Fprint(conn, "refused\r\n\r\nx")
	if status := read(t, reader); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want a refusal", status)
	}
	if !lines.Any("request", func(l log.Fields) bool { return l["request"] == "refused" && l["why"] != nil }) {
		t.Errorf("lines %v, want one with the id of the refused request", lines.Lines("request"))
	}
}

// read reads one response and returns its status.
func read(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// Another process uses the address for metrics. The instance must serve callers all the same, and
// log that nothing is measured.
func TestOccupiedMetricsAddressDoesNotStopTheInstance(t *testing.T) {
	lines := logtest.Record(t)
	f := newFixture(t, 0)
	occupied, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	f.startWith("instance-0", func(l *settingspb.HostedListen) { l.Metrics = occupied.Addr().String() })
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
		t.Errorf("%+v, want it served", a)
	}
	if !lines.Any("metrics and the state dump are not served", func(log.Fields) bool { return true }) {
		t.Error("no log line says that metrics are not served")
	}
}
