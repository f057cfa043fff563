package admin

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func get(h *Handler, path string) (int, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(path)
	h.Serve(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestReadyzFollowsSetReady(t *testing.T) {
	h := NewHandler()
	if status, _ := get(h, "/readyz"); status != fasthttp.StatusServiceUnavailable {
		t.Errorf("before SetReady: status %d", status)
	}
	if status, _ := get(h, "/livez"); status != fasthttp.StatusOK {
		t.Errorf("livez: status %d", status)
	}
	h.SetReady(true)
	if status, _ := get(h, "/readyz"); status != fasthttp.StatusOK {
		t.Errorf("after SetReady: status %d", status)
	}
}

// The object API and all peers are unreachable at the start. If the instance reported "ready", a
// balancer would send callers to it although it has no keys and no models.
func TestNotReadyWhileRequirementIsUnmet(t *testing.T) {
	h := NewHandler()
	h.SetReady(true)
	loaded := false
	h.Require("records", func() bool { return loaded })
	if status, body := get(h, "/readyz"); status != fasthttp.StatusServiceUnavailable || !strings.Contains(body, "no records yet") {
		t.Errorf("status %d, body %q", status, body)
	}
	loaded = true
	if status, _ := get(h, "/readyz"); status != fasthttp.StatusOK {
		t.Errorf("status %d with the requirement met", status)
	}
}

func TestStateDumpHoldsEveryComponent(t *testing.T) {
	h := NewHandler()
	h.Register("sample", func() any { return []int{1, 2} })
	_, body := get(h, "/debug/state")
	var got struct {
		Duties struct{ Sample []int }
	}
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Duties.Sample) != 2 {
		t.Errorf("dump is %s", body)
	}
}

func TestUnknownPathListsValidPaths(t *testing.T) {
	status, body := get(NewHandler(), "/state")
	if status != fasthttp.StatusNotFound || !strings.Contains(body, "/debug/state") {
		t.Errorf("status %d, body %q", status, body)
	}
}
