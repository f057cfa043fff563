package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/reachability"
)

const (
	// trialPoll is how often a suspected request checks whether its trial may begin.
	trialPoll = 10 * time.Millisecond
	// trialSettle is how long a confined request waits for the announcements of other suspects at its
	// endpoint before it is sent.
	trialSettle = 10 * time.Millisecond
)

// errTrialRunning is the reason why a suspected request is not placed now.
var errTrialRunning = fault.New(fault.Overloaded, "send the request again later", "the same request is running, and is suspected of crashing endpoints")

// content returns a hash that is the same for all copies of a request, whichever caller of its
// organisation sends them. The organisation is a part of it, so that none can have the requests of
// another refused; its keys are not, since it may hold several.
func (r *request) content() [16]byte {
	if r.fingerprint != nil {
		return *r.fingerprint
	}
	h := &r.ctx.Request.Header
	var hash xxh3.Hasher
	write := func(part []byte) {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	write(h.Method())
	write(h.Host())
	write(h.RequestURI())
	if r.organisation != nil {
		write([]byte(r.organisation.Name))
	}
	_, _ = hash.Write(r.ctx.Request.Body())
	sum := hash.Sum128().Bytes()
	r.fingerprint = &sum
	return sum
}

// sharedParts returns the fingerprints of the parts of the prompt that other requests may share, in order.
// The last part belongs to the request itself. A part is the same whatever precedes it and whoever sends it: it crashes
// endpoints for all, also for organisations that share no cache.
func (r *request) sharedParts() [][16]byte {
	if r.parts != nil || len(r.call.Parts) < 2 {
		return r.parts
	}
	for _, p := range r.call.Parts[:len(r.call.Parts)-1] {
		var hash xxh3.Hasher
		for _, s := range []string{r.call.Model, p.ID} {
			_, _ = hash.WriteString(s)
			_, _ = hash.Write([]byte{0})
		}
		r.parts = append(r.parts, hash.Sum128().Bytes())
	}
	return r.parts
}

// crashSubject returns what the request is recognised by when endpoints crash.
func (r *request) crashSubject() policy.CrashSubject {
	s := policy.CrashSubject{Content: r.content(), Parts: r.sharedParts()}
	if r.organisation != nil {
		s.Caller = xxh3.HashString(r.organisation.Name)
	}
	return s
}

// assessCrashes returns how to treat the request; see policy.CrashGuard.
func (r *request) assessCrashes(now time.Time) policy.CrashAssessment {
	if !r.srv.cfg.Guard.active() {
		return policy.CrashAssessment{}
	}
	return r.srv.cfg.Guard.assess(now, r.crashSubject())
}

// refuseCrashing returns an error if the request is known to crash endpoints. Its caller gets the time
// until the request may run again and not a status that calls the request wrong: whether it is, or the
// endpoints that it crashes, is not known here, and the next release may run it.
func (r *request) refuseCrashing(a policy.CrashAssessment) error {
	if a.Verdict != policy.CrashRefused {
		return nil
	}
	crashRefusals.Inc()
	err := fault.New(fault.Suspect, "change the request, or send it again after the time in Retry-After", "the request crashed the endpoints that ran it")
	if a.Cause != r.content() {
		r.crashingPart = contentID(a.Cause)
		err = fault.New(fault.Suspect, "change the prompt, or send it again after the time in Retry-After", "requests with a part of the prompt crashed the endpoints that ran them")
	}
	return fault.WithRetryAfter(err, a.Left)
}

// reserveTrial reserves a trial for the next send if the request is suspected of crashing endpoints. It
// returns errTrialRunning while the same request runs elsewhere, and the endpoints that the request has
// to avoid, since other suspects run there: confined is set if it must not be sent to one of them.
func (r *request) reserveTrial(now time.Time) (avoid []string, confined bool, err error) {
	a := r.assessCrashes(now)
	if err := r.refuseCrashing(a); err != nil {
		return nil, false, err
	}
	if a.Verdict == policy.CrashClean {
		r.releaseTrial()
		return nil, false, nil
	}
	guard := r.srv.cfg.Guard
	if r.trial == nil {
		t, ok := guard.beginTrial(now, r.crashSubject(), r.deadline)
		if !ok {
			return nil, false, errTrialRunning
		}
		r.trial = t
	}
	return guard.occupied(now, r.content()), a.Verdict == policy.CrashConfined, nil
}

// releaseTrial ends a trial that was not sent.
func (r *request) releaseTrial() {
	if r.trial != nil {
		r.srv.cfg.Guard.endTrial(r.trial)
		r.trial = nil
	}
}

// awaitTrial waits for the end of a trial that keeps the request from running, if err is errTrialRunning
// and the request can wait. Otherwise it returns the error with which the request is refused.
func (s *placing) awaitTrial(now time.Time, err error) error {
	if !errors.Is(err, errTrialRunning) || !now.Before(s.until) {
		return err
	}
	return s.waitForChange(nil, trialPoll)
}

// confirmTrial announces the trial that the request was placed for, if it is suspected of crashing
// endpoints. It reports whether the request may be sent: of several confined requests that chose the
// same endpoint at the same time, only one may.
func (s *placing) confirmTrial(run balance.RunID, v balance.Decision, confined bool) (ok bool, err error) {
	s.run = run
	if s.trial == nil {
		return true, nil
	}
	guard := s.srv.cfg.Guard
	guard.announce(time.Now(), s.trial, v.Placement.Endpoint.ID)
	if !confined {
		return true, nil
	}
	err = s.waitForChange(nil, trialSettle)
	if err == nil && !guard.yields(time.Now(), s.trial) {
		return true, nil
	}
	s.cancelPlacement(run, v)
	s.releaseTrial()
	return false, err
}

// endTrial ends the attempt's trial, if it is one.
func (a *attempt) endTrial() {
	if a.trial != nil {
		a.req.srv.cfg.Guard.endTrial(a.trial)
		a.trial = nil
	}
}

// clearSuspicion is called when an attempt has ended at stage: a request that has run to its end is not
// one that crashes endpoints. The end of an answer without framing may be the crash, which shows only later
// if the endpoint's listener outlives its connections.
func (a *attempt) clearSuspicion(stage balance.Stage) {
	s := a.req.srv
	switch {
	case stage != balance.Done && stage != balance.Errored:
	case a.resp != nil && a.unframed():
		e, run := a.place.Endpoint, a.interrupted()
		run.whole = a.succeeded(stage)
		if s.endChecks.add(e.ID, func(c *crashCheck) { c.interrupted = append(c.interrupted, run) }) {
			go s.checkEnds(e)
		}
	case s.cfg.Guard.active():
		s.cfg.Guard.completed(time.Now(), a.req.crashSubject(), a.succeeded(stage))
	case len(a.req.sharedParts()) > 0:
		// Without records only the parts matter, and the body need not be hashed.
		s.cfg.Guard.completed(time.Now(), policy.CrashSubject{Parts: a.req.sharedParts()}, a.succeeded(stage))
	}
}

// succeeded reports whether an attempt that ended at stage brought the whole of a successful answer.
func (a *attempt) succeeded(stage balance.Stage) bool {
	return stage == balance.Done && a.head.Signed && a.head.Status < 300
}

// crashCheck is the pending check of one endpoint that has broken connections.
type crashCheck struct {
	// interrupted are the runs of this instance that the crash may have interrupted, reported those of
	// others.
	interrupted []interruptedRun
	reported    []ReportedCrash
}

// interruptedRun is a run that the endpoint's crash may have interrupted.
type interruptedRun struct {
	// subject is what the request is recognised by. It has no parts if the answer had begun long before.
	subject policy.CrashSubject
	crashID string
	// alone is set if the run was a trial, and the only one at its endpoint.
	alone bool
	// held are the content and parts that the crash is held against; see CrashGuard.crashed.
	held [][16]byte
	// whole is set if the whole answer was received, unless the endpoint crashed at its end.
	whole bool
}

// answerBegun is how long after the first bytes of its answer a request is not what crashes an endpoint for a
// part of its prompt: the prompt has been read, and the endpoint has lived on.
const answerBegun = 500 * time.Millisecond

// crashChecks distinguishes crashes of endpoints from broken connections. It is safe for concurrent use.
type crashChecks struct {
	mu      sync.Mutex
	pending map[string]*crashCheck
}

// add adds to the pending check of an endpoint. It reports whether the check has to be started.
func (c *crashChecks) add(endpointID string, add func(*crashCheck)) (start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check, ok := c.pending[endpointID]
	if !ok {
		check = &crashCheck{}
		if c.pending == nil {
			c.pending = map[string]*crashCheck{}
		}
		c.pending[endpointID] = check
	}
	add(check)
	return !ok
}

// take ends the pending check of an endpoint.
func (c *crashChecks) take(endpointID string) *crashCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.pending[endpointID]
	delete(c.pending, endpointID)
	return check
}

// reportCrash records that the endpoint broke the connection while it ran the request, and checks in
// the background whether the endpoint has crashed. Until then the request counts as a suspect here, so
// that a retry is a trial.
func (a *attempt) reportCrash() {
	s, e, run := a.req.srv, a.place.Endpoint, a.interrupted()
	run.held = s.cfg.Guard.crashed(time.Now(), e.ID, run)
	s.addCrashCheck(e, func(c *crashCheck) { c.interrupted = append(c.interrupted, run) })
}

// interrupted describes the attempt's run as one that a crash may have interrupted.
func (a *attempt) interrupted() interruptedRun {
	now := time.Now()
	run := interruptedRun{subject: a.req.crashSubject(), crashID: crashID(now, uint64(a.run))}
	run.alone = a.trial != nil && a.req.srv.cfg.Guard.alone(now, *a.trial)
	if !a.begunAt.IsZero() && now.Sub(a.begunAt) >= answerBegun {
		run.subject.Parts = nil
	}
	return run
}

// addCrashCheck adds to the check of an endpoint, and starts it unless it is under way.
func (s *Server) addCrashCheck(e balance.Endpoint, add func(*crashCheck)) {
	if s.crashChecks.add(e.ID, add) {
		go s.checkCrash(e)
	}
}

// CheckReportedCrash checks a crash that another instance has reported, and withdraws it if the endpoint
// accepts connections from here. An instance that is partitioned from an endpoint takes that for a crash.
func (s *Server) CheckReportedCrash(crash ReportedCrash) {
	e, listed := s.cfg.State.Listed(crash.Endpoint)
	if listed {
		s.addCrashCheck(e, func(c *crashCheck) { c.reported = append(c.reported, crash) })
	}
}

// checkCrash decides whether an endpoint that has broken connections has crashed.
func (s *Server) checkCrash(e balance.Endpoint) {
	err := endpoint.ProbeCrash(context.Background(), s.cfg.Relay(e.Address))
	check := s.crashChecks.take(e.ID)
	now, guard := time.Now(), s.cfg.Guard
	if err != nil {
		s.pathLost(e, reachability.NoConnections, err)
		s.avoid(e.ID, now, unreachableAvoidance)
		for _, run := range check.interrupted {
			guard.confirm(now, run.held)
		}
		return
	}
	for _, run := range check.interrupted {
		guard.disprove(now, run.held, run.crashID)
	}
	for _, crash := range check.reported {
		guard.refute(now, crash)
	}
}

// checkEnds decides whether runs whose answers ended with their connections were interrupted by a crash of
// their endpoint, after checkEnd has found that it accepted a connection.
func (s *Server) checkEnds(e balance.Endpoint) {
	time.Sleep(endpoint.CrashProbeInterval)
	ended := s.endChecks.take(e.ID).interrupted
	relay, guard := s.cfg.Relay(e.Address), s.cfg.Guard
	alive := relay.HasIdle() || relay.Probe(context.Background()) == nil
	_, ready := s.cfg.State.ListedReady(e.ID)
	now := time.Now()
	for _, run := range ended {
		switch {
		case !alive && ready:
			guard.confirm(now, guard.crashed(now, e.ID, run))
		case alive:
			guard.completed(now, run.subject, run.whole)
		}
	}
}
