package hosted

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/rendezvous"
	"github.com/sardinedock/sardinedock/schema/gossippb"
	"github.com/sardinedock/sardinedock/selfreport"
)

const (
	// rateRepeatInterval is the time between two notices of an unchanged limit: notices may be
	// lost, and instances that start know no limits.
	rateRepeatInterval = time.Second
	// noticeDelay is the usual maximum transit time of a notice. Its content may be older than it
	// states by as much.
	noticeDelay = 100 * time.Millisecond
	// ownRepeats is how long the instance that received an endpoint's statement repeats it. Those that
	// repeat statements for longer may have missed it.
	ownRepeats = 5 * time.Second
	// maxUnreadable bounds the endpoints whose unreadable statements are remembered.
	maxUnreadable = 1024
)

var (
	rateChanges      = metrics.GetOrCreateCounter("sardinedock_ratelimit_changes_total")
	ratePassedOver   = metrics.GetOrCreateCounter(`sardinedock_ratelimit_requests_total{outcome="elsewhere"}`)
	rateRefused      = metrics.GetOrCreateCounter(`sardinedock_ratelimit_requests_total{outcome="refused"}`)
	rateUnreadable   = metrics.GetOrCreateCounter("sardinedock_ratelimit_unreadable_total")
	departureChanges = metrics.GetOrCreateCounter("sardinedock_selfreport_departures_total")
	brittleChanges   = metrics.GetOrCreateCounter("sardinedock_selfreport_brittle_total")
	pauseChanges     = metrics.GetOrCreateCounter("sardinedock_selfreport_pauses_total")
	pausePassedOver  = metrics.GetOrCreateCounter(`sardinedock_selfreport_paused_requests_total{outcome="elsewhere"}`)
	pauseRefused     = metrics.GetOrCreateCounter(`sardinedock_selfreport_paused_requests_total{outcome="waited or refused"}`)
	pauseUnreadable  = metrics.GetOrCreateCounter("sardinedock_selfreport_unreadable_pauses_total")
	withdrawnSends   = metrics.GetOrCreateCounter("sardinedock_selfreport_withdrawn_sends_total")
)

// statements receives what endpoints state about themselves, in responses to this instance and in
// peers' notices. It is safe for concurrent use.
type statements struct {
	limits     *ratelimit.Limits
	departures *selfreport.Flags
	// brittle are the endpoints that fail if they have to reject too many requests.
	brittle *selfreport.Flags
	pauses  *selfreport.Pauses
	// serviceOf returns the service of an endpoint.
	serviceOf func(endpointID string) string
	notify    func(*gossippb.Notice)

	mu sync.Mutex
	// notified is when a notice of an endpoint's limit was last sent or received, by endpoint.
	notified map[string]time.Time
	// unreadable is the last logged error, by the log line and the endpoint.
	unreadable map[[2]string]string
	// ownRates, ownDepartures and ownBrittle are when this instance first received an endpoint's rate
	// limit, and its statements that it leaves and that it is brittle, by endpoint.
	ownRates, ownDepartures, ownBrittle map[string]time.Time
}

func newStatements(limits *ratelimit.Limits, serviceOf func(endpointID string) string, notify func(*gossippb.Notice)) *statements {
	return &statements{
		limits: limits, departures: selfreport.NewFlags(), brittle: selfreport.NewFlags(), pauses: selfreport.NewPauses(), serviceOf: serviceOf, notify: notify,
		notified: map[string]time.Time{}, unreadable: map[[2]string]string{}, ownRates: map[string]time.Time{}, ownDepartures: map[string]time.Time{}, ownBrittle: map[string]time.Time{},
	}
}

// Observe implements gateway.Statements.
func (s *statements) Observe(r gateway.Report) {
	s.observeDeparture(r)
	s.observeBrittle(r)
	s.observePause(r)
	s.observeRate(r)
}

// Admit implements gateway.Statements.
func (s *statements) Admit(endpointID string) bool {
	if s.departures.Holds(endpointID) || !s.pauses.Take(time.Now(), endpointID) {
		withdrawnSends.Inc()
		return false
	}
	return true
}

// observePause is for this instance alone: others have been asked for pauses of their own.
func (s *statements) observePause(r gateway.Report) {
	switch {
	case r.PauseError != nil:
		pauseUnreadable.Inc()
		s.logUnreadable(r.Endpoint, "endpoint's Retry-After not understood; it is avoided as after any rejection", r.PauseError)
	case r.Pause > 0:
		until, changed := s.pauses.Begin(r.AnsweredAt, r.Endpoint, s.serviceOf(r.Endpoint), r.Pause)
		if changed {
			pauseChanges.Inc()
			log.WithFields(log.Fields{
				"endpoint": r.Endpoint, "pause_ms": r.Pause.Milliseconds(), "left_ms": time.Until(until).Milliseconds(),
			}).Info("endpoint wants no requests from this instance for a while")
		}
	case r.Ran && s.pauses.Served(r.Endpoint, r.SentAt):
		log.WithField("endpoint", r.Endpoint).Info("endpoint has run a trial; its pause is over")
	}
}

func (s *statements) observeDeparture(r gateway.Report) {
	if !r.Leaving && !r.Whole {
		return
	}
	st := selfreport.Statement[bool]{Endpoint: r.Endpoint, Value: r.Leaving, SentAt: r.SentAt, AnsweredAt: r.AnsweredAt}
	if !s.applyDeparture(st, "own answer").Changed {
		return
	}
	s.recordOwn(s.ownDepartures, st.Endpoint, st.AnsweredAt)
	s.notify(departureNotice(st))
}

// applyDeparture applies a statement and logs a change.
func (s *statements) applyDeparture(st selfreport.Statement[bool], source string) selfreport.Change[bool] {
	c := s.departures.Apply(st)
	if c.Changed {
		departureChanges.Inc()
		log.WithFields(log.Fields{
			"endpoint": st.Endpoint, "leaving": c.Now, "source": source, "age_ms": time.Since(st.AnsweredAt).Milliseconds(),
		}).Info("endpoint states whether it leaves")
	}
	return c
}

func (s *statements) observeBrittle(r gateway.Report) {
	if !r.Brittle && !r.Whole {
		return
	}
	st := selfreport.Statement[bool]{Endpoint: r.Endpoint, Value: r.Brittle, SentAt: r.SentAt, AnsweredAt: r.AnsweredAt}
	if !s.applyBrittle(st, "own answer").Changed {
		return
	}
	s.recordOwn(s.ownBrittle, st.Endpoint, st.AnsweredAt)
	s.notify(brittleNotice(st))
}

// applyBrittle applies a statement and logs a change.
func (s *statements) applyBrittle(st selfreport.Statement[bool], source string) selfreport.Change[bool] {
	c := s.brittle.Apply(st)
	if c.Changed {
		brittleChanges.Inc()
		log.WithFields(log.Fields{
			"endpoint": st.Endpoint, "brittle": c.Now, "source": source, "age_ms": time.Since(st.AnsweredAt).Milliseconds(),
		}).Info("endpoint states whether it is brittle")
	}
	return c
}

// recordOwn records in own, one of the maps of s, when this instance received a statement.
func (s *statements) recordOwn(own map[string]time.Time, endpointID string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own[endpointID] = at
}

func (s *statements) observeRate(r gateway.Report) {
	if r.RateError != nil {
		rateUnreadable.Inc()
		s.logUnreadable(r.Endpoint, "endpoint's rate limit not understood; what was in force stays", r.RateError)
		return
	}
	if !r.Rate.Limited && !r.Whole {
		return
	}
	st := ratelimit.Statement{Endpoint: r.Endpoint, Value: r.Rate, SentAt: r.SentAt, AnsweredAt: r.AnsweredAt}
	c := s.applyRate(st, "own answer")
	if c.Changed {
		s.recordOwn(s.ownRates, st.Endpoint, st.AnsweredAt)
	}
	if c.Changed || c.Now.Limited && s.rateNoticeDue(st) {
		s.notify(rateNotice(st))
	}
}

// applyNotice applies a peer's notice.
func (s *statements) applyNotice(from string, n *gossippb.Notice) {
	now := time.Now()
	if m := n.GetRate(); m != nil {
		s.recordRateNotice(n.GetEndpoint(), now)
		s.applyRate(ratelimit.Statement{
			Endpoint: n.GetEndpoint(), Value: ratelimit.Rate{Limited: m.GetLimited(), PerSecond: m.GetPerSecond()},
			SentAt: sentAt(now, m), AnsweredAt: answeredAt(now, m),
		}, from)
	}
	if m := n.GetBrittle(); m != nil {
		s.applyBrittle(selfreport.Statement[bool]{
			Endpoint: n.GetEndpoint(), Value: m.GetBrittle(), SentAt: sentAt(now, m), AnsweredAt: answeredAt(now, m),
		}, from)
	}
	if m := n.GetDeparture(); m != nil {
		s.applyDeparture(selfreport.Statement[bool]{
			Endpoint: n.GetEndpoint(), Value: m.GetLeaving(), SentAt: sentAt(now, m), AnsweredAt: answeredAt(now, m),
		}, from)
	}
}

// aged is a message that states the age of what it reports.
type aged interface {
	GetSentMsAgo() int64
	GetAnsweredMsAgo() int64
}

// sentAt returns the earliest time at which the request may have been sent.
func sentAt(now time.Time, m aged) time.Time {
	return now.Add(-noticeDelay - milliseconds(m.GetSentMsAgo()))
}

// answeredAt returns the latest time at which the response may have arrived.
func answeredAt(now time.Time, m aged) time.Time {
	return now.Add(-milliseconds(m.GetAnsweredMsAgo()))
}

// applyRate applies a statement and logs a changed limit.
func (s *statements) applyRate(st ratelimit.Statement, source string) ratelimit.Change {
	c := s.limits.Apply(time.Now(), st)
	if c.Changed {
		rateChanges.Inc()
		log.WithFields(log.Fields{
			"endpoint": st.Endpoint, "limit": c.Now.String(), "before": c.Before.String(), "source": source,
			"age_ms": time.Since(st.AnsweredAt).Milliseconds(),
		}).Info("endpoint's rate limit")
	}
	return c
}

// rateNoticeDue reports whether an unchanged limit has to be broadcast again, and if so records that
// it was.
func (s *statements) rateNoticeDue(st ratelimit.Statement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.AnsweredAt.Sub(s.notified[st.Endpoint]) < rateRepeatInterval {
		return false
	}
	s.notified[st.Endpoint] = st.AnsweredAt
	return true
}

func (s *statements) recordRateNotice(endpointID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notified[endpointID] = now
}

// repeatStatements broadcasts all statements in force, and the requests that crash endpoints, for an
// instance that has just started. Two schedulers do so for each endpoint and request.
func (i *Instance) repeatStatements() {
	repeats := i.repeater()
	for _, st := range i.statements.limits.InForce() {
		if repeats(st.Endpoint) {
			i.statements.notify(rateNotice(st))
		}
	}
	for _, st := range i.statements.departures.InForce() {
		if repeats(st.Endpoint) {
			i.statements.notify(departureNotice(st))
		}
	}
	for _, st := range i.statements.brittle.InForce() {
		if repeats(st.Endpoint) {
			i.statements.notify(brittleNotice(st))
		}
	}
	i.guard.RepeatAll(time.Now(), repeats)
}

// repeater returns a function that reports whether this instance is one of the schedulers that repeat
// what is known of an endpoint or a request, by its name.
func (i *Instance) repeater() func(name string) bool {
	schedulers := i.node.Schedulers()
	return func(name string) bool {
		return rendezvous.IsAmongFirst(repeaters, name, i.settings.GetInstance(), schedulers)
	}
}

// repeatOwn broadcasts what this instance has received itself within ownRepeats: notices may be lost, or
// sent before this instance knows the others, and no response may repeat the statement.
func (s *statements) repeatOwn(now time.Time) {
	for _, st := range s.limits.InForce() {
		if s.received(now, s.ownRates, st.Endpoint) {
			s.notify(rateNotice(st))
		}
	}
	for _, st := range s.departures.InForce() {
		if s.received(now, s.ownDepartures, st.Endpoint) {
			s.notify(departureNotice(st))
		}
	}
	for _, st := range s.brittle.InForce() {
		if s.received(now, s.ownBrittle, st.Endpoint) {
			s.notify(brittleNotice(st))
		}
	}
}

// repeatDepartures broadcasts the statements of endpoints that leave and are still listed as ready, for
// as long as this lasts: these endpoints get no requests, so that no response repeats them.
func (i *Instance) repeatDepartures() {
	repeats := i.repeater()
	for _, st := range i.statements.departures.InForce() {
		if _, ready := i.state.ListedReady(st.Endpoint); ready && repeats(st.Endpoint) {
			i.statements.notify(departureNotice(st))
		}
	}
}

// received reports whether this instance received an endpoint's statement itself, within ownRepeats. own
// is one of the maps of s.
func (s *statements) received(now time.Time, own map[string]time.Time, endpointID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := own[endpointID]
	return ok && now.Sub(at) < ownRepeats
}

// logUnreadable logs an unreadable statement unless the endpoint's last one was the same.
func (s *statements) logUnreadable(endpointID, line string, err error) {
	key := [2]string{line, endpointID}
	s.mu.Lock()
	known := s.unreadable[key] == err.Error()
	if len(s.unreadable) >= maxUnreadable {
		clear(s.unreadable)
	}
	s.unreadable[key] = err.Error()
	s.mu.Unlock()
	if !known {
		log.WithError(err).WithField("endpoint", endpointID).Warn(line)
	}
}

// move assigns what an endpoint has stated since it restarted to its new incarnation. Until the list
// shows that, responses are treated as those of the incarnation before.
func (s *statements) move(before, after balance.Endpoint) {
	if after.Born == 0 {
		return
	}
	started := time.UnixMilli(after.Born)
	s.departures.Move(before.ID, after.ID, started)
	s.brittle.Move(before.ID, after.ID, started)
	s.pauses.Move(before.ID, after.ID, started)
}

// sweep drops the state of endpoints that no longer exist.
func (s *statements) sweep(now time.Time, exists func(string) bool) {
	s.limits.Sweep(now, exists)
	s.departures.Sweep(now, exists)
	s.brittle.Sweep(now, exists)
	s.pauses.Sweep(now, exists)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.notified {
		if now.Sub(at) > time.Minute {
			delete(s.notified, id)
		}
	}
	for _, own := range []map[string]time.Time{s.ownRates, s.ownDepartures, s.ownBrittle} {
		for id, at := range own {
			if now.Sub(at) > ownRepeats {
				delete(own, id)
			}
		}
	}
}

func rateNotice(st ratelimit.Statement) *gossippb.Notice {
	return &gossippb.Notice{Endpoint: st.Endpoint, Rate: &gossippb.RateStatement{
		Limited: st.Value.Limited, PerSecond: st.Value.PerSecond,
		SentMsAgo: time.Since(st.SentAt).Milliseconds(), AnsweredMsAgo: time.Since(st.AnsweredAt).Milliseconds(),
	}}
}

// departureNotice also sets the field that instances of an earlier version know.
func departureNotice(st selfreport.Statement[bool]) *gossippb.Notice {
	return &gossippb.Notice{Endpoint: st.Endpoint, Leaving: st.Value, Departure: &gossippb.DepartureStatement{
		Leaving: st.Value, SentMsAgo: time.Since(st.SentAt).Milliseconds(), AnsweredMsAgo: time.Since(st.AnsweredAt).Milliseconds(),
	}}
}

func brittleNotice(st selfreport.Statement[bool]) *gossippb.Notice {
	return &gossippb.Notice{Endpoint: st.Endpoint, Brittle: &gossippb.BrittleStatement{
		Brittle: st.Value, SentMsAgo: time.Since(st.SentAt).Milliseconds(), AnsweredMsAgo: time.Since(st.AnsweredAt).Milliseconds(),
	}}
}

// countPassedOver counts a decision that an endpoint's rate limit or pause has changed.
func countPassedOver(v balance.Decision) {
	unplaced := v.Admission == balance.AtLimit || v.Admission == balance.Paused
	switch {
	case v.Placement.PassedFor == balance.RateLimit && unplaced:
		rateRefused.Inc()
	case v.Placement.PassedFor == balance.RateLimit:
		ratePassedOver.Inc()
	case v.Placement.PassedFor == balance.Pause && unplaced:
		pauseRefused.Inc()
	case v.Placement.PassedFor == balance.Pause:
		pausePassedOver.Inc()
	}
}
