package demo

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/loadpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// Names of the scenarios.
const (
	scenarioKwabena = "kwabena"
	scenarioKhangai = "khangai"
	scenarioFaults  = "faults"
)

// Scenarios lists the scenarios by name.
var Scenarios = []string{scenarioKwabena, scenarioKhangai, scenarioFaults}

// scenario is a deployment with the load that is sent to it.
type scenario struct {
	dataCentres []string
	records     []*recordspb.Record
	emulator    emulator.Config
	load        *loadpb.Load
}

// organisation sends a share of the requests in proportion to its weight.
type organisation struct {
	name   string
	weight float64
}

var (
	kwabenaOrganisations = []organisation{{"kumasi", 4}, {"accra-central", 4}, {"tema", 2}, {"tamale", 1},
		{"takoradi", 1}, {"cape-coast", 1}, {"ho", 1}, {"sunyani", 1}}
	khangaiOrganisations = []organisation{{"integrator", 4}, {"inverters", 4}, {"traction", 2}, {"chargers", 1},
		{"welding", 1}, {"solar", 1}, {"telecom", 1}, {"lab", 1}}
)

// keyOf returns the API key of an organisation in the scenarios.
func keyOf(organisation string) string { return organisation + "-key" }

func newScenario(o Options) *scenario {
	switch o.Scenario {
	case scenarioKhangai:
		return khangai(o)
	case scenarioFaults:
		return faultScenario(o)
	}
	return kwabena(o)
}

// kwabena models an ordering system with bursts on the hour. Quotation notes with long catalogues
// as prompts may wait, sorting a line item may not, and a dispatch must not run twice.
func kwabena(o Options) *scenario {
	s := &scenario{dataCentres: []string{"accra-1", "accra-2", "accra-3"}}
	s.addClass("quote", &recordspb.RequestClass{Priority: 10, MaxWaitMs: 20000, TimeoutMs: 60000})
	s.addClass("sort", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 20000})
	s.addClass("dispatch", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 20000, NonIdempotent: true})
	s.addPool("counters", o.endpoints(9), &recordspb.EndpointPool{CacheBlocks: 512, LoadsAtOnce: 2})
	s.addModel("counter", &recordspb.Model{Version: "2026-11", Pool: "counters", DefaultClass: "quote", MaxTokens: 4096})
	s.addService("ordering", "dispatch", 3)
	s.addOrganisations(kwabenaOrganisations)
	s.load.RequestsPerSecond = 40
	s.load.Work = []*loadpb.Work{
		{Name: "quote", Class: "quote", Weight: 5, Model: "counter", CompanyTokens: 512, FamilyTokens: 4096, CustomerTokens: 512,
			OwnTokens: 128, Families: 12, Customers: 30, Zipf: 1.2, MaxTokens: 24, Chat: 0.5, Whole: 0.1},
		{Name: "sort", Class: "sort", Weight: 3, Model: "counter", CompanyTokens: 512, FamilyTokens: 512, OwnTokens: 32,
			Families: 4, Customers: 1, Zipf: 1.2, MaxTokens: 4, Whole: 0.5},
		{Name: "dispatch", Weight: 2, ServicePath: "/services/ordering/confirm", ServicePrefix: "/services/ordering/",
			NonIdempotent: true, Resend: 0.1, OwnTokens: 64, Families: 1, Customers: 1, Zipf: 1.2, MaxTokens: 1},
	}
	s.finish(o)
	return s
}

// khangai models design reviews. Reviews with very long datasheets as prompts may wait, fin-pitch
// checks in a live session may not, and a sizing report must not run twice.
func khangai(o Options) *scenario {
	s := &scenario{dataCentres: []string{"ulaanbaatar-1", "ulaanbaatar-2", "ulaanbaatar-3"}}
	s.addClass("review", &recordspb.RequestClass{Priority: 10, MaxWaitMs: 60000, TimeoutMs: 120000})
	s.addClass("fin-pitch", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 20000})
	s.addClass("sizing", &recordspb.RequestClass{Urgent: true, MaxWaitMs: 2000, TimeoutMs: 20000, NonIdempotent: true})
	s.addPool("reviewers", o.endpoints(18), &recordspb.EndpointPool{CacheBlocks: 1024, LoadsAtOnce: 3})
	s.addModel("thermal", &recordspb.Model{Version: "2026-11", Pool: "reviewers", DefaultClass: "review", MaxTokens: 4096})
	s.addService("sizing", "sizing", 3)
	s.addOrganisations(khangaiOrganisations)
	s.load.RequestsPerSecond = 30
	s.load.Work = []*loadpb.Work{
		{Name: "review", Class: "review", Weight: 5, Model: "thermal", CompanyTokens: 1024, FamilyTokens: 12288, CustomerTokens: 1024,
			OwnTokens: 256, Families: 10, Customers: 10, Zipf: 1.2, MaxTokens: 48, Chat: 0.5, Whole: 0.1},
		{Name: "fin-pitch", Class: "fin-pitch", Weight: 3, Model: "thermal", CompanyTokens: 1024, FamilyTokens: 1024, OwnTokens: 32,
			Families: 10, Customers: 1, Zipf: 1.2, MaxTokens: 4, Whole: 0.5},
		{Name: "sizing", Weight: 2, ServicePath: "/services/sizing/report", ServicePrefix: "/services/sizing/",
			NonIdempotent: true, Resend: 0.1, OwnTokens: 64, Families: 1, Customers: 1, Zipf: 1.2, MaxTokens: 1},
	}
	s.finish(o)
	return s
}

func (o Options) endpoints(defaultCount int) int {
	if o.Endpoints > 0 {
		return o.Endpoints
	}
	return defaultCount
}

func (s *scenario) add(name string, r *recordspb.Record) {
	r.SchemaVersion, r.Name = record.SchemaVersion, name
	s.records = append(s.records, r)
}

func (s *scenario) addClass(name string, c *recordspb.RequestClass) {
	s.add(name, &recordspb.Record{Spec: &recordspb.Record_Class{Class: c}})
}

func (s *scenario) addModel(name string, m *recordspb.Model) {
	s.add(name, &recordspb.Record{Spec: &recordspb.Record_Model{Model: m}})
}

func (s *scenario) addPool(name string, endpoints int, p *recordspb.EndpointPool) {
	p.BlockTokens, p.Slots, p.UrgentSlots, p.PrefillTokensPerSecond = 64, 16, proto.Int64(2), 20000
	p.SuspectAfterMs, p.ExpelAfterMs = 1000, 5000
	p.KvImportTokensPerSecond = 200000
	p.Endpoints = s.newEndpoints(name, endpoints)
	s.add(name, &recordspb.Record{Spec: &recordspb.Record_Pool{Pool: p}})
}

func (s *scenario) addService(name, class string, endpoints int) {
	service := &recordspb.Service{
		PathPrefix:           "/services/" + name + "/",
		Class:                class,
		NonIdempotentMethods: []string{"POST"},
		Endpoints:            s.newEndpoints(name, endpoints),
	}
	s.add(name, &recordspb.Record{Spec: &recordspb.Record_Service{Service: service}})
}

// newEndpoints returns count endpoints, spread evenly over the data centres.
func (s *scenario) newEndpoints(name string, count int) []*recordspb.Endpoint {
	list := make([]*recordspb.Endpoint, 0, count)
	for n := range count {
		list = append(list, &recordspb.Endpoint{
			Name:       fmt.Sprintf("%s-%d", name, n+1),
			Address:    anyPort,
			DataCentre: s.dataCentres[n%len(s.dataCentres)],
		})
	}
	return list
}

func (s *scenario) addOrganisations(list []organisation) {
	s.load = &loadpb.Load{}
	for _, o := range list {
		spec := &recordspb.Organisation{KeyHashes: []string{record.HashKey(keyOf(o.name))}, Weight: o.weight}
		s.add(o.name, &recordspb.Record{Spec: &recordspb.Record_Organisation{Organisation: spec}})
		s.load.Callers = append(s.load.Callers, &loadpb.LoadCaller{Organisation: o.name, Key: keyOf(o.name), Weight: o.weight})
	}
}

// finish sets what the scenarios have in common: periodic bursts that stand for the full hours, a
// most popular product family that changes with each burst, and the emulator's configuration.
func (s *scenario) finish(o Options) {
	s.load.Seed, s.load.Seconds = o.Seed, int64(o.Seconds)
	s.load.MaxRequests, s.load.MaxInFlight, s.load.TimeoutMs = 1_000_000, 4096, 60000
	s.load.Bursts = &loadpb.Bursts{PeriodMs: 5000, LengthMs: 1000, Share: 0.6, HotShift: 1}
	s.load.CheckAnswers = true
	s.emulator = emulator.Config{
		Store: emulator.StoreConfig{ReadsPerSecond: 2000, WritesPerSecond: 300, ListLag: 2 * time.Second, Seed: o.Seed},
		Engine: emulator.EngineConfig{TokenTime: 10 * time.Millisecond, LoadLag: 300 * time.Millisecond,
			EventLag: 200 * time.Millisecond, EventLoss: 0.02, Seed: o.Seed},
		Service: emulator.ServiceConfig{WorkTime: 10 * time.Millisecond},
	}
}
