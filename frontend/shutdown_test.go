package frontend_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// noIdleTimeout sets limits under which idle connections practically never time out.
var noIdleTimeout = &settingspb.Limits{
	HeaderBytes: 16384, BodyBytes: 1 << 20, ReadTimeoutMs: 600000, WriteTimeoutMs: 1000,
	Connections: 100, SilenceMs: testSilence.Milliseconds(),
}

// An instance shuts down during a stream. The caller must get the whole answer.
func TestShutdownLetsStreamsFinish(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1, limits: noIdleTimeout})
	rd := r.startStream(t, prompt, 200, nil)
	rd.piece()
	done := make(chan error, 1)
	go func() { done <- r.server.Shutdown(context.Background()) }()
	for listens(strings.TrimPrefix(r.url, "http://")) {
	}
	rd.rest().wantComplete(prompt, 200)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A load balancer keeps idle connections open for a long time. They must not delay the
// shutdown.
func TestIdleConnectionsDoNotDelayShutdown(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1, limits: noIdleTimeout})
	client := &http.Client{Transport: &http.Transport{}}
	req, err := http.NewRequest("GET", r.url+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.Close {
		t.Fatal("the connection was not kept open")
	}
	if err := r.server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// A stream takes longer than the drain timeout. It must end with an explicit error; a caller
// could take a stream that just stops for a complete answer.
func TestDrainTimeoutEndsStreamsWithError(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1, limits: noIdleTimeout})
	rd := r.startStream(t, prompt, 90000, nil)
	rd.piece()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.server.Shutdown(ctx) }()
	cancel()
	rd.rest().wantError("broken", "unknown")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	waitIdle(t, r.Engines[0])
}

// The load balancer still sends requests to an instance that is draining. They must be served,
// and their connections closed afterwards.
func TestDrainingServes(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	r.server.Drain()
	resp := r.do(t, "POST", "/v1/completions", nil, `{"model":"counter","prompt":"x","max_tokens":1}`)
	if resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("status %d, connection closes: %v", resp.StatusCode, resp.Close)
	}
}
