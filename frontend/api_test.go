package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/frontend"
)

func bodyOf(prompt string, tokens int) io.Reader {
	return strings.NewReader(fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens))
}

func TestAnswerHeaders(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	long := strings.Repeat(prompt, 100)
	r.startStream(t, long, 2, nil).rest().wantComplete(long, 2)
	rd := r.startStream(t, long, 2, nil).rest()
	rd.wantComplete(long, 2)
	h := rd.resp.Header
	if h.Get("X-Request-Id") != "req-2" || h.Get("X-Sardinedock-Endpoint") != "engine-0" || h.Get("X-Sardinedock-Cached-Tokens") != "704" {
		t.Fatalf("headers %v", h)
	}
	if got := h.Get("Content-Type"); got != "text/event-stream" {
		t.Fatalf("content type %q", got)
	}
}

func TestUnstreamedAnswersWithOpenAIClient(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 2})
	c := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL(r.url+"/v1"), option.WithMaxRetries(0))
	got, err := c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model: "counter", MaxCompletionTokens: openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Join(emulator.Answer("user\n"+prompt+"\n", 7), "")
	if got.Choices[0].Message.Content != want || got.Choices[0].FinishReason != "length" || got.Object != "chat.completion" {
		t.Fatalf("got %s", got.RawJSON())
	}
	if got.Usage.CompletionTokens != 7 || got.Usage.TotalTokens != got.Usage.PromptTokens+7 || got.ID != "req-1" {
		t.Fatalf("got %s", got.RawJSON())
	}
	text, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
		Model: "counter", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := strings.Join(emulator.Answer(prompt, 16), ""); text.Choices[0].Text != want {
		t.Fatalf("got %s", text.RawJSON())
	}
}

// The engine crashes in the middle of a chat answer that is not streamed. The answer must
// still be complete.
func TestUnstreamedAnswerSurvivesCrash(t *testing.T) {
	t.Parallel()
	r := newFixture(t, fixtureConfig{engines: 2})
	type result struct {
		text string
		err  error
	}
	got := make(chan result, 1)
	go func() {
		c := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL(r.url+"/v1"), option.WithMaxRetries(0))
		a, err := c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
			Model: "counter", MaxTokens: openai.Int(300),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		})
		if err != nil {
			got <- result{err: err}
			return
		}
		got <- result{text: a.Choices[0].Message.Content}
	}()
	var running *emulator.Engine
	for running == nil {
		for _, e := range r.Engines {
			if e.Stats().CachedTokens+e.Stats().PromptTokens > 0 {
				running = e
			}
		}
	}
	running.Crash(time.Millisecond)
	res := <-got
	if want := strings.Join(emulator.Answer("user\n"+prompt+"\n", 300), ""); res.err != nil || res.text != want {
		t.Fatalf("got %q, %v", res.text, res.err)
	}
}

// An invalid request must be answered with the status that the OpenAI API defines, a message
// with a remedy, and the outcome not-run.
func TestRefusals(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	good := `{"model":"counter","prompt":"x","max_tokens":1}`
	tests := []struct {
		name, path, body string
		header           http.Header
		status           int
		errorType        string
	}{
		{"no key", "/v1/completions", good, http.Header{"Authorization": {"Basic x"}}, 401, "authentication_error"},
		{"wrong key", "/v1/completions", good, http.Header{"Authorization": {"Bearer no"}}, 401, "authentication_error"},
		{"no path", "/v2/x", good, nil, 404, "invalid_request_error"},
		{"not JSON", "/v1/completions", `{"model":`, nil, 400, "invalid_request_error"},
		{"null", "/v1/completions", `null`, nil, 400, "invalid_request_error"},
		{"no prompt", "/v1/completions", `{"model":"counter"}`, nil, 400, "invalid_request_error"},
		{"no messages", "/v1/chat/completions", good, nil, 400, "invalid_request_error"},
		{"no tokens", "/v1/completions", `{"model":"counter","prompt":"x","max_tokens":0}`, nil, 400, "invalid_request_error"},
		{"wrong type", "/v1/completions", `{"model":"counter","prompt":"x","stream":"yes"}`, nil, 400, "invalid_request_error"},
		{"no model", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, 404, "invalid_request_error"},
		{"model not allowed", "/v1/completions", `{"model":"secret","prompt":"x"}`, nil, 404, "invalid_request_error"},
		{"pool without record", "/v1/completions", `{"model":"bad-pool","prompt":"x"}`, nil, 503, "server_error"},
		{"no class", "/v1/completions", good, http.Header{"X-Sardinedock-Class": {"none"}}, 400, "invalid_request_error"},
		{"invalid non-idempotent header", "/v1/completions", good, http.Header{"X-Sardinedock-Non-Idempotent": {"yes"}}, 400, "invalid_request_error"},
		{"long key", "/v1/completions", good, http.Header{"Idempotency-Key": {strings.Repeat("k", 256)}}, 400, "invalid_request_error"},
		{"refused by engine", "/v1/completions", `{"model":"counter","prompt":[1,2]}`, nil, 400, "invalid_request_error"},
		{"no service", "/services/none/x", good, nil, 404, "invalid_request_error"},
		{"large", "/v1/completions", strings.Repeat("x", 2<<20), nil, 413, "invalid_request_error"},
		{"large header", "/v1/completions", good, http.Header{"X-Long": {strings.Repeat("x", 20000)}}, 431, "invalid_request_error"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := r.do(t, "POST", tt.path, tt.header, tt.body)
			var got struct {
				Error struct {
					Message, Type, Code string
				}
			}
			if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || got.Error.Type != tt.errorType || got.Error.Message == "" || got.Error.Code == "" {
				t.Fatalf("status %d, %+v", resp.StatusCode, got)
			}
			want := "not-run"
			if tt.name == "refused by engine" {
				want = "complete"
			}
			if o := resp.Header.Get("X-Sardinedock-Outcome"); o != want {
				t.Fatalf("outcome %q", o)
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
		})
	}
	if got := r.Engines[0].Stats().Runs; got != 0 {
		t.Fatalf("%d runs", got)
	}
}

// All endpoints are unreachable. The refusal must report the outcome not-run.
func TestAllEndpointsClosed(t *testing.T) {
	t.Parallel()
	r := newFixture(t, fixtureConfig{engines: 2})
	for _, e := range r.Engines {
		e.Stop()
	}
	resp := r.do(t, "POST", "/v1/completions", nonIdempotent, `{"model":"counter","prompt":"x","max_tokens":1}`)
	if resp.StatusCode != 503 || resp.Header.Get("X-Sardinedock-Outcome") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
}

// A caller sets the cache salt or the priority itself, to reach cached prompts of another
// organisation or to take precedence over other callers. The router must override both fields.
func TestCallersCannotSetTheRoutersFields(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	long := strings.Repeat(prompt, 100)
	r.startStream(t, long, 1, nil).rest()
	body := fmt.Sprintf(`{"cache_salt":"00000000000000000000000000000000","priority":-9,"model":"counter","prompt":%q,"max_tokens":1,"cache_salt":"1"}`, long)
	resp := r.do(t, "POST", "/v1/completions", nil, body)
	if got := resp.Header.Get("X-Sardinedock-Cached-Tokens"); resp.StatusCode != 200 || got != "704" {
		t.Fatalf("status %d, cached %s: the caller's salt was used", resp.StatusCode, got)
	}
}

// An organisation must see only the models that its record allows.
func TestModels(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	c := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL(r.url+"/v1"), option.WithMaxRetries(0))
	list, err := c.Models.List(context.Background())
	if err != nil || len(list.Data) != 2 || list.Data[1].ID != "counter" {
		t.Fatalf("%+v, %v", list, err)
	}
	one, err := c.Models.Get(context.Background(), "counter")
	if err != nil || one.ID != "counter" {
		t.Fatalf("%+v, %v", one, err)
	}
	if resp := r.do(t, "GET", "/v1/models/secret", nil, ""); resp.StatusCode != 404 {
		t.Fatalf("status %d for a model that the organisation may not use", resp.StatusCode)
	}
}

// A request arrives at an instance that has no records yet. Its refusal once had no request
// ID, so that a later attempt of the same request, which ran, was mistaken for the refused one,
// and a correct not-run was counted as false.
func TestEachRefusalHasItsOwnRequestID(t *testing.T) {
	r := newFixture(t, fixtureConfig{engines: 1})
	without := frontend.NewServer(r.config)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = without.Serve(ln) }()
	t.Cleanup(without.Kill)
	ids := map[string]bool{}
	for _, url := range []string{"http://" + ln.Addr().String() + "/v1/completions", r.url + "/nowhere", r.url + "/v1/completions"} {
		resp, err := http.Post(url, "application/json", strings.NewReader("{"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		id := resp.Header.Get("X-Request-Id")
		if resp.StatusCode < 400 || id == "" || ids[id] {
			t.Errorf("%s: status %d, id %q, want a refusal with an id of its own", url, resp.StatusCode, id)
		}
		ids[id] = true
	}
}
