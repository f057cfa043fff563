package selfreport

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

const (
	// onTheWay is how long after a rejection requests that were sent before may still arrive.
	onTheWay = 500 * time.Millisecond
	// tolerated is the number of requests that an endpoint tolerates afterwards, until the end of the
	// time for which it wanted none.
	tolerated = 2
)

// Guards against more requests than an endpoint tolerates in the time for which it wanted none,
// whatever it states and in whichever order its responses arrive.
func TestNoPauseGetsMoreThanTheToleratedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPauses()
		type window struct{ from, to time.Time }
		var windows []window
		var taken []time.Time
		now := start
		longest := rapid.SampledFrom([]time.Duration{5 * time.Second, 20 * time.Minute, 24 * time.Hour}).Draw(t, "longest")
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(longest/10)).Draw(t, "gap")))
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				d := time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "pause"))
				p.Begin(now, "e", "s", d)
				windows = append(windows, window{now.Add(onTheWay), now.Add(d)})
			} else if p.Take(now, "e") {
				taken = append(taken, now)
			}
		}
		for _, w := range windows {
			n := 0
			for _, at := range taken {
				if at.After(w.from) && at.Before(w.to) {
					n++
				}
			}
			if n > tolerated {
				t.Fatalf("%d requests from %v to %v after the first event", n, w.from.Sub(start), w.to.Sub(start))
			}
		}
	})
}

// Guards against a burst at the end of a pause, when all requests that have waited for it are sent.
func TestEndpointIsStartedSlowlyAfterItsPause(t *testing.T) {
	p := NewPauses()
	p.Begin(start, "e", "s", time.Second)
	end := start.Add(time.Second)
	sent := 0
	for ms := range 1200 {
		now := end.Add(time.Duration(ms) * time.Millisecond)
		for range 50 {
			if p.Take(now, "e") {
				sent++
			}
		}
		switch ms {
		case 199:
			if sent != 1 {
				t.Errorf("%d requests in the first 0.2 s, want 1", sent)
			}
		case 999:
			if sent != 31 {
				t.Errorf("%d requests in the first second, want 31", sent)
			}
		}
	}
	if sent < 200*50 {
		t.Errorf("%d requests in 1.2 s; the endpoint is still held back", sent)
	}
}

// Guards against a pause that a later, shorter one cuts off.
func TestShorterPauseDoesNotShortenTheCurrentOne(t *testing.T) {
	p := NewPauses()
	p.Begin(start, "e", "s", 3*time.Second)
	if until, changed := p.Begin(at(0.2), "e", "s", time.Second); changed || !until.Equal(at(3)) {
		t.Errorf("until %v, changed %v", until.Sub(start), changed)
	}
	if p.Take(at(2.9), "e") || !p.Take(at(3), "e") {
		t.Error("the pause does not end after 3 s")
	}
}

// Guards against an endpoint that is lost for a day because it named one: it gets a single request
// after ten minutes, and is used again if it runs that.
func TestLongPauseEndsWithATrialThatIsServed(t *testing.T) {
	p := NewPauses()
	p.Begin(start, "e", "s", 24*time.Hour)
	trial := start.Add(10 * time.Minute)
	if p.Take(trial.Add(-time.Second), "e") || !p.Take(trial, "e") || p.Take(trial.Add(time.Second), "e") {
		t.Error("not exactly one request after ten minutes")
	}
	if p.Served("e", trial.Add(-time.Second)) {
		t.Error("a request sent before the trial ended the pause")
	}
	if !p.Served("e", trial) || !p.Take(trial.Add(time.Second), "e") {
		t.Error("the endpoint is not used after it has run the trial")
	}
}

// Guards against pauses of one service, or ended ones, that keep requests of another one waiting, and
// against a memory leak by endpoints that have left.
func TestPausesAreListedByServiceAndSwept(t *testing.T) {
	p := NewPauses()
	p.Begin(start, "e1", "s", time.Second)
	p.Begin(start, "e2", "other", 2*time.Second)
	p.Begin(start, "e3", "s", 3*time.Second)
	if list := p.Paused(at(0.5), "s"); len(list) != 2 || list[0] != (Pause{"e1", 500 * time.Millisecond}) {
		t.Errorf("paused %v, want e1 and e3", list)
	}
	if list := p.Paused(at(1.5), "s"); len(list) != 1 || list[0].Endpoint != "e3" {
		t.Errorf("paused %v, want e3", list)
	}
	p.Sweep(at(2.1), func(id string) bool { return id != "e3" })
	if list := p.All(at(2.1)); len(list) != 0 || len(p.endpoints) != 1 {
		t.Errorf("paused %v, %d kept; want e2 in its slow start only", list, len(p.endpoints))
	}
}

// Guards against requests for an endpoint that has restarted and asked for a pause before the list
// showed it; and against a pause of the process before that outlives it.
func TestPauseOfTheNextIncarnationIsMovedToIt(t *testing.T) {
	p := NewPauses()
	p.Begin(at(10), "e@1", "s", 5*time.Second)
	p.Begin(at(1), "f@1", "s", time.Hour)
	p.Move("e@1", "e@2", at(8))
	p.Move("f@1", "f@2", at(8))
	if p.Take(at(11), "e@2") || !p.Take(at(11), "f@2") {
		t.Error("only the pause that began after the restart must be moved")
	}
}
