package emulator_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/prefix"
)

// testPace speeds up the emulated durations.
const testPace = 100

func startEngine(t *testing.T, cfg emulator.EngineConfig) *emulator.Engine {
	t.Helper()
	cfg.Name, cfg.Model, cfg.Version = "engine-1", "counter", "1"
	if cfg.Pace == 0 {
		cfg.Pace = testPace
	}
	e, err := emulator.StartEngine("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

type event struct{ id, data string }

// post sends a POST request and returns the status and the events of the streamed response. The
// status is 0 if there was no response.
func post(t *testing.T, url string, header http.Header, body string) (int, []event) {
	t.Helper()
	req, err := http.NewRequest("POST", url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var events []event
	var ev event
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			ev.id = value
		case "data":
			ev.data = value
			events = append(events, ev)
		}
	}
	return resp.StatusCode, events
}

func complete(t *testing.T, e *emulator.Engine, id, prompt string, tokens int) (int, []event) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	return post(t, "http://"+e.Addr()+"/v1/completions", http.Header{"X-Request-Id": {id}}, body)
}

type piece struct {
	ID      string `json:"id"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int64 `json:"prompt_tokens"`
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func decode(t *testing.T, ev event) piece {
	t.Helper()
	var p piece
	if err := json.Unmarshal([]byte(ev.data), &p); err != nil {
		t.Fatalf("%q: %v", ev.data, err)
	}
	return p
}

func TestStreamCountsCachedTokens(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{})
	prompt := strings.Repeat("M12 anchor, grade 8.8; ", 100)
	for run, cached := range []int64{0, int64(len(prompt)) / 4 / 64 * 64} {
		id := fmt.Sprintf("req-%d", run)
		status, events := complete(t, e, id, prompt, 3)
		if status != 200 || len(events) != 4 || events[3].data != "[DONE]" {
			t.Fatalf("status %d, events %v", status, events)
		}
		for i, want := range emulator.Answer(prompt, 3) {
			p := decode(t, events[i])
			if events[i].id != fmt.Sprintf("%s/%d", id, i) || p.ID != id || p.Choices[0].Text != want {
				t.Fatalf("piece %d: %+v", i, events[i])
			}
			if hasUsage := p.Usage != nil; hasUsage != (i != 1) {
				t.Fatalf("piece %d: usage %v", i, hasUsage)
			}
			if p.Usage != nil && p.Usage.Details.Cached != cached {
				t.Fatalf("run %d: cached %d, want %d", run, p.Usage.Details.Cached, cached)
			}
		}
	}
	if got := e.Stats(); got.Runs != 2 || got.RecomputedTokens != 0 || got.StaleBlocks != 0 {
		t.Fatalf("stats %+v", got)
	}
}

// Pieces arrive from another stream, twice, or not at all. A reader that relies on the order of
// arrival would pass a part of another caller's answer on.
func TestPieceFaults(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{})
	e.SetFaults(emulator.EngineFaults{CrossNext: 1, RepeatNext: 1, LoseNext: 1, LateNext: 1, LateMS: 1})
	_, events := complete(t, e, "req", "prompt", 5)
	var ids []string
	for _, ev := range events[:len(events)-1] {
		ids = append(ids, ev.id)
	}
	want := "[other-req/0 req/0 req/1 req/1 req/3 req/4]"
	if got := fmt.Sprint(ids); got != want {
		t.Fatalf("pieces %s, want %s", got, want)
	}
	_, resumed := post(t, "http://"+e.Addr()+"/v1/streams/req/resume", http.Header{"Last-Event-Id": {"req/1"}}, "")
	if len(resumed) != 4 || resumed[0].id != "req/2" {
		t.Fatalf("events after resuming: %v", resumed)
	}
}

// An engine that restarts after a crash on the same address has lost its streams and its cached
// blocks.
func TestCrashLosesStreamsAndCache(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{})
	prompt := strings.Repeat("price sheet ", 100)
	complete(t, e, "first", prompt, 2)
	e.Crash(time.Millisecond)
	if e.Incarnation() != 2 {
		t.Fatalf("incarnation %d, want 2", e.Incarnation())
	}
	status, _ := post(t, "http://"+e.Addr()+"/v1/streams/first/resume", http.Header{"Last-Event-Id": {"first/0"}}, "")
	if status != 404 {
		t.Fatalf("resume: status %d, want 404", status)
	}
	_, events := complete(t, e, "second", prompt, 2)
	if p := decode(t, events[0]); p.Usage.Details.Cached != 0 {
		t.Fatalf("%d tokens still cached after a crash", p.Usage.Details.Cached)
	}
	if e.Stats().RecomputedTokens == 0 {
		t.Fatal("the recomputed blocks were not counted")
	}
}

// A prompt with the poison text crashes the engine that runs it. Its connection, like those of the
// engine's other requests, is closed without a response.
func TestPoisonTextCrashesTheEngine(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{})
	_, events := complete(t, e, "poison", "prompt "+emulator.PoisonText, 2)
	if len(events) != 0 {
		t.Fatalf("events %v", events)
	}
	if got := e.Stats().Crashes; got != 1 {
		t.Fatalf("%d crashes", got)
	}
}

// An engine is asked to import KV cache of another organisation or of older weights. Importing it
// would let one caller observe what was computed for another's prompts.
func TestImportRejectsOtherSaltOrVersion(t *testing.T) {
	shared := emulator.NewShared(1)
	from := startEngine(t, emulator.EngineConfig{Shared: shared})
	to := startEngine(t, emulator.EngineConfig{Shared: shared, ChecksFencing: true})
	prompt := strings.Repeat("catalogue ", 100)
	complete(t, from, "req", prompt, 1)
	salt := prefix.Salt("", "counter", "1")
	h := endpoint.KVHandle{Handle: "kept", Salt: salt.String()}
	for _, b := range prefix.Blocks(nil, salt, []byte(prompt), 64) {
		h.Blocks = append(h.Blocks, b.String())
	}
	send := func(e *emulator.Engine, what string, v any) (int, string) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return call(t, "POST", "http://"+e.Addr()+what, string(data))
	}
	if status, body := send(from, "/v1/kv/export", h); status != 200 || body != `{"blocks":3}` {
		t.Fatalf("export: %d %s", status, body)
	}
	other := h
	other.Salt = prefix.Salt("tema", "counter", "1").String()
	if status, _ := send(to, "/v1/kv/import", other); status != 409 {
		t.Fatalf("import under another salt: status %d", status)
	}
	if status, body := send(to, "/v1/kv/import", h); status != 200 || body != `{"blocks":3}` {
		t.Fatalf("import: %d %s", status, body)
	}
	if _, events := complete(t, to, "other", prompt, 1); decode(t, events[0]).Usage.Details.Cached != 192 {
		t.Fatalf("imported blocks were not used: %v", events[0])
	}
	load := endpoint.Order{Fence: 7, Kind: endpoint.OrderLoadModel, Model: "counter", Version: "2"}
	if status, _ := send(to, "/v1/orders", load); status != 200 {
		t.Fatalf("order: status %d", status)
	}
	for to.Stats().Runs == 1 {
		if status, _ := send(to, "/v1/kv/import", h); status == 409 {
			break
		}
	}
	load.Fence = 6
	if status, body := send(to, "/v1/orders", load); status != 409 || !strings.Contains(body, "stale_fence") {
		t.Fatalf("order with an old fencing number: %d %s", status, body)
	}
}

// Cache events are delayed and some are lost. A lost event must leave a gap in the sequence numbers
// that readers can detect.
func TestCacheEventsHaveGaps(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{EventLoss: 1, EventLag: time.Second})
	complete(t, e, "req", strings.Repeat("datasheet ", 100), 1)
	resp, err := http.Get("http://" + e.Addr() + "/v1/cache/events?after=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() && len(lines.Bytes()) == 0 {
	}
	var ev endpoint.CacheEvent
	if err := json.Unmarshal(lines.Bytes(), &ev); err != nil || ev.Op != endpoint.CacheClear || ev.Seq != 1 {
		t.Fatalf("event %s: %v", lines.Text(), err)
	}
	if e.Stats().Runs != 1 {
		t.Fatal("the request did not run")
	}
}

// Only an engine's error code not_started may be reported to callers as not run. A request that is
// rejected with it because the queue is full must not run.
func TestFullQueueRejectsBeforeStart(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{Slots: 1, Queue: 1, TokenTime: time.Hour, Pace: 1})
	url := "http://" + e.Addr() + "/v1/completions"
	const body = `{"model":"counter","prompt":"p","max_tokens":1,"stream":true}`
	for _, id := range []string{"running", "waiting"} {
		req, err := http.NewRequest("POST", url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", id)
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		for newestAccepted(t, e) != id {
		}
	}
	status, answer := call(t, "POST", url, body)
	if status != 429 || !strings.Contains(answer, `"not_started"`) {
		t.Fatalf("status %d, %s", status, answer)
	}
	if status, _ := call(t, "DELETE", "http://"+e.Addr()+"/v1/streams/running", ""); status != 200 {
		t.Fatalf("cancel: status %d", status)
	}
	for e.Runs()["waiting"] == 0 {
	}
	if runs := e.Runs(); len(runs) != 2 {
		t.Fatalf("runs %v, want those of the two accepted requests", runs)
	}
}

// newestAccepted returns the id of the request that the engine has accepted last.
func newestAccepted(t *testing.T, e *emulator.Engine) string {
	t.Helper()
	_, text := call(t, "GET", "http://"+e.Addr()+"/v1/load", "")
	var report endpoint.LoadReport
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		t.Fatal(err)
	}
	switch {
	case report.Running == 1 && report.Waiting == 1:
		return "waiting"
	case report.Running == 1:
		return "running"
	}
	return ""
}

// Faults of engines that run in another process are injected over HTTP.
func TestEngineControlPath(t *testing.T) {
	e := startEngine(t, emulator.EngineConfig{})
	control := "http://" + e.Addr() + "/control/"
	if status, body := call(t, "POST", control+"faults", `{"slow":3,"cross_next":2}`); status != 200 || !strings.Contains(body, `"slow":3`) {
		t.Fatalf("faults: %d %s", status, body)
	}
	if got := e.Faults(); got.Slow != 3 || got.CrossNext != 2 {
		t.Fatalf("injected faults: %+v", got)
	}
	if status, _ := call(t, "POST", control+"faults", `{"slow":`); status != 400 {
		t.Fatalf("truncated body: status %d", status)
	}
	if status, _ := call(t, "POST", control+"leaving", `{"leaving":true}`); status != 200 {
		t.Fatalf("leaving: status %d", status)
	}
	if _, body := call(t, "GET", "http://"+e.Addr()+"/v1/state", ""); !strings.Contains(body, `"leaving":true`) {
		t.Fatalf("state %s", body)
	}
	// The crash may cut off the response to its own request.
	call(t, "POST", control+"crash", `{"down_ms":1}`)
	for e.Stats().Crashes == 0 {
	}
}
