package policy

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// drainLoad is the load on an instance that shuts down.
type drainLoad struct {
	grace, timeout time.Duration
	// responseTime draws how long a response takes.
	responseTime func(*rand.Rand) time.Duration
}

// drainOutcome counts the outcomes of the requests.
type drainOutcome struct {
	sent, served, aborted, refused int
	// lastAccepted is the time of the last accepted request, from the start of the shutdown.
	lastAccepted time.Duration
}

// run shuts an instance down while requests arrive every few ms from the start of the shutdown
// until responses are aborted, as they do over connections that are kept open.
func (l drainLoad) run(t *testing.T) (o drainOutcome) {
	const every = 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		var times ResponseTimes
		for range responseSamples {
			times.Record(min(l.responseTime(rng), l.timeout))
		}
		began := time.Now()
		d := Drain{AbortAt: began.Add(l.grace)}
		for ; time.Now().Before(d.AbortAt); time.Sleep(every) {
			o.sent++
			now := time.Now()
			expected, known := times.Estimate()
			if !d.Accepts(now, now.Add(l.timeout), expected, known) {
				o.refused++
				continue
			}
			o.lastAccepted = now.Sub(began)
			if now.Add(min(l.responseTime(rng), l.timeout)).After(d.AbortAt) {
				o.aborted++
			} else {
				o.served++
			}
		}
	})
	return o
}

// between returns a function that draws uniformly from [least, most).
func between(least, most time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration { return least + time.Duration(rng.Int64N(int64(most-least))) }
}

// An instance shuts down while callers keep sending until the end. An aborted response has run, so
// the caller does not know the outcome, such as whether an order was placed; a refused request is
// served by another instance at once. With short or long responses and short or long timeouts,
// almost no response may be aborted, and an instance with time left may not refuse requests.
func TestDrainAbortsAlmostNoResponse(t *testing.T) {
	// One in six prompts is long, and its response takes twice as long as the others.
	mixed := func(rng *rand.Rand) time.Duration {
		if rng.IntN(6) == 0 {
			return 2400 * time.Millisecond
		}
		return 1200 * time.Millisecond
	}
	loads := map[string]struct {
		drainLoad
		// acceptedUntil is the least time after the start of the shutdown until which requests are
		// accepted, maxAborted the largest share of the requests, in percent, that may be aborted.
		acceptedUntil time.Duration
		maxAborted    int
	}{
		"short responses, short grace period":    {drainLoad{4 * time.Second, 1500 * time.Millisecond, between(20*time.Millisecond, 80*time.Millisecond)}, 3800 * time.Millisecond, 0},
		"short responses, long grace period":     {drainLoad{8 * time.Second, 1500 * time.Millisecond, between(20*time.Millisecond, 80*time.Millisecond)}, 7800 * time.Millisecond, 0},
		"long responses, longer timeouts":        {drainLoad{8 * time.Second, 15 * time.Second, between(time.Second, 3*time.Second)}, 5 * time.Second, 1},
		"responses as long as the timeouts":      {drainLoad{4 * time.Second, 2 * time.Second, mixed}, 2 * time.Second, 0},
		"responses longer than the grace period": {drainLoad{4 * time.Second, 15 * time.Second, between(4*time.Second, 6*time.Second)}, 0, 0},
	}
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			o := l.run(t)
			if o.aborted*100 > l.maxAborted*o.sent {
				t.Errorf("%d of %d requests were aborted", o.aborted, o.sent)
			}
			if o.lastAccepted < l.acceptedUntil-10*time.Millisecond {
				t.Errorf("last request accepted %v after the start of the shutdown, want %v at least", o.lastAccepted, l.acceptedUntil)
			}
			if o.served+o.refused+o.aborted != o.sent {
				t.Errorf("outcomes do not add up to the requests sent: %+v", o)
			}
		})
	}
}

// An instance shuts down right after its start. It has no response times yet, so it may only
// accept what ends by its deadline before responses are aborted.
func TestDrainWithoutResponseTimesUsesDeadlines(t *testing.T) {
	now := time.Unix(0, 0)
	d := Drain{AbortAt: now.Add(4 * time.Second)}
	var times ResponseTimes
	expected, known := times.Estimate()
	if !d.Accepts(now, now.Add(4*time.Second), expected, known) {
		t.Error("a request that ends in time is refused")
	}
	if d.Accepts(now, now.Add(4*time.Second+1), expected, known) {
		t.Error("a request that may be aborted is accepted")
	}
}

// Most responses are short and one in six is long. The estimate has to cover the long ones, or the
// instance accepts some that it has to abort.
func TestEstimateCoversLongResponses(t *testing.T) {
	const long = 2 * time.Second
	var times ResponseTimes
	for n := range 2 * responseSamples {
		d := 100 * time.Millisecond
		if n%6 == 0 {
			d = long
		}
		times.Record(d)
		if expected, known := times.Estimate(); !known || expected < long {
			t.Fatalf("estimate %v, known %v after %d responses, want %v at least", expected, known, n+1, long)
		}
	}
	if expected, _ := times.Estimate(); expected != long {
		t.Errorf("estimate %v, want the long responses' %v", expected, long)
	}
}

// An instance is shut down again shortly after its start, as in a repeated rollout of the whole
// fleet. It has served few responses, so the longest of them is a poor estimate. Its callers have
// long timeouts and their responses take a few seconds: the instance still has time for these and
// may not refuse all of them.
func TestDrainWithFewResponseTimesAcceptsRequests(t *testing.T) {
	const grace, timeout = 8 * time.Second, 15 * time.Second
	now := time.Unix(0, 0)
	d := Drain{AbortAt: now.Add(grace)}
	var times ResponseTimes
	for range 3 {
		times.Record(2 * time.Second)
	}
	expected, known := times.Estimate()
	if at := now.Add(3 * time.Second); !d.Accepts(at, at.Add(timeout), expected, known) {
		t.Errorf("a response of about 2s is refused 5s before the end; estimate %v", expected)
	}
	if at := now.Add(5 * time.Second); d.Accepts(at, at.Add(timeout), expected, known) {
		t.Errorf("a response of about 2s is accepted 3s before the end after three responses; estimate %v", expected)
	}
}
