package emulator

import (
	"math/rand/v2"
	"time"
)

// Pace is a speed-up factor that divides durations, so that a run with minutes of work in it takes
// seconds. The zero Pace is real time.
type Pace float64

// factor returns the speed-up factor; that of the zero Pace is 1.
func (p Pace) factor() float64 {
	if p <= 0 {
		return 1
	}
	return float64(p)
}

// Scale converts an emulated duration to wall-clock time.
func (p Pace) Scale(d time.Duration) time.Duration {
	if p <= 0 || p == 1 {
		return d
	}
	return time.Duration(float64(d) / float64(p))
}

// sleep waits for the scaled d or until done is closed. It reports whether the whole time has
// passed.
func (p Pace) sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(p.Scale(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// unscale converts a wall-clock duration to emulated time.
func (p Pace) unscale(d time.Duration) time.Duration {
	if p <= 0 || p == 1 {
		return d
	}
	return time.Duration(float64(d) * float64(p))
}

// Behaviour is how an endpoint deviates from one that has a machine of its own and reads at full
// speed. The zero value does not deviate.
type Behaviour struct {
	Speed Speed
	// ReportsLoad adds platformtest.LoadHeader to each answer.
	ReportsLoad bool
	// ReadRate is the number of bytes per second that each connection reads; 0 sets no limit.
	ReadRate float64
	// WorkTime is the duration of a plain service's call at usual speed; 0 leaves the service's own.
	WorkTime time.Duration
}

// Speed is a speed that changes in steps, as on a machine that others use too. The factor by which
// work takes longer than usual is drawn anew for each interval, uniformly from 1 to Slowest. It
// depends only on the seed and the time.
type Speed struct {
	// Slowest is the largest factor; values up to 1 mean constant speed, as does a zero Interval.
	Slowest  float64
	Interval time.Duration
	Seed     uint64
}

// Factor returns the factor at a time since the endpoint's start.
func (s Speed) Factor(at time.Duration) float64 {
	if s.Slowest <= 1 || s.Interval <= 0 {
		return 1
	}
	step := uint64(at / s.Interval)
	return 1 + (s.Slowest-1)*rand.New(rand.NewPCG(s.Seed, step)).Float64()
}

// Stretch returns how long work takes that begins at a time since the endpoint's start and takes d
// at usual speed.
func (s Speed) Stretch(at, d time.Duration) time.Duration {
	if s.Slowest <= 1 || s.Interval <= 0 {
		return d
	}
	left, now := float64(d), at
	for {
		factor := s.Factor(now)
		step := s.Interval - now%s.Interval
		if left*factor <= float64(step) {
			return now + time.Duration(left*factor) - at
		}
		left -= float64(step) / factor
		now += step
	}
}
