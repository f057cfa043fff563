package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/sardinedock/sardinedock/emulator"
)

// A run that leaves a fault behind would blame the router for what the stand-in
// still does. So every kind is ordered, all at once, and then healed.
func TestEveryFaultIsHealed(t *testing.T) {
	s := newScenario(Options{Scenario: scenarioFaults, Seconds: 1, Seed: 1, Endpoints: 3})
	e, err := emulator.StartWith(anyPort, s.records, s.emulator)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	f, err := startFleet(context.Background(), e.Store, s.dataCentres, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	in := &injector{emulator: e, fleet: f, records: s.records, rng: rand.New(rand.NewPCG(1, 1)), heal: make(chan struct{}), counts: map[string]int{}}
	for _, k := range faultKinds {
		k.order(in)
	}
	close(in.heal)
	in.wg.Wait()
	if got := e.Store.Faults(); got.Outage != "" || got.SlowMS != 0 || got.LoseProbability != 0 {
		t.Errorf("object API: %+v", got)
	}
	for _, engine := range e.Engines {
		if got := engine.Faults(); got.Frozen || got.Slow != 0 || got.Cross+got.Repeat+got.Lose+got.Late != 0 {
			t.Errorf("%s: %+v", engine.Name(), got)
		}
		reach(t, engine.Addr())
	}
	for _, service := range e.Services {
		if got := service.Faults(); got.Silent || got.SlowMS != 0 {
			t.Errorf("%s: %+v", service.Name(), got)
		}
	}
	for _, m := range f.members {
		reach(t, m.callers)
	}
	reach(t, e.Store.Addr())
}

func reach(t *testing.T, addr string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	_ = conn.Close()
}

// An engine says that it leaves; 1.7 s later all instances are killed, and start again. The
// state dump of each, taken at the late request, shows the engine as leaving at its owner and
// at four of the others; the two that started last do not know of it yet and take it for
// usable. One of them sends it a request 3.03 s after its word, and the engine that ends takes
// that one along.
func TestLeavingEngineGetsNoLateWorkAfterACommonRestart(t *testing.T) {
	const seed, seconds = 40, 10
	r, err := Run(context.Background(), Options{Scenario: scenarioFaults, Seed: seed, Seconds: seconds, Instances: 7}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Endpoints.LateStarts; n != 0 {
		t.Errorf("%d leaving engines got new work later than %v: %q", n, leaveBound, r.Findings)
	}
}
