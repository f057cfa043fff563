package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func limited(perSecond float64) Rate { return Rate{Limited: true, PerSecond: perSecond} }

func statement(r Rate, sent, answered float64) Statement {
	return Statement{Endpoint: "e", Rate: r, SentAt: at(sent), AnsweredAt: at(answered)}
}

// Guards against a response that was overtaken by a later one lifting a limit, restoring a
// lifted one or replacing a newer value.
func TestOvertakenResponsesDoNotChangeLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   []Statement
		want Rate
	}{
		{"the first limit", []Statement{statement(limited(2), 1, 2)}, limited(2)},
		{"lifted by a request sent later", []Statement{statement(limited(2), 1, 2), statement(Rate{}, 3, 4)}, Rate{}},
		{"an answer without limit that was made before", []Statement{statement(limited(2), 3, 4), statement(Rate{}, 1, 2)}, limited(2)},
		{"one that may have been made before", []Statement{statement(limited(2), 1, 4), statement(Rate{}, 2, 5)}, limited(2)},
		{"an old limit after it was lifted", []Statement{statement(limited(2), 1, 2), statement(Rate{}, 5, 6), statement(limited(2), 2, 4)}, Rate{}},
		{"raised by a request sent later", []Statement{statement(limited(2), 1, 2), statement(limited(9), 3, 4)}, limited(9)},
		{"an old value after a new one", []Statement{statement(limited(9), 3, 4), statement(limited(2), 1, 2)}, limited(9)},
		{"two values in either order: the stricter", []Statement{statement(limited(9), 1, 4), statement(limited(2), 2, 3)}, limited(2)},
		{"none", []Statement{statement(Rate{}, 1, 2)}, Rate{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRegistry()
			for _, s := range tc.in {
				r.Apply(s)
			}
			if got := r.Rate("e"); got != tc.want {
				t.Errorf("limit %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against instances that permanently disagree on a limit because they receive
// responses in different orders: once a request that was sent after all others is answered,
// its value applies everywhere.
func TestLastResponseDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]Rate{{}, limited(0), limited(1.3), limited(50)})
		var list []Statement
		for range rapid.IntRange(0, 8).Draw(t, "answers") {
			sent := rapid.Float64Range(0, 10).Draw(t, "sent")
			list = append(list, statement(rate.Draw(t, "rate"), sent, sent+rapid.Float64Range(0, 5).Draw(t, "takes")))
		}
		last := statement(rate.Draw(t, "last rate"), 20, 21)
		r := NewRegistry()
		for _, s := range rapid.Permutation(list).Draw(t, "order") {
			r.Apply(s)
		}
		r.Apply(last)
		for _, s := range rapid.Permutation(list).Draw(t, "late") {
			r.Apply(s)
		}
		if got := r.Rate("e"); got != last.Rate {
			t.Fatalf("limit %v, want %v", got, last.Rate)
		}
	})
}

// Guards against an invalid value setting or lifting a limit.
func TestParseRateRejectsInvalidValues(t *testing.T) {
	for _, text := range []string{"", "x", "-1", "NaN", "Inf", "-Inf", "1e999", "1,5", "2/s"} {
		if r, err := ParseRate(text); err == nil {
			t.Errorf("%q is read as %v", text, r)
		}
	}
	for text, want := range map[string]float64{"0": 0, "1.3": 1.3, " 2 ": 2, "1e6": 1e6, "0.01": 0.01} {
		if r, err := ParseRate(text); err != nil || r != limited(want) {
			t.Errorf("%q is read as %v, %v", text, r, err)
		}
	}
}

// Guards against a memory leak by the limits of removed endpoints, and against dropping the
// limit of an idle endpoint.
func TestLimitsOfRemovedEndpointsAreSwept(t *testing.T) {
	r := NewRegistry()
	r.Apply(statement(limited(1), 1, 2))
	removed := statement(limited(1), 1, 2)
	removed.Endpoint = "removed"
	r.Apply(removed)
	r.Sweep(at(1000), func(id string) bool { return id == "e" })
	if len(r.known) != 1 || r.Rate("e") != limited(1) {
		t.Errorf("%d kept, the idle endpoint's limit is %v", len(r.known), r.Rate("e"))
	}
}
