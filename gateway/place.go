package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// lookAgain bounds the wait until a request that found no endpoint is placed
	// once more: times of avoidance end without notice.
	lookAgain = 25 * time.Millisecond
	// waitShare is the part of its time that a request waits for an endpoint. A
	// caller that is told early may still be served elsewhere or later.
	waitShare = 3
)

// place finds the endpoint for the next send, and waits for one as long as that
// may help.
//
// Load: all endpoints of a pool are loading, rejecting or gone for a moment.
// Harm prevented: turned away at once, every caller comes back together a
// moment later. A request that waits here has not run, can be said so, and goes
// to whichever endpoint is free first.
func (r *request) place() (balance.Placement, error) {
	from := time.Now()
	until := from.Add(time.Until(r.deadline) / waitShare)
	defer func() {
		r.waited += time.Since(from)
		waitSeconds.Update(time.Since(from).Seconds())
	}()
	q := r.query()
	if err := r.warmUp(); err != nil {
		return balance.Placement{}, err
	}
	for {
		changed := r.srv.cfg.State.Changed()
		now := time.Now()
		if err := r.mayStart(now); err != nil {
			return balance.Placement{}, err
		}
		q.Elapsed = now.Sub(r.began)
		run, v := r.srv.cfg.Placer.Place(r.life, q)
		if r.life.Err() != nil {
			r.unplace(run, v)
			return balance.Placement{}, context.Cause(r.life)
		}
		switch {
		case v.Admission == balance.Send:
			r.run = run
			return v.Placement, nil
		case v.Admission == balance.OverQuota:
			r.quota = &v.Quota
			r.decidedBy = v.Placement.PlacedBy
			err := fault.New(fault.LimitExceeded, "send less, or have the organisation's quota raised", "the quota of %s is used up", r.organisation.Name)
			return balance.Placement{}, fault.WithRetryAfter(err, v.Quota.RetryAfter)
		case v.Admission == balance.AtLimit && r.ran == 0:
			r.passedOver = v.Placement.PassedOver
			err := fault.New(fault.Overloaded, "send the request again later", "the endpoints of %s have got the requests a second that they take", r.service.Name)
			return balance.Placement{}, fault.WithRetryAfter(err, v.FreeIn)
		case v.Admission == balance.Refuse:
			behind := v.Placement.Backlog
			err := fault.New(fault.Overloaded, "send the request again later", "the endpoints of %s are %v behind", r.service.Name, behind)
			return balance.Placement{}, fault.WithRetryAfter(err, behind)
		case v.Found:
			looked := time.Now()
			err := r.rest(nil, lateLook(v))
			if v.Placement.Full {
				r.waitedMemory += time.Since(looked)
			}
			if err != nil {
				return balance.Placement{}, err
			}
		case len(q.Exclude) > 0:
			// All others are out of the question; those tried may have come back.
			q.Exclude = nil
		case !now.Before(until):
			return balance.Placement{}, fault.New(fault.Unavailable, "send the request again later", "no endpoint of %s takes work", r.service.Name)
		default:
			if err := r.rest(changed, min(lookAgain, until.Sub(now))); err != nil {
				return balance.Placement{}, err
			}
		}
	}
}

// unplace gives back what was placed for a request that has ended meanwhile.
func (r *request) unplace(run balance.RunID, v balance.Decision) {
	if v.Admission != balance.Send {
		return
	}
	r.srv.cfg.State.SetStage(time.Now(), run, balance.Abandoned)
	r.srv.cfg.Broadcaster.ReportStage(&gossippb.RunStage{Run: uint64(run), Stage: int32(balance.Abandoned), NotRun: true}, v.Placement.PlacedBy)
	r.srv.cfg.Placer.NotRun(run)
}

// warmBound is how long after its start an instance has model requests wait for
// what endpoints hold. Endpoints tell within a tenth of a second; callers are
// content with several.
const warmBound = 400 * time.Millisecond

// warmUp waits until it is known what is cached where.
//
// Load: all instances restart together while callers go on sending. Harm prevented:
// the requests of the first moments find nothing known, and each prompt that
// endpoints hold is read again, which keeps the pool behind for seconds.
func (r *request) warmUp() error {
	until := r.srv.cfg.Started.Add(warmBound)
	for r.service.Engine != nil && time.Now().Before(until) && !r.srv.cfg.Placer.Warm(r.service.Name) {
		if err := r.rest(nil, warmLook); err != nil {
			return err
		}
	}
	return nil
}

// warmLook is the time between two looks during warmUp.
const warmLook = 10 * time.Millisecond

// lateLook is the wait until a late request looks again. It is drawn, so that the
// instances of a fleet, which see the same endpoint idle, do not all send at once.
func lateLook(v balance.Decision) time.Duration {
	least := lateLookLeast
	if v.Placement.PlacedBy != "" {
		least = lateLookAsked
	}
	return least + rand.N(least)
}

// lateLookLeast is a fifth of the backlog that late requests are sent at.
const lateLookLeast = 12 * time.Millisecond

// lateLookAsked is the same where another instance is asked each time: in a burst,
// hundreds of requests wait, and a few schedulers answer all of them.
const lateLookAsked = 25 * time.Millisecond

// rest waits for news, at most for d.
func (r *request) rest(changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.life.Done():
		return context.Cause(r.life)
	}
	return nil
}

func (r *request) query() balance.Query {
	q := balance.Query{Ask: balance.Ask{
		Service: r.service.Name, DataCentre: r.srv.cfg.DataCentre, Exclude: r.exclude, Again: r.ran > 0,
		Rank: r.priority(), OutputTokens: r.call.OutputTokens,
	}}
	if r.organisation != nil {
		q.Charge = quota.Charge{
			Account: r.organisation.Name, Tokens: r.call.PromptTokens + r.call.OutputTokens, Sized: r.call.Sized,
		}
	}
	if r.service.Engine == nil {
		return q
	}
	q.Model, q.Wall, q.Parts, q.PromptTokens = r.call.Model, r.wall(), r.call.Parts, r.call.PromptTokens
	if r.route.TargetLatency > 0 {
		q.Target = r.route.TargetLatency
		q.Patience = min(r.deadline.Sub(r.began), r.route.StreamIdleTimeout())
	}
	return q
}

// wall names who may share the request's cached parts: nobody but the same
// organisation where that is isolated, all others together.
func (r *request) wall() string {
	if r.organisation != nil && r.organisation.Isolated {
		return "o/" + r.organisation.Name
	}
	return "all"
}

// routeRanks is how many priorities of routes are told apart within one of an
// organisation. Endpoints know ten ranks in all.
const routeRanks = 3

// lowestPriority is the last rank that endpoints know.
const lowestPriority = 9

// priority is the request's rank at the endpoint: by organisation first, by route
// within it.
//
// Load: a pool at its limit, with short urgent prompts among long ones of the same
// organisation. Harm prevented: with the organisation's rank alone, endpoints take
// both in the order of arrival, and the short ones wait for prompts ten times as
// long.
func (r *request) priority() int {
	organisation := 0
	if r.organisation != nil && r.organisation.Priority != nil {
		organisation = max(*r.organisation.Priority, 0)
	}
	own := min(max(r.route.Priority, 0), routeRanks-1)
	return min(organisation*routeRanks+own, lowestPriority)
}
