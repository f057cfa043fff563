package instance_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/settings"
)

// The balancer needs some seconds to detect that an instance shuts down. Until then it goes on
// sending, and a refused connection would be a lost request.
func TestShutdownServesDuringNotice(t *testing.T) {
	e, err := emulator.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	s, faults := settings.Parse([]byte("fleet: test\ndata_centre: accra-1\nplatform: {address: \"" + e.Store.Addr() +
		"\"}\nlisten: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\nshutdown: {notice_ms: 600000}\n"))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	i, err := instance.Start(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Shutdown(ctx) }()
	for status(t, "http://"+i.Admin()+"/readyz") == http.StatusOK {
	}
	if got := status(t, "http://"+i.Callers()+"/v1/models"); got == 0 {
		t.Fatal("callers are refused before the notice period is over")
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := status(t, "http://"+i.Callers()+"/v1/models"); got != 0 {
		t.Fatalf("status %d after the shutdown", got)
	}
}

// status returns the answer's status, 0 if the connection is refused.
func status(t *testing.T, url string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
