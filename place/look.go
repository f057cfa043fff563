package place

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// lookBound is how long an endpoint may take to say whether it leaves. It is a way of
	// milliseconds; one that is paused must not hold a request up for long.
	leavingCheckTimeout = 100 * time.Millisecond
	// lookEvery is how long such a word holds. It adds to what owners take, so that new
	// work ends within the few seconds that an endpoint is given.
	leavingCheckTTL = time.Second
)

var leavingChecksTotal = metrics.GetOrCreateCounter("sardinedock_place_looks_total")

// looks keeps what endpoints said when this instance asked them itself. Any goroutine may
// use it.
//
// Failure: an owner is killed, and nobody follows its endpoints until it counts as dead. One
// that begins to leave meanwhile goes on to get work, for six seconds and more, from all who
// decide without an owner by what they were told before. So these ask the endpoint first; and
// so do those whom an owner answers that has not heard of the endpoint yet.
type leavingChecks struct {
	// ask asks an endpoint whether it leaves; nil asks none.
	ask func(ctx context.Context, address string) (leaving bool, err error)

	mu   sync.Mutex
	last map[string]*leavingCheck
}

// look is one question to an endpoint. leaving may be read once done is closed.
type leavingCheck struct {
	at      time.Time
	done    chan struct{}
	leaving bool
}

func newLeavingChecks(ask func(ctx context.Context, address string) (bool, error)) *leavingChecks {
	return &leavingChecks{ask: ask, last: map[string]*leavingCheck{}}
}

// askLeaving asks the endpoint whether it leaves. Requests that come together ask once. An
// endpoint that does not answer says nothing: a starting fleet has to serve, and a pause is no
// leaving.
func (l *leavingChecks) isLeaving(ctx context.Context, c candidate, now time.Time) bool {
	if l.ask == nil {
		return false
	}
	x, first := l.begin(c.name, now)
	if first {
		leavingChecksTotal.Inc()
		// Not ended with the caller that happens to ask first: the others wait for the answer.
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), leavingCheckTimeout)
		defer cancel()
		leaving, err := l.ask(bounded, c.address)
		x.leaving = leaving && err == nil
		close(x.done)
	}
	select {
	case <-x.done:
		return x.leaving
	case <-ctx.Done():
		return false
	}
}

// begin returns the question that holds now, and whether the caller has to ask it.
func (l *leavingChecks) begin(endpoint string, now time.Time) (x *leavingCheck, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.last[endpoint]; x != nil && now.Sub(x.at) < leavingCheckTTL {
		return x, false
	}
	x = &leavingCheck{at: now, done: make(chan struct{})}
	l.last[endpoint] = x
	return x, true
}

// knownLeaving reports whether the endpoint, when it was asked lately, said that it leaves.
func (l *leavingChecks) knownLeaving(endpoint string, now time.Time) bool {
	l.mu.Lock()
	x := l.last[endpoint]
	l.mu.Unlock()
	if x == nil || now.Sub(x.at) >= leavingCheckTTL {
		return false
	}
	select {
	case <-x.done:
		return x.leaving
	default:
		return false
	}
}

// keep forgets the endpoints that no record names any more.
func (l *leavingChecks) retain(known map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.last {
		if _, ok := known[name]; !ok {
			delete(l.last, name)
		}
	}
}
