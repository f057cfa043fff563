package balance

import (
	"testing"
	"time"
)

// Long prompts of a batch fill the pool while somebody asks a short urgent question.
// Endpoints take the urgent one first; refused for the long ones' sake, the caller is
// told to come back although it would have been on time.
func TestUrgentRequestDoesNotCountLessUrgentWork(t *testing.T) {
	s := newPool(1, 1)
	for i := range 6 {
		long := prompt(i, i)
		long.Rank = 4
		send(t, s, start, long)
	}
	short := Ask{Service: "pool", Model: model, Wall: "all", DataCentre: "dc", PromptTokens: 600, OutputTokens: 20}
	decide := func(rank int) Admission {
		short.Rank = rank
		p, ok := s.Choose(start, short)
		if !ok {
			t.Fatal("no endpoint")
		}
		return Admit(Timing{Target: 500 * time.Millisecond, Patience: 2 * time.Second, Backlog: p.Backlog, First: p.First})
	}
	if got := decide(1); got != Send {
		t.Errorf("decision %v for an urgent request behind long ones", got)
	}
	if got := decide(4); got != Refuse {
		t.Errorf("decision %v for one of their own rank, 36,000 tokens behind", got)
	}
}

// Whatever begins and ends, in any order, an endpoint without work has no backlog.
func TestBacklogEndsWithItsWork(t *testing.T) {
	s := newPool(1, 1)
	var runs []RunID
	for i := range 12 {
		a := prompt(i, i)
		a.Rank = i - 1
		id, _ := send(t, s, start, a)
		runs = append(runs, id)
	}
	for i, id := range runs {
		if i%2 == 0 {
			s.Moved(start, id, Answering)
		}
		s.Moved(start, id, Done)
	}
	for rank := range ranks {
		if n := s.endpoints["e0"].reading.ahead(rank); n != 0 {
			t.Errorf("%d tokens ahead of rank %d at an idle endpoint", n, rank)
		}
	}
}

// Long answers are made in a pool's memory bit by bit. If each counts as whole from
// its first token on, half of the room stays empty while callers wait for it.
func TestAnswersCountAsTheyGrow(t *testing.T) {
	s := newPool(1, 1)
	asks := 0
	for ; asks < 100; asks++ {
		p, _ := s.Choose(start, longAnswer(asks))
		if p.Full {
			break
		}
		id, _ := send(t, s, start, longAnswer(asks))
		s.Moved(start, id, Answering)
	}
	if want := 100_000 / (1000 + 4000/2); asks != want {
		t.Errorf("%d answers fit, want %d", asks, want)
	}
}

// longAnswer asks for 4,000 tokens on a prompt of 1,000.
func longAnswer(own int) Ask {
	a := prompt(0, own)
	a.Parts = a.Parts[1:]
	a.PromptTokens, a.OutputTokens = 1000, 4000
	return a
}
