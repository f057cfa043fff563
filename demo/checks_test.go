package demo

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/loadpb"
)

// A request crashes each engine that runs it, and its caller sends it again. All attempts have the
// same text and therefore the same marker. The first attempt runs late, while the second one is
// refused as not run. The refusal is true, since it refers to the second attempt only. It becomes
// false once the second attempt runs, even if by a resend of the router and after the refusal.
func TestRefusalOfCrashingRequestIsCheckedByAttempt(t *testing.T) {
	e, err := emulator.Start(anyPort, newScenario(Options{Scenario: scenarioFaults, Seconds: 1, Seed: 1, Endpoints: 1}).records)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	work := &loadpb.Work{Name: "sort", Model: "counter"}
	d := newDriver(&workload{load: &loadpb.Load{Work: []*loadpb.Work{work}}}, fixedTarget(""), e.Runs)
	r := &request{work: work, poison: true}
	marker := r.markerName(0, 0)
	run := func(id string) {
		t.Helper()
		before := e.Runs.ByMarker(marker)
		body := strings.NewReader(`{"model":"counter","prompt":"` + emulator.Marker(marker) + `","max_tokens":1}`)
		req, err := http.NewRequest(http.MethodPost, "http://"+e.Engines[0].Addr()+"/v1/completions", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if e.Runs.ByMarker(marker) != before+1 {
			t.Fatalf("the engine did not count %s", id)
		}
	}
	run("req-first")
	refused := answer{status: http.StatusServiceUnavailable, requestID: "req-second"}
	d.check(r, verdictNotRun, refused, call{}, marker, "one", time.Now(), 0)
	d.checkRefusals()
	if n := d.classes["sort"].FalseNotRun; n != 0 {
		t.Errorf("%d refusals counted as false, want 0: only another attempt has run", n)
	}
	run("req-second.2")
	d.checkRefusals()
	if n := d.classes["sort"].FalseNotRun; n != 1 {
		t.Errorf("%d refusals counted as false, want the one whose attempt has run", n)
	}
}
