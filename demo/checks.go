package demo

import "fmt"

// maxFindings bounds the broken invariants that are told one by one.
const maxFindings = 20

// keyed is what callers were told of one request that must not run twice.
type keyed struct {
	class     string
	marker    string
	confirmed bool
}

// runsOf returns how often the endpoints started the request.
func (d *driver) runsOf(r *request, marker string) int {
	if d.runs == nil {
		return 0
	}
	return max(d.runs.ByMarker(marker), d.runs.ByKey(r.key))
}

// check counts what is wrong with one attempt's answer; a later attempt does
// not mend it.
func (d *driver) check(r *request, v verdict, a answer, c call, marker, target string, before int) {
	after := d.runsOf(r, marker)
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.classes[r.work.GetName()]
	counts.Attempts++
	if v == verdictNotRun && r.key == "" && !r.poison {
		d.refuse(r, marker, before)
	}
	at := fmt.Sprintf("%s at %s as %s", marker, target, a.requestID)
	switch {
	case v == verdictIncomplete:
		counts.Incomplete++
		d.find("incomplete: %s, status %d, ending %d after %q", at, a.status, a.ending, clip(a.text))
	// A request with a key is one and the same in all attempts: not-run is
	// false if any of them has run.
	case d.runs != nil && v == verdictNotRun && (r.key != "" && after > 0 || r.poison && after > before):
		counts.FalseNotRun++
		d.find("false not-run: %s, status %d, code %s, %d runs", at, a.status, a.errorCode, after)
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
	if len(d.refusals) < maxRefusals {
		d.refusals = append(d.refusals, refusal{r.work.GetName(), marker, r.key, runs})
	}
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
		if runs := max(d.runs.ByMarker(r.marker), d.runs.ByKey(r.key)); runs > r.runs {
			d.classes[r.class].FalseNotRun++
			d.find("false not-run: %s ran after its refusal, %d runs", r.marker, runs)
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
			d.find("doubled: %s ran %d times", key, runs)
		}
		if k.confirmed && runs == 0 {
			c.ConfirmedNotRun++
			d.find("confirmed but not run: %s", key)
		}
	}
}
