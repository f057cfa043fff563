package policy

import (
	"math"
	"time"
)

const (
	// demandDecay is the time constant of the smoothed demand that instances report. It is several
	// times the delay of reports between instances, so that only a small part of a load that moves
	// from one instance to another is admitted twice.
	demandDecay = 4 * time.Second
	// limitBurst is how much of its rate an instance may use at once: the callers of an
	// organisation send together on the hour.
	limitBurst = time.Second
	// evenFraction of the rate is split evenly over all instances regardless of their reports, so
	// that an instance without previous demand can admit its first requests.
	evenFraction = 0.1
)

// Usage is what one instance reports about one organisation.
type Usage struct {
	// Demand is the smoothed rate of arriving requests per second, whether admitted or not.
	Demand float64
	// InFlight is the number of open requests.
	InFlight int64
}

// OrganisationLimit enforces a request rate and a maximum number of open requests for one
// organisation over the whole fleet without a central counter. Each instance gets a share
// proportional to its part of the demand that the live instances reported.
//
// It is designed for an organisation whose burst reaches all instances at once. The shares of
// instances that have the same reports add up to the limit. While reports lag a shift of load by
// d, the fleet may exceed the rate by up to the fraction d / demandDecay, and the open requests by
// at most one for each instance besides those that start during the lag. A burst of limitBurst is
// admitted on top.
type OrganisationLimit struct {
	rate     float64
	inFlight int64
	members  int
	others   Usage
	open     int64
	demand   float64
	reported float64
	tokens   float64
	last     time.Time
}

// NewOrganisationLimit returns a limit for an instance without peers. A value of 0 means no limit.
func NewOrganisationLimit(now time.Time, requestsPerSecond float64, inFlight int64) *OrganisationLimit {
	l := &OrganisationLimit{rate: requestsPerSecond, inFlight: inFlight, members: 1, last: now}
	l.tokens = l.burst()
	return l
}

// SetLimits replaces the limits.
func (l *OrganisationLimit) SetLimits(requestsPerSecond float64, inFlight int64) {
	l.rate, l.inFlight = requestsPerSecond, inFlight
}

// SetPeers sets the number of live instances, including this one, and the latest reports of the
// others.
func (l *OrganisationLimit) SetPeers(members int, others []Usage) {
	l.members = max(members, 1)
	l.others = Usage{}
	for _, u := range others {
		l.others.Demand += u.Demand
		l.others.InFlight += u.InFlight
	}
	l.tokens = min(l.tokens, l.burst())
}

// Usage returns the usage to report to the other instances. The share is computed from the
// reported demand, so that all instances compute with the same numbers.
func (l *OrganisationLimit) Usage(now time.Time) Usage {
	l.advance(now)
	l.reported = l.demand
	return Usage{Demand: l.demand, InFlight: l.open}
}

// share returns this instance's fraction of the fleet's limit.
func (l *OrganisationLimit) share() float64 {
	even := 1 / float64(l.members)
	total := l.reported + l.others.Demand
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*l.reported/total
}

func (l *OrganisationLimit) burst() float64 {
	return max(l.rate*l.share()*limitBurst.Seconds(), 1)
}

// Admit counts one arriving request and reports whether it may run. If not, it returns the time to
// wait before a retry. The caller has to call Done for each admitted request.
func (l *OrganisationLimit) Admit(now time.Time) (bool, time.Duration) {
	l.advance(now)
	l.demand += 1 / demandDecay.Seconds()
	if l.rate > 0 && l.tokens < 1 {
		return false, seconds((1 - l.tokens) / (l.rate * l.share()))
	}
	if l.inFlight > 0 && l.open >= l.maxOpen() {
		return false, time.Second
	}
	if l.rate > 0 {
		l.tokens--
	}
	l.open++
	return true, 0
}

// maxOpen returns how many requests this instance may have open: the current ones plus its share,
// rounded up, of what the fleet has left.
func (l *OrganisationLimit) maxOpen() int64 {
	left := l.inFlight - l.open - l.others.InFlight
	if left <= 0 {
		return l.open
	}
	return l.open + int64(math.Ceil(float64(left)*l.share()))
}

// Done records the end of an admitted request.
func (l *OrganisationLimit) Done() { l.open-- }

func (l *OrganisationLimit) advance(now time.Time) {
	step := now.Sub(l.last).Seconds()
	if step <= 0 {
		return
	}
	l.last = now
	l.demand *= math.Exp(-step / demandDecay.Seconds())
	l.tokens = min(l.tokens+step*l.rate*l.share(), l.burst())
}
