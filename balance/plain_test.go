package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// plainService simulates a plain service of three endpoints in virtual time. Many of its
// look-ups fail: some on any endpoint, some at random.
type plainService struct {
	state *State
	rng   *rand.Rand
	now   time.Time
	// faulty is the failure rate of faulty endpoints.
	faulty map[string]float64
	// runs is the number of runs of each endpoint since play was called.
	runs map[string]int
	ends plainEnds
	next RunID
}

// plainEnd is the end of a run.
type plainEnd struct {
	at     time.Time
	run    RunID
	id     string
	lookup bool
	always bool
	again  bool
}

type plainEnds []plainEnd

func (e plainEnds) Len() int           { return len(e) }
func (e plainEnds) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e plainEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEnds) Push(x any)        { *e = append(*e, x.(plainEnd)) }
func (e *plainEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	lookupsPerS  = 82
	confirmsPerS = 118
	// failsAnywhere is the share of look-ups that fail on any endpoint, failsOnce of those
	// that fail at random.
	failsAnywhere = 0.15
	failsOnce     = 0.06
	plainWork     = 15 * time.Millisecond
)

func newPlainService(seed uint64) *plainService {
	d := &plainService{state: NewState(8 * time.Second), rng: rand.New(rand.NewPCG(seed, 1)), now: start, faulty: map[string]float64{}, runs: map[string]int{}}
	var list []Endpoint
	for k := range 3 {
		list = append(list, Endpoint{ID: fmt.Sprint("d", k), Address: fmt.Sprint("d", k), Service: "desk", DataCentre: fmt.Sprint("dc-", k), Slots: 6})
	}
	d.state.SetEndpoints(list)
	return d
}

func (d *plainService) send(lookup, always, again bool, exclude []string) {
	d.next++
	v := d.state.Decide(d.now, Query{Run: d.next, Ask: Ask{Service: "desk", DataCentre: fmt.Sprint("dc-", d.rng.IntN(3)), Exclude: exclude, Again: again}})
	if !v.Found {
		return
	}
	id := v.Placement.Endpoint.ID
	d.runs[id]++
	work := time.Duration((0.5 + d.rng.Float64()) * float64(plainWork))
	heap.Push(&d.ends, plainEnd{d.now.Add(work), d.next, id, lookup, always, again})
}

func (d *plainService) end(e plainEnd) {
	failed := d.rng.Float64() < d.faulty[e.id] || e.lookup && (e.always || d.rng.Float64() < failsOnce)
	if !failed {
		d.state.SetStage(d.now, e.run, Done)
		return
	}
	d.state.SetStage(d.now, e.run, Errored)
	if e.lookup && !e.again {
		d.send(true, e.always, true, []string{e.id})
	}
}

// play runs the simulation for a time and counts the runs of each endpoint.
func (d *plainService) play(long time.Duration) {
	clear(d.runs)
	until := d.now.Add(long)
	const perS = lookupsPerS + confirmsPerS
	for next := d.now; next.Before(until); {
		for len(d.ends) > 0 && d.ends[0].at.Before(next) {
			e := heap.Pop(&d.ends).(plainEnd)
			d.now = e.at
			d.end(e)
		}
		d.now = next
		lookup := d.rng.Float64()*perS < lookupsPerS
		d.send(lookup, lookup && d.rng.Float64() < failsAnywhere, false, nil)
		next = next.Add(time.Duration(d.rng.ExpFloat64() / perS * float64(time.Second)))
	}
	d.now = until
}

// busiest returns the runs of the busiest endpoint relative to the mean.
func (d *plainService) busiest() float64 {
	most, sum := 0, 0
	for _, n := range d.runs {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * 3 / float64(sum)
}

// Guards against one endpoint of a plain service getting nearly all requests because the
// others look faulty: retries there fail because of the request.
func TestRequestErrorsDoNotSkewLoad(t *testing.T) {
	for seed := range uint64(10) {
		d := newPlainService(seed)
		d.play(5 * time.Second)
		d.play(20 * time.Second)
		if got := d.busiest(); got > 1.3 {
			t.Errorf("seed %d: the busiest endpoint gets %.2f times the mean", seed, got)
		}
	}
}

// Guards against a faulty endpoint that is not detected among requests that fail on any
// endpoint.
func TestFaultyPlainEndpointIsAvoidedWithinASecond(t *testing.T) {
	for seed := range uint64(10) {
		d := newPlainService(seed)
		d.play(5 * time.Second)
		d.faulty["d1"] = 0.45
		d.play(time.Second)
		d.play(5 * time.Second)
		sum := 0
		for _, n := range d.runs {
			sum += n
		}
		if share := float64(d.runs["d1"]) / float64(sum); share > 0.15 {
			t.Errorf("seed %d: %.2f of the work goes to the faulty endpoint after a second", seed, share)
		}
	}
}
