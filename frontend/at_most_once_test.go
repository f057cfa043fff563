package frontend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/frontend"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// instancePair is two instances that share a store and endpoints.
type instancePair struct {
	*fixture
	store  *objecttest.Store
	claims [2]*claim.Book
	urls   [2]string
}

func newPair(t *testing.T, cfg fixtureConfig) *instancePair {
	t.Helper()
	p := &instancePair{store: &objecttest.Store{}}
	for n := range p.claims {
		b := claim.Open(p.store, clock.System{})
		t.Cleanup(b.Kill)
		p.claims[n] = b
	}
	configure := cfg.configure
	cfg.configure = func(c *frontend.Config) {
		c.Claims = p.claims[0]
		if configure != nil {
			configure(c)
		}
	}
	p.fixture = newFixture(t, cfg)
	p.urls[0] = p.url
	other := p.config
	other.Claims = p.claims[1]
	p.urls[1] = p.serve(t, other)
	return p
}

// sendOrder sends an order with an idempotency key through one of the instances.
func (p *instancePair) sendOrder(t *testing.T, instance int, key, body string) *http.Response {
	t.Helper()
	return p.call(t, instance, "/services/ordering/dispatch", key, body)
}

func (p *instancePair) call(t *testing.T, instance int, path, key, body string) *http.Response {
	t.Helper()
	p.url = p.urls[instance]
	header := http.Header{"Idempotency-Key": {key}, "X-Sardinedock-Non-Idempotent": {"true"}}
	return p.do(t, "POST", path, header, body)
}

func wantOutcome(t *testing.T, resp *http.Response, status int, outcome string) string {
	t.Helper()
	body, _ := io.ReadAll(resp.Body)
	if got := resp.Header.Get("X-Sardinedock-Outcome"); resp.StatusCode != status || got != outcome {
		t.Fatalf("status %d, outcome %s: %s; want %d, %s", resp.StatusCode, got, body, status, outcome)
	}
	return string(body)
}

// waitRecorded waits until the other instance finds the end of the request on record. It is
// recorded only after the caller has got its answer.
func (p *instancePair) waitRecorded(t *testing.T, key, body string) *http.Response {
	t.Helper()
	for {
		resp := p.sendOrder(t, 1, key, body)
		if resp.Header.Get("X-Sardinedock-Outcome") == "complete" {
			return resp
		}
		wantOutcome(t, resp, 409, "unknown")
	}
}

// The answer to an order confirmation is lost and the client sends it again to another
// instance. It must get the first answer, and the order must not run twice.
func TestResendIsAnsweredFromTheRecord(t *testing.T) {
	p := newPair(t, fixtureConfig{services: 2})
	first := wantOutcome(t, p.sendOrder(t, 0, "k", "ship 7"), 200, "complete")
	resp := p.waitRecorded(t, "k", "ship 7")
	if got := wantOutcome(t, resp, 200, "complete"); got != first || resp.Header.Get("Idempotent-Replayed") != "true" {
		t.Fatalf("got %q, want %q", got, first)
	}
	if got := p.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
	wantOutcome(t, p.sendOrder(t, 1, "k", "ship 8"), 409, "not-run")
	wantOutcome(t, p.sendOrder(t, 1, "k2", "ship 8"), 200, "complete")
}

// A service does not answer an order confirmation and the client sends it again. The second
// attempt must get the outcome unknown at once and must not run.
func TestResendWhileFirstAttemptHangs(t *testing.T) {
	t.Parallel()
	class := &recordspb.RequestClass{MaxWaitMs: 500, TimeoutMs: 1500}
	p := newPair(t, fixtureConfig{services: 1, class: class, service: emulator.ServiceConfig{}})
	p.Services[0].SetFaults(emulator.ServiceFaults{SilentAfter: 1})
	first := make(chan *http.Response, 1)
	url := p.urls[0]
	go func() {
		req, _ := http.NewRequest("POST", url+"/services/ordering/dispatch", nil)
		req.Header = http.Header{"Idempotency-Key": {"k"}, "Authorization": {"Bearer " + testKey}, "X-Sardinedock-Class": {"quote"}}
		resp, _ := http.DefaultClient.Do(req)
		first <- resp
	}()
	for p.serviceRuns() == 0 {
	}
	resp := p.sendOrder(t, 1, "k", "")
	wantOutcome(t, resp, 409, "unknown")
	if resp.Header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
	resp = <-first
	wantOutcome(t, resp, 502, "unknown")
	_ = resp.Body.Close()
	wantOutcome(t, p.sendOrder(t, 1, "k", ""), 409, "unknown")
	if got := p.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// The object API is down for minutes. Non-idempotent requests must be refused without being
// sent once the maximum wait of their class is over. Whether an earlier attempt with the same
// key ran cannot be read, so the outcome is unknown: after not-run, the client would order
// again with a new key. Idempotent requests must not be affected.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	class := &recordspb.RequestClass{MaxWaitMs: 200, TimeoutMs: 60000}
	p := newPair(t, fixtureConfig{services: 1, engines: 1, class: class})
	p.store.SetDown(true)
	header := http.Header{"Idempotency-Key": {"k"}, "X-Sardinedock-Class": {"quote"}}
	resp := p.do(t, "POST", "/services/ordering/dispatch", header, "ship 7")
	wantOutcome(t, resp, 503, "unknown")
	if resp.Header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
	if got := p.serviceRuns(); got != 0 {
		t.Fatalf("%d runs", got)
	}
	p.startStream(t, prompt, 3, nil).rest().wantComplete(prompt, 3)
	if ends := p.placer.ends(); len(ends) != 1 {
		t.Fatalf("ends %v", ends)
	}
	model := p.call(t, 0, "/v1/completions", "m", `{"model":"counter","prompt":"x","max_tokens":2}`)
	wantOutcome(t, model, 503, "unknown")
	if ends := p.placer.ends(); len(ends) != 1 {
		t.Fatal("a request that waits for the object API occupied a slot")
	}
	p.store.SetDown(false)
	wantOutcome(t, p.sendOrder(t, 1, "k", "ship 7"), 200, "complete")
}

// The class allows non-idempotent requests to run without a claim while the object API is
// down.
func TestStoreDownRunsUnclaimed(t *testing.T) {
	t.Parallel()
	class := &recordspb.RequestClass{MaxWaitMs: 100, TimeoutMs: 60000, WhenStoreDown: recordspb.StoreDownRule_STORE_DOWN_RUN_UNCLAIMED}
	p := newPair(t, fixtureConfig{services: 1, class: class})
	p.store.SetDown(true)
	header := http.Header{"Idempotency-Key": {"k"}, "X-Sardinedock-Class": {"quote"}}
	wantOutcome(t, p.do(t, "POST", "/services/ordering/dispatch", header, "ship 7"), 200, "complete")
}

// The store's reply to the claim is lost, and the instance is killed while the service runs
// the order confirmation. The resend to another instance must not run it again.
func TestLostReplyAndKilledInstance(t *testing.T) {
	t.Parallel()
	p := newPair(t, fixtureConfig{services: 1})
	p.store.LoseReplies(1)
	p.Services[0].SetFaults(emulator.ServiceFaults{SilentAfter: 1})
	url := p.urls[0]
	go func() {
		req, _ := http.NewRequest("POST", url+"/services/ordering/dispatch", nil)
		req.Header = http.Header{"Idempotency-Key": {"k"}, "Authorization": {"Bearer " + testKey}}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	for p.serviceRuns() == 0 {
	}
	p.claims[0].Kill()
	wantOutcome(t, p.sendOrder(t, 1, "k", ""), 409, "unknown")
	if got := p.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// The service does not listen, so the order confirmation did not run and is reported as not
// run. Its key must be free for the resend once the service is back.
func TestKeyOfUnsentRequestIsReleased(t *testing.T) {
	t.Parallel()
	p := newPair(t, fixtureConfig{services: 1})
	go p.Services[0].Crash(time.Second)
	for listens(p.Services[0].Addr()) {
	}
	wantOutcome(t, p.sendOrder(t, 0, "k", "ship 7"), 503, "not-run")
	for {
		resp := p.sendOrder(t, 1, "k", "ship 7")
		if resp.StatusCode == 200 {
			break
		}
	}
	if got := p.serviceRuns(); got != 1 {
		t.Fatalf("%d runs", got)
	}
}

func listens(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// Answers to non-idempotent model requests are recorded, unstreamed and streamed, if they are
// small enough. Of a larger one it is recorded only that it is complete.
func TestModelAnswersAreRecorded(t *testing.T) {
	p := newPair(t, fixtureConfig{engines: 1})
	body := `{"model":"counter","prompt":"x","max_tokens":2}`
	first := wantOutcome(t, p.call(t, 0, "/v1/completions", "whole", body), 200, "complete")
	again := p.waitOutcome(t, "whole", body)
	if got := wantOutcome(t, again, 200, "complete"); got != first {
		t.Fatalf("got %s, want %s", got, first)
	}
	body = `{"model":"counter","prompt":"x","max_tokens":2,"stream":true}`
	stream, _ := io.ReadAll(p.call(t, 0, "/v1/completions", "stream", body).Body)
	again = p.waitOutcome(t, "stream", body)
	if got := wantOutcome(t, again, 200, "complete"); got != string(stream) {
		t.Fatalf("got %s, want %s", got, stream)
	}
	body = `{"model":"counter","prompt":"x","max_tokens":400,"stream":true}`
	_, _ = io.ReadAll(p.call(t, 0, "/v1/completions", "long", body).Body)
	wantOutcome(t, p.waitOutcome(t, "long", body), 409, "complete")
	if got := p.Engines[0].Stats().Runs; got != 3 {
		t.Fatalf("%d runs", got)
	}
}

// waitOutcome repeats the request at the other instance until its outcome is recorded.
func (p *instancePair) waitOutcome(t *testing.T, key, body string) *http.Response {
	t.Helper()
	for {
		resp := p.call(t, 1, "/v1/completions", key, body)
		if resp.Header.Get("X-Sardinedock-Outcome") != "unknown" {
			return resp
		}
	}
}

// The first attempt ran at an instance that has died, and the resend reaches an instance that
// has no records yet. That instance cannot know whether the first attempt ran, so it must not
// report not-run.
func TestInstanceWithoutRecordsReportsUnknown(t *testing.T) {
	p := newPair(t, fixtureConfig{services: 1})
	wantOutcome(t, p.sendOrder(t, 0, "k", "ship 7"), 200, "complete")
	p.snapshot = nil
	p.urls[1] = p.serve(t, p.config)
	wantOutcome(t, p.sendOrder(t, 1, "k", "ship 7"), 503, "unknown")
	wantOutcome(t, p.do(t, "GET", "/services/ordering/dispatch", nil, ""), 503, "not-run")
}

// A caller disconnects in the middle of a streamed non-idempotent answer. The engine must go
// on, and the resend must get the whole answer.
func TestStreamIsRecordedAfterCallerDisconnect(t *testing.T) {
	p := newPair(t, fixtureConfig{engines: 1})
	body := `{"model":"counter","prompt":"x","max_tokens":20,"stream":true}`
	first := p.call(t, 0, "/v1/completions", "disconnected", body)
	_ = first.Body.Close()
	text := wantOutcome(t, p.waitOutcome(t, "disconnected", body), 200, "complete")
	if got := strings.Count(text, "data: "); got != 21 {
		t.Fatalf("%d events", got)
	}
	if got := p.Engines[0].Stats().Runs; got != 1 {
		t.Fatalf("%d runs", got)
	}
}

// The engine rejects a request with an idempotency key. That is its complete answer, and a
// resend must get the same one.
func TestEnginesRefusalIsRecorded(t *testing.T) {
	p := newPair(t, fixtureConfig{engines: 1})
	body := `{"model":"counter","prompt":[1,2],"max_tokens":2}`
	first := wantOutcome(t, p.call(t, 0, "/v1/completions", "k", body), 400, "complete")
	if got := wantOutcome(t, p.waitOutcome(t, "k", body), 400, "complete"); got != first {
		t.Fatalf("got %s, want %s", got, first)
	}
}

// refusingPlacer calls wait and then refuses the request.
type refusingPlacer struct {
	staticPlacer
	wait func()
}

func (p refusingPlacer) Place(context.Context, placement.Request) (placement.Grant, error) {
	p.wait()
	return placement.Grant{}, fault.New(fault.Overloaded, "come back", "no slot")
}

// A client sends the same non-idempotent request twice at once. One attempt waits for a slot
// and is refused long after it looked up the key, while the other attempt has run. The refusal
// must not report not-run.
func TestRefusalChecksRecordAgain(t *testing.T) {
	p := newPair(t, fixtureConfig{engines: 1})
	body := `{"model":"counter","prompt":"x","max_tokens":2}`
	refusing := p.config
	refusing.Claims = p.claims[1]
	refusing.Placer = refusingPlacer{wait: func() { wantOutcome(t, p.call(t, 0, "/v1/completions", "k", body), 200, "complete") }}
	p.urls[1] = p.serve(t, refusing)
	resp := p.call(t, 1, "/v1/completions", "k", body)
	if got := resp.Header.Get("X-Sardinedock-Outcome"); got == "not-run" {
		t.Fatalf("status %d reports not-run for a request that ran", resp.StatusCode)
	}
	refusing.Placer = refusingPlacer{wait: func() {}}
	p.urls[1] = p.serve(t, refusing)
	wantOutcome(t, p.call(t, 1, "/v1/completions", "other", body), 503, "not-run")
}
