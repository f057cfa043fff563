package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// placeRetryMax bounds the wait before a request that found no endpoint is placed again:
	// endpoints stop being avoided after a time, without a state change that would wake the
	// request.
	placeRetryMax = 25 * time.Millisecond
	// placeWaitShare is the fraction, 1/placeWaitShare, of its remaining time that a request waits
	// for an endpoint. A caller that is refused early can still be served by another instance or
	// later.
	placeWaitShare = 3
	// boundRetryInterval is how long a request that only one release may run waits before endpoints that it has
	// tried are tried again.
	boundRetryInterval = 100 * time.Millisecond
	// boundWaitShare is the same in percent for a request that only one release may run. The rest is left for
	// its answer.
	boundWaitShare = 80
)

// placing is the search for the endpoint of one send.
type placing struct {
	*request
	query balance.Query
	// until is how long the request waits for an endpoint.
	until time.Time
	// exclude lists the endpoints that were tried, while there are others.
	exclude []string
	// beside is set if no endpoint is free of suspects of crashing it, so that the request, itself one,
	// runs beside another.
	beside bool
}

// place returns the endpoint for the next send. It waits for one while that may help.
//
// When all endpoints of a pool are loading weights, rejecting or briefly unreachable, callers that
// are refused at once all retry together a moment later. A request that waits here has not run,
// which a later refusal can state, and goes to the first endpoint that becomes available.
func (r *request) place() (balance.Placement, error) {
	from := time.Now()
	defer func() {
		r.waited += time.Since(from)
		waitSeconds.Update(time.Since(from).Seconds())
	}()
	s := placing{request: r, query: r.query(), until: from.Add(time.Until(r.deadline) / placeWaitShare), exclude: r.exclude}
	if r.release != "" {
		// Nothing else can serve the request.
		s.until = from.Add(time.Until(r.deadline) * boundWaitShare / 100)
	}
	if err := r.warmUp(); err != nil {
		return balance.Placement{}, err
	}
	for {
		p, ok, err := s.try()
		if err != nil {
			r.releaseTrial()
		}
		if ok || err != nil {
			return p, err
		}
	}
}

// try asks for an endpoint once. Without one it returns an error if the request is to be refused;
// otherwise it has waited until asking again may help.
func (s *placing) try() (p balance.Placement, ok bool, err error) {
	changed := s.srv.cfg.State.Changed()
	now := time.Now()
	if err := s.checkDrain(now); err != nil {
		return p, false, err
	}
	avoid, confined, err := s.reserveTrial(now)
	if err != nil {
		return p, false, s.awaitTrial(now, err)
	}
	if s.beside && !confined {
		avoid = nil
	}
	s.query.Exclude = append(slices.Clip(s.exclude), avoid...)
	if s.service.Engine != nil {
		// The records may have changed while the request waited.
		s.query.Wall = s.wall()
	}
	s.query.Elapsed = now.Sub(s.began)
	if s.query.Charge.Key != 0 {
		s.query.Charge.Left = max(s.patience.Sub(now), 0)
	}
	run, v := s.srv.cfg.Placer.Place(s.reqCtx, s.query)
	if s.reqCtx.Err() != nil {
		s.cancelPlacement(run, v)
		return p, false, context.Cause(s.reqCtx)
	}
	if v.Admission == balance.Send {
		s.placedWall = s.query.Wall
		ok, err := s.confirmTrial(run, v, confined)
		return v.Placement, ok, err
	}
	if v.Admission == balance.Wait && !v.Found && len(avoid) > 0 {
		if confined {
			return p, false, s.awaitTrial(now, errTrialRunning)
		}
		s.beside = true
		return p, false, nil
	}
	return p, false, s.await(now, changed, v)
}

// await handles a decision not to send the request now: it returns the error with which the request is
// refused, or nil after a wait.
func (s *placing) await(now time.Time, changed <-chan struct{}, v balance.Decision) error {
	switch {
	case v.Admission == balance.NoRelease:
		return errReleaseGone
	case v.Admission == balance.OverQuota:
		s.quota = &v.Quota
		s.decidedBy = v.Placement.PlacedBy
		err := fault.New(fault.LimitExceeded, "send less, or have the organisation's quota raised", "the quota of %s is used up", s.organisation.Name)
		// A refusal that is final names no time.
		return fault.WithRetryAfter(err, v.Quota.RetryAfter)
	case v.Admission == balance.AtLimit && s.ran == 0:
		s.passedOver, s.passedFor = v.Placement.PassedOver, v.Placement.PassedFor
		err := fault.New(fault.Overloaded, "send the request again later", "the endpoints of %s have got the requests a second that they take", s.service.Name)
		return fault.WithRetryAfter(err, v.FreeIn)
	case v.Admission == balance.Paused:
		return s.awaitPause(now, s.until, v)
	case v.Refusal.Reason != balance.NotRefused:
		s.refusal = &v.Refusal
		s.decidedBy = v.Placement.PlacedBy
		err := fault.New(fault.Overloaded, "send the request again later", "the slots of %s are in use: %d requests, limit %d", s.service.Name, v.Refusal.InUse, v.Refusal.Limit)
		return fault.WithRetryAfter(err, v.FreeIn)
	case v.Admission == balance.Refuse:
		behind := v.Placement.Backlog
		err := fault.New(fault.Overloaded, "send the request again later", "the endpoints of %s are %v behind", s.service.Name, behind)
		return fault.WithRetryAfter(err, behind)
	case v.Found:
		waitBegan := time.Now()
		err := s.waitForChange(nil, lateRetryDelay(v))
		if v.Placement.Full {
			s.waitedMemory += time.Since(waitBegan)
		}
		return err
	case len(s.exclude) > 0 && s.release == "":
		// No other endpoint can be used; those tried before may have recovered.
		s.exclude = nil
		return nil
	case len(s.exclude) > 0 && now.Before(s.until):
		s.exclude = nil
		return s.waitForChange(changed, boundRetryInterval)
	case !now.Before(s.until):
		return fault.New(fault.Unavailable, "send the request again later", "no endpoint of %s takes work", s.service.Name)
	}
	return s.waitForChange(changed, min(placeRetryMax, s.until.Sub(now)))
}

// pausePoll bounds the wait before a request for which all endpoints pause is placed again: others may
// be added in the meantime.
const pausePoll = 100 * time.Millisecond

// awaitPause waits for the end of the first pause if the request can wait that long: until the given
// time, or its deadline if an endpoint has begun to run it before. Otherwise it returns the error with
// which the request is refused at once.
//
// Callers that are refused in the course of a pause all retry when it ends, so the times that they get
// are spread over as long again.
func (r *request) awaitPause(now, until time.Time, v balance.Decision) error {
	if r.ran > 0 {
		until = r.deadline
	}
	if now.Add(v.FreeIn).After(until) {
		r.passedOver, r.passedFor = v.Placement.PassedOver, v.Placement.PassedFor
		err := fault.New(fault.Overloaded, "send the request again later", "the endpoints of %s want no requests for %v", r.service.Name, v.FreeIn.Round(time.Millisecond))
		return fault.WithRetryAfter(err, v.FreeIn+r.spread(v.FreeIn))
	}
	return r.waitForChange(nil, min(v.FreeIn, pausePoll)+rand.N(minLateRetry))
}

// cancelPlacement reverts a placement for a request that has ended in the meantime.
func (r *request) cancelPlacement(run balance.RunID, v balance.Decision) {
	if v.Admission != balance.Send {
		return
	}
	r.srv.cfg.State.SetStage(time.Now(), run, balance.Abandoned)
	r.srv.cfg.Broadcaster.ReportStage(&gossippb.RunStage{Run: uint64(run), Stage: int32(balance.Abandoned), NotRun: true}, v.Placement.PlacedBy)
	r.srv.cfg.Placer.NotRun(run)
}

// warmUpTimeout is how long after its start an instance delays model requests until it knows which
// prompts endpoints have cached. Endpoints report within 0.1 s; callers accept several times that.
const warmUpTimeout = 400 * time.Millisecond

// warmUp waits until the cache contents of the endpoints are known, at most until warmUpTimeout.
//
// When all instances restart together while callers go on sending, the first requests would be
// placed without this knowledge, and each cached prompt would be processed again elsewhere, which
// keeps the pool behind for seconds.
func (r *request) warmUp() error {
	until := r.srv.cfg.Started.Add(warmUpTimeout)
	for r.service.Engine != nil && time.Now().Before(until) && !r.srv.cfg.Placer.Warm(r.service.Name) {
		if err := r.waitForChange(nil, warmUpPoll); err != nil {
			return err
		}
	}
	return nil
}

// warmUpPoll is the polling interval of warmUp.
const warmUpPoll = 10 * time.Millisecond

// lateRetryDelay returns the wait before a request that would miss its target latency at every
// endpoint is placed again. It is random, so that the instances of a fleet, which see the same
// endpoint become idle, do not all send at once.
func lateRetryDelay(v balance.Decision) time.Duration {
	least := minLateRetry
	if v.Placement.PlacedBy != "" {
		least = minLateRetryRemote
	}
	return least + rand.N(least)
}

// minLateRetry is the minimum of lateRetryDelay: a fifth of the backlog at which requests that will
// be late are sent.
const minLateRetry = 12 * time.Millisecond

// minLateRetryRemote replaces minLateRetry if another instance places the request: in a burst,
// hundreds of requests wait, and a few schedulers answer all of them.
const minLateRetryRemote = 25 * time.Millisecond

// waitForChange waits until changed is closed or d has passed. It returns the cause if the request
// ends first.
func (r *request) waitForChange(changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.reqCtx.Done():
		return context.Cause(r.reqCtx)
	}
	return nil
}

// query returns what does not change while the request waits; see placing.try.
func (r *request) query() balance.Query {
	q := balance.Query{Ask: balance.Ask{
		Service: r.service.Name, DataCentre: r.srv.cfg.DataCentre, Exclude: r.exclude, Again: r.ran > 0, Release: r.release,
		Rank: r.priority(), OutputTokens: r.call.OutputTokens,
	}}
	if r.organisation != nil {
		q.Organisation = organisationHash(r.organisation.Name)
		q.Charge = quota.Charge{
			Account: r.organisation.Name, Tokens: r.call.PromptTokens + r.call.OutputTokens, Sized: r.call.Sized,
		}
		// Where the quota can't be read, the one before may be in force.
		if r.srv.cfg.PriceQuotas && (r.organisation.Quota.Limited() || r.organisation.QuotaError != nil) {
			content := r.content()
			q.Charge.Key, q.Charge.Rank = binary.LittleEndian.Uint64(content[:])|1, q.Rank
		}
	}
	if r.route.TargetLatency > 0 && r.release == "" {
		q.Target = r.route.TargetLatency
	}
	if r.service.Engine == nil {
		return q
	}
	q.Model, q.Parts, q.PromptTokens = r.call.Model, r.call.Parts, r.call.PromptTokens
	if q.Target > 0 {
		q.Patience = min(r.deadline.Sub(r.began), r.route.StreamIdleTimeout())
	}
	return q
}

// organisationHash returns the hash by which schedulers distinguish organisations; it is never 0.
func organisationHash(name string) uint32 { return max(1, uint32(xxh3.HashString(name))) }

// wall returns the name of the group whose requests may share cached prompt parts with this one, by the records now in force:
// a request may be sent long after those were replaced under which it was admitted.
func (r *request) wall() string { return r.srv.cfg.Table().CacheGroup(r.organisation) }

// routeRanks is the number of distinct route priorities within one priority of an organisation.
// Endpoints have ten ranks in all.
const routeRanks = 3

// lowestPriority is the least urgent rank that endpoints have.
const lowestPriority = 9

// priority is the request's rank at the endpoint: by organisation first, by route within it.
//
// With the organisation's rank alone, endpoints of a pool at its limit would process its short
// urgent prompts and its long ones in order of arrival, and the short ones would wait for prompts
// ten times as long.
func (r *request) priority() int {
	organisation := 0
	if r.organisation != nil && r.organisation.Priority != nil {
		organisation = max(*r.organisation.Priority, 0)
	}
	own := min(max(r.route.Priority, 0), routeRanks-1)
	return min(organisation*routeRanks+own, lowestPriority)
}
