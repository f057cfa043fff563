package account

import (
	"bytes"
	"maps"
	"strings"
	"testing"
	"time"
)

const logText = `   1.0 box {"at":"2026-01-01T10:00:00.500Z","event":"request","instance":"a","ms":100,"route":"draft","status":200,"sends":1,"waited_ms":20,"first_ms":60,"uncached":900,"shared_read":300,"ahead":50}
{"at":"2026-01-01T10:00:00.900Z","event":"request","instance":"a","ms":300,"route":"draft","status":200,"sends":1,"waited_ms":0,"first_ms":250,"uncached":10,"bound_by":"a: recorded"}
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
	for _, want := range []string{"1 lines break off", "7 lines were dropped", "no word of the end of: [a]", "2.0  1.000", "recorded 1\n"} {
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

// Guards against refusals for full slots that are not distinguished by whose they are, or are mistaken for another reason.
func TestRefusalsForFullSlotsAreSummedByOrganisationAndRank(t *testing.T) {
	const refused = `{"at":"2026-01-01T10:00:00.500Z","event":"request","instance":"a","ms":1,"route":"stock","status":503,"waited_ms":1,"why":"the slots of x are in use",`
	text := strings.Join([]string{
		refused + `"organisation":"kumasi","priority":0,"limit":32,"in_use":33,"over_share":"organisation"}`,
		refused + `"organisation":"kumasi","priority":0,"limit":32,"in_use":33,"over_share":""}`,
		refused + `"organisation":"kumasi","priority":3,"limit":32,"in_use":33,"over_share":"rank"}`,
		refused + `"organisation":"tamale","priority":0,"limit":32,"in_use":33,"over_share":"organisation"}`,
	}, "\n")
	var l Log
	if err := l.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	if n := l.ByRoute(Options{})["stock"].Count[RefusedForSlots]; n != 4 {
		t.Errorf("%d of 4 refusals are for full slots", n)
	}
	want := map[Flow]SlotRefusals{{"kumasi", 0}: {2, 1, 0}, {"kumasi", 3}: {1, 0, 1}, {"tamale", 0}: {1, 1, 0}}
	if got := l.RefusedForSlotsBy(); !maps.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	var out bytes.Buffer
	l.Write(&out, Options{Window: time.Second})
	if !strings.Contains(out.String(), "organisation had its share") {
		t.Errorf("no table of refusals for full slots in\n%s", out.String())
	}
}

// Why an organisation was refused, and when it could come back, must not need a search through the lines.
func TestQuotaRefusalsAreSummedUpByOrganisation(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(`{"at":"2026-01-01T10:00:00.500Z","event":"request","organisation":"kumasi","status":429,"why":"the quota of kumasi is used up","cost":1000,"price":40,"booked_ms":2500}
{"at":"2026-01-01T10:00:00.600Z","event":"request","organisation":"kumasi","status":429,"why":"the quota of kumasi is used up","cost":3000,"price":60,"final":true}
{"at":"2026-01-01T10:00:00.700Z","event":"request","organisation":"kumasi","status":200}
{"at":"2026-01-01T10:00:00.800Z","event":"request","organisation":"tamale","status":200}
`)); err != nil {
		t.Fatal(err)
	}
	l.Finish()
	want := QuotaRow{Organisation: "kumasi", Requests: 3, Refused: 2, Booked: 1, Final: 1, Cost: 4000, Price: 100, LatestBooking: 2500 * time.Millisecond}
	if list := l.ByQuota(Options{}); len(list) != 1 || list[0] != want {
		t.Errorf("rows %+v, want %+v", list, want)
	}
	var out bytes.Buffer
	l.Write(&out, Options{Window: time.Second})
	if !strings.Contains(out.String(), "2.50       2000          50") {
		t.Errorf("written:\n%s", out.String())
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

// Guards against an on-call engineer who can't distinguish a fleet at its retry limit from processes that have just started.
func TestRetriesAreSummedUpByRoute(t *testing.T) {
	const lines = `{"at":"2026-02-10T05:32:00Z","event":"request","route":"stock","status":200,"sends":2,"retried":1}
{"at":"2026-02-10T05:32:01Z","event":"request","route":"stock","status":500,"sends":1,"retries":"used up","retry_limit":"recent start"}
{"at":"2026-02-10T05:32:02Z","event":"request","route":"stock","status":500,"sends":2,"retried":1,"retries":"used up","retry_limit":"window"}
{"at":"2026-02-10T05:32:03Z","event":"request","route":"drafts","status":200,"sends":1}
`
	var l Log
	if err := l.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	want := map[string]RetryRow{"stock": {Requests: 3, Retries: 2, Refused: 2, RefusedStarting: 1}}
	if got := l.ByRetries(); !maps.Equal(got, want) {
		t.Errorf("rows %v, want %v", got, want)
	}
}
