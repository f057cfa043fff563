// Package emulator holds small stand-ins of the platform's object API, of
// model engines and of a plain service, for tests and for the demo.
package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/endpoint"
)

// EngineConfig describes one engine stand-in.
type EngineConfig struct {
	// Name is the endpoint's name.
	Name string
	// Model and Version are loaded at start.
	Model, Version string
	// TokenTime is the time from one token to the next.
	TokenTime time.Duration
}

// Engine is a model engine's stand-in. It answers each prompt with a text that
// is a function of the prompt, so that a caller can tell its own answer.
type Engine struct {
	cfg EngineConfig
	srv *fasthttp.Server
	ln  net.Listener

	mu   sync.Mutex
	runs map[string]int
}

// StartEngine listens on addr and serves until Close.
func StartEngine(addr string, cfg EngineConfig) (*Engine, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{cfg: cfg, ln: ln, runs: map[string]int{}}
	e.srv = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true}
	go func() { _ = e.srv.Serve(ln) }()
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.ln.Addr().String() }

// Close stops the engine and cuts its connections.
func (e *Engine) Close() error { return e.ln.Close() }

// Runs returns how often each request was started.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

// completionRequest is the part of the OpenAI-style body that matters here.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Messages  []chatMessage
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/v1/state":
		writeJSON(ctx, endpoint.State{
			Endpoint:    e.cfg.Name,
			Incarnation: 1,
			Models:      []endpoint.ModelState{{Model: e.cfg.Model, Version: e.cfg.Version}},
		})
	case "/v1/completions", "/v1/chat/completions":
		e.generate(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (e *Engine) generate(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	chat := strings.HasSuffix(string(ctx.Path()), "chat/completions")
	tokens := Answer(promptOf(req), req.MaxTokens)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("X-Engine-Incarnation", "1")
	ctx.Response.Header.Set("X-Model-Version", e.cfg.Version)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i, token := range tokens {
			time.Sleep(e.cfg.TokenTime)
			writePiece(w, id, req.Model, i, token, chat, i == len(tokens)-1)
			if w.Flush() != nil {
				return
			}
		}
		fmt.Fprintf(w, "data: [DONE]\n\n")
		_ = w.Flush()
	})
}

func writePiece(w *bufio.Writer, id, model string, index int, token string, chat, last bool) {
	finish := "null"
	if last {
		finish = `"length"`
	}
	object, content := "text_completion", `"text":`+strconv.Quote(token)
	if chat {
		object, content = "chat.completion.chunk", `"delta":{"content":`+strconv.Quote(token)+`}`
	}
	fmt.Fprintf(w, "id: %s/%d\n", id, index)
	fmt.Fprintf(w, `data: {"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`+"\n\n",
		id, object, model, content, finish)
}

func promptOf(req completionRequest) string {
	if len(req.Messages) == 0 {
		return req.Prompt
	}
	var b strings.Builder
	for _, m := range req.Messages {
		fmt.Fprintf(&b, "%s\n%s\n", m.Role, m.Content)
	}
	return b.String()
}

// Answer returns the tokens that every engine stand-in answers a prompt with.
func Answer(prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = 16
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	seed := h.Sum64()
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%x.%d ", seed&0xffffff, i)
	}
	return tokens
}
