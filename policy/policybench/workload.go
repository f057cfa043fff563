package main

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinedock/sardinedock/prefix"
)

const blockTokens = 64

// scenario describes a pool and its load. Lengths are in blocks.
type scenario struct {
	name                        string
	endpoints, instances        int
	slots, urgentSlots          int
	cacheBlocks                 int
	prefillRate                 float64
	tokenTime                   time.Duration
	organisations               int
	families, customers, sheets int
	company, family, customer   int
	sheet, tail                 int
	urgentShare                 float64
	output, urgentOutput        int
	maxWait, urgentWait         time.Duration
	warm, measured              time.Duration
	// urgentOnly omits the requests that are not urgent.
	urgentOnly bool
	// fullRate is the result of capacity, computed once.
	fullRate float64
}

// scenarios use the users' figures where they gave any. The rest is set so that the shared prompts
// about fill all caches together, and both prefill and slots can become the bottleneck.
var scenarios = []scenario{
	{name: "kwabena", endpoints: 9, instances: 8, slots: 32, urgentSlots: 4, cacheBlocks: 4096, prefillRate: 20000,
		tokenTime: 20 * time.Millisecond, organisations: 8, families: 16, customers: 20, sheets: 8,
		company: 12, family: 160, customer: 8, sheet: 28, tail: 4, urgentShare: 0.4, output: 100, urgentOutput: 8,
		maxWait: 10 * time.Second, urgentWait: time.Second, warm: 50 * time.Second, measured: 40 * time.Second},
	{name: "khangai", endpoints: 18, instances: 8, slots: 32, urgentSlots: 4, cacheBlocks: 8192, prefillRate: 20000,
		tokenTime: 20 * time.Millisecond, organisations: 8, families: 32, customers: 20, sheets: 8,
		company: 24, family: 400, customer: 16, sheet: 32, tail: 6, urgentShare: 0.5, output: 200, urgentOutput: 16,
		maxWait: 30 * time.Second, urgentWait: time.Second, warm: 50 * time.Second, measured: 40 * time.Second},
	{name: "target", endpoints: 120, instances: 18, slots: 32, urgentSlots: 4, cacheBlocks: 8192, prefillRate: 20000,
		tokenTime: 20 * time.Millisecond, organisations: 55, families: 32, customers: 20, sheets: 8,
		company: 16, family: 300, customer: 12, sheet: 32, tail: 5, urgentShare: 0.4, output: 80, urgentOutput: 16,
		maxWait: 20 * time.Second, urgentWait: time.Second, warm: 30 * time.Second, measured: 20 * time.Second},
}

// part is a run of blocks that always appear together.
type part struct{ id, blocks int }

type request struct {
	id           int
	at           time.Duration
	instance     int
	organisation int
	urgent       bool
	// priority at the engine: 0 for urgent requests, 1 for others, 2 for long prefills.
	priority int
	parts    []part
	salt     prefix.Hash
	chain    []prefix.Hash
	tokens   int64
	output   int
	maxWait  time.Duration

	endpoint, cached, attempts int
	grant                      uint64
	started, first, finished   time.Duration
	refused                    time.Duration
	sent                       time.Duration
}

// chainOf sets the block hashes. They depend on the seed, so that each run places prompts
// differently.
func (r *request) chainOf(seed uint64) {
	for _, p := range r.parts {
		for i := range p.blocks {
			var h prefix.Hash
			binary.LittleEndian.PutUint64(h[:8], spread(seed<<44+uint64(p.id)<<20|uint64(i)))
			binary.LittleEndian.PutUint64(h[8:], spread(seed<<44+uint64(p.id)<<20|uint64(i)|1<<63))
			r.chain = append(r.chain, h)
		}
	}
	r.tokens = int64(len(r.chain)) * blockTokens
}

func spread(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// zipf draws from 0..n-1 with weights 1/(k+1)^s.
type zipf []float64

func newZipf(n int, s float64) zipf {
	z, sum := make(zipf, n), 0.0
	for k := range z {
		sum += 1 / math.Pow(float64(k+1), s)
		z[k] = sum
	}
	return z
}

func (z zipf) draw(rng *rand.Rand) int {
	x := rng.Float64() * z[len(z)-1]
	for k := range z {
		if x < z[k] {
			return k
		}
	}
	return len(z) - 1
}

// arrivals draws the requests of one run at the given mean rate per second. The hourly burst comes
// at the end of the warm-up: half as much again, decaying over ten seconds. Half way through the
// rest, the popular catalogues change.
func (s scenario) arrivals(seed uint64, rate float64) []*request {
	rng := rand.New(rand.NewPCG(seed, 7))
	organisations, families, customers := newZipf(s.organisations, 1), newZipf(s.families, 1), newZipf(s.customers, 0.8)
	var list []*request
	next := 1 << 20
	for at := 0.0; at < (s.warm + s.measured).Seconds(); {
		at += rng.ExpFloat64() / (rate * s.burst(at))
		r := &request{id: len(list), at: time.Duration(at * 1e9), instance: rng.IntN(s.instances), maxWait: s.maxWait, output: s.output}
		r.organisation, r.endpoint, r.priority = organisations.draw(rng), -1, 1
		shift := 0
		if r.at > s.warm+s.measured/2 {
			shift = s.families / 3
		}
		org := r.organisation << 13
		r.parts = []part{{org, s.company}}
		r.salt = prefix.Salt(string(rune('a'+r.organisation)), "m", "1")
		tail := part{next, 1 + rng.IntN(2*s.tail-1)}
		if rng.Float64() < s.urgentShare {
			r.urgent, r.priority, r.maxWait, r.output = true, 0, s.urgentWait, s.urgentOutput
			r.parts = append(r.parts, part{org | 1 + rng.IntN(s.sheets), s.sheet}, part{next, 1 + rng.IntN(3)})
		} else {
			f := (families.draw(rng) + shift) % s.families
			length := s.family/2 + int(spread(uint64(org|f))%uint64(s.family))
			c := customers.draw(rng)
			r.parts = append(r.parts, part{org | 16 + f, length}, part{org | 64 + f*64 + c, s.customer}, tail)
		}
		next++
		if s.urgentOnly && !r.urgent {
			continue
		}
		r.chainOf(seed)
		list = append(list, r)
	}
	return list
}

func (s scenario) burst(at float64) float64 {
	since := at - s.warm.Seconds()
	if since < 0 {
		return 0.4
	}
	const extra, decay = 0.5, 10.0
	mean := 1 + extra*decay/s.measured.Seconds()*(1-math.Exp(-s.measured.Seconds()/decay))
	return (1 + extra*math.Exp(-since/decay)) / mean
}
