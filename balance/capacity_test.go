package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

const (
	slotWork, slotTarget, slotPatience = 100 * time.Millisecond, time.Second, 3 * time.Second
	slotsPerEndpoint                   = 8
	// slotCapacity is what two endpoints run in a second.
	slotCapacity = 2 * slotsPerEndpoint * int(time.Second/slotWork)
)

// slotService simulates, in virtual time, a plain service of two endpoints that run slotsPerEndpoint requests at once,
// queue the others without bound, also those whose callers have disconnected, and report nothing.
type slotService struct {
	state     *State
	rng       *rand.Rand
	now, from time.Time
	next      RunID
	// free is when each slot of an endpoint is free.
	free     map[string][]time.Time
	slowness float64
	sources  []*slotSource
	running  []slotRun
}

// slotSource is what callers of one kind send, and what they got.
type slotSource struct {
	organisation uint32
	rank         int
	// load is the work asked for, relative to the capacity, and work the average of a request; slotWork if not set.
	load float64
	work time.Duration
	// repeats is how often a refused request is sent again at once.
	repeats                     int
	next                        time.Time
	sent, onTime, late, refused int
	// done is the time in a slot of the requests answered on time.
	done time.Duration
}

func (s *slotSource) rate() float64 { return float64(s.onTime) / float64(max(s.sent, 1)) }

type slotRun struct {
	source      *slotSource
	run         RunID
	began, ends time.Time
	work        time.Duration
}

func newSlotService(sources ...*slotSource) *slotService {
	d := &slotService{state: NewState(8 * time.Second), rng: rand.New(rand.NewPCG(1, 2)), now: start, from: start, free: map[string][]time.Time{}, slowness: 1, sources: sources}
	for _, id := range []string{"s0", "s1"} {
		d.state.PutEndpoint(Endpoint{ID: id, Address: id, Service: "desk", Slots: slotsPerEndpoint})
		d.free[id] = make([]time.Time, slotsPerEndpoint)
	}
	return d
}

// play runs the service for some time, and then counts for some time.
func (d *slotService) play(before, during time.Duration) {
	d.run(before)
	d.from = d.now
	for _, s := range d.sources {
		s.sent, s.onTime, s.late, s.refused, s.done = 0, 0, 0, 0, 0
	}
	d.run(during)
}

func (d *slotService) run(during time.Duration) {
	const step = 500 * time.Microsecond
	for until := d.now.Add(during); d.now.Before(until); d.now = d.now.Add(step) {
		d.running = slices.DeleteFunc(d.running, d.ended)
		for _, s := range d.sources {
			s.work = cmp.Or(s.work, slotWork)
			for s.next = maxTime(s.next, d.from); !s.next.After(d.now); s.sent++ {
				s.next = s.next.Add(time.Duration(d.rng.ExpFloat64() * float64(s.work) / (2 * slotsPerEndpoint * s.load)))
				if !slices.ContainsFunc(make([]struct{}, s.repeats+1), func(struct{}) bool { return d.send(s) }) {
					s.refused++
				}
			}
		}
	}
}

// ended reports whether a run has ended, some ms ago, or its caller has given up.
func (d *slotService) ended(r slotRun) bool {
	took := r.ends.Sub(r.began)
	switch {
	case took > slotPatience && d.now.Sub(r.began) > slotPatience:
		d.state.SetStage(d.now, r.run, Abandoned)
		return true
	case d.now.Sub(r.ends) < 3*time.Millisecond:
		return false
	}
	d.state.SetStage(d.now, r.run, Done)
	switch {
	case r.began.Before(d.from):
	case took > slotTarget:
		r.source.late++
	default:
		r.source.onTime++
		r.source.done += r.work
	}
	return true
}

func (d *slotService) query() Query {
	d.next++
	return Query{Run: d.next, Target: slotTarget, Patience: slotPatience, Ask: Ask{Service: "desk"}}
}

// send reports whether a request is sent to an endpoint.
func (d *slotService) send(s *slotSource) bool {
	q := d.query()
	q.Organisation, q.Rank = s.organisation, s.rank
	v := d.state.Decide(d.now, q)
	if v.Admission != Send {
		return false
	}
	slots := d.free[v.Placement.Endpoint.ID]
	slices.SortFunc(slots, time.Time.Compare)
	work := time.Duration((0.5 + d.rng.Float64()) * d.slowness * float64(s.work))
	slots[0] = maxTime(slots[0], d.now).Add(work)
	d.running = append(d.running, slotRun{s, q.Run, d.now, slots[0], work})
	return true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against queues at endpoints that grow until all requests are late, against a limit that does not follow the
// endpoints' speed, and against refusals below the capacity.
func TestPoolAboveItsCapacityServesItsCapacity(t *testing.T) {
	for _, factor := range []float64{1.2, 1.9, 3, 10} {
		load := &slotSource{load: factor}
		d := newSlotService(load)
		before := time.Duration(0)
		for _, d.slowness = range []float64{1, 2, 1} {
			d.play(before, 5*time.Second)
			before = time.Second
			could := 5 * float64(slotCapacity) / d.slowness
			t.Logf("%.1f times the capacity, slowness %.0f: %d of %d on time, capacity %.0f; %d late", factor, d.slowness, load.onTime, load.sent, could, load.late)
			if float64(load.onTime) < 0.9*could || load.late > load.sent/50 {
				t.Errorf("%.1f times the capacity, slowness %.0f: %d on time, capacity %.0f; %d late", factor, d.slowness, load.onTime, could, load.late)
			}
		}
		load.load = 0.8
		if d.play(time.Second, 30*time.Second); load.refused > load.sent/1000 || load.late > 0 {
			t.Errorf("at 0.8 of the capacity, after the burst: %d of %d refused, %d late", load.refused, load.sent, load.late)
		}
	}
}

// Guards against a limit that does not adapt where an entry states no slots, or more or fewer than the endpoint has.
func TestLimitAdaptsToWrongSlots(t *testing.T) {
	for _, stated := range []int{0, slotsPerEndpoint / 2, 5 * slotsPerEndpoint} {
		for _, factor := range []float64{1.2, 3} {
			load := &slotSource{load: factor}
			d := newSlotService(load)
			for _, id := range []string{"s0", "s1"} {
				d.state.PutEndpoint(Endpoint{ID: id, Address: id, Service: "desk", Slots: stated})
			}
			const seconds = 10
			d.play(3*time.Second, seconds*time.Second)
			t.Logf("%d slots stated, %.1f times the capacity: %d on time, %d late", stated, factor, load.onTime, load.late)
			if load.onTime < slotCapacity*seconds*9/10 || load.late > load.sent/50 {
				t.Errorf("%d slots stated, %.1f times the capacity: %d on time, %d late", stated, factor, load.onTime, load.late)
			}
		}
	}
}

// Guards against an organisation being refused because of another one, also if that one repeats at once, is more
// urgent, or sends requests of a hundred times the work or of a hundredth; and against shares of requests, not work.
func TestOrganisationsGetTheirShare(t *testing.T) {
	for name, c := range map[string]struct {
		small, large *slotSource
	}{
		"same":    {&slotSource{load: 0.1, rank: 3}, &slotSource{load: 1.8, rank: 3}},
		"repeats": {&slotSource{load: 0.1}, &slotSource{load: 1.8, repeats: 5}},
		"urgent":  {&slotSource{load: 0.1, rank: 6}, &slotSource{load: 1.8}},
		"short":   {&slotSource{load: 0.1, work: 2 * time.Millisecond}, &slotSource{load: 1.8, work: 200 * time.Millisecond}},
		"long":    {&slotSource{load: 0.1, work: 200 * time.Millisecond}, &slotSource{load: 1.8, work: 2 * time.Millisecond}},
		"equal":   {&slotSource{load: 1.2, work: 4 * time.Millisecond}, &slotSource{load: 1.2, work: 400 * time.Millisecond}},
	} {
		c.small.organisation, c.large.organisation = 1, 2
		newSlotService(c.small, c.large).play(3*time.Second, 20*time.Second)
		t.Logf("%s: rates %.3f of %d, %.3f of %d; work %v, %v", name, c.small.rate(), c.small.sent, c.large.rate(), c.large.sent, c.small.done, c.large.done)
		if ratio := c.small.done.Seconds() / c.large.done.Seconds(); c.small.load > 1 && (ratio < 0.8 || ratio > 1.25) || c.small.load < 1 && c.small.rate() < 0.95 {
			t.Errorf("%s: served at rates %.3f and %.3f, work %v and %v", name, c.small.rate(), c.large.rate(), c.small.done, c.large.done)
		}
		if used := (c.small.done + c.large.done).Seconds() / (20 * 2 * slotsPerEndpoint); used < 0.9 {
			t.Errorf("%s: %.2f of the slots' time is used", name, used)
		}
	}
}

// Guards against urgent requests that are served less often than others, and against a rank that starves.
func TestRanksAreServedInOrderAndNoneStarves(t *testing.T) {
	for _, factor := range []float64{1.2, 1.9, 3, 10} {
		for _, part := range []float64{0.05, 0.3, 0.9} {
			urgent, normal, low := &slotSource{load: factor * part}, &slotSource{load: factor * (1 - part) / 2, rank: 3}, &slotSource{load: factor * (1 - part) / 2, rank: 9}
			newSlotService(urgent, normal, low).play(2*time.Second, 10*time.Second)
			all := float64(urgent.onTime+normal.onTime+low.onTime) / float64(urgent.sent+normal.sent+low.sent)
			rates := []float64{urgent.rate(), normal.rate(), low.rate()}
			t.Logf("%.1f times the capacity, %.2f of it urgent: rates %.3f", factor, part, rates)
			if rates[0] < max(rates[1], rates[2]) || rates[2] < 0.4*all {
				t.Errorf("%.1f times the capacity, %.2f of it urgent: served at rates %.3f, all at %.3f", factor, part, rates, all)
			}
		}
	}
}

// Guards against refusals of requests without a latency target or that have run before, against refusals that do not say
// why, against a part of a fleet that uses all slots or that knows too little and refuses, and against limits of engines that
// state no slots.
func TestRefusalForFullSlots(t *testing.T) {
	for _, c := range []struct {
		model       string
		slots       int
		known       float64
		least, most int
	}{{"", 8, 1, 8, 16}, {"m", 8, 1, 8, 16}, {"", 8, 0.5, 4, 8}, {"m", 0, 1, 100, 100}, {"", 8, 0, 100, 100}} {
		d := newSlotService()
		d.state.SetEndpoints([]Endpoint{{ID: "e", Service: "desk", Slots: c.slots, Versions: map[string]int64{"m": 1}}})
		d.state.SetKnown(func() float64 { return c.known })
		sent := 0
		var last Decision
		for range 100 {
			q := d.query()
			q.Model, q.PromptTokens = c.model, 10
			if last = d.state.Decide(d.now, q); last.Admission == Send {
				sent++
			}
		}
		refused := last.Admission == Refuse && !last.Found && last.Refusal.Reason == PoolFull && last.Refusal.InUse == sent && last.Refusal.Limit >= c.least
		if sent < c.least || sent > c.most || refused != (sent < 100) {
			t.Errorf("%+v: %d requests are sent, then %+v", c, sent, last)
		}
		again, untargeted := d.query(), d.query()
		again.Again, untargeted.Target = true, 0
		if d.state.Decide(d.now, again).Admission != Send || d.state.Decide(d.now, untargeted).Admission != Send {
			t.Errorf("%+v: a request without a target, or that has run before, is refused", c)
		}
	}
}

// Guards against streams of a plain service, which last longer than the target for their first event, that count as
// overdue because short requests of the same service do not.
func TestStreamsAreNotOverdue(t *testing.T) {
	d := newSlotService()
	for round := range 24 {
		// At first the pool is nearly idle, and runs short requests.
		streams, requests := round >= 20, 2
		if streams {
			requests = 4 * slotsPerEndpoint
		}
		var runs []RunID
		for range requests {
			if q := d.query(); d.state.Decide(d.now, q).Admission == Send {
				runs = append(runs, q.Run)
			}
		}
		d.now = d.now.Add(slotWork)
		for _, id := range runs {
			if streams {
				d.state.SetStage(d.now, id, Answering)
				continue
			}
			d.state.SetStage(d.now, id, Done)
		}
		d.now = d.now.Add(10 * slotTarget)
		for _, id := range runs {
			d.state.SetStage(d.now, id, Done)
		}
	}
	if v := d.state.Pools(d.now); v[0].Limit < 2*slotsPerEndpoint {
		t.Errorf("limit %d of two endpoints with %d slots each", v[0].Limit, slotsPerEndpoint)
	}
}

// Guards against requests below the limits that are decided in another way than without limits.
func TestChoiceBelowTheLimitsIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(8 * time.Second)
		ask := Ask{Service: "desk", Model: rapid.SampledFrom([]string{"", "m"}).Draw(t, "model"), PromptTokens: 1500}
		next := RunID(1)
		for n := range rapid.IntRange(1, 5).Draw(t, "endpoints") {
			e := Endpoint{ID: fmt.Sprint("s", n), Service: "desk", Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Versions: map[string]int64{"m": 1}}
			s.PutEndpoint(e)
			for range rapid.IntRange(0, e.Slots-1).Draw(t, "running") {
				s.Started(start, Start{Run: next, Endpoint: e.ID, Model: ask.Model, Version: 1, Uncached: rapid.Int64Range(0, 2000).Draw(t, "uncached")})
				next++
			}
		}
		want, _ := s.choose(start, ask, nil)
		got, ok := s.choose(start, ask, s.allow(start, Query{Ask: ask, Target: slotTarget}))
		if !ok || got.Endpoint.ID != want.Endpoint.ID || got.aboveLimit {
			t.Fatalf("with limits %+v, without %+v", got, want)
		}
	})
}

// BenchmarkDecide measures decisions of a plain service with and without a latency target, which limits apply to.
func BenchmarkDecide(b *testing.B) {
	for name, target := range map[string]time.Duration{"unlimited": 0, "limited": slotTarget} {
		b.Run(name, func(b *testing.B) {
			d := newSlotService()
			for n := range b.N {
				q := d.query()
				q.Target, q.Organisation, q.Rank = target, uint32(n%100), n%10
				if v := d.state.Decide(d.now, q); v.Admission != Send {
					b.Fatal(v)
				}
				d.now = d.now.Add(700 * time.Microsecond)
				d.state.SetStage(d.now, q.Run, Done)
			}
		})
	}
}
