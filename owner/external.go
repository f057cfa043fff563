package owner

// externalSmoothing is the weight of the newest load report in the estimate of external
// load.
const externalSmoothing = 0.3

// externalLoad estimates the number of requests on the endpoint that this owner did not
// grant: those of instances that could not reach the owner or that consider another
// instance the owner. They are visible only in load reports, which lag. So a report is
// compared with the highest number of own grants since the report before the last, and the
// owner's own requests are never counted as external.
type externalLoad struct {
	peak, previousPeak int
	mean               float64
}

// observeGrants records the current number of grants.
func (l *externalLoad) observeGrants(grants int) { l.peak = max(l.peak, grants) }

// report records the number of requests that the endpoint reported.
func (l *externalLoad) report(running, grants int) {
	over := max(running-max(l.peak, l.previousPeak), 0)
	l.mean += externalSmoothing * (float64(over) - l.mean)
	l.previousPeak, l.peak = l.peak, grants
}

// requests returns the estimated number of external requests.
func (l *externalLoad) requests() int { return int(l.mean + 0.5) }
