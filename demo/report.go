package demo

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sardinedock/sardinedock/emulator"
)

// Bounds of the latency histograms, in microseconds, and their precision.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	sigFigures    = 3
)

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99)}
}

// Counts is what became of requests, as callers and endpoints saw it. Complete,
// RefusedNotRun, UnknownOutcome, Failed, CutByKill and NotReached count requests
// by the last word that the caller got; Incomplete and WrongAnswer count every
// answer, also of a request that was then sent again.
type Counts struct {
	Sent int `json:"sent"`
	// Complete answers were whole and right.
	Complete int `json:"complete"`
	// Incomplete ended short, broke off or never came, and no error was said.
	Incomplete int `json:"incomplete"`
	// WrongAnswer had a text that was not the request's own.
	WrongAnswer int `json:"wrong_answer"`
	// RefusedNotRun were refused with the word that they did not run.
	RefusedNotRun int `json:"refused_not_run"`
	// UnknownOutcome ended with the word that nobody knows whether they ran.
	UnknownOutcome int `json:"unknown_outcome"`
	// UnknownRan are those of them that an endpoint had run.
	UnknownRan int `json:"unknown_ran"`
	// Failed ended with another error that was said.
	Failed int `json:"failed"`
	// CutByKill broke off because the instance was killed.
	CutByKill int `json:"cut_by_kill"`
	// NotReached found no instance.
	NotReached int `json:"not_reached"`
	// NotSent were due while too many others were open.
	NotSent int `json:"not_sent"`
	// Attempts is how often callers sent, with all resends.
	Attempts int `json:"attempts"`
	// DoubledNonRepeatable ran more than once at the endpoints.
	DoubledNonRepeatable int `json:"doubled_non_repeatable"`
	// FalseNotRun were said not to have run, and had run at an endpoint.
	FalseNotRun int `json:"false_not_run"`
	// ConfirmedNotRun were answered as done, and had not run at any endpoint.
	ConfirmedNotRun int `json:"confirmed_not_run"`
	// EndpointRuns is how many runs the endpoints counted.
	EndpointRuns int `json:"endpoint_runs"`
	// PrefixHitRate is the share of prompt tokens that engines found cached.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// PrefixHitBound is what the hit rate would be had every block that an
	// engine computed before been found again.
	PrefixHitBound float64 `json:"prefix_hit_bound"`
	// WastedRecomputeTokens were computed by an engine though an engine had
	// computed the same block before.
	WastedRecomputeTokens int64 `json:"wasted_recompute_tokens"`
	// TTFT runs from the due time to the first token, or to the answer of a
	// plain service, of complete requests.
	TTFT Quantiles `json:"ttft_ms"`

	tokens emulator.TokenStats
	hist   *hdrhistogram.Histogram
}

func newCounts() *Counts {
	return &Counts{hist: hdrhistogram.New(lowestMicros, highestMicros, sigFigures)}
}

// StoreCalls counts the calls that reached the object API.
type StoreCalls struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Watches     int `json:"watches"`
	RateLimited int `json:"rate_limited"`
}

// EndpointCounts is what the endpoints say of a run.
type EndpointCounts struct {
	EngineRuns  int `json:"engine_runs"`
	ServiceRuns int `json:"service_runs"`
	Refused     int `json:"refused"`
	Crashes     int `json:"crashes"`
	StaleBlocks int `json:"stale_blocks"`
	// LateStarts is how many leaving engines got new work later than allowed.
	LateStarts int `json:"late_starts"`
}

// Report is what came of a run.
type Report struct {
	Scenario  string `json:"scenario"`
	Seed      int64  `json:"seed"`
	Instances int    `json:"instances"`
	Seconds   int64  `json:"seconds"`
	Counts
	Classes    map[string]*Counts `json:"by_class"`
	StoreCalls StoreCalls         `json:"store_calls"`
	Endpoints  EndpointCounts     `json:"endpoints"`
	// Faults counts the faults that were ordered, by kind.
	Faults map[string]int `json:"faults,omitempty"`
	// FailedStarts counts restarts of instances that had to be tried again.
	FailedStarts int `json:"failed_starts,omitempty"`
	// Findings are the first broken invariants, one a line.
	Findings []string `json:"findings,omitempty"`
}

// Broken names the broken invariants, or nothing.
func (r *Report) Broken() string {
	var broken []string
	for _, c := range []struct {
		name  string
		count int
	}{
		{"incomplete", r.Incomplete},
		{"wrong_answer", r.WrongAnswer},
		{"not_reached", r.NotReached},
		{"doubled_non_repeatable", r.DoubledNonRepeatable},
		{"false_not_run", r.FalseNotRun},
		{"confirmed_not_run", r.ConfirmedNotRun},
		{"stale_blocks", r.Endpoints.StaleBlocks},
		{"late_starts", r.Endpoints.LateStarts},
	} {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", c.name, c.count))
		}
	}
	return strings.Join(broken, ", ")
}

// WriteText prints the report for a reader.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %d instances, %d s\n\n", r.Scenario, r.Seed, r.Instances, r.Seconds)
	fmt.Fprintf(&b, "%-14s %7s %8s %10s %6s %7s %7s %6s %8s %6s %9s  %s\n", "", "sent", "complete", "incomplete", "wrong", "not run",
		"unknown", "failed", "hit rate", "bound", "recompute", "first token p50 p95 p99 ms")
	writeRow(&b, "all", &r.Counts)
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeRow(&b, name, r.Classes[name])
	}
	fmt.Fprintf(&b, "\ndoubled %d, false not-run %d, confirmed but not run %d, cut by kill %d, not reached %d, not sent %d, attempts %d\n",
		r.DoubledNonRepeatable, r.FalseNotRun, r.ConfirmedNotRun, r.CutByKill, r.NotReached, r.NotSent, r.Attempts)
	writeEndpoints(&b, r)
	writeFaults(&b, r)
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "broken: %s\n", f)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeEndpoints tells what the stand-ins counted, where they are ours.
func writeEndpoints(b *strings.Builder, r *Report) {
	e := r.Endpoints
	if e == (EndpointCounts{}) {
		return
	}
	fmt.Fprintf(b, "endpoints: %d engine runs, %d service runs, %d refused, %d crashes, %d stale blocks, %d late starts\n",
		e.EngineRuns, e.ServiceRuns, e.Refused, e.Crashes, e.StaleBlocks, e.LateStarts)
	fmt.Fprintf(b, "object API: %d reads, %d writes, %d open watches, %d over the rate\n",
		r.StoreCalls.Reads, r.StoreCalls.Writes, r.StoreCalls.Watches, r.StoreCalls.RateLimited)
}

func writeFaults(b *strings.Builder, r *Report) {
	names := make([]string, 0, len(r.Faults))
	for name := range r.Faults {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(b, "fault: %3d %s\n", r.Faults[name], name)
	}
}

func writeRow(b *strings.Builder, name string, c *Counts) {
	prefill := fmt.Sprintf("%8s %6s %9s", "-", "-", "-")
	if c.tokens.PromptTokens > 0 {
		prefill = fmt.Sprintf("%8.3f %6.3f %9d", c.PrefixHitRate, c.PrefixHitBound, c.WastedRecomputeTokens)
	}
	fmt.Fprintf(b, "%-14s %7d %8d %10d %6d %7d %7d %6d %s  %.1f %.1f %.1f\n", name, c.Sent, c.Complete, c.Incomplete, c.WrongAnswer,
		c.RefusedNotRun, c.UnknownOutcome, c.Failed, prefill, c.TTFT.P50, c.TTFT.P95, c.TTFT.P99)
}

// finish computes what follows from the counts of the classes.
func (r *Report) finish() {
	r.hist = newCounts().hist
	for _, c := range r.Classes {
		c.close()
		r.add(c)
	}
	r.close()
}

func (c *Counts) add(o *Counts) {
	c.Sent += o.Sent
	c.Complete += o.Complete
	c.Incomplete += o.Incomplete
	c.WrongAnswer += o.WrongAnswer
	c.RefusedNotRun += o.RefusedNotRun
	c.UnknownOutcome += o.UnknownOutcome
	c.UnknownRan += o.UnknownRan
	c.Failed += o.Failed
	c.CutByKill += o.CutByKill
	c.NotReached += o.NotReached
	c.NotSent += o.NotSent
	c.Attempts += o.Attempts
	c.DoubledNonRepeatable += o.DoubledNonRepeatable
	c.FalseNotRun += o.FalseNotRun
	c.ConfirmedNotRun += o.ConfirmedNotRun
	c.EndpointRuns += o.EndpointRuns
	c.tokens.Add(o.tokens)
	c.hist.Merge(o.hist)
}

func (c *Counts) close() {
	c.TTFT = quantilesOf(c.hist)
	c.WastedRecomputeTokens = c.tokens.RecomputedTokens
	if c.tokens.PromptTokens > 0 {
		c.PrefixHitRate = float64(c.tokens.CachedTokens) / float64(c.tokens.PromptTokens)
		c.PrefixHitBound = float64(c.tokens.CachedTokens+c.tokens.RecomputedTokens) / float64(c.tokens.PromptTokens)
	}
}
