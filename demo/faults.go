package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

const (
	// faultGap is the mean time between two faults.
	faultGap = 350 * time.Millisecond
	// faultResends is how often a caller sends again in the faults scenario.
	faultResends = 6
	// poisonShare is the share of the requests to engines that crash each engine that runs them.
	poisonShare = 0.003
)

// faultScenario is the kwabena deployment with shorter prompts and timeouts, so that many requests
// are open at every fault, and with requests to the engines that must not run twice.
func faultScenario(o Options) *scenario {
	s := &scenario{dataCentres: []string{"accra-1", "accra-2", "accra-3"}}
	s.addClass("quote", &recordspb.RequestClass{Priority: 10, MaxWaitMs: 8000, TimeoutMs: 20000})
	s.addClass("sort", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 10000})
	s.addClass("dispatch", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 10000, NonIdempotent: true})
	s.addClass("report", &recordspb.RequestClass{Priority: 5, MaxWaitMs: 4000, TimeoutMs: 10000, NonIdempotent: true})
	s.addPool("counters", o.endpoints(9), &recordspb.EndpointPool{CacheBlocks: 512, LoadsAtOnce: 2})
	s.addModel("counter", &recordspb.Model{Version: "2026-11", Pool: "counters", DefaultClass: "quote", MaxTokens: 4096})
	s.addService("ordering", "dispatch", 3)
	s.addOrganisations(kwabenaOrganisations)
	s.load.RequestsPerSecond = 60
	s.load.Work = []*loadpb.Work{
		{Name: "quote", Class: "quote", Weight: 5, Model: "counter", CompanyTokens: 256, FamilyTokens: 1024, CustomerTokens: 256,
			OwnTokens: 64, Families: 12, Customers: 30, Zipf: 1.2, MaxTokens: 60, Chat: 0.5, Whole: 0.1, HangUp: 0.03},
		{Name: "sort", Class: "sort", Weight: 3, Model: "counter", CompanyTokens: 256, FamilyTokens: 256, OwnTokens: 32,
			Families: 4, Customers: 1, Zipf: 1.2, MaxTokens: 6, Whole: 0.3, HangUp: 0.03},
		{Name: "dispatch", Weight: 3, ServicePath: "/services/ordering/confirm", ServicePrefix: "/services/ordering/",
			NonIdempotent: true, Resend: 0.2, HangUp: 0.05, OwnTokens: 64, Families: 1, Customers: 1, Zipf: 1.2, MaxTokens: 1},
		{Name: "report", Class: "report", Weight: 2, Model: "counter", NonIdempotent: true, Resend: 0.2, HangUp: 0.05, CompanyTokens: 256,
			FamilyTokens: 256, OwnTokens: 64, Families: 4, Customers: 1, Zipf: 1.2, MaxTokens: 20, Whole: 0.5},
	}
	s.finish(o)
	s.load.TimeoutMs = 30000
	s.emulator.Engine.DownTime = time.Second
	return s
}

// injector injects faults, which may overlap, and ends each one after a while.
type injector struct {
	emulator *emulator.Emulator
	fleet    *fleet
	records  []*recordspb.Record

	// rng is used only by the goroutine that draws faults.
	rng    *rand.Rand
	endAll chan struct{}
	wg     sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	// late holds the findings about engines that got requests too long after their leaving notice.
	late []string
}

// runFaults sends the load while faults are injected, and ends all faults before it waits for the
// last answers.
func runFaults(ctx context.Context, d *driver, e *emulator.Emulator, f *fleet, s *scenario, r *Report, progress io.Writer) {
	in := &injector{
		emulator: e,
		fleet:    f,
		records:  s.records,
		rng:      rand.New(rand.NewPCG(uint64(s.load.GetSeed()), 21)),
		endAll:   make(chan struct{}),
		counts:   map[string]int{},
	}
	d.resends = faultResends
	d.workload.poisonShare = poisonShare
	sending, cancel := context.WithTimeout(ctx, time.Duration(s.load.GetSeconds())*time.Second)
	defer cancel()
	var drawing sync.WaitGroup
	drawing.Go(func() { in.run(sending) })
	d.run(ctx, progress)
	drawing.Wait()
	r.Faults = in.counts
	r.Endpoints.LateStarts += len(in.late)
	d.findings = append(d.findings, in.late...)
}

// run injects faults until ctx is done, and then ends all of them.
func (in *injector) run(ctx context.Context) {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	for {
		gap := time.Duration(in.rng.ExpFloat64() * float64(faultGap))
		if !sleepUntil(ctx, time.Now().Add(gap)) {
			break
		}
		at := in.rng.IntN(total)
		for _, k := range faultKinds {
			if at -= k.weight; at < 0 {
				in.mu.Lock()
				in.counts[k.name]++
				in.mu.Unlock()
				k.inject(in)
				break
			}
		}
	}
	close(in.endAll)
	in.wg.Wait()
}

// endAfter calls end after a random time between low and high, or when all faults are ended.
func (in *injector) endAfter(low, high time.Duration, end func()) {
	d := low + time.Duration(in.rng.Int64N(int64(high-low)))
	in.wg.Go(func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-in.endAll:
		}
		end()
	})
}

func (in *injector) engine() *emulator.Engine {
	return in.emulator.Engines[in.rng.IntN(len(in.emulator.Engines))]
}

func (in *injector) service() *emulator.Service {
	return in.emulator.Services[in.rng.IntN(len(in.emulator.Services))]
}

func (in *injector) member() *member {
	return in.fleet.members[in.rng.IntN(len(in.fleet.members))]
}

// changeEngine modifies the faults injected at an engine.
func (in *injector) changeEngine(e *emulator.Engine, change func(*emulator.EngineFaults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f := e.Faults()
	change(&f)
	e.SetFaults(f)
}

// changeStore modifies the faults injected at the object API.
func (in *injector) changeStore(change func(*emulator.StoreFaults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f := in.emulator.Store.Faults()
	change(&f)
	in.emulator.Store.SetFaults(f)
}

// changeService modifies the faults injected at a plain service.
func (in *injector) changeService(s *emulator.Service, change func(*emulator.ServiceFaults)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	f := s.Faults()
	change(&f)
	s.SetFaults(f)
}

// setLeaving sets the engine's leaving flag in the pool's record, as an operator would.
func (in *injector) setLeaving(name string, leaving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range in.records {
		pool := r.GetPool()
		for _, ep := range pool.GetEndpoints() {
			if ep.GetName() == name {
				ep.Leaving = leaving
				storeRecord(in.emulator.Store, proto.CloneOf(r))
			}
		}
	}
}
