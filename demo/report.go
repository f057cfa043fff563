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

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(95), at(99)}
}

// Counts counts the outcomes of requests as callers and endpoints observed them. Complete,
// RefusedNotRun, UnknownOutcome, Failed, CutByKill, StoppedReading and NotReached count requests by the last answer
// that the caller got. Incomplete and WrongAnswer count every answer, including those to requests
// that were sent again.
type Counts struct {
	Sent int `json:"sent"`
	// Complete counts answers that were complete and correct.
	Complete int `json:"complete"`
	// Incomplete counts answers that were truncated, interrupted or missing without an error
	// message.
	Incomplete int `json:"incomplete"`
	// WrongAnswer counts answers with a text that is not the one for the request.
	WrongAnswer int `json:"wrong_answer"`
	// RefusedNotRun counts requests that were refused with the statement that they did not run.
	RefusedNotRun int `json:"refused_not_run"`
	// UnknownOutcome counts requests that failed with the statement that they may or may not have
	// run.
	UnknownOutcome int `json:"unknown_outcome"`
	// UnknownRan counts those of UnknownOutcome that an endpoint had run.
	UnknownRan int `json:"unknown_ran"`
	// Failed counts requests that ended with any other explicit error.
	Failed int `json:"failed"`
	// CutByKill counts requests that were interrupted because the instance was killed.
	CutByKill int `json:"cut_by_kill"`
	// StoppedReading counts requests whose callers stopped reading, and whose answers ended before
	// they were complete: the router may close such a connection. They are not sent again.
	StoppedReading int `json:"stopped_reading"`
	// NotReached counts requests that could not be sent because no instance accepted the
	// connection.
	NotReached int `json:"not_reached"`
	// NotSent counts requests that were due but not sent, because too many others were open.
	NotSent int `json:"not_sent"`
	// Attempts counts all sends by callers, including resends.
	Attempts int `json:"attempts"`
	// DoubledNonRepeatable counts requests that must not run twice and ran more than once at the
	// endpoints.
	DoubledNonRepeatable int `json:"doubled_non_repeatable"`
	// FalseNotRun counts requests that were reported as not run but ran at an endpoint.
	FalseNotRun int `json:"false_not_run"`
	// ConfirmedNotRun counts requests that were answered as done but ran at no endpoint.
	ConfirmedNotRun int `json:"confirmed_not_run"`
	// EndpointRuns is the number of runs that the endpoints counted.
	EndpointRuns int `json:"endpoint_runs"`
	// PrefixHitRate is the share of prompt tokens that engines found cached.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// PrefixHitBound is the hit rate that would have been reached if every block that any engine
	// had computed before had been found in the cache.
	PrefixHitBound float64 `json:"prefix_hit_bound"`
	// WastedRecomputeTokens counts tokens that an engine computed although some engine had computed
	// the same block before.
	WastedRecomputeTokens int64 `json:"wasted_recompute_tokens"`
	// TTFT is the time from a request's due time to the first token, or to the response of a plain
	// service, over complete requests.
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

// EndpointCounts holds the counters of the emulated endpoints.
type EndpointCounts struct {
	EngineRuns  int `json:"engine_runs"`
	ServiceRuns int `json:"service_runs"`
	Refused     int `json:"refused"`
	Crashes     int `json:"crashes"`
	StaleBlocks int `json:"stale_blocks"`
	// LateStarts counts leaving engines that got new requests later than allowed.
	LateStarts int `json:"late_starts"`
}

// Report is the result of a run.
type Report struct {
	Scenario  string `json:"scenario"`
	Seed      int64  `json:"seed"`
	Instances int    `json:"instances"`
	Seconds   int64  `json:"seconds"`
	Counts
	Classes    map[string]*Counts `json:"by_class"`
	StoreCalls StoreCalls         `json:"store_calls"`
	Endpoints  EndpointCounts     `json:"endpoints"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults,omitempty"`
	// FailedStarts counts failed attempts to restart an instance.
	FailedStarts int `json:"failed_starts,omitempty"`
	// Findings lists the first invariant violations, one per line.
	Findings []string `json:"findings,omitempty"`
}

// Broken returns the names and counts of the violated invariants, or an empty string.
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

// WriteText writes the report as human-readable text.
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
	fmt.Fprintf(&b, "\ndoubled %d, false not-run %d, confirmed but not run %d, cut by kill %d, stopped reading %d, not reached %d, not sent %d, attempts %d\n",
		r.DoubledNonRepeatable, r.FalseNotRun, r.ConfirmedNotRun, r.CutByKill, r.StoppedReading, r.NotReached, r.NotSent, r.Attempts)
	writeEndpoints(&b, r)
	writeFaults(&b, r)
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "broken: %s\n", f)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeEndpoints writes the endpoints' counters, if there are any.
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

// finish computes the totals and the derived figures from the counts of the classes.
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

// close computes the figures that follow from the counts.
func (c *Counts) close() {
	c.TTFT = quantilesOf(c.hist)
	c.WastedRecomputeTokens = c.tokens.RecomputedTokens
	if c.tokens.PromptTokens > 0 {
		c.PrefixHitRate = float64(c.tokens.CachedTokens) / float64(c.tokens.PromptTokens)
		c.PrefixHitBound = float64(c.tokens.CachedTokens+c.tokens.RecomputedTokens) / float64(c.tokens.PromptTokens)
	}
}
