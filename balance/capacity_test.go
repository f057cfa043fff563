package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	slotWork = 100 * time.Millisecond
	// slotTarget is the latency target, slotPatience when callers give up.
	slotTarget, slotPatience = time.Second, 3 * time.Second
	slotsPerEndpoint         = 8
	// slotCapacity is what two endpoints run in a second.
	slotCapacity = 2 * slotsPerEndpoint * int(time.Second/slotWork)
)

// slotService simulates, in virtual time, a plain service of two endpoints that run slotsPerEndpoint requests at once,
// queue the others without bound, also those whose callers have gone, and report nothing.
type slotService struct {
	state  *State
	rng    *rand.Rand
	now    time.Time
	events slotEvents
	next   RunID
	// free is when each slot of an endpoint is free.
	free map[string][]time.Time
	// slowness is a factor of the work at both endpoints.
	slowness float64
	// reportDelay is how long after a run its end is known.
	reportDelay time.Duration
	from        time.Time
	sources     []*slotSource
}

// slotSource is what callers of one kind send, and what they got.
type slotSource struct {
	organisation uint32
	rank         int
	perS         float64
	// work is the average time that a request takes.
	work time.Duration
	// repeats has callers that are refused repeat at once, that many times.
	repeats                     int
	sent, onTime, late, refused int
	// done is the work done on time.
	done time.Duration
}

func (s *slotSource) rate() float64 { return float64(s.onTime) / float64(max(s.sent, 1)) }

// slotEvent is an arrival or the end of a run.
type slotEvent struct {
	at      time.Time
	source  *slotSource
	run     RunID
	began   time.Time
	work    time.Duration
	abandon bool
}

type slotEvents []slotEvent

func (e slotEvents) Len() int           { return len(e) }
func (e slotEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e slotEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *slotEvents) Push(x any)        { *e = append(*e, x.(slotEvent)) }
func (e *slotEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSlotService(seed uint64, sources ...*slotSource) *slotService {
	d := &slotService{state: NewState(8 * time.Second), rng: rand.New(rand.NewPCG(seed, 2)), now: start, free: map[string][]time.Time{}, slowness: 1, reportDelay: 3 * time.Millisecond, sources: sources}
	var list []Endpoint
	for k := range 2 {
		id := fmt.Sprint("s", k)
		list = append(list, Endpoint{ID: id, Address: id, Service: "desk", DataCentre: "dc-0", Slots: slotsPerEndpoint})
		d.free[id] = make([]time.Time, slotsPerEndpoint)
	}
	d.state.SetEndpoints(list)
	for _, s := range sources {
		d.arrive(s)
	}
	return d
}

func (d *slotService) arrive(s *slotSource) {
	gap := d.rng.ExpFloat64() / s.perS
	heap.Push(&d.events, slotEvent{at: d.now.Add(time.Duration(gap * float64(time.Second))), source: s})
}

// play runs the service for some time and counts from its start.
func (d *slotService) play(during time.Duration) {
	d.from = d.now
	for _, s := range d.sources {
		s.sent, s.onTime, s.late, s.refused, s.done = 0, 0, 0, 0, 0
	}
	until := d.now.Add(during)
	for len(d.events) > 0 && d.events[0].at.Before(until) {
		e := heap.Pop(&d.events).(slotEvent)
		d.now = e.at
		switch {
		case e.run == 0:
			d.arrive(e.source)
			e.source.sent++
			for try := 0; !d.send(e.source); try++ {
				if try == e.source.repeats {
					e.source.refused++
					break
				}
			}
		case e.abandon:
			d.state.SetStage(d.now, e.run, Abandoned)
		default:
			d.state.SetStage(d.now, e.run, Done)
			took := d.now.Sub(e.began) - d.reportDelay
			switch {
			case e.began.Before(d.from) || took > slotPatience:
			case took > slotTarget:
				e.source.late++
			default:
				e.source.onTime++
				e.source.done += e.work
			}
		}
	}
	d.now = until
}

// send reports whether a request is sent to an endpoint.
func (d *slotService) send(s *slotSource) bool {
	d.next++
	v := d.state.Decide(d.now, Query{Run: d.next, Target: slotTarget, Patience: slotPatience, Ask: Ask{Service: "desk", DataCentre: "dc-0", Organisation: s.organisation, Rank: s.rank}})
	if v.Admission != Send {
		return false
	}
	slots := d.free[v.Placement.Endpoint.ID]
	first := 0
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	from := d.now
	if slots[first].After(from) {
		from = slots[first]
	}
	work := time.Duration((0.5 + d.rng.Float64()) * float64(s.work))
	slots[first] = from.Add(time.Duration(d.slowness * float64(work)))
	heap.Push(&d.events, slotEvent{at: slots[first].Add(d.reportDelay), source: s, run: d.next, began: d.now, work: work})
	heap.Push(&d.events, slotEvent{at: d.now.Add(slotPatience), source: s, run: d.next, abandon: true})
	return true
}

func slotLoad(factor float64) *slotSource {
	return &slotSource{organisation: 1, perS: factor * float64(slotCapacity), work: slotWork}
}

// Guards against queues at endpoints that grow until all requests are answered late: at any excess demand, also when
// the endpoints become slower midway, nine tenths of what they can run is answered within the target. After the burst,
// nobody is refused.
func TestPoolAboveItsCapacityServesItsCapacity(t *testing.T) {
	for _, factor := range []float64{1.2, 1.9, 3, 10} {
		load := slotLoad(factor)
		d := newSlotService(1, load)
		check := func(what string, capacity float64) {
			t.Helper()
			t.Logf("%.1f times the capacity, %s: %d of %d on time, capacity %.0f; %d late", factor, what, load.onTime, load.sent, capacity, load.late)
			if float64(load.onTime) < 0.9*capacity || load.late > load.sent/50 {
				t.Errorf("%.1f times the capacity, %s: %d on time, capacity %.0f, %d late", factor, what, load.onTime, capacity, load.late)
			}
		}
		d.play(5 * time.Second)
		check("at full speed", 5*float64(slotCapacity))
		d.slowness = 2
		d.play(time.Second)
		d.play(5 * time.Second)
		check("at half speed", 5*float64(slotCapacity)/2)
		d.slowness = 1
		d.play(time.Second)
		d.play(5 * time.Second)
		check("recovered", 5*float64(slotCapacity))
		load.perS = 0.5 * float64(slotCapacity)
		d.play(time.Second)
		d.play(5 * time.Second)
		if load.refused > 0 || load.late > 0 {
			t.Errorf("one second after the burst, %d of %d requests are refused, %d late", load.refused, load.sent, load.late)
		}
	}
}

// Guards against refusals below the capacity: in the noise of arrivals, a pool at 0.8 of its capacity has requests in
// its queues, which must not be refused.
func TestPoolBelowItsCapacityRefusesNobody(t *testing.T) {
	load := slotLoad(0.8)
	d := newSlotService(1, load)
	d.play(30 * time.Second)
	if load.refused > load.sent/1000 || load.late > 0 {
		t.Errorf("of %d requests %d were refused, %d late", load.sent, load.refused, load.late)
	}
}

// Guards against an organisation being refused because of another one: one that asks for less than its share is
// served, whether the other one repeats at once, has a more urgent rank, or sends requests of a hundred times the
// work or of a hundredth.
func TestOrganisationBelowItsShareIsServed(t *testing.T) {
	for name, c := range map[string]struct{ small, large *slotSource }{
		"same":           {&slotSource{organisation: 2, rank: 3}, &slotSource{rank: 3}},
		"repeats":        {&slotSource{organisation: 2, rank: 3}, &slotSource{rank: 3, repeats: 5}},
		"urgent":         {&slotSource{organisation: 2, rank: 6}, &slotSource{rank: 0}},
		"short requests": {&slotSource{organisation: 2, rank: 3, work: 200 * time.Millisecond}, &slotSource{rank: 3, work: 2 * time.Millisecond}},
		"long requests":  {&slotSource{organisation: 2, rank: 3, work: 2 * time.Millisecond}, &slotSource{rank: 3, work: 200 * time.Millisecond}},
	} {
		for s, share := range map[*slotSource]float64{c.small: 0.1, c.large: 1.8} {
			if s.work == 0 {
				s.work = slotWork
			}
			s.perS = share * 2 * slotsPerEndpoint / s.work.Seconds()
		}
		c.large.organisation = 1
		d := newSlotService(1, c.small, c.large)
		d.play(2 * time.Second)
		d.play(10 * time.Second)
		t.Logf("%s: small %.3f of %d, large %.3f of %d", name, c.small.rate(), c.small.sent, c.large.rate(), c.large.sent)
		if c.small.rate() < 0.95 {
			t.Errorf("%s: the small organisation is served at a rate of %.3f, the large one of %.3f", name, c.small.rate(), c.large.rate())
		}
		if used := (c.small.done + c.large.done).Seconds() / (10 * 2 * slotsPerEndpoint); used < 0.9 {
			t.Errorf("%s: %.2f of the slots' time is used", name, used)
		}
	}
}

// Guards against shares by requests: two organisations that both ask for more than half of the capacity get equal work,
// although one's requests take a hundred times as long.
func TestSharesAreOfWork(t *testing.T) {
	short := &slotSource{organisation: 1, work: 4 * time.Millisecond, perS: 1.2 * 2 * slotsPerEndpoint / 0.004}
	long := &slotSource{organisation: 2, work: 400 * time.Millisecond, perS: 1.2 * 2 * slotsPerEndpoint / 0.4}
	d := newSlotService(1, short, long)
	d.play(3 * time.Second)
	d.play(20 * time.Second)
	t.Logf("short requests %v of work, long ones %v", short.done, long.done)
	if ratio := short.done.Seconds() / long.done.Seconds(); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("short requests get %v of work, long ones %v", short.done, long.done)
	}
}

// Guards against urgent requests that are served less often than others, and against a rank that starves.
func TestRanksAreServedInOrderAndNoneStarves(t *testing.T) {
	for _, factor := range []float64{1.2, 1.9, 3, 10} {
		for _, urgentPart := range []float64{0.05, 0.3, 0.9} {
			urgent, normal, low := slotLoad(factor*urgentPart), slotLoad(factor*(1-urgentPart)/2), slotLoad(factor*(1-urgentPart)/2)
			normal.rank, low.rank = 3, 9
			d := newSlotService(1, urgent, normal, low)
			d.play(2 * time.Second)
			d.play(10 * time.Second)
			rates := []float64{urgent.rate(), normal.rate(), low.rate()}
			all := float64(urgent.onTime+normal.onTime+low.onTime) / float64(urgent.sent+normal.sent+low.sent)
			t.Logf("%.1f times the capacity, %.2f of it urgent: rates %.3f", factor, urgentPart, rates)
			if rates[0] < rates[1] || rates[0] < rates[2] {
				t.Errorf("%.1f times the capacity, %.2f of it urgent: served at rates %.3f", factor, urgentPart, rates)
			}
			if rates[2] < 0.4*all {
				t.Errorf("%.1f times the capacity, %.2f of it urgent: the least urgent rank is served at a rate of %.3f, all at %.3f", factor, urgentPart, rates[2], all)
			}
		}
	}
}

// Guards against refusals of requests without a latency target, of those that have run before, and of resumed streams,
// and against refusals that do not say why.
func TestRefusalForFullSlots(t *testing.T) {
	d := newSlotService(1)
	var last Decision
	query := func() Query {
		d.next++
		return Query{Run: d.next, Target: slotTarget, Ask: Ask{Service: "desk"}}
	}
	for range 100 {
		last = d.state.Decide(d.now, query())
	}
	if last.Admission != Refuse || last.Found || last.Refusal.InUse < last.Refusal.Limit || last.Refusal.Limit < 2*slotsPerEndpoint || last.Refusal.Reason != PoolFull {
		t.Errorf("with all slots in use: %+v", last)
	}
	again, untargeted := query(), query()
	again.Again, untargeted.Target = true, 0
	for _, q := range []Query{again, untargeted} {
		if v := d.state.Decide(d.now, q); v.Admission != Send {
			t.Errorf("%+v: %+v", q, v)
		}
	}
}

// Guards against a partitioned fleet whose parts each send an endpoint as much as it can run.
func TestPartOfAFleetUsesItsPartOfTheSlots(t *testing.T) {
	d := newSlotService(1)
	d.state.SetKnown(func() float64 { return 0.5 })
	sent := 0
	for range 100 {
		d.next++
		if d.state.Decide(d.now, Query{Run: d.next, Target: slotTarget, Ask: Ask{Service: "desk"}}).Admission == Send {
			sent++
		}
	}
	if sent > 2*slotsPerEndpoint {
		t.Errorf("half of a fleet sends %d requests at once to endpoints with %d slots", sent, 2*slotsPerEndpoint)
	}
}

// BenchmarkDecide measures a decision of a plain service with and without a latency target, which is what the
// concurrency limits and shares apply to.
func BenchmarkDecide(b *testing.B) {
	for name, target := range map[string]time.Duration{"unlimited": 0, "limited": slotTarget} {
		b.Run(name, func(b *testing.B) {
			d := newSlotService(1)
			for n := range b.N {
				d.now = d.now.Add(700 * time.Microsecond)
				d.next++
				v := d.state.Decide(d.now, Query{Run: d.next, Target: target, Ask: Ask{Service: "desk", Organisation: uint32(n % 100), Rank: n % 10}})
				if v.Admission != Send {
					b.Fatal(v)
				}
				d.state.SetStage(d.now.Add(slotWork), d.next, Done)
			}
		})
	}
}
