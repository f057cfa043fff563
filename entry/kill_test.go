package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/entry"
	"github.com/sardinedock/sardinedock/place"
)

// gatedPlacer places nothing before its gate opens.
type gatedPlacer struct {
	staticPlacer
	called, gate chan struct{}
}

func (p *gatedPlacer) Place(ctx context.Context, r place.Request) (place.Grant, error) {
	close(p.called)
	select {
	case <-p.gate:
		return p.staticPlacer.Place(ctx, r)
	case <-ctx.Done():
		return place.Grant{}, ctx.Err()
	}
}

// An instance is killed in a run with all faults while a request waits there for an endpoint.
// It went on waiting, with what it knew before the kill, and sent the request seconds later to
// an engine that was leaving since. No crashed process does that; the run then counted a late
// start against the fleet, and a request of the dead beside its caller's next attempt.
func TestKilledServerSendsNothing(t *testing.T) {
	p := &gatedPlacer{called: make(chan struct{}), gate: make(chan struct{})}
	r := newRig(t, rigConfig{engines: 1, configure: func(c *entry.Config) { c.Placer = p }})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		req, _ := http.NewRequest("POST", r.url+"/v1/completions", bodyOf(prompt, 5))
		req.Header.Set("Authorization", "Bearer "+testKey)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-p.called
	r.server.Kill()
	close(p.gate)
	<-ended
	if n := r.Engines[0].Stats().Runs; n != 0 {
		t.Errorf("a killed server had an engine run %d requests", n)
	}
}

// An instance is killed while an engine works for it. A crashed process can't tell the engine
// to stop; were it told, a run with all faults would not show what is done for nobody.
func TestKilledServerCancelsNothing(t *testing.T) {
	r := newRig(t, rigConfig{engines: 1})
	rd := r.askFor(t, prompt, 2000, nil)
	rd.piece()
	r.server.Kill()
	// An order to cancel would be there within milliseconds.
	const cancelWait = 200 * time.Millisecond
	time.Sleep(cancelWait)
	client := endpoint.NewClient(r.Engines[0].Addr(), time.Second, testSilence)
	l, err := client.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if l.Running != 1 {
		t.Errorf("the engine runs %d requests after the kill, want the one that was open", l.Running)
	}
}
