package emulator_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
)

// A plain service crashes after a call took effect and before its response. A caller that retries
// causes the effect twice, and the service's count must show that.
func TestServiceCountsRunsAcrossCrashes(t *testing.T) {
	s, err := emulator.StartService("127.0.0.1:0", emulator.ServiceConfig{Name: "ordering-1", Pace: testPace, WorkTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	s.SetFaults(emulator.ServiceFaults{CrashAfter: 1, DownMS: 1})
	body := "pallets " + emulator.Marker("c-1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func() error {
		req, err := http.NewRequest("PATCH", "http://"+s.Addr()+"/confirm", strings.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", "k-1")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if send() == nil {
		t.Fatal("the call during which the service crashed got a response")
	}
	if s.Runs() != 1 {
		t.Fatalf("%d runs, want the effect of the call that crashed", s.Runs())
	}
	for send() != nil {
	}
	if s.Runs() != 2 {
		t.Fatalf("%d runs", s.Runs())
	}
}
