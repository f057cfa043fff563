package emulator

import "time"

// Pace divides durations, so that a run with minutes of work in it takes
// seconds. The zero Pace is real time.
type Pace float64

// Scale returns the wall-clock time that stands for d.
func (p Pace) Scale(d time.Duration) time.Duration {
	if p <= 0 || p == 1 {
		return d
	}
	return time.Duration(float64(d) / float64(p))
}

// sleep waits for the scaled d, or until done is closed; it reports whether
// the whole time has passed.
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

// unscale returns the time that a wall-clock time stands for.
func (p Pace) unscale(d time.Duration) time.Duration {
	if p <= 0 || p == 1 {
		return d
	}
	return time.Duration(float64(d) * float64(p))
}
