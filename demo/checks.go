package demo

import (
	"fmt"
	"strings"
	"time"
)

// maxFindings bounds the invariant violations that are reported individually.
const maxFindings = 20

// keyedRequest records the answers that callers got to one request with an Idempotency-Key, which
// must not run twice.
type keyedRequest struct {
	class     string
	marker    string
	confirmed bool
	// trace has one line per attempt with its result, in the order in which the attempts ended.
	trace []string
}

// maxTrace bounds the attempts of one request that are recorded.
const maxTrace = 16

// addTrace adds the result of an attempt to the trace.
func (k *keyedRequest) addTrace(begun time.Time, v verdict, target string, a *answer, runs int) {
	if len(k.trace) < maxTrace {
		k.trace = append(k.trace, fmt.Sprintf("%s to %s at %s: %s, status %d, code %s, %d runs then", begun.Format(traceTime),
			time.Now().Format(traceTime), target, v, a.status, a.errorCode, runs))
	}
}

// traceTime is the time layout in traces.
const traceTime = "05.000"

// runsOf returns how often the endpoints have started the request.
func (d *driver) runsOf(r *request, marker string) int {
	if d.runs == nil {
		return 0
	}
	return max(d.runs.ByMarker(marker), d.runs.ByKey(r.key))
}

// check counts the violations found in the answer to one attempt. They count even if a later
// attempt succeeds.
func (d *driver) check(r *request, v verdict, a answer, c call, marker, target string, begun time.Time, before int) {
	after := d.runsOf(r, marker)
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.classes[r.work.GetName()]
	counts.Attempts++
	if v == verdictNotRun && r.key == "" {
		d.addAttemptRefusal(r, marker, target, before, a)
	}
	if r.key != "" {
		d.keys[r.key].addTrace(begun, v, target, &a, after)
	}
	at := fmt.Sprintf("%s at %s as %s", marker, target, a.requestID)
	switch {
	case v == verdictIncomplete:
		counts.Incomplete++
		d.addFinding("incomplete: %s, status %d, ending %d after %q", at, a.status, a.ending, clip(a.text))
	// A request with a key is the same request in all attempts: "not run" is false if any of them
	// has run. Without a key it refers to this attempt only, and is checked at the end.
	case d.runs != nil && v == verdictNotRun && r.key != "" && after > 0:
		counts.FalseNotRun++
		d.addFinding("false not-run: %s, status %d, code %s, %d runs; %s", at, a.status, a.errorCode, after, d.traceOf(r.key))
	case v == verdictComplete && r.key != "":
		d.keys[r.key].confirmed = true
	case v == verdictWrong:
		counts.WrongAnswer++
		d.addFinding("wrong answer: %s, got %q, want %q", at, clip(a.text), clip(c.want))
	}
}

// clip shortens a text for one line of the report.
func clip(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}

func (d *driver) addFinding(format string, args ...any) {
	if len(d.findings) < maxFindings {
		d.findings = append(d.findings, fmt.Sprintf(format, args...))
	}
}

// maxRefusals bounds the refusals that are checked again at the end.
const maxRefusals = 1 << 18

// addKeyRefusal records that a request with a key was answered "not run". At the end of the run it
// is checked that the request has not run after all, since a send of it may still have been in
// transit.
func (d *driver) addKeyRefusal(r *request, marker string, runs int) {
	d.addRefusal(refusal{class: r.work.GetName(), marker: marker, key: r.key, runs: runs, detail: "by its key"})
}

// addAttemptRefusal does the same for an attempt of a request without a key. All attempts of a
// request that crashes engines share a marker, so only the runs of the attempt itself show whether
// its refusal was false.
func (d *driver) addAttemptRefusal(r *request, marker, target string, runs int, a answer) {
	f := refusal{class: r.work.GetName(), marker: marker, runs: runs}
	f.detail = fmt.Sprintf("to attempt %q at %s at %s, status %d, code %s, %d runs before", a.requestID, target, time.Now().Format(traceTime), a.status, a.errorCode, runs)
	if r.poison {
		f.attempt = a.requestID
	}
	d.addRefusal(f)
}

func (d *driver) addRefusal(f refusal) {
	if len(d.refusals) < maxRefusals {
		d.refusals = append(d.refusals, f)
	}
}

// ranAfterRefusal reports whether a request has run after it was refused, and how often it ran.
func (d *driver) ranAfterRefusal(f refusal) (runs int, ran bool) {
	if f.attempt != "" {
		runs = d.runs.ByAttempt(f.attempt)
		return runs, runs > 0
	}
	runs = max(d.runs.ByMarker(f.marker), d.runs.ByKey(f.key))
	return runs, runs > f.runs
}

// checkRefusals counts, at the end of a run, the refusals of requests that ran after they were
// refused.
func (d *driver) checkRefusals() {
	if d.runs == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.refusals {
		if runs, ran := d.ranAfterRefusal(r); ran {
			d.classes[r.class].FalseNotRun++
			d.addFinding("false not-run: %s ran after its refusal %s, %d runs; %s", r.marker, r.detail, runs, d.traceOf(r.key))
		}
	}
}

// checkKeys compares, at the end of a run, the answers to requests with a key with the runs that
// the endpoints counted.
func (d *driver) checkKeys() {
	if d.runs == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, k := range d.keys {
		// Services receive the key, engines only the marker.
		runs := max(d.runs.ByKey(key), d.runs.ByMarker(k.marker))
		c := d.classes[k.class]
		if runs > 1 {
			c.DoubledNonRepeatable++
			d.addFinding("doubled: %s ran %d times; %s", key, runs, d.traceOf(key))
		}
		if k.confirmed && runs == 0 {
			c.ConfirmedNotRun++
			d.addFinding("confirmed but not run: %s; %s", key, d.traceOf(key))
		}
	}
}

// traceOf returns the recorded attempts of the request with the key.
func (d *driver) traceOf(key string) string {
	if k, ok := d.keys[key]; ok {
		return strings.Join(k.trace, " | ")
	}
	return "no trace"
}
