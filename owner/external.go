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
func (f *externalLoad) observeGrants(grants int) { f.peak = max(f.peak, grants) }

// report records the number of requests that the endpoint reported.
func (f *externalLoad) report(running, grants int) {
	over := max(running-max(f.peak, f.previousPeak), 0)
	f.mean += externalSmoothing * (float64(over) - f.mean)
	f.previousPeak, f.peak = f.peak, grants
}

// requests returns the estimated number of external requests.
func (f *externalLoad) requests() int { return int(f.mean + 0.5) }
