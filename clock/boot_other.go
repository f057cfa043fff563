//go:build !linux

package clock

import "time"

var processStart = time.Now()

// sinceBoot returns the time since the process started: suspensions are only counted on Linux.
func sinceBoot() time.Duration { return time.Since(processStart) }
