package demo

import (
	"fmt"
	"strings"
	"time"
)

// maxFindings bounds the broken invariants that are told one by one.
const maxFindings = 20

// keyed is what callers were told of one request that must not run twice.
type keyed struct {
	class     string
	marker    string
	confirmed bool
	// trace is what each attempt came to, in the order of their ends.
	trace []string
}

// maxTrace bounds the attempts of one request that are told.
const maxTrace = 16

// traced adds an attempt to the request's trace.
func (k *keyed) traced(begun time.Time, v verdict, target string, a *answer, runs int) {
	if len(k.trace) < maxTrace {
		k.trace = append(k.trace, fmt.Sprintf("%s to %s at %s: %s, status %d, code %s, %d runs then", begun.Format(traceTime),
			time.Now().Format(traceTime), target, v, a.status, a.errorCode, runs))
	}
}

// traceTime is the layout of the times in traces.
const traceTime = "05.000"

// runsOf returns how often the endpoints started the request.
func (d *driver) runsOf(r *request, marker string) int {
	if d.runs == nil {
		return 0
	}
	return max(d.runs.ByMarker(marker), d.runs.ByKey(r.key))
}

// check counts what is wrong with one attempt's answer; a later attempt does
// not mend it.
func (d *driver) check(r *request, v verdict, a answer, c call, marker, target string, begun time.Time, before int) {
	after := d.runsOf(r, marker)
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.classes[r.work.GetName()]
	counts.Attempts++
	if v == verdictNotRun && r.key == "" {
		d.refuseAttempt(r, marker, target, before, a)
	}
	if r.key != "" {
		d.keys[r.key].traced(begun, v, target, &a, after)
	}
	at := fmt.Sprintf("%s at %s as %s", marker, target, a.requestID)
	switch {
	case v == verdictIncomplete:
		counts.Incomplete++
		d.find("incomplete: %s, status %d, ending %d after %q", at, a.status, a.ending, clip(a.text))
	// A request with a key is one and the same in all attempts: not-run is
	// false if any of them has run. Without one it is said of this attempt, and
	// judged at the end.
	case d.runs != nil && v == verdictNotRun && r.key != "" && after > 0:
		counts.FalseNotRun++
		d.find("false not-run: %s, status %d, code %s, %d runs; %s", at, a.status, a.errorCode, after, d.traceOf(r.key))
	case v == verdictComplete && r.key != "":
		d.keys[r.key].confirmed = true
	case v == verdictWrong:
		counts.WrongAnswer++
		d.find("wrong answer: %s, got %q, want %q", at, clip(a.text), clip(c.want))
	}
}

// clip shortens a text for a line of the report.
func clip(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}

func (d *driver) find(format string, args ...any) {
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, fmt.Sprintf(format, args...))
	}
}

// maxRefusals bounds the refusals that are checked again at the end.
const maxRefusals = 1 << 18

// refuse remembers a word of "not run", to see at the end whether the request
// ran after all: a piece of it may have been on its way.
func (d *driver) refuse(r *request, marker string, runs int) {
	d.remember(refusal{class: r.work.GetName(), marker: marker, key: r.key, runs: runs, said: "by its key"})
}

// refuseAttempt does so for a request without a key. Attempts that crash engines share a
// marker, so only the runs of the attempt itself show that its refusal was false.
func (d *driver) refuseAttempt(r *request, marker, target string, runs int, a answer) {
	f := refusal{class: r.work.GetName(), marker: marker, runs: runs}
	f.said = fmt.Sprintf("to attempt %q at %s at %s, status %d, code %s, %d runs before", a.requestID, target, time.Now().Format(traceTime), a.status, a.errorCode, runs)
	if r.poison {
		f.attempt = a.requestID
	}
	d.remember(f)
}

func (d *driver) remember(f refusal) {
	if len(d.refusals) < maxRefusals {
		d.refusals = append(d.refusals, f)
	}
}

// becameFalse reports whether a request has run after it was refused.
func (d *driver) becameFalse(f refusal) (runs int, ran bool) {
	if f.attempt != "" {
		runs = d.runs.ByAttempt(f.attempt)
		return runs, runs > 0
	}
	runs = max(d.runs.ByMarker(f.marker), d.runs.ByKey(f.key))
	return runs, runs > f.runs
}

// settleRefusals counts, at the end of a run, the refusals that have become
// false since they were checked first.
func (d *driver) settleRefusals() {
	if d.runs == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.refusals {
		if runs, ran := d.becameFalse(r); ran {
			d.classes[r.class].FalseNotRun++
			d.find("false not-run: %s ran after its refusal %s, %d runs; %s", r.marker, r.said, runs, d.traceOf(r.key))
		}
	}
}

// settleKeys counts, at the end of a run, by what the endpoints ran.
func (d *driver) settleKeys() {
	if d.runs == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, k := range d.keys {
		// Services see the key, engines only the marker.
		runs := max(d.runs.ByKey(key), d.runs.ByMarker(k.marker))
		c := d.classes[k.class]
		if runs > 1 {
			c.DoubledNonRepeatable++
			d.find("doubled: %s ran %d times; %s", key, runs, d.traceOf(key))
		}
		if k.confirmed && runs == 0 {
			c.ConfirmedNotRun++
			d.find("confirmed but not run: %s; %s", key, d.traceOf(key))
		}
	}
}

func (d *driver) traceOf(key string) string {
	if k, ok := d.keys[key]; ok {
		return strings.Join(k.trace, " | ")
	}
	return "no trace"
}
