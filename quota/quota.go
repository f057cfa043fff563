// Package quota decides which requests are within a quota over the whole fleet: the quota of
// an organisation, or the rate that an endpoint accepts. It does no I/O and takes the time
// as an argument.
//
// Each instance that places requests has a token bucket for each account. It debits the
// bucket with the requests that it passes itself and with those that other instances report.
// No instance owns a quota, so the loss of an instance does not block it; the sides of a
// partitioned fleet split it by their numbers of instances.
//
// While an account asks for several times its limit, a price that follows the bucket's level
// decides, so that requests of all costs are served: without it, expensive requests drive the
// level below 0 and cheap ones are refused. A refused caller is given a time for which its cost is
// booked: without bookings, callers that return at the time they were given find the bucket used by others.
package quota

import "time"

// Unit is the unit in which a quota counts.
type Unit int

// The units of a quota.
const (
	Requests Unit = iota
	Tokens
)

// Limit is the quota of one account over the whole fleet. The zero value is unlimited.
type Limit struct {
	// Rate is the number of units that may pass per second.
	Rate float64
	// Burst is the number of units that may pass at once after an idle period.
	Burst float64
	Unit  Unit
	// Unsized is the cost in tokens of a request that states no number of tokens.
	Unsized int64
}

// Limited reports whether the account has a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the cost of a request in units of the limit. sized reports whether the
// request states its number of tokens.
func (l Limit) Cost(tokens int64, sized bool) int64 {
	switch {
	case l.Unit == Requests:
		return 1
	case sized:
		return tokens
	}
	return l.Unsized
}

// Charge is the cost of one attempt to run a request. The zero value costs nothing.
type Charge struct {
	// Account is the name of the account that is charged.
	Account string
	// Tokens is the size that the request states; Sized reports whether it states one.
	Tokens int64
	Sized  bool
	// Cost is in units of the limit; Book.Price sets it.
	Cost int64
	// Key is a hash of the account and the request's content, by which the request is recognised when
	// its caller comes back. A request without one (0) has neither price nor booking.
	Key uint64
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// Left is how long the caller will wait from now; 0 if it is unknown, then nothing is booked.
	Left time.Duration
	// OnTime is the time from now until the request's latency target has passed; 0 if it has none.
	OnTime time.Duration
}

// Outcome is the result of a quota decision.
type Outcome int

// The outcomes of a quota decision.
const (
	// Pass: the request is within the quota.
	Pass Outcome = iota
	// Unknown: this instance has just started and does not yet know what other instances
	// have passed. The caller should ask again in a moment.
	Unknown
	// Over: the request exceeds the quota.
	Over
)

// Decision is the decision whether a request may be sent, with the reasons.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time until the booking is due, or for a request without a key until the
	// bucket covers its cost, after the costs of the requests refused before it.
	RetryAfter time.Duration
	// Booked reports whether the request has a booking, Early whether it was made before and is not
	// due yet, Kept whether the request passes because of it.
	Booked, Early, Kept bool
	// Final reports that there is no room for a booking within the time that the caller has left.
	Final bool
	// Priced reports whether the price has refused the request. Price and Draw are the figures
	// compared; Price is 0 for a request without a key.
	Priced      bool
	Price, Draw float64
	// Made is the booking that this decision has made or moved, for the other schedulers; nil if there
	// is none.
	Made *Booking
	// Cost of the request.
	Cost int64
	// Balance of the bucket in units; negative if more has passed than it had.
	Balance float64
	// Share is the fraction of the quota on which the deciding instance decides.
	Share float64
}

// Usage reports what one instance has passed for one account since its start. It is a state
// and not an event: a lost, late or duplicate report does no harm once a newer one has
// arrived.
type Usage struct {
	Instance    string
	Incarnation uint64
	// Number increases with each report of the instance.
	Number  uint64
	Account string
	// Total is the cost passed since the start, less that of requests that did not run. Last
	// is the part of it that this report adds.
	Total, Last int64
	// Short reports whether the instance's bucket is low; Balance is set only then.
	Short   bool
	Balance float64
	// Redeemed is the key of the booking that the last part has redeemed; 0 for none.
	Redeemed uint64
}

// Reach describes the part of the fleet for which an instance decides.
type Reach struct {
	// Scheduler reports whether the instance decides for all live instances known to it.
	// Otherwise it decides only for itself, when it reaches no scheduler.
	Scheduler bool
	// Peers is the number of other live schedulers known to this instance.
	Peers int
	// Live and Listed are numbers of instances, including this one: those known to be live,
	// and all. Listed is 0 while it is unknown.
	Live, Listed int
}

// Share returns the fraction of the fleet for which the instance decides, and so of each quota that it may pass. The shares of
// instances that cannot communicate add up to at most 1: in a partitioned fleet that used
// the whole quota on each side, a multiple of it would pass.
func (r Reach) Share() float64 {
	switch {
	case r.Listed <= 0:
		return 0
	case !r.Scheduler:
		return 1 / float64(r.Listed)
	}
	return float64(min(r.Live, r.Listed)) / float64(r.Listed)
}
