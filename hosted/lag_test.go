package hosted

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against an instance without processor time that reads new requests, drops those on open connections, or leaves
// its callers in doubt whether a request was read.
func TestNewConnectionsAreResetUnreadWithoutProcessorTime(t *testing.T) {
	f := newFixture(t, 1)
	e := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true })
	f.serve(1, nil)
	kept := &http.Client{Transport: &http.Transport{}}
	ask := func(c *http.Client) (int, error) {
		resp, err := c.Do(f.request("POST", "/confirm/1", "x"))
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, errors.Join(err, resp.Body.Close())
	}
	if status, err := ask(kept); status != 200 {
		t.Fatalf("%d, %v", status, err)
	}
	now := time.Now()
	for k := range 4 {
		f.instances[0].gate.Observe(now, time.Duration(k+1)*time.Second)
	}
	before, answered, reset := e.Served(), 0, 0
	for range 10 {
		switch status, err := ask(f.client); {
		case status == 200:
			answered++
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			reset++
		default:
			t.Errorf("%d, %v", status, err)
		}
	}
	if reset == 0 || e.Served()-before != answered {
		t.Errorf("%d connections reset, %d answered, %d requests at the endpoint", reset, answered, e.Served()-before)
	}
	if status, err := ask(kept); status != 200 {
		t.Errorf("on an open connection: %d, %v", status, err)
	}
	if f.readyStatus(0) != 200 {
		t.Error("not ready")
	}
}

// Guards against a lag that looks small since nothing is handled at all.
func TestLagCountsWhatHasNotBeenHandled(t *testing.T) {
	m, err := newLagMeter()
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	m.send()
	const pause = 20 * time.Millisecond
	time.Sleep(pause)
	if lag := m.lag(); lag < pause {
		t.Errorf("lag %v while nothing was handled for %v", lag, pause)
	}
	go m.receive()
	for until := time.Now().Add(wait); m.lag() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if lag := m.lag(); lag > 0 {
		t.Errorf("lag %v though all is handled", lag)
	}
}
