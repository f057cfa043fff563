package demo

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/schema/loadpb"
)

// A run that shows a fault is repeated with its seed, so the same seed must produce the same
// requests.
func TestSameSeedGivesSameRequests(t *testing.T) {
	for _, name := range Scenarios {
		o := Options{Scenario: name, Seconds: 5, Seed: 7}
		a, b := &workload{load: newScenario(o).load}, &workload{load: newScenario(o).load}
		due := a.dueTimes()
		if !reflect.DeepEqual(due, b.dueTimes()) {
			t.Fatal("due times differ")
		}
		for n := range 20 {
			x, y := a.draw(n, due[n]), b.draw(n, due[n])
			if x.prompt != y.prompt || x.key != y.key || x.resend != y.resend || x.work.GetName() != y.work.GetName() {
				t.Fatalf("%s: request %d differs", name, n)
			}
		}
	}
}

// Prompts must start with texts that other prompts share. Otherwise nothing can be reused and the
// hit rate is meaningless.
func TestPromptsSharePrefixes(t *testing.T) {
	w := &workload{load: newScenario(Options{Scenario: scenarioKwabena, Seconds: 10, Seed: 1}).load}
	starts := map[string]int{}
	quotes := 0
	for n, due := range w.dueTimes() {
		r := w.draw(n, due)
		if r.work.GetName() != "quote" {
			continue
		}
		quotes++
		length := 4 * int(r.work.GetCompanyTokens()+r.work.GetFamilyTokens())
		starts[r.prompt[:length]]++
		if !strings.Contains(r.prompt[length:], "request ") {
			t.Fatal("a prompt without a unique part")
		}
	}
	if len(starts)*2 > quotes {
		t.Fatalf("%d different prefixes among %d quotes", len(starts), quotes)
	}
}

func TestReportNamesEachBrokenInvariant(t *testing.T) {
	r := Report{Counts: Counts{Incomplete: 1, WrongAnswer: 2, DoubledNonRepeatable: 3, FalseNotRun: 4, ConfirmedNotRun: 5}}
	const want = "incomplete 1, wrong_answer 2, doubled_non_repeatable 3, false_not_run 4, confirmed_not_run 5"
	if got := r.Broken(); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	if (&Report{Counts: Counts{RefusedNotRun: 9, UnknownOutcome: 9, Failed: 9}}).Broken() != "" {
		t.Fatal("an explicit refusal or error was reported as a broken invariant")
	}
}

// An organisation asks for several times its part in its time of excess only, and the requests of all
// others stay the same, so that runs with and without excess can be compared.
func TestExcessAddsRequestsOfItsOrganisation(t *testing.T) {
	l := newScenario(Options{Scenario: scenarioKwabena, Seconds: 10, Seed: 1}).load
	w := &workload{load: l}
	before := w.arrivals()
	greedy := l.GetCallers()[0]
	greedy.Excess = &loadpb.Excess{FromMs: 2000, LengthMs: 3000, Factor: 4}
	sum := 0.0
	for _, c := range l.GetCallers() {
		sum += c.GetWeight()
	}
	want := 3 * 3 * l.GetRequestsPerSecond() * greedy.GetWeight() / sum
	var usual []arrival
	further := 0.0
	for _, a := range w.arrivals() {
		if a.caller == nil {
			usual = append(usual, a)
			continue
		}
		further++
		if r := w.drawArrival(a); r.caller != greedy || a.due < 2*time.Second || a.due >= 5*time.Second {
			t.Fatalf("a further request of %s at %v", r.caller.GetOrganisation(), a.due)
		}
	}
	if !reflect.DeepEqual(usual, before) {
		t.Error("the usual requests have changed")
	}
	if further < want || further > want+1 {
		t.Errorf("%v further requests, want %v", further, want)
	}
}
