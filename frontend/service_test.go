package frontend_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

func (r *fixture) serviceRuns() int {
	runs := 0
	for _, s := range r.Services {
		runs += s.Runs()
	}
	return runs
}

func (r *fixture) order(t *testing.T, method string) *http.Response {
	t.Helper()
	return r.do(t, method, "/services/ordering/dispatch/7?yard=2", nil, "ship 7")
}

func TestServiceByPath(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 3})
	for _, method := range []string{"POST", "PUT", "DELETE", "PATCH", "GET"} {
		resp := r.order(t, method)
		got, _ := io.ReadAll(resp.Body)
		if want := emulator.ServiceAnswer(method, "/dispatch/7", []byte("ship 7")); string(got) != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		h := resp.Header
		if h.Get("X-Sardinedock-Outcome") != "complete" || h.Get("X-Sardinedock-Endpoint") == "" || h.Get("Content-Type") != "text/plain" {
			t.Fatalf("headers %v", h)
		}
	}
}

// Guards against multipart bodies that reach the service changed, without their preamble, epilogue or own fields.
func TestMultipartBodyReachesTheServiceUnchanged(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 1})
	const body = "a preamble\r\n--edge\r\ncontent-disposition: form-data; name=a\r\nX-Own: 1\r\n\r\none\r\n--edge--\r\nan epilogue"
	resp := r.do(t, "POST", "/services/ordering/dispatch/7", http.Header{"Content-Type": {"multipart/form-data; boundary=edge"}}, body)
	got, _ := io.ReadAll(resp.Body)
	if want := emulator.ServiceAnswer("POST", "/dispatch/7", []byte(body)); string(got) != want {
		t.Fatalf("status %d, got %q, want %q", resp.StatusCode, got, want)
	}
}

// The service runs an order confirmation and crashes before it answers. A rerun would ship the
// order twice.
func TestServiceCrashAfterSideEffect(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 3})
	for _, s := range r.Services {
		s.SetFaults(emulator.ServiceFaults{CrashAfter: 1, DownMS: 1})
	}
	resp := r.order(t, "POST")
	if resp.StatusCode != 502 || resp.Header.Get("X-Sardinedock-Outcome") != "unknown" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
	if got := r.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// The service crashes during an idempotent call. Another endpoint must answer it.
func TestIdempotentServiceCallGoesElsewhere(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 3})
	for _, s := range r.Services[:2] {
		s.SetFaults(emulator.ServiceFaults{CrashAfter: 1, DownMS: 1})
	}
	if resp := r.order(t, "GET"); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// A service accepts an order confirmation and never answers. The caller must get the outcome
// unknown when the timeout of its class is over.
func TestUnresponsiveService(t *testing.T) {
	t.Parallel()
	class := &recordspb.RequestClass{MaxWaitMs: 100, TimeoutMs: 300}
	r := newFixture(t, fixtureConfig{services: 2, class: class})
	for _, s := range r.Services {
		s.SetFaults(emulator.ServiceFaults{SilentAfter: 1})
	}
	resp := r.do(t, "POST", "/services/ordering/x", http.Header{"X-Sardinedock-Class": {"quote"}}, "ship")
	if resp.StatusCode != 502 || resp.Header.Get("X-Sardinedock-Outcome") != "unknown" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
	if got := r.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// Reused connections to a service stop delivering data while new ones work. A non-idempotent
// call must never use a reused connection, and an idempotent call must be sent again on a new
// one.
func TestUnresponsiveReusedServiceConnections(t *testing.T) {
	t.Parallel()
	r := newFixture(t, fixtureConfig{services: 1})
	for _, method := range []string{"POST", "GET"} {
		r.order(t, "GET")
		r.Services[0].StallOpen()
		if resp := r.order(t, method); resp.StatusCode != 200 {
			t.Fatalf("%s: status %d", method, resp.StatusCode)
		}
	}
	if got := r.serviceRuns(); got < 4 {
		t.Fatalf("%d runs", got)
	}
}

// No endpoint of the service listens. Nothing ran, and the refusal must report not-run.
func TestServiceUnreachable(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 2})
	for _, s := range r.Services {
		_ = s.Close()
	}
	resp := r.order(t, "POST")
	if resp.StatusCode != 503 || resp.Header.Get("X-Sardinedock-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
}

// Some endpoints of the service do not listen. A non-idempotent call of which no byte was sent
// must go to the next endpoint.
func TestNonIdempotentCallSkipsClosedEndpoint(t *testing.T) {
	r := newFixture(t, fixtureConfig{services: 3})
	_ = r.Services[0].Close()
	_ = r.Services[1].Close()
	for range 6 {
		if resp := r.order(t, "POST"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if got := r.serviceRuns(); got != 6 {
		t.Fatalf("%d runs", got)
	}
}
