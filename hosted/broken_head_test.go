package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// brokenID is the form of the IDs of requests whose first answer is broken.
const brokenID = "broken-%06d"

// brokenCase is a request whose first answer is broken in its head.
type brokenCase struct {
	route cutRoute
	name  string
	write func(*platformtest.Exchange)
}

// testBrokenHeads sends a request for each case and checks that its caller gets a whole answer or, where the request may not be sent
// again, that it may have run. If forwarded, one instance forwards the requests to the one that reads the answers.
func testBrokenHeads(t *testing.T, forwarded bool, cases []brokenCase) {
	const parallel, second = 8, "second"
	var sent sync.Map
	handler := func(x *platformtest.Exchange) bool {
		n := -1
		if _, err := fmt.Sscanf(x.ID(), brokenID, &n); err != nil {
			return oneEvent(x)
		}
		if _, again := sent.LoadOrStore(n, true); again {
			x.AnswerWith(200, second, "X-Second: 1")
			return true
		}
		cases[n].write(x)
		return false
	}
	instances := 1
	if forwarded {
		instances = 2
	}
	f := newCutFixture(t, instances, nil, handler)
	var next atomic.Int64
	var repeated atomic.Int64
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < len(cases); n = int(next.Add(1)) - 1 {
				c := cases[n]
				req := f.request(c.route.method, c.route.path+fmt.Sprint(n), "")
				req.Header.Set("Sardinedock-Request-Id", fmt.Sprintf(brokenID, n))
				a, malformed := f.doStrict(prompt(req))
				whole := a.status == 200 && a.header.Get("X-Second") != "" && (a.body == second || c.route.method == "HEAD")
				switch once := c.route.once; {
				case malformed != nil:
					t.Errorf("%s %s, %s: %v", c.route.method, c.route.path, c.name, malformed)
				case !once && whole && !a.truncated:
					repeated.Add(1)
				case !a.truncated && a.status != 502 && (once || a.status != 503):
					t.Errorf("%s %s, %s: %+v", c.route.method, c.route.path, c.name, a)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d cases, %d sent again and answered whole", len(cases), repeated.Load())
}

// doStrict is do, and returns an error if the instance sent a malformed answer. The HTTP client of do has no answer then, which would
// look like a connection that was closed.
func (f *fixture) doStrict(req *http.Request) (a answer, malformed error) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", req.URL.Host)
	if err != nil {
		return answer{truncated: true}, nil
	}
	defer func() { _ = conn.Close() }()
	req.Close = true
	if err := req.Write(conn); err != nil {
		return answer{truncated: true}, nil
	}
	var text strings.Builder
	_, readErr := io.Copy(&text, conn)
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text.String())), req)
	if err != nil {
		if strings.Contains(text.String(), "\r\n\r\n") {
			malformed = fmt.Errorf("%w: %q", err, text.String())
		}
		return answer{truncated: true}, malformed
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return answer{resp.StatusCode, resp.Header, string(body), err != nil || readErr != nil && !framed, framed}, nil
}

// malformedCases returns a case for each answer and kind of request.
func malformedCases(answers func(fields string) []platformtest.Answer) (cases []brokenCase) {
	for n, a := range answers("") {
		for _, route := range cutRoutes {
			cases = append(cases, brokenCase{route, a.Name, func(x *platformtest.Exchange) {
				x.Write("%s", answers(signedFields(x.ID(), x.Signature()))[n].Text)
			}})
		}
	}
	return cases
}

// testMalformed has endpoints send these answers, directly and to an instance that passes them on to another.
func testMalformed(t *testing.T, answers func(fields string) []platformtest.Answer) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			testBrokenHeads(t, forwarded, malformedCases(answers))
		})
	}
}

// Guards against an answer whose status line is malformed, such as with the status 000, and that its caller gets as a 200.
func TestMalformedStatusLineDoesNotReachTheCaller(t *testing.T) {
	testMalformed(t, platformtest.MalformedStatuses)
}

// Guards against an answer with a blank or a control byte in the name of a field that reaches its caller, with that line or with a body
// that is not the endpoint's.
func TestMalformedFieldDoesNotReachTheCaller(t *testing.T) {
	testMalformed(t, platformtest.MalformedFields)
}

// Guards against endpoints that are all avoided, or requests that count as crashing endpoints, since every endpoint of a service
// answers some requests with a malformed head.
func TestMalformedHeadsHarmNoOtherRequests(t *testing.T) {
	const endpoints, parallel, total, faultyShare = 4, 8, 600, 3
	f := newFixtureWith(t, 1, 10_000)
	handler := func(x *platformtest.Exchange) bool {
		var n int
		if _, err := fmt.Sscanf(x.ID(), brokenID, &n); err == nil && n%faultyShare == 0 {
			x.Write("HTTP/1.1 000 X\r\n%sContent-Length: 2\r\n\r\n{}", signedFields(x.ID(), x.Signature()))
			return true
		}
		if x.Header("Sardinedock-Model") != "" {
			return oneEvent(x)
		}
		x.Answer(200, "ok")
		return true
	}
	for k := range endpoints {
		f.endpoint(fmt.Sprintf("e%d", k), []string{"orders", "pool"}[k%2], handler)
	}
	f.serve(endpoints, nil)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for n := int(next.Add(1)) - 1; n < total; n = int(next.Add(1)) - 1 {
				route := cutRoutes[n%len(cutRoutes)]
				req := f.request(route.method, route.path+fmt.Sprint(n), "")
				req.Header.Set("Sardinedock-Request-Id", fmt.Sprintf(brokenID, n))
				if route.path != "/confirm/" && route.path != "/stock/" {
					req = prompt(req)
				}
				a, malformed := f.doStrict(req)
				switch faulty := n%faultyShare == 0; {
				case malformed != nil, !faulty && !a.looksWhole():
					t.Errorf("%s %s: %+v, %v", route.method, route.path, a, malformed)
				case faulty && !a.truncated && a.status != 502 && (route.once || a.status != 503):
					t.Errorf("%s %s, answered with malformed heads only: %+v", route.method, route.path, a)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a status in no class, which is a failure of the endpoint like a 5xx, and that counts as a result: the request is not
// sent again though its route allows that.
func TestStatusInNoClassIsAFailure(t *testing.T) {
	for _, status := range []int{600, 700, 999} {
		f := newFixture(t, 1)
		var runs atomic.Int64
		handler := func(x *platformtest.Exchange) bool {
			if runs.Add(1) == 1 {
				x.Answer(status, "failed")
				return true
			}
			x.Answer(200, "ok")
			return true
		}
		f.endpoint("e1", "orders", handler)
		f.endpoint("e2", "orders", handler)
		f.serve(2, nil)
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != status || a.body != "failed" || a.truncated || runs.Load() != 1 {
			t.Errorf("%d, may run once: %+v after %d runs, want the endpoint's answer", status, a, runs.Load())
		}
		runs.Store(0)
		if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 || a.body != "ok" || runs.Load() != 2 {
			t.Errorf("%d, safe: %+v after %d runs, want the answer to a repeated request", status, a, runs.Load())
		}
	}
}
