// Package quota decides which requests a quota lets pass over the whole fleet: that of an
// organisation, or the rate that an endpoint takes. It does no I/O and takes the time as an
// argument.
//
// Each instance that places requests has a token bucket for each account and debits it with what it lets pass and with what the others report. Nobody holds the
// quota, so nobody's loss stops it; a fleet that is apart divides it by the number of
// instances on each side.
package quota

import "time"

// Unit is what a quota counts.
type Unit int

// The units.
const (
	Requests Unit = iota
	Tokens
)

// Limit is the quota of one account over the whole fleet. The zero value is no
// limit.
type Limit struct {
	// Rate is what may pass in a second, in units of Unit.
	Rate float64
	// Burst may pass at once after a time of rest.
	Burst float64
	Unit  Unit
	// Unsized is the cost in tokens of a request that states no number of tokens.
	Unsized int64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns what a request counts against the limit. sized says that the request
// states its number of tokens.
func (l Limit) Cost(tokens int64, sized bool) int64 {
	switch {
	case l.Unit == Requests:
		return 1
	case sized:
		return tokens
	}
	return l.Unsized
}

// Charge is what one send of a request counts. The zero value counts nothing.
type Charge struct {
	// Account names whose quota it is.
	Account string
	// Tokens is the size that the request states; Sized says that it states one.
	Tokens int64
	Sized  bool
	// Cost in units of the limit; Book.Price sets it.
	Cost int64
}

// Outcome is what becomes of a request.
type Outcome int

// The outcomes.
const (
	// Pass: it is within the quota.
	Pass Outcome = iota
	// Unknown: this instance has just started and does not know yet what others let
	// pass. The request should be asked for again in a moment.
	Unknown
	// Over: it is above the quota.
	Over
)

// Decision says whether a request may be sent, and why.
type Decision struct {
	Outcome Outcome
	// RetryAfter is when the request's cost will be there, after that of those
	// refused before it.
	RetryAfter time.Duration
	// Cost of the request.
	Cost int64
	// Balance of the bucket, in units; below 0 where more has passed than is there.
	Balance float64
	// Share is the part of the quota that was decided on.
	Share float64
}

// Usage reports what one instance has let pass for one account since its start.
// It is a state and not an event: one that is lost, late or doubled does no harm once
// a newer one has come.
type Usage struct {
	Instance    string
	Incarnation uint64
	// Number rises with each report of the instance.
	Number  uint64
	Account string
	// Total is what passed since the start, less what did not run; Last is the part
	// that this report adds.
	Total, Last int64
	// Short says that the instance's bucket is, which then holds Balance.
	Short   bool
	Balance float64
}

// Reach says how much of the fleet an instance decides for.
type Reach struct {
	// Scheduler says that it decides for all instances that it hears; otherwise it
	// decides only for itself, when it reaches no scheduler.
	Scheduler bool
	// Peers is how many other schedulers it hears of.
	Peers int
	// Heard and Listed count instances, this one included: those it hears of, and all.
	// Listed is 0 while that is not known.
	Heard, Listed int
}

// share is the part of each quota that the instance may let pass. The shares of
// instances that do not hear each other add up to 1 at most.
//
// Failure: the fleet is apart. With the whole quota on each side, the fleet would let
// pass a multiple of it.
func (r Reach) share() float64 {
	switch {
	case r.Listed <= 0:
		return 0
	case !r.Scheduler:
		return 1 / float64(r.Listed)
	}
	return float64(min(r.Heard, r.Listed)) / float64(r.Listed)
}
