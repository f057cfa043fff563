package balance

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

func query(run RunID) Query {
	return Query{Run: run, Target: time.Second, Patience: 3 * time.Second, Ask: Ask{
		Service: "pool", Model: "m", Wall: "all", PromptTokens: 9000, OutputTokens: 40,
		Parts: []prefix.Part{{ID: "catalogue", Tokens: 8000}, {ID: "own", Tokens: 1000}},
	}}
}

// Two requests of different catalogues come in the same moment, before the first one has
// been sent. Unless the decision on the first counts for the second, both go to the same
// endpoint, and one waits for the other's prompt while the next endpoint idles.
func TestADecisionCountsForTheNext(t *testing.T) {
	s := NewState(time.Minute)
	now := time.Unix(1000, 0)
	s.SetEndpoints([]Endpoint{{ID: "a", Service: "pool", Versions: map[string]int64{"m": 1}}, {ID: "b", Service: "pool", Versions: map[string]int64{"m": 1}}})
	first := s.Decide(now, query(1))
	other := query(2)
	other.Parts = []prefix.Part{{ID: "another catalogue", Tokens: 8000}, {ID: "own", Tokens: 1000}}
	second := s.Decide(now, other)
	if first.Admission != Send || second.Admission != Send || first.Placement.Endpoint.ID == second.Placement.Endpoint.ID {
		t.Errorf("placed at %s and %s", first.Placement.Endpoint.ID, second.Placement.Endpoint.ID)
	}
}

// A scheduler is asked by instances that know a little more than it does: one of them has
// heard that the endpoint chosen leaves. The request must not be sent there.
func TestPlacementAtALeavingEndpointIsNotTaken(t *testing.T) {
	s := NewState(time.Minute)
	s.SetEndpoints([]Endpoint{{ID: "a", Service: "pool", Address: "10.0.0.1:80"}})
	p := Placement{Endpoint: Endpoint{ID: "a"}, Version: 1}
	got, ok := s.Resolve(query(1).Ask, p)
	if !ok || got.Endpoint.Address != "10.0.0.1:80" || len(got.Keys) != 2 {
		t.Errorf("resolved to %+v, %v", got, ok)
	}
	s.Gone("a")
	if _, ok := s.Resolve(query(1).Ask, p); ok {
		t.Error("placed at an endpoint that leaves")
	}
	b := Placement{Endpoint: Endpoint{ID: "b", Name: "b", Address: "10.0.0.2:80"}}
	if _, ok := s.Resolve(query(1).Ask, b); ok {
		t.Error("placed at an endpoint that is not listed")
	}
	s.SetListed(false)
	if got, ok := s.Resolve(query(1).Ask, b); !ok || got.Endpoint.Address != "10.0.0.2:80" {
		t.Errorf("an instance that knows no endpoints itself resolved to %+v, %v", got, ok)
	}
}

// An endpoint has taken new weights, and the scheduler has not heard of it. The first
// request that it places there is turned away. Unless it learns why, it places the next
// ones there as well, and all of them come back.
func TestSchedulerLearnsFromATurnedAwayRun(t *testing.T) {
	s := NewState(time.Minute)
	now := time.Unix(1000, 0)
	s.SetEndpoints([]Endpoint{{ID: "a", Service: "pool", Versions: map[string]int64{"m": 1}}})
	if v := s.Decide(now, query(1)); v.Placement.Version != 1 {
		t.Fatalf("placed for version %d", v.Placement.Version)
	}
	s.Misdirected(1, 2)
	s.Moved(now, 1, Misdirected)
	if v := s.Decide(now, query(2)); v.Placement.Version != 2 {
		t.Errorf("placed for version %d, the endpoint has said that it holds 2", v.Placement.Version)
	}
}
