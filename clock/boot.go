package clock

import "time"

// Boot is a clock that also counts the time during which the machine is suspended, which the monotonic
// readings of System don't. It reads real time under testing/synctest, too.
type Boot struct{}

var (
	bootBase = sinceBoot()
	timeBase = time.Now()
)

// Now returns the current time. The wall clock's steps after the start of the process don't change it.
func (Boot) Now() time.Time { return timeBase.Add(sinceBoot() - bootBase) }
