// Package retrytest checks the retries of a fleet against the limit on them, as observers of callers and endpoints do.
package retrytest

import (
	"slices"
	"time"
)

// Ledger holds the requests to one service and its retries, whichever instances sent them.
type Ledger struct {
	// Ratio, Slack and Window are those of the limit: see policy.NewFleetRetries.
	Ratio, Slack float64
	Window       time.Duration
	// Requests and Retries are sorted when Worst or Allowed is called.
	Requests, Retries []time.Time
}

// Sort sorts the times.
func (l *Ledger) Sort() {
	slices.SortFunc(l.Requests, time.Time.Compare)
	slices.SortFunc(l.Retries, time.Time.Compare)
}

// Allowed returns how many retries the fleet may send in the window from a time: those that the requests of that window earn,
// or of the one before or half a window before, whichever has most, and the slack.
func (l *Ledger) Allowed(from time.Time) float64 {
	most := max(l.count(l.Requests, from), l.count(l.Requests, from.Add(-l.Window)), l.count(l.Requests, from.Add(-l.Window/2)))
	return l.Ratio*float64(most) + l.Slack
}

// Sent returns how many retries were sent in the window from a time.
func (l *Ledger) Sent(from time.Time) int { return l.count(l.Retries, from) }

// Worst returns the start of the window in which the retries exceed the limit most, or come closest to it; zero if there was
// no retry.
func (l *Ledger) Worst() time.Time {
	var worst time.Time
	most := 0.0
	for _, from := range l.Retries {
		if over := float64(l.Sent(from)) - l.Allowed(from); worst.IsZero() || over > most {
			worst, most = from, over
		}
	}
	return worst
}

// count returns how many of the sorted times lie in the window from a time.
func (l *Ledger) count(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(l.Window), time.Time.Compare)
	return end - first
}
