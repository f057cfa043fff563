package account

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const logText = `   1.0 box {"at":"2026-01-01T10:00:00.500Z","event":"request","instance":"a","ms":100,"route":"draft","status":200,"sends":1,"waited_ms":20,"first_ms":60,"uncached":900,"shared_read":300,"ahead":50}
{"at":"2026-01-01T10:00:00.900Z","event":"request","instance":"a","ms":300,"route":"draft","status":200,"sends":1,"waited_ms":0,"first_ms":250,"uncached":10}
{"at":"2026-01-01T10:00:02.700Z","event":"request","instance":"b","ms":100,"route":"draft","status":503,"sends":0,"waited_ms":100,"waited_memory_ms":90,"why":"the endpoints of x are 10ms behind"}
{"at":"2026-01-01T10:00:02.800Z","event":"request","instance":"b","ms":5,"route":"draft","status":503,"sends":0,"waited_ms":0,"why":"the endpoints of x are 900ms behind","dropped_before":7}
collector started
{"at":"2026-01-01T10:00:02.900Z","event":"request","instance":"b","ms":5,"route":"order","status":401,"sends":0}
{"at":"2026-01-01T10:00:02.950Z","event":"request","instance":"b","ms":5,"route":"order","status":200,"sends":1,"forwarded_for":"a"}
{"at":"2026-01-01T10:00:03.000Z","event":"stopped","instance":"b"}
{"at":"2026-01-01T10:00:03.100Z","event":"request","instance":"a","ms":9,"route":"ord`

// An instance is killed while it writes, so its log ends in the middle of a line. The
// summary must still cover the rest of the log and report what is missing.
func TestTruncatedLogIsSummarised(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(logText)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	if len(l.Requests) != 5 || l.Truncated != 1 || l.Dropped != 7 {
		t.Fatalf("%d requests, %d truncated lines, %d dropped", len(l.Requests), l.Truncated, l.Dropped)
	}
	if len(l.Unfinished) != 1 || l.Unfinished[0] != "a" {
		t.Errorf("Unfinished is %v, want [a]", l.Unfinished)
	}
	var out bytes.Buffer
	l.Write(&out, Options{Window: 2 * time.Second, Slow: 200 * time.Millisecond, Worst: 1})
	for _, want := range []string{"1 lines break off", "7 lines were dropped", "no word of the end of: [a]", "2.0  1.000"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// A pool refuses requests for lack of memory while its engines are idle. Reported as queued
// work, that would send the engineer on call looking for slow engines.
func TestRefusalReasonsAreDistinguished(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(logText)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	row := l.ByRoute(Options{Slow: 200 * time.Millisecond})["draft"]
	want := map[Reason]int{Served: 1, Slow: 1, RefusedForMemory: 1, RefusedForWork: 1}
	for reason, count := range row.Count {
		if count != want[Reason(reason)] {
			t.Errorf("%d %s, want %d", count, Reason(reason), want[Reason(reason)])
		}
	}
	if row.Tokens != 910 || row.Shared != 300 {
		t.Errorf("%d tokens read, %d shared", row.Tokens, row.Shared)
	}
}

func TestPlotIsDrawn(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(logText)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	for name, begins := range map[string]string{"a.svg": "<svg", "a.png": "\x89PNG"} {
		var out bytes.Buffer
		if err := l.Plot(&out, name); err != nil || !strings.HasPrefix(out.String(), begins) {
			t.Errorf("%s: %v, begins %.20q", name, err, out.String())
		}
	}
}

// Callers report cut answers. Without a count of the connections closed for slow reading, that looks like a fault of endpoints.
func TestConnectionsOfSlowReadersAreCounted(t *testing.T) {
	const line = `{"at":"2026-01-01T10:00:00.500Z","event":"connection of a slow reader closed","instance":"a","peer":"caller","reason":"bound","omitted":3}` + "\n"
	var l Log
	if err := l.Read(strings.NewReader(line + line)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	var out bytes.Buffer
	l.Write(&out, Options{Window: time.Second})
	if want := "read slowly: 2 (caller, bound) 6 (without a line)"; !strings.Contains(out.String(), want) {
		t.Errorf("%q is missing in\n%s", want, out.String())
	}
}
