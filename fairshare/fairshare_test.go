package fairshare

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Unix(1_700_000_000, 0)

// sender is what one organisation and rank ask for and get.
type sender struct {
	flow Flow
	// perS is the work asked for in a second, size that of one request.
	perS, size     float64
	asked, granted float64
	owed           float64
}

// play has the senders ask for work in virtual time. A request is admitted while the capacity per second is not used
// up, or if it is under its share and at most half a second's more is.
func play(s *Shares, now time.Time, during time.Duration, capacity float64, senders []*sender) time.Time {
	const step = 5 * time.Millisecond
	for _, x := range senders {
		x.asked, x.granted = 0, 0
	}
	queue := 0.0
	for until := now.Add(during); now.Before(until); now = now.Add(step) {
		queue = max(0, queue-capacity*step.Seconds())
		for _, x := range senders {
			for x.owed += x.perS * step.Seconds(); x.owed >= x.size; x.owed -= x.size {
				st := s.Standing(now, x.flow)
				admitted := queue <= 0.1*capacity || (st.Organisation || st.Rank) && queue <= 0.2*capacity
				s.Decided(now, x.flow, x.size, st, admitted)
				x.asked += x.size
				if admitted {
					queue += x.size
					x.granted += x.size
					s.Completed(now, x.flow, x.size, x.size)
				}
			}
		}
	}
	return now
}

// Guards against an organisation that gets less than its max-min share because others ask for more, whatever the size
// of their requests.
func TestOrganisationsGetTheirMaxMinShare(t *testing.T) {
	rapid.Check(t, organisationsGetTheirMaxMinShare)
}

// The same with the seed of a case in which a small organisation gets 0.83 of its share.
func TestMaxMinShareWithSeedsThatFailed(t *testing.T) {
	rapidseed.Use(t, 15033622743997888678)
	rapid.Check(t, organisationsGetTheirMaxMinShare)
}

func organisationsGetTheirMaxMinShare(t *rapid.T) {
	const capacity = 1000.0
	var senders []*sender
	var asked []float64
	for n := range rapid.IntRange(1, 12).Draw(t, "organisations") {
		x := &sender{flow: Flow{Organisation: uint32(n + 1)}, perS: rapid.Float64Range(20, 2000).Draw(t, "work"), size: rapid.Float64Range(0.2, 10).Draw(t, "size")}
		senders, asked = append(senders, x), append(asked, x.perS)
	}
	s := New()
	now := play(s, start, 4*time.Second, capacity, senders)
	const seconds = 8
	play(s, now, seconds*time.Second, capacity, senders)
	level := maxMin(asked, capacity)
	for _, x := range senders {
		if got, want := x.granted/seconds, min(x.perS, level); got < 0.85*want-2*x.size {
			t.Fatalf("organisation %d asks for %.0f and gets %.0f, its share is %.0f", x.flow.Organisation, x.perS, got, want)
		}
	}
}

// Guards against a new organisation that is refused until the others' recent work is forgotten, and against one that
// stays preferred because of work that it was refused long ago.
func TestSharesFollowChangesOfDemand(t *testing.T) {
	large, late := &sender{flow: Flow{Organisation: 1}, perS: 2000, size: 1}, &sender{flow: Flow{Organisation: 2}, size: 1}
	s := New()
	now := play(s, start, 5*time.Second, 1000, []*sender{large, late})
	late.perS = 400
	now = play(s, now, time.Second, 1000, []*sender{large, late})
	if late.granted < 0.95*late.asked {
		t.Errorf("in its first second, a new organisation gets %.0f of %.0f", late.granted, late.asked)
	}
	late.perS = 2000
	now = play(s, now, 3*time.Second, 1000, []*sender{large, late})
	play(s, now, 3*time.Second, 1000, []*sender{large, late})
	if ratio := large.granted / late.granted; ratio < 0.85 || ratio > 1.15 {
		t.Errorf("of two that ask for the same, one gets %.2f times as much as the other", ratio)
	}
}

// Guards against state that grows with the number of organisations, and against large ones that are not distinguished
// from the small ones because these came first.
func TestLargestOrganisationsAreTracked(t *testing.T) {
	s := New()
	var senders []*sender
	for n := range 300 {
		senders = append(senders, &sender{flow: Flow{Organisation: uint32(n + 1)}, perS: 4, size: 1})
	}
	now := play(s, start, 2*time.Second, 1000, senders)
	large := &sender{flow: Flow{Organisation: 1000}, perS: 3000, size: 1}
	play(s, now, 5*time.Second, 1000, append(senders, large))
	if len(s.tracked) > maxOrganisations {
		t.Errorf("%d organisations are tracked", len(s.tracked))
	}
	if s.tracked[1000] == nil {
		t.Error("an organisation that asks for most of the work is not tracked")
	}
}

// Guards against a rank that is served less often than a less urgent one, and against one that is not served while
// more urgent ones ask for everything.
func TestRanksUnderTheirShare(t *testing.T) {
	for _, c := range []struct {
		rank  int
		ranks map[int]rank
		want  bool
	}{
		{0, map[int]rank{0: {100, 50}, 3: {100, 60}}, true},
		{0, map[int]rank{0: {100, 90}, 3: {100, 30}}, false},
		{3, map[int]rank{0: {100, 90}, 3: {100, 30}}, true},
		{3, map[int]rank{0: {100, 60}, 3: {100, 40}}, false},
		{3, map[int]rank{0: {100, 100}, 3: {100, 100}}, false},
		{0, map[int]rank{0: {100, 50}}, false},
		{0, map[int]rank{3: {100, 50}}, true},
	} {
		s := New()
		s.at = start
		for r, v := range c.ranks {
			s.ranks[r] = v
		}
		if got := s.Standing(start, Flow{Rank: c.rank}).Rank; got != c.want {
			t.Errorf("rank %d of %v is under its share: %v, want %v", c.rank, c.ranks, got, c.want)
		}
	}
}

// Guards against values that are not numbers after hours without a request, and against negative work.
func TestWorkIsForgotten(t *testing.T) {
	s := New()
	f := Flow{Organisation: 1, Rank: 30}
	s.Decided(start, f, 5, Standing{}, true)
	s.Reverted(start, f, 7)
	s.Completed(start.Add(time.Hour), f, 5, 1)
	st := s.Standing(start.Add(2*time.Hour), f)
	if v := s.View(start.Add(2 * time.Hour)); math.IsNaN(v.FairShare) || len(v.Organisations) > 0 || len(v.Ranks) > 0 || !st.Organisation {
		t.Errorf("after two hours: %+v, %+v", v, st)
	}
}

func BenchmarkStanding(b *testing.B) {
	s := New()
	now := start
	for n := range b.N {
		now = now.Add(100 * time.Microsecond)
		f := Flow{Organisation: uint32(n % 100), Rank: n % 10}
		st := s.Standing(now, f)
		s.Decided(now, f, 1, st, n%2 == 0)
		s.Completed(now, f, 1, 1)
	}
}
