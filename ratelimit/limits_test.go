package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/quota"
)

// alone returns the limits of the only instance of a fleet with one endpoint's rate limit,
// and a time long after the start.
func alone(rate Rate) (*Limits, time.Time) {
	l := NewLimits(start, "i", 1)
	l.SetReach(start, quota.Reach{Scheduler: true, Live: 1, Listed: 1})
	now := start.Add(time.Minute)
	l.Apply(now, Statement{Endpoint: "e", Value: rate, SentAt: now, AnsweredAt: now})
	return l, now
}

// sender sends requests to one endpoint as far as its limit allows.
type sender struct {
	limits *Limits
	run    uint64
}

func (s *sender) send(now time.Time, reserve float64) bool {
	if s.limits.Limited("e") && !s.limits.Free(now, "e", reserve) {
		return false
	}
	s.run++
	s.limits.Charge(now, s.run, "e")
	return true
}

// Guards against an urgent request being refused while less urgent ones use up the limit of
// an endpoint: 5 of each arrive per second, and the limit is 2.
func TestUrgentRequestsAreSentFirst(t *testing.T) {
	l, now := alone(limited(2))
	s := sender{limits: l}
	rng := rand.New(rand.NewPCG(1, 2))
	const seconds, perSecond = 60, 5
	served := map[int]int{}
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		for _, rank := range rng.Perm(2) {
			if s.send(now, float64(rank)) {
				served[rank]++
			}
		}
	}
	if served[0] < 19*seconds*2/20 || served[1] > seconds*2/20 {
		t.Errorf("%d urgent and %d less urgent requests in %d s at 2 a second", served[0], served[1], seconds)
	}
}

// Guards against less urgent requests never being sent although few urgent ones arrive: one
// in two seconds, at a limit of 2 per second.
func TestLessUrgentRequestsUseTheRemainingRate(t *testing.T) {
	l, now := alone(limited(2))
	s := sender{limits: l}
	const seconds = 60
	urgent, other := 0, 0
	for n := range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		if n%20 == 0 && s.send(now, 0) {
			urgent++
		}
		if s.send(now, 1) {
			other++
		}
	}
	if urgent < 27 || other < 80 {
		t.Errorf("%d urgent and %d other requests were sent, of 30 and some 90", urgent, other)
	}
}

// Guards against an endpoint that never gets a request again after it advertised a limit of
// 0: only a response shows that the limit has changed.
func TestEndpointWithZeroRateIsStillProbed(t *testing.T) {
	l, now := alone(limited(0))
	s := sender{limits: l}
	sent := 0
	for range 60 {
		now = now.Add(time.Second)
		if s.send(now, 0) {
			sent++
		}
	}
	if sent < 10 || sent > 20 {
		t.Errorf("%d requests in a minute", sent)
	}
	l.Apply(now, Statement{Endpoint: "e", SentAt: now, AnsweredAt: now})
	for range 10 {
		if !s.send(now, 1) {
			t.Fatal("held back although the endpoint's limit has been lifted")
		}
	}
}

// Guards against refused callers that all retry at the same time.
func TestRefusedCallersGetConsecutiveRetryTimes(t *testing.T) {
	l, now := alone(limited(2))
	s := sender{limits: l}
	for s.send(now, 0) {
		// Use up the burst.
	}
	last := time.Duration(0)
	for n := range 5 {
		d, ok := l.FreeIn(now, "e")
		if !ok || d < last+400*time.Millisecond && n > 0 || d > time.Duration(n+1)*600*time.Millisecond {
			t.Errorf("refused as number %d, free in %v, %v; the one before in %v", n+1, d, ok, last)
		}
		last = d
	}
}

// Guards against an endpoint getting more than 1.5 times its rate and five requests in any
// 4 s, whatever its rate and the demand.
func TestNoWindowExceedsTheEndpointsTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 30).Draw(t, "rate")
		l, now := alone(limited(rate))
		s := sender{limits: l}
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")))
			if s.send(now, rapid.Float64Range(0, 1).Draw(t, "reserve")) {
				sent = append(sent, now)
			}
		}
		const window = 4 * time.Second
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(first) <= window {
					n++
				}
			}
			if allowed := 1.5*rate*window.Seconds() + 5; float64(n) > allowed {
				t.Fatalf("%d requests in 4 s at %v a second, at most %.1f", n, rate, allowed)
			}
		}
	})
}

// Guards against a burst from all instances at the moment when an endpoint takes one more
// request: each instance has waiting requests that are decided again every few ms, and a
// report takes 12 ms.
func TestWaitingRequestsOfAllInstancesDoNotBurst(t *testing.T) {
	const (
		instances = 8
		lag       = 12 * time.Millisecond
		length    = 2 * time.Minute
		window    = 4 * time.Second
	)
	for _, rate := range []float64{0, 0.5, 1.3, 5} {
		rng := rand.New(rand.NewPCG(1, 2))
		now := start.Add(time.Minute)
		var fleet []*Limits
		for n := range instances {
			l := NewLimits(start, string(rune('a'+n)), 1)
			l.SetReach(start, quota.Reach{Scheduler: true, Peers: instances - 1, Live: instances, Listed: instances})
			l.Apply(now, Statement{Endpoint: "e", Value: limited(rate), SentAt: now, AnsweredAt: now})
			fleet = append(fleet, l)
		}
		type report struct {
			at time.Time
			by int
			u  quota.Usage
		}
		var reports []report
		var sent []time.Time
		nextDecision := make([]time.Time, instances)
		for end := now.Add(length); now.Before(end); now = now.Add(time.Millisecond) {
			for len(reports) > 0 && !reports[0].at.After(now) {
				for n, l := range fleet {
					if n != reports[0].by {
						l.ApplyUsage(now, reports[0].u)
					}
				}
				reports = reports[1:]
			}
			for n, l := range fleet {
				if now.Before(nextDecision[n]) {
					continue
				}
				nextDecision[n] = now.Add(lag + time.Duration(rng.Int64N(int64(lag))))
				if l.Free(now, "e", 0) {
					u, _ := l.Charge(now, uint64(len(sent)), "e")
					reports = append(reports, report{now.Add(lag), n, u})
					sent = append(sent, now)
				}
			}
		}
		worst := 0
		for i, first := range sent {
			n := 0
			for n < len(sent)-i && sent[i+n].Sub(first) <= window {
				n++
			}
			worst = max(worst, n)
		}
		used := float64(len(sent)) / length.Seconds() / max(rate, minPerSecond)
		t.Logf("%v a second: at most %d in 4 s, %.2f of the rate used", rate, worst, used)
		if allowed := 1.5*rate*window.Seconds() + 5; float64(worst) > allowed || used < 0.9 {
			t.Errorf("%v a second: %d in 4 s, at most %.1f are allowed; %.2f of the rate used", rate, worst, allowed, used)
		}
	}
}
