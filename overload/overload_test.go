package overload

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// server replays an instance in virtual time: it works off what it has taken in order, at capacity requests a
// second, and a timer waits behind all that is queued.
type server struct {
	gate              Gate
	now               time.Time
	capacity          float64
	queued, arrived   float64
	taken, closed, ok int
	lag               time.Duration
}

const step = 10 * time.Millisecond

// run has requests arrive at a rate for d. ok counts those that were taken and are finished within the time that
// callers wait.
func (s *server) run(d time.Duration, rate float64) {
	const callersWait = 500 * time.Millisecond
	s.taken, s.closed, s.ok = 0, 0, 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.queued = max(0, s.queued-s.capacity*step.Seconds())
		for s.arrived += rate * step.Seconds(); s.arrived >= 1; s.arrived-- {
			if !s.gate.Admit(s.now) {
				s.closed++
				continue
			}
			s.taken++
			s.queued++
			if s.queued/s.capacity < callersWait.Seconds() {
				s.ok++
			}
		}
		s.lag = max(s.lag, time.Duration(s.queued/s.capacity*float64(time.Second)))
		if s.now.Sub(start)%Interval == 0 {
			s.gate.Observe(s.now, s.lag)
			s.lag = 0
		}
	}
}

// Guards against an instance that reads more requests than it can finish in time, one that closes connections though it has
// time, and a limit that outlasts the surge.
func TestSurgeOfConnections(t *testing.T) {
	const contact = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := &server{now: start, capacity: rapid.Float64Range(50, 5000).Draw(t, "capacity")}
		usual := rapid.Float64Range(0.02, 0.7).Draw(t, "usual") * s.capacity
		surge := rapid.Float64Range(1.5, 20).Draw(t, "surge") * s.capacity
		s.run(5*time.Second, usual)
		if s.closed > 0 {
			t.Fatalf("%d connections closed before the surge", s.closed)
		}
		s.run(contact, surge)
		for range 2 {
			s.run(10*time.Second, surge)
			if share := float64(s.ok) / float64(s.taken); share < 0.95 {
				t.Fatalf("%.2f of the requests that were read are finished in time", share)
			}
		}
		if got := float64(s.ok) / 10; got < 0.75*s.capacity {
			t.Fatalf("%.0f requests a second, the instance could finish %.0f", got, s.capacity)
		}
		s.run(4*time.Second, usual)
		s.run(5*time.Second, usual)
		if s.closed > 0 || s.gate.State().Limited {
			t.Fatalf("%d connections closed after the surge", s.closed)
		}
	})
}

// Guards against closed connections after a process has stood still, with connections waiting to be accepted.
func TestPausedProcessTakesAllConnections(t *testing.T) {
	s := &server{now: start, capacity: 500}
	s.run(2*time.Second, 100)
	s.now = s.now.Add(3 * time.Second)
	s.lag, s.arrived = 3*time.Second, 300
	s.run(2*time.Second, 100)
	if s.closed > 0 {
		t.Errorf("%d connections closed", s.closed)
	}
}
