package emulator_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/platform/platformtest"
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

// A router that is tried against endpoints on shared machines must meet calls that take longer, and
// reports of it that are true at that moment.
func TestServiceReportsItsChangingSpeed(t *testing.T) {
	s, err := emulator.StartService("127.0.0.1:0", emulator.ServiceConfig{Behaviour: emulator.Behaviour{
		Speed: emulator.Speed{Slowest: 4, Interval: 20 * time.Millisecond, Seed: 1}, ReportsLoad: true, WorkTime: 20 * time.Millisecond,
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	reports := map[string]bool{}
	began := time.Now()
	for range 10 {
		resp, err := http.Get("http://" + s.Addr() + "/stock")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		var running, waiting, slots, percent int
		report := resp.Header.Get(platformtest.LoadHeader)
		if _, err := fmt.Sscanf(report, "%d,%d,%d,%d", &running, &waiting, &slots, &percent); err != nil || running != 1 || percent < 100 || percent > 400 {
			t.Fatalf("report %q: %v", report, err)
		}
		reports[report] = true
	}
	// Ten calls of 20 ms take 200 ms at usual speed.
	if took := time.Since(began); len(reports) < 3 || took < 300*time.Millisecond {
		t.Errorf("%d different reports, ten calls took %v", len(reports), took)
	}
}

// A slowly reading endpoint must leave what it has not read with the sender, or slow readers would
// cost a router no memory in tests.
func TestServiceReadsSlowly(t *testing.T) {
	s, err := emulator.StartService("127.0.0.1:0", emulator.ServiceConfig{Behaviour: emulator.Behaviour{ReadRate: 200 << 10}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	began := time.Now()
	resp, err := http.Post("http://"+s.Addr()+"/stock", "text/plain", strings.NewReader(strings.Repeat("x", 100<<10)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if took := time.Since(began); took < 400*time.Millisecond || s.Runs() != 1 {
		t.Errorf("100 KB were read in %v at 200 KB/s, %d runs", took, s.Runs())
	}
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := conn.Write(make([]byte, 32<<20)); err == nil || n > 16<<20 {
		t.Errorf("%d bytes were taken within 100 ms, %v", n, err)
	}
}
