package balance

import "time"

// Timing is the input of Admit.
type Timing struct {
	// Target is the time to the first token that satisfies the caller. Patience is the time
	// after which the caller gives up if it has received no token.
	Target, Patience time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Backlog of the chosen endpoint. FirstToken is the time to the first token if the request is
	// sent now.
	Backlog, FirstToken time.Duration
	// Full reports whether the request does not fit into the endpoint's memory beside the
	// running requests.
	Full bool
}

// Admission is the admission decision for a request.
type Admission int

// The admission decisions.
const (
	// Send: the request is sent to the endpoint now.
	Send Admission = iota
	// Wait: the request stays queued at this instance and is decided again later.
	Wait
	// Refuse: the request cannot be served in time; the caller should retry after Backlog.
	Refuse
	// OverQuota: the organisation's quota is used up; the caller should retry after the
	// RetryAfter of the quota's decision.
	OverQuota
	// AtLimit: every endpoint that could run the request has used up its rate limit.
	AtLimit
	// Paused: every endpoint that could run the request wants no requests from the sending instance
	// for some time.
	Paused
	// NoRelease: no endpoint of the only release that may run the request accepts requests.
	NoRelease
)

const (
	// lateBacklog is the backlog that an endpoint may have when it is sent a request that
	// will miss its target anyway.
	lateBacklog = 60 * time.Millisecond
	// agingShare is the fraction of its patience after which a late request is sent whatever
	// the backlog. The rest is left for the time in the endpoint's own queue.
	agingShare = 0.3
	// behindShare is the backlog, in percent of the request's target, above which a request
	// counts as late because of the backlog and not because of its own length. A smaller
	// backlog may be done before the caller retries.
	behindShare = 25
	// memoryShare is how long, in percent of its target, a request may wait for memory. If
	// it is refused at that point, a retry by the caller may still be on time.
	memoryShare = 50
)

// Admit decides whether a model request is sent to its endpoint now.
//
// It protects the pool when, for some seconds, more prompt work arrives than the endpoints
// can read. With a single FIFO queue the wait soon exceeds what callers accept; then every
// request is late although the pool runs at its limit, and soon after the endpoints read
// prompts whose callers have given up. So a request that can still be on time is sent at
// once. One that will be late anyway waits here until its endpoint has little to do, since a
// little more delay matters little to its caller. The allowed backlog grows with the
// request's age, so that neither the longest prompts, which are late from the start, nor a
// long burst starve it.
//
// A request whose caller would give up before the first token is refused at once. So is one
// that is late only because of the backlog: if it were served late it would delay the next
// ones, whereas a caller that is refused at once retries when the burst may be over.
//
// A request that does not fit into the endpoint's memory waits too: sent anyway, it would
// preempt a request in the middle of its response, whose prompt is then read a second time.
// Once it has found no memory for half of its target it is refused, because sending it in
// the end would preempt others in the same way.
func Admit(t Timing) Admission {
	first := t.Elapsed + t.FirstToken
	if first <= t.Target && !t.Full {
		return Send
	}
	if t.Backlog > lateBacklog && first > t.Patience {
		return Refuse
	}
	lateByBacklog := t.FirstToken-t.Backlog < t.Target
	waitedForMemory := t.Full && first > memoryShare*t.Target/100
	if lateByBacklog && (waitedForMemory || t.Backlog > behindShare*t.Target/100) {
		return Refuse
	}
	aged := float64(t.Elapsed) / (agingShare * float64(t.Patience))
	allowed := lateBacklog + time.Duration(aged*float64(t.Target))
	if aged >= 1 || t.Backlog <= allowed && !t.Full {
		return Send
	}
	return Wait
}
