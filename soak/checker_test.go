package soak

import (
	"fmt"
	"sync"
	"time"
)

// kind is the kind of a request, which determines whether it may run more than once.
type kind int

const (
	// lookup is a request that may run more than once.
	lookup kind = iota
	// confirm is a request that must run at most once.
	confirm
	// draft is a stream that must run at most once.
	draft
	// check is a stream that may be resumed.
	check
)

func (k kind) atMostOnce() bool { return k == confirm || k == draft }

// call is one request as seen by its caller and by the endpoints.
type call struct {
	id   string
	kind kind
	// instance is the index of the instance it was sent to, and incarnation how often that had
	// been started.
	instance, incarnation int
	organisation          string
	key                   string
	sentAt                time.Time
	// pad is the number of bytes by which each event, or the body of a plain answer, is longer than
	// usual. stopsFor is how long the caller stops reading in the middle of the answer, stopsAfter how
	// many bytes of it are read then, and leavesStopped whether it then closes its connection.
	pad, stopsAfter int
	stopsFor        time.Duration
	leavesStopped   bool
	// long requests take long to run, on average.
	long bool
	// path, body and prompt parts as sent.
	path, body, parts string
	// addedIn is the version of the records that added the route, and droppedIn the one that
	// dropped the key; 0 if none.
	addedIn, droppedIn int64

	// arrivals is how often the request reached an endpoint, and runs how often one ran it.
	arrivals, runs int
	// answers and statuses are the endpoints' answers by signature.
	answers  map[string]string
	statuses map[string]int
	// answered is set once the caller has got a complete answer, from an endpoint or from the
	// router itself.
	answered bool
	// refused is the status of an answer which guarantees that the request has not run and
	// will not run; 0 without one.
	refused int
	// retryAfter is when a caller that was refused may come back; 0 if the answer does not say.
	retryAfter time.Duration
	// leftAt is when the caller closed its connection before the answer; zero if it did not.
	leftAt time.Time
	// works are the executions of the request by endpoints.
	works []*work
}

// checker records what callers and endpoints observe and checks it. It is safe for concurrent use.
type checker struct {
	mu         sync.Mutex
	calls      map[string]*call
	violations []string
	// counts are the event counts of the summary.
	counts map[string]int
	// retries are the times, by service, at which requests reached endpoints again.
	retries map[string][]time.Time
	// scopes maps each cache salt to its first use.
	scopes map[string]scopeUse
}

// scopeUse is the use of a cache salt by a request.
type scopeUse struct {
	version int64
	// isolatedFor is the isolated organisation; empty for all others.
	isolatedFor string
}

func newChecker() *checker {
	return &checker{calls: map[string]*call{}, counts: map[string]int{}, retries: map[string][]time.Time{}, scopes: map[string]scopeUse{}}
}

// addViolation records a broken guarantee.
func (ck *checker) addViolation(format string, args ...any) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.addViolationLocked(format, args...)
}

func (ck *checker) addViolationLocked(format string, args ...any) {
	ck.violations = append(ck.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (ck *checker) count(what string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.counts[what]++
}

func (ck *checker) sent(c *call) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.answers, c.statuses = map[string]string{}, map[string]int{}
	ck.calls[c.id] = c
	ck.counts["sent"]++
}

// arrived records that a request has reached an endpoint of a service. It returns nil if no caller sent a
// request with that id.
func (ck *checker) arrived(id, service string) *call {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c := ck.calls[id]
	if c == nil {
		ck.addViolationLocked("UNASKED: request %q came from no caller", id)
		return nil
	}
	if c.arrivals++; c.arrivals > 1 {
		ck.retries[service] = append(ck.retries[service], time.Now())
	}
	return c
}

// ran records that an endpoint has started to run a request.
func (ck *checker) ran(c *call, endpointID string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.runs++
	if c.kind.atMostOnce() && c.runs > 1 {
		ck.addViolationLocked("TWICE: %s ran %d times, now at %s", c.id, c.runs, endpointID)
	}
	if c.kind.atMostOnce() && c.refused != 0 {
		ck.addViolationLocked("REFUSED: %s runs at %s after it was answered %d", c.id, endpointID, c.refused)
	}
}

// work is the execution of a request by an endpoint. proxiedConn is the connection through the
// endpoint's link on which the request came; nil if the link has not seen it.
type work struct {
	at          *server
	proxiedConn *proxiedConn
	from        time.Time
	// to is when the execution ended; zero before that.
	to time.Time
}

// endedBy reports whether the execution had ended at t.
func (w *work) endedBy(t time.Time) bool { return !w.to.IsZero() && !w.to.After(t) }

// workStarted records an execution; the caller has to call workEnded when it is over.
func (ck *checker) workStarted(c *call, w *work) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.works = append(c.works, w)
}

func (ck *checker) workEnded(w *work) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	w.to = time.Now()
}

// responded records an endpoint's answer.
func (ck *checker) responded(c *call, signature, body string, status int) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.answers[signature], c.statuses[signature] = body, status
}

// checkCacheSalt checks the cache salt of a request: one salt must not be used for two versions, nor
// by an isolated organisation and others.
func (ck *checker) checkCacheSalt(scope string, use scopeUse) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	before, ok := ck.scopes[scope]
	switch {
	case !ok:
		ck.scopes[scope] = use
	case before.version != use.version:
		ck.addViolationLocked("STALE: scope %q serves versions %d and %d", scope, before.version, use.version)
	case before.isolatedFor != use.isolatedFor:
		ck.addViolationLocked("WALL: scope %q serves %q and %q", scope, before.isolatedFor, use.isolatedFor)
	}
}

// meansNotRun reports whether a status guarantees that the request has not run.
func meansNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// answered checks a complete answer. signature is empty if the router itself answered.
func (ck *checker) answered(c *call, status int, signature, body string) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	ck.counts[fmt.Sprintf("status %d", status)]++
	c.answered = true
	switch {
	case meansNotRun(status):
		c.refused = status
		if c.kind.atMostOnce() && c.runs > 0 {
			ck.addViolationLocked("REFUSED: %s was answered %d and has run", c.id, status)
		}
	case signature == "" && status < 300:
		ck.addViolationLocked("MIXED: %s succeeded without an endpoint's signature: %q", c.id, body)
	case signature != "" && c.statuses[signature] != status:
		ck.addViolationLocked("MIXED: %s got status %d with a signature of %d", c.id, status, c.statuses[signature])
	case signature != "" && c.answers[signature] != body:
		ck.addViolationLocked("MIXED: %s got %d bytes, %.200q, the endpoint sent %d, %.200q", c.id, len(body), body, len(c.answers[signature]), c.answers[signature])
	}
}

// left records that a caller has closed its connection before the answer.
func (ck *checker) left(c *call) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	c.leftAt = time.Now()
	ck.counts["left"]++
}

// unansweredWithoutFault checks a connection that ended without a complete answer although there
// was no fault. This is a violation only if the request has run: its caller has lost the result.
func (ck *checker) unansweredWithoutFault(c *call, stopping bool) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if c.runs > 0 {
		ck.addViolationLocked("LOST: %s ran and its connection ended without an answer (terminating: %v)", c.id, stopping)
	}
}

// finalCalls returns a copy of all calls, for the checks at the end of the run.
func (ck *checker) finalCalls() []call {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	list := make([]call, 0, len(ck.calls))
	for _, c := range ck.calls {
		copied := *c
		copied.works = nil
		for _, w := range c.works {
			work := *w
			copied.works = append(copied.works, &work)
		}
		list = append(list, copied)
	}
	return list
}
