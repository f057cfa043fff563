package balance

import "time"

// Timing is what decides whether a model request is sent now.
type Timing struct {
	// Target is the time to the first token that the caller is content with, and
	// Patience the time without a first token after which it gives up.
	Target, Patience time.Duration
	// Elapsed since the request came.
	Elapsed time.Duration
	// Backlog of the endpoint chosen, and First, the time to the first token if
	// the request is sent now.
	Backlog, First time.Duration
	// Full says that the endpoint's memory does not hold the request beside those
	// that run there.
	Full bool
}

// Admission is what becomes of a model request for now.
type Admission int

// The decisions.
const (
	// Send: it goes to the endpoint.
	Send Admission = iota
	// Wait: it waits here and is looked at again.
	Wait
	// Refuse: it can't be served in its time; the caller should come back after
	// Backlog.
	Refuse
	// OverQuota: its organisation's quota is used up; the caller should come back when
	// the quota's decision says.
	OverQuota
	// AtLimit: every endpoint that could take it has got the requests that it takes.
	AtLimit
)

const (
	// lateBacklog is the work that an endpoint may have before it when a request
	// is sent there that is late in any case.
	lateBacklog = 60 * time.Millisecond
	// agingShare is the share of its patience after which a late request is sent
	// whatever the backlog. The rest has to suffice for its turn at the endpoint.
	agingShare = 0.3
	// behindShare is the part in percent of a request's target from which the work
	// before it, and not its own length, makes it late. Smaller backlogs may end before
	// the caller is back.
	behindShare = 25
	// memoryShare is the part in percent of a request's target that it may wait for
	// memory. Refused then, its caller may still come back in time.
	memoryShare = 50
)

// Admit decides whether a model request goes to its endpoint now.
//
// Load: more prompt work arrives than the pool reads, for seconds. Harm prevented:
// in one queue in order of arrival, the wait soon exceeds what callers are content
// with, and then every request is late although the pool works at its limit; soon
// after, endpoints read prompts whose callers have given up. A request that can
// still be on time goes at once. One that is late in any case waits here until its
// endpoint has little to do, since a little later is as good to its caller; it
// waits less strictly the older it is, so that neither the longest prompts, which
// are late from the start, nor a long burst starve it.
//
// One whose caller would have given up before its first token is refused at once, and so
// is one that is late only for the work before it: served late it would make the next
// ones late, while its caller, refused at once, comes back when the burst may be over.
//
// The same holds for one that no endpoint's memory has held for half of its target: sent
// in the end all the same, it drives out others, and what they had read is read again.
// Until then one that an endpoint's memory does not hold waits too: sent all the same, it
// drives out a request in the middle of its answer, whose prompt is then read a second
// time.
func Admit(t Timing) Admission {
	first := t.Elapsed + t.First
	if first <= t.Target && !t.Full {
		return Send
	}
	if t.Backlog > lateBacklog && first > t.Patience {
		return Refuse
	}
	lateForOthers := t.First-t.Backlog < t.Target
	waitedForMemory := t.Full && first > memoryShare*t.Target/100
	if lateForOthers && (waitedForMemory || t.Backlog > behindShare*t.Target/100) {
		return Refuse
	}
	aged := float64(t.Elapsed) / (agingShare * float64(t.Patience))
	allowed := lateBacklog + time.Duration(aged*float64(t.Target))
	if aged >= 1 || t.Backlog <= allowed && !t.Full {
		return Send
	}
	return Wait
}
