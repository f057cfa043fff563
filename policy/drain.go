package policy

import (
	"slices"
	"sync"
	"time"
)

// Drain decides which requests an instance still accepts while it shuts down.
//
// Callers keep sending over open connections and, until the load balancer has noticed the
// shutdown, over new ones. A long response that is accepted near the end is aborted when the time
// to drain is over. The request has run by then, so its caller does not know the outcome and may
// not retry. If it is refused at once, it has not run, and another instance serves it some
// milliseconds later.
type Drain struct {
	// AbortAt is when responses that are still open are aborted.
	AbortAt time.Time
}

// Accepts reports whether a request that is sent now is expected to end before AbortAt. It ends by
// its deadline in any case; expected is the usual response time of its route, if known is set. The
// deadline alone would refuse all requests whose timeout is longer than the time left to drain,
// although nearly all of them end long before it.
func (d Drain) Accepts(now, deadline time.Time, expected time.Duration, known bool) bool {
	end := deadline
	if expectedEnd := now.Add(expected); known && expectedEnd.Before(end) {
		end = expectedEnd
	}
	return !end.After(d.AbortAt)
}

const (
	// responseSamples is the number of recent responses of a route that the estimate is based on.
	responseSamples = 64
	// tailFraction is one in how many responses may take longer than the estimate. Such a response
	// may be aborted, while a refusal costs the caller no more than another connection.
	tailFraction = 20
	// fewSamplesFactor multiplies the longest response time while there are fewer than
	// tailFraction samples: the next response may well take longer than all of them. Without an
	// estimate from few samples, an instance that has just started would refuse all callers with
	// long timeouts while it drains.
	fewSamplesFactor = 2
)

// ResponseTimes holds the times that the last responses of one route took, from the send to the
// end. It is safe for concurrent use.
type ResponseTimes struct {
	mu   sync.Mutex
	last [responseSamples]time.Duration
	// count is the number of all responses recorded.
	count int
}

// Record adds the time of one response.
func (a *ResponseTimes) Record(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last[a.count%responseSamples] = d
	a.count++
}

// Estimate returns the time within which the next response is expected to end, which all but one
// in tailFraction of the last responses did. known is false until a response was recorded.
func (a *ResponseTimes) Estimate() (d time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(a.count, responseSamples)
	if n == 0 {
		return 0, false
	}
	times := a.last
	slices.Sort(times[:n])
	if n < tailFraction {
		return fewSamplesFactor * times[n-1], true
	}
	return times[n-1-n/tailFraction], true
}
