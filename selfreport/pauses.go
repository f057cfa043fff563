package selfreport

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowStartStep is how long each step of the slow start after a pause lasts. The endpoint gets one
	// request in the first step and twice as many as in the step before in each further one.
	slowStartStep = 200 * time.Millisecond
	// slowStartSteps is the number of steps, after which the endpoint gets as many requests as any.
	slowStartSteps = 5
)

// trialsAfter are the times from the start of a pause after which the endpoint gets a single request.
// An endpoint that asked for hours, by mistake or in a state that has ended, would otherwise be lost
// for that long. It tolerates two requests in a pause, and pauses of a usual length have none.
var trialsAfter = [...]time.Duration{10 * time.Minute, time.Hour}

// Pause is the time for which an endpoint wants no requests from this instance.
type Pause struct {
	Endpoint string
	// Left is the time until the endpoint takes a request.
	Left time.Duration
}

// Pauses keeps which endpoints have rejected a request and asked this instance to send none for some
// time. It is safe for concurrent use; no method blocks except on the mutex.
//
// When a burst overloads some endpoints of a service, each request sent to one of them in the meantime
// costs its caller a round trip and the fleet a retry, and delays the endpoint's recovery. A pause
// concerns only the instance that was asked; others have been asked for pauses of their own, or not at
// all.
type Pauses struct {
	// pausing is the number of entries in endpoints. It spares each request the mutex while there are
	// none.
	pausing atomic.Int64

	mu        sync.Mutex
	endpoints map[string]*pause
}

// pause is the current pause of one endpoint, including the slow start after it.
type pause struct {
	service string
	// began is when the response that asked for the pause arrived, until the end of the pause.
	began, until time.Time
	// trials is the number of requests sent during the pause, sent of those in the slow start.
	trials, sent int
}

// NewPauses returns Pauses without endpoints.
func NewPauses() *Pauses { return &Pauses{endpoints: map[string]*pause{}} }

// Begin starts a pause of length d at the time now, or extends the current one. A pause is never
// shortened: the endpoint may have counted on the first one. It returns the end of the pause, and
// whether that has changed by more than responses to requests sent together differ.
func (p *Pauses) Begin(now time.Time, endpoint, service string, d time.Duration) (until time.Time, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until = now.Add(d)
	current := p.endpoints[endpoint]
	switch {
	case current == nil:
		p.endpoints[endpoint] = &pause{service: service, began: now, until: until}
		p.pausing.Store(int64(len(p.endpoints)))
	case !now.Before(current.until):
		*current = pause{service: service, began: now, until: until}
	case !until.After(current.until):
		return current.until, false
	default:
		changed = until.Sub(current.until) > slowStartStep
		current.until = until
		return until, changed
	}
	return until, true
}

// Served records that an endpoint has run a request that was sent at the time sentAt. A trial that
// the endpoint has run ends its pause.
func (p *Pauses) Served(endpoint string, sentAt time.Time) (ended bool) {
	if p.pausing.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.endpoints[endpoint]
	if current == nil || current.trials == 0 || sentAt.Before(current.began.Add(trialsAfter[0])) {
		return false
	}
	p.remove(endpoint)
	return true
}

// Take reports whether an endpoint may be sent a request now, and counts it if so.
func (p *Pauses) Take(now time.Time, endpoint string) bool {
	if p.pausing.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.endpoints[endpoint]
	switch {
	case current == nil:
		return true
	case current.left(now) > 0:
		return false
	case now.Before(current.until):
		current.trials++
	default:
		current.sent++
	}
	return true
}

// Left returns the time until an endpoint may be sent a request; 0 if it may be now.
func (p *Pauses) Left(now time.Time, endpoint string) time.Duration {
	if p.pausing.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpoint]; e != nil {
		return e.left(now)
	}
	return 0
}

// Paused returns the endpoints of a service that may be sent no request now, sorted by ID.
func (p *Pauses) Paused(now time.Time, service string) []Pause {
	return p.list(now, func(e *pause) bool { return e.service == service })
}

// All returns the endpoints that may be sent no request now, sorted by ID.
func (p *Pauses) All(now time.Time) []Pause {
	return p.list(now, func(*pause) bool { return true })
}

func (p *Pauses) list(now time.Time, match func(*pause) bool) []Pause {
	if p.pausing.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Pause
	for id, e := range p.endpoints {
		if left := e.left(now); left > 0 && match(e) {
			list = append(list, Pause{Endpoint: id, Left: left})
		}
	}
	slices.SortFunc(list, func(a, b Pause) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// left returns the time until the endpoint may be sent a request; 0 if it may be now.
func (e *pause) left(now time.Time) time.Duration {
	if now.Before(e.until) {
		return e.untilTrial(now)
	}
	step := now.Sub(e.until) / slowStartStep
	if step >= slowStartSteps {
		return 0
	}
	// The steps up to this one allow 1 + 2 + 4 + ... requests.
	if allowed := 1<<(step+1) - 1; e.sent < allowed {
		return 0
	}
	return e.until.Add((step + 1) * slowStartStep).Sub(now)
}

// untilTrial returns the time until the next trial or the end of the pause, whichever is earlier.
func (e *pause) untilTrial(now time.Time) time.Duration {
	next := e.until
	if e.trials < len(trialsAfter) {
		if at := e.began.Add(trialsAfter[e.trials]); at.Before(next) {
			next = at
		}
	}
	return max(next.Sub(now), 0)
}

// Move makes the pause of one incarnation of an endpoint that of its next one, if it began after that had
// started.
func (p *Pauses) Move(from, to string, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[from]; e != nil && e.began.After(started) {
		p.endpoints[to] = e
		p.remove(from)
	}
}

// Sweep drops pauses that are over, and those of endpoints that no longer exist.
func (p *Pauses) Sweep(now time.Time, exists func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endpoints {
		if now.Sub(e.until) >= slowStartSteps*slowStartStep || !exists(id) {
			p.remove(id)
		}
	}
}

// remove drops the state of an endpoint. The caller must hold p.mu.
func (p *Pauses) remove(endpoint string) {
	delete(p.endpoints, endpoint)
	p.pausing.Store(int64(len(p.endpoints)))
}
