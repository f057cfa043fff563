package balance

import (
	"testing"
	"time"
)

// Guards against a short urgent request being refused because of the long prompts of a
// batch. The endpoint would run it first, so it would have been on time.
func TestUrgentRequestIgnoresLessUrgentBacklog(t *testing.T) {
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
		return Admit(Timing{Target: 500 * time.Millisecond, Patience: 2 * time.Second, Backlog: p.Backlog, FirstToken: p.FirstToken})
	}
	if got := decide(1); got != Send {
		t.Errorf("decision %v for an urgent request behind long ones, want Send", got)
	}
	if got := decide(4); got != Refuse {
		t.Errorf("decision %v for a request behind 36,000 tokens of its own rank, want Refuse", got)
	}
}

// Guards against a backlog that remains at an idle endpoint, for any order in which runs
// start and end.
func TestIdleEndpointHasNoBacklog(t *testing.T) {
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
			s.SetStage(start, id, Answering)
		}
		s.SetStage(start, id, Done)
	}
	for rank := range ranks {
		if n := s.endpoints["e0"].reading.ahead(rank); n != 0 {
			t.Errorf("%d tokens ahead of rank %d at an idle endpoint", n, rank)
		}
	}
}

// Guards against counting the whole output of a request from its first token on: outputs
// grow token by token, and half of the memory would stay empty while requests wait for it.
func TestOutputMemoryCountsHalfTheOutput(t *testing.T) {
	s := newPool(1, 1)
	asks := 0
	for ; asks < 100; asks++ {
		p, _ := s.Choose(start, longOutput(asks))
		if p.Full {
			break
		}
		id, _ := send(t, s, start, longOutput(asks))
		s.SetStage(start, id, Answering)
	}
	if want := 100_000 / (1000 + 4000/2); asks != want {
		t.Errorf("%d outputs fit into memory, want %d", asks, want)
	}
}

// longOutput returns a request for 4,000 output tokens on a prompt of 1,000.
func longOutput(own int) Ask {
	a := prompt(0, own)
	a.Parts = a.Parts[1:]
	a.PromptTokens, a.OutputTokens = 1000, 4000
	return a
}

// Guards against urgent requests that are refused when many long prompts of a batch are queued, although the endpoint
// reads only one of them before.
func TestUrgentRequestWaitsForOneLessUrgentPromptAtMost(t *testing.T) {
	s := newPool(1, 1)
	ahead := func() int64 {
		p, _ := s.Choose(start, Ask{Service: "pool", Model: model, Wall: "all", DataCentre: "dc", PromptTokens: 600, OutputTokens: 20})
		return p.Ahead
	}
	var one int64
	for i := range 20 {
		long := prompt(i, i)
		long.Rank = 4
		send(t, s, start, long)
		if i == 0 {
			one = ahead()
		}
	}
	if got := ahead(); one == 0 || got > one {
		t.Errorf("%d tokens ahead of an urgent request behind 20 prompts, want those of one, %d", got, one)
	}
}
