package policy

import (
	"math"
	"time"
)

const (
	// demandMemory smooths the demand that instances report. It is several
	// times the lag of reports between instances, so that a load that moves
	// from one instance to another is admitted twice for a small part only.
	demandMemory = 4 * time.Second
	// limitBurst is how much of its rate an instance may use at once: callers
	// of one organisation come together on the hour.
	limitBurst = time.Second
	// spareShare of the rate is split evenly over all instances whatever they
	// report, so that one without any demand so far admits its first requests.
	spareShare = 0.1
)

// Usage is what one instance reports of one organisation.
type Usage struct {
	// Demand is the smoothed rate of requests that arrived, admitted or not, a
	// second.
	Demand float64
	// InFlight is the number of open requests.
	InFlight int64
}

// OrganisationLimit holds one organisation to a rate and a number of open
// requests over the whole fleet, with no central counter: each instance takes a
// share by the demand that the live instances reported.
//
// It is made for an organisation whose burst reaches all instances at once.
// Shares of instances with the same reports add up to the limit. While reports
// lag by d behind a shift of load, the fleet may admit up to d / demandMemory
// too much, and at most one request too much in flight for each instance,
// besides what starts during the lag. A burst of limitBurst is admitted on top.
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

// NewOrganisationLimit returns a limit for an instance that is alone; 0 means
// no limit.
func NewOrganisationLimit(now time.Time, requestsPerSecond float64, inFlight int64) *OrganisationLimit {
	l := &OrganisationLimit{rate: requestsPerSecond, inFlight: inFlight, members: 1, last: now}
	l.tokens = l.burst()
	return l
}

// SetLimits puts other limits in force.
func (l *OrganisationLimit) SetLimits(requestsPerSecond float64, inFlight int64) {
	l.rate, l.inFlight = requestsPerSecond, inFlight
}

// SetPeers takes the number of live instances, this one included, and what the
// others reported last.
func (l *OrganisationLimit) SetPeers(members int, others []Usage) {
	l.members = max(members, 1)
	l.others = Usage{}
	for _, u := range others {
		l.others.Demand += u.Demand
		l.others.InFlight += u.InFlight
	}
	l.tokens = min(l.tokens, l.burst())
}

// Usage is what to report. The share is computed from the reported demand, so
// that all instances compute with the same numbers.
func (l *OrganisationLimit) Usage(now time.Time) Usage {
	l.advance(now)
	l.reported = l.demand
	return Usage{Demand: l.demand, InFlight: l.open}
}

// share is this instance's part of the fleet's load.
func (l *OrganisationLimit) share() float64 {
	even := 1 / float64(l.members)
	total := l.reported + l.others.Demand
	if total <= 0 {
		return even
	}
	return spareShare*even + (1-spareShare)*l.reported/total
}

func (l *OrganisationLimit) burst() float64 {
	return max(l.rate*l.share()*limitBurst.Seconds(), 1)
}

// Admit counts one arrived request and reports whether it may run; if not,
// after what time the next may. Done has to follow each admitted one.
func (l *OrganisationLimit) Admit(now time.Time) (bool, time.Duration) {
	l.advance(now)
	l.demand += 1 / demandMemory.Seconds()
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

// maxOpen is how many requests this instance may have open: what it has plus
// its part, rounded up, of what the fleet has left.
func (l *OrganisationLimit) maxOpen() int64 {
	left := l.inFlight - l.open - l.others.InFlight
	if left <= 0 {
		return l.open
	}
	return l.open + int64(math.Ceil(float64(left)*l.share()))
}

// Done counts the end of an admitted request.
func (l *OrganisationLimit) Done() { l.open-- }

func (l *OrganisationLimit) advance(now time.Time) {
	step := now.Sub(l.last).Seconds()
	if step <= 0 {
		return
	}
	l.last = now
	l.demand *= math.Exp(-step / demandMemory.Seconds())
	l.tokens = min(l.tokens+step*l.rate*l.share(), l.burst())
}
