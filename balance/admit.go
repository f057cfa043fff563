package balance

import "time"

// Timing is what decides whether a model request is sent now or waits here.
type Timing struct {
	// Target is the time to the first token that the caller is content with.
	Target time.Duration
	// Elapsed since the request came, and Patience in all.
	Elapsed, Patience time.Duration
	// Backlog of the endpoint chosen, and First, the time to the first token if
	// the request is sent now.
	Backlog, First time.Duration
}

const (
	// lateBacklog is the work that an endpoint may have before it when a request
	// is sent there that is late in any case.
	lateBacklog = 60 * time.Millisecond
	// agingShare is the share of its patience after which a late request is sent
	// whatever the backlog. The rest has to suffice for its run.
	agingShare = 0.3
)

// SendNow decides whether a model request goes to its endpoint now.
//
// Load: more prompt work arrives than the pool reads, for seconds. Harm prevented:
// in one queue in order of arrival, the wait soon exceeds what callers are content
// with, and then every request is late although the pool works at its limit. A
// request that can still be on time goes at once. One that is late in any case
// waits here until its endpoint has little to do, since a little later is as good
// to its caller; it waits less strictly the older it is, so that neither the
// longest prompts, which are late from the start, nor a long burst starve it.
func SendNow(t Timing) bool {
	if t.Elapsed+t.First <= t.Target {
		return true
	}
	aged := float64(t.Elapsed) / (agingShare * float64(t.Patience))
	if aged >= 1 {
		return true
	}
	allowed := lateBacklog + time.Duration(aged*float64(t.Target))
	return t.Backlog <= allowed
}
