package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// fleet applies one organisation's limit on several instances that receive each other's usage half
// a second late.
type fleet struct {
	limits   []*OrganisationLimit
	reported [][]Usage
	now      time.Time
}

func newFleet(n int, rate float64, inFlight int64) *fleet {
	f := &fleet{now: start}
	for range n {
		f.limits = append(f.limits, NewOrganisationLimit(start, rate, inFlight))
	}
	f.exchange()
	return f
}

// exchange reports the current usage and delivers the previous reports.
func (f *fleet) exchange() {
	usage := make([]Usage, len(f.limits))
	for i, l := range f.limits {
		usage[i] = l.Usage(f.now)
	}
	f.reported = append(f.reported, usage)
	late := f.reported[max(len(f.reported)-2, 0)]
	for i, l := range f.limits {
		var others []Usage
		for j, u := range late {
			if j != i {
				others = append(others, u)
			}
		}
		l.SetPeers(len(f.limits), others)
	}
}

// run sends demand requests per second for the duration d, spread over the instances by pick. It
// calls admitted for each admitted request and returns their number.
func (f *fleet) run(d time.Duration, demand float64, pick func() int, admitted func(*OrganisationLimit)) int {
	const step = 5 * time.Millisecond
	count, due := 0, 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(start)%(500*time.Millisecond) == 0 {
			f.exchange()
		}
		for due += demand * step.Seconds(); due >= 1; due-- {
			l := f.limits[pick()]
			if ok, _ := l.Admit(f.now); ok {
				count++
				admitted(l)
			}
		}
	}
	return count
}

// The rate limit holds for the whole fleet although no instance counts all requests. When the
// callers of one branch move to other instances, the limit must not be granted twice, which would
// starve other organisations, nor become unreachable.
func TestFleetEnforcesOrganisationRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFleet(8, 100, 0)
	end := func(l *OrganisationLimit) { l.Done() }
	even := func() int { return rng.IntN(8) }
	skewed := func() int { return min(rng.IntN(16), 7) }
	f.run(10*time.Second, 300, even, end)
	if got := f.run(10*time.Second, 300, even, end); got < 900 || got > 1100 {
		t.Errorf("even demand: %d admitted in 10 s, limit 1000", got)
	}
	if got := f.run(10*time.Second, 300, skewed, end); got < 850 || got > 1250 {
		t.Errorf("demand moving to one instance: %d admitted in 10 s, limit 1000", got)
	}
	if got := f.run(10*time.Second, 300, skewed, end); got < 900 || got > 1100 {
		t.Errorf("skewed demand: %d admitted in 10 s, limit 1000", got)
	}
	f.run(20*time.Second, 50, even, end)
	if got := f.run(10*time.Second, 50, even, end); got < 480 {
		t.Errorf("demand below the limit: %d admitted of 500", got)
	}
}

// An organisation's long responses accumulate at all instances. Together the instances may exceed
// the limit by one open request each, besides those that start while reports are on their way.
func TestFleetEnforcesOrganisationOpenRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	f := newFleet(8, 0, 40)
	f.run(10*time.Second, 20, func() int { return rng.IntN(8) }, func(*OrganisationLimit) {})
	open := int64(0)
	for _, l := range f.limits {
		open += l.open
	}
	if open < 40 || open > 48+20 {
		t.Fatalf("%d requests open, limit 40, 8 instances, at most 20 admitted before reports arrive", open)
	}
}

// Every endpoint fails for a minute. Retries must remain a small fraction of the load, and must be
// possible again afterwards.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	b := NewRetryBudget(start)
	retries := 0
	for i := range 6000 {
		b.Accepted()
		if b.Retry(start.Add(time.Duration(i) * 10 * time.Millisecond)) {
			retries++
		}
	}
	if retries > 6000/10+3*retryReserve+retryReserve {
		t.Fatalf("%d retries of 6000 requests in a minute", retries)
	}
	if !b.Retry(start.Add(2 * time.Minute)) {
		t.Fatal("no retry after a minute without load")
	}
}
