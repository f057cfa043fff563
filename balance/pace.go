package balance

import (
	"math"
	"time"
)

// paceMemory is the time constant with which what an endpoint has reported about its machine's pace expires. Other work on
// that machine comes and goes within some hundred ms.
const paceMemory = 500 * time.Millisecond

// pace is how long work takes on an endpoint's machine, as a multiple of the usual, and when the endpoint said so.
type pace struct {
	factor float64
	at     time.Time
}

// now returns the factor that is to be expected: 1 if the endpoint has not said anything lately.
//
// Endpoints share their machines with other work. For some hundred ms one of several is more than twice as slow as
// usual, and its prompts are late although it has no more of them than the others. Its average rate does not
// show that.
func (p pace) now(now time.Time) float64 {
	if p.factor == 0 {
		return 1
	}
	age := max(now.Sub(p.at), 0)
	return 1 + (p.factor-1)*math.Exp(-age.Seconds()/paceMemory.Seconds())
}

// SetPace records what the endpoint of a run has reported about its machine's pace: work takes factor times as long as usual.
func (s *State) SetPace(now time.Time, id RunID, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[id]; ok && factor > 0 {
		r.on.pace = pace{factor, now}
	}
}
