package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/frontend"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

const (
	testKey     = "test-key"
	testSilence = 300 * time.Millisecond
	// testPace speeds up the emulated engines.
	testPace = 20
)

// placer places requests like staticPlacer and records the results reported to it.
type placer struct {
	staticPlacer
	mu      sync.Mutex
	alone   bool
	results []placement.Result
	firsts  int
}

func (p *placer) Place(ctx context.Context, r placement.Request) (placement.Grant, error) {
	g, err := p.staticPlacer.Place(ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Alone = p.alone
	return g, err
}

func (p *placer) FirstToken(placement.Grant, int64, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firsts++
}

func (p *placer) Done(_ placement.Grant, res placement.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, res)
}

func (p *placer) ends() []placement.End {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ends []placement.End
	for _, r := range p.results {
		ends = append(ends, r.End)
	}
	return ends
}

// fixture is a server in front of emulated engines and services.
type fixture struct {
	*emulator.Emulator
	server   *frontend.Server
	config   frontend.Config
	snapshot *record.Snapshot
	placer   *placer
	url      string
	ids      int
	mu       sync.Mutex
}

type fixtureConfig struct {
	engines, services int
	engine            emulator.EngineConfig
	service           emulator.ServiceConfig
	limits            *settingspb.Limits
	class             *recordspb.RequestClass
	configure         func(*frontend.Config)
}

func newFixture(t testing.TB, cfg fixtureConfig) *fixture {
	t.Helper()
	if cfg.engine.Pace == 0 {
		cfg.engine.Pace = testPace
	}
	records := testRecords(cfg)
	e, err := emulator.StartWith("127.0.0.1:0", records, emulator.Config{Engine: cfg.engine, Service: cfg.service})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	r := &fixture{Emulator: e, placer: &placer{}}
	clients := endpoint.NewClients(time.Second, testSilence)
	config := frontend.Config{
		Limits:      testLimits(cfg.limits),
		Placer:      r.placer,
		Dial:        func(a string) frontend.Engine { return clients.Engine(a) },
		DialService: func(a string) frontend.Service { return clients.Service(a) },
		NewID:       r.newID,
	}
	if cfg.configure != nil {
		cfg.configure(&config)
	}
	r.config, r.snapshot = config, record.NewSnapshot(1, records)
	r.url = r.serve(t, config)
	return r
}

// serve starts a server and returns its URL.
func (r *fixture) serve(t testing.TB, config frontend.Config) string {
	t.Helper()
	r.server = frontend.NewServer(config)
	server := r.server
	server.SetRecords(r.snapshot)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return "http://" + ln.Addr().String()
}

func (r *fixture) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("req-%d", r.ids)
}

func testLimits(l *settingspb.Limits) *settingspb.Limits {
	if l != nil {
		return l
	}
	return &settingspb.Limits{
		HeaderBytes: 16384, BodyBytes: 1 << 20, ReadTimeoutMs: 5000, WriteTimeoutMs: 1000,
		Connections: 100, SilenceMs: testSilence.Milliseconds(),
	}
}

func testRecords(cfg fixtureConfig) []*recordspb.Record {
	pool := &recordspb.EndpointPool{BlockTokens: 64, CacheBlocks: 4096, Slots: 4, PrefillTokensPerSecond: 20000, LoadsAtOnce: 1}
	for n := range cfg.engines {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%d", n), Address: "127.0.0.1:0"})
	}
	svc := &recordspb.Service{PathPrefix: "/services/ordering/", NonIdempotentMethods: []string{"POST"}}
	for n := range cfg.services {
		svc.Endpoints = append(svc.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("ordering-%d", n), Address: "127.0.0.1:0"})
	}
	class := cfg.class
	if class == nil {
		class = &recordspb.RequestClass{MaxWaitMs: 1000, TimeoutMs: 60000}
	}
	org := &recordspb.Organisation{KeyHashes: []string{record.HashKey(testKey)}, Weight: 1, Models: []string{"counter", "bad-pool"}}
	return []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}},
		{SchemaVersion: 1, Name: "counter", Spec: &recordspb.Record_Model{Model: &recordspb.Model{Version: "1", Pool: "engines", MaxTokens: 100000, DefaultClass: "quote"}}},
		{SchemaVersion: 1, Name: "secret", Spec: &recordspb.Record_Model{Model: &recordspb.Model{Version: "1", Pool: "engines", MaxTokens: 10}}},
		{SchemaVersion: 1, Name: "bad-pool", Spec: &recordspb.Record_Model{Model: &recordspb.Model{Version: "1", Pool: "none", MaxTokens: 10}}},
		{SchemaVersion: 1, Name: "quote", Spec: &recordspb.Record_Class{Class: class}},
		{SchemaVersion: 1, Name: "ordering", Spec: &recordspb.Record_Service{Service: svc}},
		{SchemaVersion: 1, Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: org}},
	}
}

// engineOf returns the engine that runs the request of resp.
func (r *fixture) engineOf(resp *http.Response) *emulator.Engine {
	for _, e := range r.Engines {
		if e.Name() == resp.Header.Get("X-Sardinedock-Endpoint") {
			return e
		}
	}
	return nil
}

func (r *fixture) do(t testing.TB, method, path string, header http.Header, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		req.Header = header.Clone()
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+testKey)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// startStream requests a streamed completion.
func (r *fixture) startStream(t testing.TB, prompt string, tokens int, header http.Header) *reader {
	t.Helper()
	body := fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	resp := r.do(t, "POST", "/v1/completions", header, body)
	return &reader{t: t, resp: resp, lines: bufio.NewScanner(resp.Body)}
}

// reader reads a streamed answer as a caller does.
type reader struct {
	t     testing.TB
	resp  *http.Response
	lines *bufio.Scanner
	text  strings.Builder
	ids   map[string]bool
	err   string
	done  bool
}

// piece reads one event; it returns false at the end.
func (rd *reader) piece() bool {
	isError := false
	for rd.lines.Scan() {
		line := rd.lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			isError = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if isError {
			rd.err = string(data)
			return true
		}
		if string(data) == "[DONE]" {
			rd.done = true
			return true
		}
		rd.add(data)
		return true
	}
	return false
}

func (rd *reader) add(data []byte) {
	var c struct {
		ID      string `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		rd.t.Fatalf("piece %s: %v", data, err)
	}
	if rd.ids == nil {
		rd.ids = map[string]bool{}
	}
	rd.ids[c.ID] = true
	for _, ch := range c.Choices {
		rd.text.WriteString(ch.Text)
	}
}

// rest reads the rest of the answer.
func (rd *reader) rest() *reader {
	for rd.piece() {
	}
	return rd
}

// wantComplete checks that the answer is the complete one to the prompt.
func (rd *reader) wantComplete(prompt string, tokens int) {
	rd.t.Helper()
	if rd.resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(rd.resp.Body)
		rd.t.Fatalf("status %d: %s", rd.resp.StatusCode, body)
	}
	want := strings.Join(emulator.Answer(prompt, tokens), "")
	if got := rd.text.String(); got != want {
		rd.t.Fatalf("got %q, want %q (error %s)", got, want, rd.err)
	}
	if !rd.done || rd.err != "" {
		rd.t.Fatalf("done %v, error %s", rd.done, rd.err)
	}
	if len(rd.ids) != 1 {
		rd.t.Fatalf("pieces have the ids %v", rd.ids)
	}
	if got := rd.resp.Trailer.Get("X-Sardinedock-Outcome"); got != "complete" {
		rd.t.Fatalf("outcome %q", got)
	}
}

// wantError checks that the answer ended with an explicit error.
func (rd *reader) wantError(code, outcome string) {
	rd.t.Helper()
	if rd.done || !strings.Contains(rd.err, `"code":"`+code+`"`) {
		rd.t.Fatalf("done %v, error %q, want code %s", rd.done, rd.err, code)
	}
	if got := rd.resp.Trailer.Get("X-Sardinedock-Outcome"); got != outcome {
		rd.t.Fatalf("outcome %q, want %q", got, outcome)
	}
}
