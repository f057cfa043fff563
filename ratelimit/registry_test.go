package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func limited(perSecond float64) Rate { return Rate{Limited: true, PerSecond: perSecond} }

func said(r Rate, sent, answered float64) Statement {
	return Statement{Endpoint: "e", Rate: r, SentAt: at(sent), AnsweredAt: at(answered)}
}

// Guards against an answer that was overtaken on its way lifting a limit, bringing one back
// that was lifted, or replacing a newer value.
func TestCrossedAnswersChangeNoLimit(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   []Statement
		want Rate
	}{
		{"the first limit", []Statement{said(limited(2), 1, 2)}, limited(2)},
		{"lifted by a request sent later", []Statement{said(limited(2), 1, 2), said(Rate{}, 3, 4)}, Rate{}},
		{"an answer without limit that was made before", []Statement{said(limited(2), 3, 4), said(Rate{}, 1, 2)}, limited(2)},
		{"one that may have been made before", []Statement{said(limited(2), 1, 4), said(Rate{}, 2, 5)}, limited(2)},
		{"an old limit after it was lifted", []Statement{said(limited(2), 1, 2), said(Rate{}, 5, 6), said(limited(2), 2, 4)}, Rate{}},
		{"raised by a request sent later", []Statement{said(limited(2), 1, 2), said(limited(9), 3, 4)}, limited(9)},
		{"an old value after a new one", []Statement{said(limited(9), 3, 4), said(limited(2), 1, 2)}, limited(9)},
		{"two values in either order: the stricter", []Statement{said(limited(9), 1, 4), said(limited(2), 2, 3)}, limited(2)},
		{"none", []Statement{said(Rate{}, 1, 2)}, Rate{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRegistry()
			for _, s := range tc.in {
				r.Take(s)
			}
			if got := r.Rate("e"); got != tc.want {
				t.Errorf("limit %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against instances that disagree for good, whatever order answers come in: once a
// request that was sent after all others is answered, each knows what it said.
func TestLastAnswerDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]Rate{{}, limited(0), limited(1.3), limited(50)})
		var list []Statement
		for range rapid.IntRange(0, 8).Draw(t, "answers") {
			sent := rapid.Float64Range(0, 10).Draw(t, "sent")
			list = append(list, said(rate.Draw(t, "rate"), sent, sent+rapid.Float64Range(0, 5).Draw(t, "takes")))
		}
		last := said(rate.Draw(t, "last rate"), 20, 21)
		r := NewRegistry()
		for _, s := range rapid.Permutation(list).Draw(t, "order") {
			r.Take(s)
		}
		r.Take(last)
		for _, s := range rapid.Permutation(list).Draw(t, "late") {
			r.Take(s)
		}
		if got := r.Rate("e"); got != last.Rate {
			t.Fatalf("limit %v, want %v", got, last.Rate)
		}
	})
}

// Guards against a value that is no rate putting a limit in force or lifting one.
func TestOnlyRatesAreRead(t *testing.T) {
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

// Guards against limits of endpoints that come and go for months filling the memory, and
// against an idle endpoint's limit being forgotten.
func TestLimitsOfEndpointsThatAreGoneAreForgotten(t *testing.T) {
	r := NewRegistry()
	r.Take(said(limited(1), 1, 2))
	gone := said(limited(1), 1, 2)
	gone.Endpoint = "gone"
	r.Take(gone)
	r.Sweep(at(1000), func(id string) bool { return id == "e" })
	if len(r.known) != 1 || r.Rate("e") != limited(1) {
		t.Errorf("%d kept, the idle endpoint's limit is %v", len(r.known), r.Rate("e"))
	}
}
