package frontend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/frontend"
	"github.com/sardinedock/sardinedock/placement"
)

// gatedPlacer blocks Place until gate is closed.
type gatedPlacer struct {
	staticPlacer
	called, gate chan struct{}
}

func (p *gatedPlacer) Place(ctx context.Context, r placement.Request) (placement.Grant, error) {
	close(p.called)
	select {
	case <-p.gate:
		return p.staticPlacer.Place(ctx, r)
	case <-ctx.Done():
		return placement.Grant{}, ctx.Err()
	}
}

// An instance is killed while a request waits there for an endpoint. The request once went on
// waiting, with the state from before the kill, and was sent seconds later to an engine that
// had begun to leave. A crashed process does not do that; fault-injection runs counted it as a
// late start and as an attempt that ran concurrently with the caller's next one.
func TestKilledServerSendsNothing(t *testing.T) {
	p := &gatedPlacer{called: make(chan struct{}), gate: make(chan struct{})}
	r := newFixture(t, fixtureConfig{engines: 1, configure: func(c *frontend.Config) { c.Placer = p }})
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
		t.Errorf("a killed server sent %d requests to an engine", n)
	}
}

// An instance is killed while an engine runs a request for it. A crashed process cannot cancel
// the run; if Kill did, fault-injection runs would not show the work that engines do for
// callers that no longer exist.
func TestKilledServerCancelsNothing(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	rd := r.startStream(t, prompt, 2000, nil)
	rd.piece()
	r.server.Kill()
	// A cancellation would arrive within milliseconds.
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
