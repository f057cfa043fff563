package soak

import (
	"fmt"
	"sync"
	"time"
)

// kind of a request, which decides what may be repeated.
type kind int

const (
	// lookup may run more than once.
	lookup kind = iota
	// confirm runs at most once.
	confirm
	// draft is a stream that runs at most once.
	draft
	// check is a stream that may be resumed.
	check
)

func (k kind) once() bool { return k == confirm || k == draft }

// call is one request of a caller, as the caller and the endpoints saw it.
type call struct {
	id   string
	kind kind
	// instance it was sent to, and how often that had been started.
	instance, incarnation int
	organisation          string
	key                   string
	sentAt                time.Time
	// path, body and parts as sent.
	path, body, parts string
	// addedIn is the version of the records that added the route; droppedIn is the
	// one that dropped the key. 0 where neither applies.
	addedIn, droppedIn int64

	// arrivals at endpoints that were judged, and runs of these.
	arrivals, runs int
	// answers that endpoints made, by signature.
	answers  map[string]string
	statuses map[string]int
	// answered says that the caller got a whole answer, an endpoint's or the router's own.
	answered bool
	// refused is the status of a promise that it has not run and never will.
	refused int
	// leftAt is when the caller closed its connection.
	leftAt time.Time
	// works are the times that endpoints have worked on it.
	works []*work
}

// ledger gathers what was seen and judges it. Any goroutine may use it.
type ledger struct {
	mu     sync.Mutex
	calls  map[string]*call
	broken []string
	// counts of what happened, for the summary.
	counts map[string]int
	// scopes maps the text under which parts were cached to what it was used for.
	scopes map[string]scopeUse
}

// scopeUse is what a cache scope was used for first.
type scopeUse struct {
	version int64
	// wall is the isolated organisation; empty for all others.
	wall string
}

func newLedger() *ledger {
	return &ledger{calls: map[string]*call{}, counts: map[string]int{}, scopes: map[string]scopeUse{}}
}

// breach notes a broken promise.
func (l *ledger) breach(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breachLocked(format, args...)
}

func (l *ledger) breachLocked(format string, args ...any) {
	l.broken = append(l.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (l *ledger) count(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[what]++
}

func (l *ledger) sent(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.answers, c.statuses = map[string]string{}, map[string]int{}
	l.calls[c.id] = c
	l.counts["sent"]++
}

// arrived judges a request that has reached an endpoint; nil stands for one that
// nobody sent.
func (l *ledger) arrived(id string) *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[id]
	if c == nil {
		l.breachLocked("UNASKED: request %q came from no caller", id)
		return nil
	}
	c.arrivals++
	return c
}

// ran notes that an endpoint has begun a request.
func (l *ledger) ran(c *call, endpointID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.runs++
	if c.kind.once() && c.runs > 1 {
		l.breachLocked("TWICE: %s ran %d times, now at %s", c.id, c.runs, endpointID)
	}
	if c.kind.once() && c.refused != 0 {
		l.breachLocked("REFUSED: %s runs at %s after it was answered %d", c.id, endpointID, c.refused)
	}
}

// work is one endpoint's work on a request, on a connection through its link.
type work struct {
	at   *server
	pair *pair
	from time.Time
	// to is when it ended; zero before.
	to time.Time
}

// endedBy reports whether the work had ended by a moment.
func (w *work) endedBy(t time.Time) bool { return !w.to.IsZero() && !w.to.After(t) }

// begins notes that an endpoint works on a request; ends has to follow.
func (l *ledger) begins(c *call, w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.works = append(c.works, w)
}

func (l *ledger) ends(w *work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.to = time.Now()
}

// made notes an endpoint's answer.
func (l *ledger) made(c *call, signature, body string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.answers[signature], c.statuses[signature] = body, status
}

// scoped judges under which text a request's parts are cached.
func (l *ledger) scoped(scope string, use scopeUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, ok := l.scopes[scope]
	switch {
	case !ok:
		l.scopes[scope] = use
	case before.version != use.version:
		l.breachLocked("STALE: scope %q serves versions %d and %d", scope, before.version, use.version)
	case before.wall != use.wall:
		l.breachLocked("WALL: scope %q serves %q and %q", scope, before.wall, use.wall)
	}
}

// promisesNotRun reports whether a status says that a request has not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// answered judges a whole answer. signature is empty for the router's own.
func (l *ledger) answered(c *call, status int, signature, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[fmt.Sprintf("status %d", status)]++
	c.answered = true
	switch {
	case promisesNotRun(status):
		c.refused = status
		if c.kind.once() && c.runs > 0 {
			l.breachLocked("REFUSED: %s was answered %d and has run", c.id, status)
		}
	case signature == "" && status < 300:
		l.breachLocked("MIXED: %s succeeded without an endpoint's signature: %q", c.id, body)
	case signature != "" && c.statuses[signature] != status:
		l.breachLocked("MIXED: %s got status %d with a signature of %d", c.id, status, c.statuses[signature])
	case signature != "" && c.answers[signature] != body:
		l.breachLocked("MIXED: %s got %q, the endpoint sent %q", c.id, body, c.answers[signature])
	}
}

// left notes that a caller has gone.
func (l *ledger) left(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.leftAt = time.Now()
	l.counts["left"]++
}

// cutAtPeace judges a connection that ended without a whole answer though nothing
// was harmed. Once the request has run its caller has lost something.
func (l *ledger) cutAtPeace(c *call, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.runs > 0 {
		l.breachLocked("LOST: %s ran and its connection ended without an answer (told to end: %v)", c.id, stopping)
	}
}

// settled returns a copy of all calls once the run is over.
func (l *ledger) settled() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]call, 0, len(l.calls))
	for _, c := range l.calls {
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
