// Package clock is the time source that decisions and duties are given, so
// that tests can run them in virtual time.
package clock

import "time"

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// System is the machine's clock. Under testing/synctest it is the bubble's.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }
