package emulator

import "time"

// Pace is a speed-up factor that divides durations, so that a run with minutes of work in it takes
// seconds. The zero Pace is real time.
type Pace float64

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
