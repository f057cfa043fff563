package demo

import (
	"context"
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
