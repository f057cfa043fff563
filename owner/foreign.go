package owner

// foreignMemory is the weight of the newest load report in the estimate of
// load that others caused.
const externalSmoothing = 0.3

// foreignLoad is what runs on the endpoint without the owner's grant: requests
// of instances that could not reach the owner, or that take another instance
// for it. It shows in load reports, which lag; they are compared with the most
// that the owner itself had running since the report before the last, so that
// its own work is never taken for another's.
type externalLoad struct {
	peak, previousPeak int
	mean               float64
}

// note takes the number of grants now.
func (f *externalLoad) observeGrants(grants int) { f.peak = max(f.peak, grants) }

// report takes a load report of running requests.
func (f *externalLoad) report(running, grants int) {
	over := max(running-max(f.peak, f.previousPeak), 0)
	f.mean += externalSmoothing * (float64(over) - f.mean)
	f.previousPeak, f.peak = f.peak, grants
}

// requests is the estimate.
func (f *externalLoad) requests() int { return int(f.mean + 0.5) }
