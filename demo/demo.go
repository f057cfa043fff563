// Package demo runs instances and emulated endpoints in one process over loopback TCP, sends
// requests through them, and compares what callers got with what the endpoints ran. It does not
// rely on the router's own reports.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/loadpb"
)

// Options holds the demo's command-line options.
type Options struct {
	Instances int
	// Endpoints is the number of model engines; 0 selects the scenario's default.
	Endpoints int
	Seconds   int
	Seed      int64
	Scenario  string
}

// maxStartAfterLeaving is how long after an engine's leaving notice the engine may still get new
// requests.
const maxStartAfterLeaving = 3 * time.Second

// Run runs one scenario and returns its report.
func Run(ctx context.Context, o Options, progress io.Writer) (*Report, error) {
	s := newScenario(o)
	e, err := emulator.StartWith(anyPort, s.records, s.emulator)
	if err != nil {
		return nil, err
	}
	defer e.Close()
	f, err := startFleet(ctx, e.Store, s.dataCentres, o.Instances)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	fmt.Fprintf(progress, "%s: %d instances, %d engines, %d services, %d s\n", o.Scenario, o.Instances, len(e.Engines), len(e.Services), o.Seconds)
	w := &workload{load: s.load}
	d := newDriver(w, f, e.Runs)
	r := &Report{Scenario: o.Scenario, Seed: o.Seed, Instances: o.Instances, Seconds: int64(o.Seconds)}
	if o.Scenario == scenarioFaults {
		runFaults(ctx, d, e, f, s, r, progress)
	} else {
		d.run(ctx, progress)
	}
	d.fill(r)
	r.FailedStarts = f.failedStarts
	fillEndpoints(r, e)
	r.finish()
	return r, nil
}

// RunLoad drives instances that run elsewhere. The endpoints' counts are not available then and
// stay empty.
func RunLoad(ctx context.Context, addr string, l *loadpb.Load, progress io.Writer) *Report {
	d := newDriver(&workload{load: l}, fixedTarget(addr), nil)
	d.run(ctx, progress)
	r := &Report{Scenario: "load", Seed: l.GetSeed(), Instances: 1, Seconds: l.GetSeconds()}
	d.fill(r)
	r.finish()
	return r
}

// fixedTarget is a balancer with a single address, of an instance or of an external load balancer.
type fixedTarget string

func (t fixedTarget) choose(*rand.Rand, []string) string { return string(t) }
func (t fixedTarget) killedSince(string, time.Time) bool { return false }

func (d *driver) fill(r *Report) {
	d.checkKeys()
	d.checkRefusals()
	r.Classes, r.Findings = d.classes, d.findings
}

// fillEndpoints copies the counters of the emulated endpoints into the report.
func fillEndpoints(r *Report, e *emulator.Emulator) {
	for _, engine := range e.Engines {
		s := engine.Stats()
		r.Endpoints.EngineRuns += s.Runs
		r.Endpoints.Refused += s.Refused
		r.Endpoints.Crashes += s.Crashes
		r.Endpoints.StaleBlocks += s.StaleBlocks
		if s.LastStartAfterLeaving > maxStartAfterLeaving {
			r.Endpoints.LateStarts++
		}
		for name, tokens := range s.Groups {
			if c, ok := r.Classes[name]; ok {
				c.tokens.Add(tokens)
				c.EndpointRuns += tokens.Runs
			}
		}
	}
	for _, service := range e.Services {
		r.Endpoints.ServiceRuns += service.Runs()
	}
	c := e.Store.Counts()
	r.StoreCalls = StoreCalls{Reads: c.Reads, Writes: c.Writes, Watches: c.Watches, RateLimited: c.RateLimited}
}
