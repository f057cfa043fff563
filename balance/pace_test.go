package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

// sharedMachine is an endpoint that reads one prompt after the other, on a machine whose other work makes it slower now
// and then.
type sharedMachine struct {
	free time.Time
	slow map[int64]bool
}

const (
	// machineRate is how fast an endpoint reads at its usual pace, in tokens per ms.
	machineRate = 100
	// slowFactor is how much longer work takes on a busy machine, for slowPeriod at a time.
	slowFactor = 2.5
	slowPeriod = 600 * time.Millisecond
)

func (m *sharedMachine) pace(at time.Time) float64 {
	if m.slow[at.UnixNano()/int64(slowPeriod)] {
		return slowFactor
	}
	return 1
}

// read returns when a prompt that arrives now has been read.
func (m *sharedMachine) read(now time.Time, tokens int64) time.Time {
	if m.free.Before(now) {
		m.free = now
	}
	const step = 10 * time.Millisecond
	for left := float64(tokens); left > 0; m.free = m.free.Add(step) {
		left -= machineRate * float64(step.Milliseconds()) / m.pace(m.free)
	}
	return m.free
}

// Guards against prompts that are sent to an endpoint whose machine is busy with other work, and says so, as often as to
// the others: 12 endpoints at half of their capacity, each slow for 15 % of the time.
func TestPromptsAvoidMachinesThatAreSlowNow(t *testing.T) {
	const endpoints, requests, target, tokens = 12, 4000, 90 * time.Millisecond, 4000
	late := func(seed uint64, stated bool) (n int) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newPool(endpoints, endpoints)
		machines := map[string]*sharedMachine{}
		for _, v := range s.Endpoints("", start) {
			machines[v.ID] = &sharedMachine{slow: map[int64]bool{}}
		}
		type event struct {
			run RunID
			at  time.Time
			on  string
		}
		var pending []event
		now := start
		for k := range requests {
			now = now.Add(time.Duration(rng.ExpFloat64() * 2 * tokens / machineRate / endpoints * float64(time.Millisecond)))
			for _, m := range machines {
				slot := now.UnixNano() / int64(slowPeriod)
				if _, drawn := m.slow[slot]; !drawn {
					m.slow[slot] = rng.Float64() < 0.15
				}
			}
			var later []event
			for _, e := range pending {
				if e.at.After(now) {
					later = append(later, e)
					continue
				}
				if stated {
					s.SetPace(e.at, e.run, machines[e.on].pace(e.at))
				}
				s.SetStage(e.at, e.run, Answering)
				s.SetStage(e.at, e.run, Done)
			}
			pending = later
			ask := Ask{
				Service: "pool", Model: model, Wall: "all", DataCentre: "dc", PromptTokens: tokens, Offset: uint64(k),
				Parts: []prefix.Part{{ID: fmt.Sprint(k), Tokens: tokens}},
			}
			run, p := send(t, s, now, ask)
			done := machines[p.Endpoint.ID].read(now, tokens)
			if done.Sub(now) > target {
				n++
			}
			pending = append(pending, event{run, done, p.Endpoint.ID})
		}
		return n
	}
	for seed := range uint64(3) {
		unknown, known := late(seed, false), late(seed, true)
		t.Logf("seed %d: %d of %d late where the pace is not stated, %d where it is", seed, unknown, requests, known)
		if known*10 > unknown*7 {
			t.Errorf("seed %d: %d late although the pace is stated, %d without", seed, known, unknown)
		}
	}
}

// Guards against a pace that outlives what the endpoint has reported of it.
func TestPaceIsForgotten(t *testing.T) {
	p := pace{slowFactor, start}
	if got := p.now(start); got != slowFactor {
		t.Errorf("%v at once, want %v", got, slowFactor)
	}
	if got := p.now(start.Add(5 * paceMemory)); got > 1.02 {
		t.Errorf("%v long after, want about 1", got)
	}
}
