package placement

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// leavingCheckTimeout is how long an endpoint may take to answer whether it is leaving.
	// The answer normally takes milliseconds; a paused endpoint must not delay a request
	// for long.
	leavingCheckTimeout = 100 * time.Millisecond
	// leavingCheckTTL is how long an answer is valid. It adds to the owners' own detection
	// time, and new work must end within the few seconds that an endpoint has for leaving.
	leavingCheckTTL = time.Second
)

var leavingChecksTotal = metrics.GetOrCreateCounter("sardinedock_place_looks_total")

// leavingChecks caches the answers of endpoints that this instance asked whether they are
// leaving. It is safe for concurrent use.
//
// When an owner is killed, its endpoints are not monitored until it is declared dead. An
// endpoint that begins to leave meanwhile would keep receiving requests for six seconds or
// more from all instances that place without the owner, based on the last published status.
// These instances therefore ask the endpoint first, and so do instances whose grant comes
// from an owner that does not know the endpoint's status yet.
type leavingChecks struct {
	// ask asks an endpoint whether it is leaving; nil asks none.
	ask func(ctx context.Context, address string) (leaving bool, err error)

	mu   sync.Mutex
	last map[string]*leavingCheck
}

// leavingCheck is one query to an endpoint. leaving may be read once done is closed.
type leavingCheck struct {
	at      time.Time
	done    chan struct{}
	leaving bool
}

func newLeavingChecks(ask func(ctx context.Context, address string) (bool, error)) *leavingChecks {
	return &leavingChecks{ask: ask, last: map[string]*leavingCheck{}}
}

// isLeaving reports whether the endpoint is leaving, asking it if there is no valid answer.
// Concurrent callers share one query. An endpoint that does not answer counts as not
// leaving: a fleet that is starting has to serve, and a paused endpoint is not leaving.
func (l *leavingChecks) isLeaving(ctx context.Context, c candidate, now time.Time) bool {
	if l.ask == nil {
		return false
	}
	x, first := l.begin(c.name, now)
	if first {
		leavingChecksTotal.Inc()
		// The query is not cancelled with the caller that sends it, as others wait for the
		// answer.
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

// begin returns the query whose answer is valid now, and whether the caller has to send it.
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

// knownLeaving reports whether a valid answer says that the endpoint is leaving. It does
// not ask.
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

// retain drops the endpoints that are not in known.
func (l *leavingChecks) retain(known map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.last {
		if _, ok := known[name]; !ok {
			delete(l.last, name)
		}
	}
}
