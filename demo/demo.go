// Package demo runs instances and stand-ins in one process over loopback TCP,
// drives requests through them and counts what callers got.
package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/instance"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
	"github.com/sardinedock/sardinedock/settings"
)

// Scenarios lists the scenarios by name.
var Scenarios = []string{"kwabena", "khangai"}

// Options are the demo's flags.
type Options struct {
	Instances int
	Endpoints int
	Seconds   int
	Seed      int64
	Scenario  string
}

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is what came of a run, counted at the callers.
type Report struct {
	Sent        int       `json:"sent"`
	Complete    int       `json:"complete"`
	Incomplete  int       `json:"incomplete"`
	WrongAnswer int       `json:"wrong_answer"`
	Refused     int       `json:"refused_not_run"`
	TTFT        Quantiles `json:"ttft_ms"`
}

// Broken names the broken invariant, or nothing.
func (r *Report) Broken() string {
	if r.Incomplete > 0 || r.WrongAnswer > 0 {
		return fmt.Sprintf("%d incomplete, %d wrong answers", r.Incomplete, r.WrongAnswer)
	}
	return ""
}

// WriteText prints the report for a reader.
func (r *Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "sent %d, complete %d, incomplete %d, wrong answer %d, refused %d\nfirst token ms: p50 %.1f p95 %.1f p99 %.1f\n",
		r.Sent, r.Complete, r.Incomplete, r.WrongAnswer, r.Refused, r.TTFT.P50, r.TTFT.P95, r.TTFT.P99)
	return err
}

const (
	demoKey   = "demo-key"
	demoModel = "counter"
	demoRate  = 50
)

// Run runs one scenario to its end.
func Run(ctx context.Context, o Options, progress io.Writer) (*Report, error) {
	e, err := emulator.Start("127.0.0.1:0", records(o))
	if err != nil {
		return nil, err
	}
	defer e.Close()
	var targets []string
	for n := range o.Instances {
		i, err := startInstance(ctx, e.Store.Addr(), n)
		if err != nil {
			return nil, err
		}
		defer func() { _ = i.Stop(ctx) }()
		targets = append(targets, i.Callers())
	}
	fmt.Fprintf(progress, "%d instances, %d endpoints, %d s of %s\n", o.Instances, o.Endpoints, o.Seconds, o.Scenario)
	return drive(o, targets), nil
}

func records(o Options) []*recordspb.Record {
	pool := &recordspb.EndpointPool{BlockTokens: 64, CacheBlocks: 4096, Slots: 16, UrgentSlots: proto.Int64(2), PrefillTokensPerSecond: 20000, LoadsAtOnce: 2}
	for n := range o.Endpoints {
		pool.Endpoints = append(pool.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%d", n), Address: "127.0.0.1:0"})
	}
	class := &recordspb.RequestClass{MaxWaitMs: 2000, TimeoutMs: 60000}
	model := &recordspb.Model{Version: "1", Pool: "engines", DefaultClass: "quote", MaxTokens: 4096}
	org := &recordspb.Organisation{KeyHashes: []string{record.HashKey(demoKey)}, Weight: 1}
	return []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool}},
		{SchemaVersion: 1, Name: "quote", Spec: &recordspb.Record_Class{Class: class}},
		{SchemaVersion: 1, Name: demoModel, Spec: &recordspb.Record_Model{Model: model}},
		{SchemaVersion: 1, Name: "accra", Spec: &recordspb.Record_Organisation{Organisation: org}},
	}
}

func startInstance(ctx context.Context, storeAddr string, n int) (*instance.Instance, error) {
	text := fmt.Sprintf("fleet: demo\ninstance: entry-%d\ndata_centre: dc-%d\nlisten: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\nplatform: {address: %q}\n", n, n%3, storeAddr)
	s, faults := settings.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("demo settings: %v", faults)
	}
	return instance.Start(ctx, s)
}

// drive sends on schedule whether or not earlier answers have come.
func drive(o Options, targets []string) *Report {
	d := &driver{hist: hdrhistogram.New(1, 600_000_000, 3)}
	rng := rand.New(rand.NewPCG(uint64(o.Seed), 1))
	start := time.Now()
	var wg sync.WaitGroup
	for n := range o.Seconds * demoRate {
		due := start.Add(time.Duration(n) * time.Second / demoRate)
		time.Sleep(time.Until(due))
		prompt := fmt.Sprintf("%s\nitem %d of customer %d", strings.Repeat("M12 anchor, grade 8.8; ", 400), n, rng.IntN(20))
		target := targets[rng.IntN(len(targets))]
		wg.Go(func() { d.send(target, prompt, due) })
	}
	wg.Wait()
	d.report.TTFT = Quantiles{d.quantile(50), d.quantile(95), d.quantile(99)}
	return &d.report
}

type driver struct {
	mu     sync.Mutex
	report Report
	hist   *hdrhistogram.Histogram
}

func (d *driver) quantile(q float64) float64 {
	return float64(d.hist.ValueAtQuantile(q)) / 1000
}

func (d *driver) send(target, prompt string, due time.Time) {
	const maxTokens = 8
	want := strings.Join(emulator.Answer(prompt, maxTokens), "")
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{demoModel, prompt, maxTokens, true})
	status, got, ended, first := call(target, body)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Sent++
	switch {
	case status == fasthttp.StatusServiceUnavailable:
		d.report.Refused++
	case status != fasthttp.StatusOK || !ended:
		d.report.Incomplete++
	case got != want:
		d.report.WrongAnswer++
	default:
		d.report.Complete++
		_ = d.hist.RecordValue(first.Sub(due).Microseconds())
	}
}

func call(target string, body []byte) (status int, text string, ended bool, first time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + target + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Authorization", "Bearer "+demoKey)
	req.SetBodyRaw(body)
	c := &fasthttp.Client{StreamResponseBody: true}
	if err := c.Do(req, resp); err != nil {
		return 0, "", false, first
	}
	var b strings.Builder
	sc := bufio.NewScanner(resp.BodyStream())
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		if string(data) == "[DONE]" {
			return resp.StatusCode(), b.String(), true, first
		}
		var piece struct {
			Choices []struct{ Text string }
		}
		if json.Unmarshal(data, &piece) == nil && len(piece.Choices) == 1 {
			b.WriteString(piece.Choices[0].Text)
		}
	}
	return resp.StatusCode(), b.String(), false, first
}
