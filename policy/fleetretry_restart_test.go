package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/policy/retrytest"
)

// retryFleet plays instances that share a retry limit in virtual time. Each request is sent at once, fails, and is sent
// again as often as the limit allows.
type retryFleet struct {
	retrytest.Ledger
	instances []*FleetRetries
	// listed is the number of instances that processes divide by, from knownAfter after their start.
	listed     int
	knownAfter time.Duration
	startedAt  []time.Time
	// maxRetries bounds the retries of one request.
	maxRetries int
}

func newRetryFleet(now time.Time, instances int) *retryFleet {
	f := &retryFleet{Ledger: retrytest.Ledger{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}, listed: instances, maxRetries: 3}
	f.instances, f.startedAt = make([]*FleetRetries, instances), make([]time.Time, instances)
	for i := range f.instances {
		f.start(now, i)
	}
	return f
}

// start starts a process, in place of one that was killed if there was one.
func (f *retryFleet) start(now time.Time, i int) {
	f.instances[i], f.startedAt[i] = NewFleetRetries(now, f.Ratio, f.Slack, f.Window), now
}

// serve has one instance serve a request, which fails or not.
func (f *retryFleet) serve(now time.Time, i int, fails bool) {
	b := f.instances[i]
	if now.Sub(f.startedAt[i]) >= f.knownAfter {
		b.SetInstances(i, f.listed)
	}
	f.Requests = append(f.Requests, now)
	b.Accepted(now, "pool")
	for range f.maxRetries {
		if !fails || !b.Retry(now, "pool").Granted {
			return
		}
		f.Retries = append(f.Retries, now)
	}
}

// check fails the test if some window has more retries than the fleet may send.
func (f *retryFleet) check(t rapid.TB) {
	t.Helper()
	f.Sort()
	if from := f.Worst(); float64(f.Sent(from)) > f.Allowed(from) {
		t.Fatalf("%d retries in the window from %s on, allowed %.0f", f.Sent(from), from.UTC().Format("05.000"), f.Allowed(from))
	}
}

// retryLoad is the load of one play.
type retryLoad struct {
	// perSecond is the number of requests a second, three times as many for burstLength from burstFrom on.
	perSecond              int
	burstFrom, burstLength time.Duration
	// Requests fail from failFrom on.
	failFrom, length time.Duration
	// pick returns the instance that serves the next request; before is called ahead of each.
	pick   func() int
	before func(now time.Time)
}

func (f *retryFleet) play(start time.Time, l retryLoad) {
	for at := time.Duration(0); at < l.length; {
		l.before(start.Add(at))
		f.serve(start.Add(at), l.pick(), at >= l.failFrom)
		step := time.Second / time.Duration(l.perSecond)
		if at >= l.burstFrom && at < l.burstFrom+l.burstLength {
			step /= 3
		}
		at += step
	}
}

// Guards against processes that spend the fleet's retries again after each restart.
func TestRestartedInstancesStayBelowRetryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		perSecond := rapid.IntRange(1, 200).Draw(t, "perSecond")
		f := newRetryFleet(start, instances)
		f.maxRetries = rapid.IntRange(1, 3).Draw(t, "maxRetries")
		f.knownAfter = time.Duration(rapid.IntRange(0, 1500).Draw(t, "knownAfterMs")) * time.Millisecond
		milliseconds := func(from, to int, what string) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
		}
		failFrom := milliseconds(0, 15_000, "failFromMs")
		burstFrom, burstLength := milliseconds(0, 20_000, "burstFromMs"), milliseconds(0, 8_000, "burstMs")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "balancer"), 0))
		killed := map[int][]time.Time{}
		for i := range instances {
			for _, ms := range rapid.SliceOfNDistinct(rapid.IntRange(8_000, 28_000), 0, 5, rapid.ID).Draw(t, "killedAtMs") {
				killed[i] = append(killed[i], start.Add(time.Duration(ms)*time.Millisecond))
			}
		}
		if rapid.Bool().Draw(t, "together") {
			for i := range instances {
				killed[i] = killed[0]
			}
		}
		restart := func(now time.Time) {
			for i := range instances {
				killed[i] = slices.DeleteFunc(slices.Clone(killed[i]), func(at time.Time) bool {
					due := !now.Before(at)
					if due {
						f.start(now, i)
					}
					return due
				})
			}
		}
		f.play(start, retryLoad{
			perSecond: perSecond, burstFrom: burstFrom, burstLength: burstLength, failFrom: failFrom, length: 30 * time.Second,
			pick: func() int { return rng.IntN(instances) }, before: restart,
		})
		f.check(t)
	})
}

// leastUsed is the share of the allowed retries that callers get where they need them.
const leastUsed = 0.85

// Guards against callers that fail although the fleet may send far more retries, in the steady state and from one window
// after a restart of all instances on.
func TestFleetUsesItsRetries(t *testing.T) {
	for _, c := range []struct{ instances, perSecond int }{{1, 5}, {8, 5}, {8, 20}, {8, 90}, {8, 300}, {82, 370}, {82, 20}, {360, 5000}} {
		t.Run(fmt.Sprintf("%d instances, %d a second", c.instances, c.perSecond), func(t *testing.T) {
			start := time.Unix(1000, 0)
			f := newRetryFleet(start, c.instances)
			restarted, next := false, 0
			f.play(start, retryLoad{
				perSecond: c.perSecond, length: 40 * time.Second,
				pick: func() int { next++; return next % c.instances },
				before: func(now time.Time) {
					if restarted || now.Sub(start) < 20*time.Second {
						return
					}
					restarted = true
					for i := range f.instances {
						f.start(now, i)
					}
				},
			})
			for _, from := range []time.Duration{10 * time.Second, 30 * time.Second} {
				at := start.Add(from)
				if n, allowed := f.Sent(at), f.Allowed(at); float64(n) < leastUsed*allowed {
					t.Errorf("%d retries in the window from %v on, allowed %.0f", n, from, allowed)
				}
			}
			f.check(t)
		})
	}
}
