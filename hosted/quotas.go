package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/rendezvous"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

const (
	// quotaAskTimeout is how long a request under a quota is retried at schedulers before this
	// instance decides on its own small share.
	quotaAskTimeout = 300 * time.Millisecond
	// reachInterval is the time between two updates of how much of the fleet is reachable.
	reachInterval = 100 * time.Millisecond
	// usageRepeatInterval is the time between two reports of nearly used-up quotas, for schedulers
	// that do not receive each other's messages.
	usageRepeatInterval = 200 * time.Millisecond
	// repeaters is how many schedulers repeat the reports that they received for one account.
	repeaters = 2
	// maxRepeatedBookings bounds the bookings that are sent for a new scheduler: some 10 KB.
	maxRepeatedBookings = 256
)

var (
	quotaPassed   = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="passed"}`)
	quotaRefused  = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="refused"}`)
	quotaWaited   = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="waited"}`)
	quotaPriced   = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="priced"}`)
	bookingsMade  = metrics.GetOrCreateCounter(`sardinedock_quota_bookings_total{outcome="made"}`)
	bookingsKept  = metrics.GetOrCreateCounter(`sardinedock_quota_bookings_total{outcome="kept"}`)
	bookingsLate  = metrics.GetOrCreateCounter(`sardinedock_quota_bookings_total{outcome="lapsed"}`)
	bookingsEarly = metrics.GetOrCreateCounter(`sardinedock_quota_bookings_total{outcome="early"}`)
	quotaReturned = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="returned"}`)
)

// setQuotas applies the quotas of the records.
func (i *Instance) setQuotas(t *route.Table) {
	limits := map[string]quota.Limit{}
	t.Organisations(func(o *route.Organisation) {
		limit := o.Quota
		if o.QuotaError != nil {
			limit = i.quotas.Limit(o.Name)
			log.WithError(o.QuotaError).WithField("organisation", o.Name).WithField("records", t.Version()).
				Error("quota refused; the one before stays in force")
		}
		if limit.Limited() {
			limits[o.Name] = limit
		}
	})
	i.quotas.SetLimits(time.Now(), limits)
}

// followQuotas updates this instance's share of quotas and of endpoints' rates, and repeats reports
// that others may have missed, until ctx is done.
func (i *Instance) followQuotas(ctx context.Context) {
	repeated := time.Now()
	var schedulers []string
	for clock.Sleep(ctx, reachInterval) == nil {
		now := time.Now()
		reach := i.reach()
		i.quotas.SetReach(now, reach)
		i.statements.limits.SetReach(now, reach)
		if now.Sub(repeated) >= usageRepeatInterval && i.node.IsScheduler() {
			i.repeatUsage(now, repeated)
			repeated = now
		}
		known := i.node.Schedulers()
		if slices.ContainsFunc(known, func(name string) bool { return !slices.Contains(schedulers, name) }) && i.node.IsScheduler() {
			i.repeatBookings(now, known)
		}
		schedulers = known
	}
}

// reach returns with how many schedulers this instance shares the decisions on quotas, and how much
// of the fleet it can reach.
func (i *Instance) reach() quota.Reach {
	r := quota.Reach{Scheduler: i.node.IsScheduler(), Peers: len(i.node.Schedulers())}
	if r.Scheduler {
		r.Peers--
	}
	r.Live, r.Listed = i.node.Reach()
	return r
}

// runsKnownAfter is how long after its start an instance knows of the runs of the others.
const runsKnownAfter = time.Second

// turn returns this instance's part in decisions on an endpoint. A scheduler knows of the runs of all
// instances that it reaches, any other instance of its own, and so does a scheduler that has just started.
func (i *Instance) turn(endpointID, service string) balance.Turn {
	schedulers := i.node.SchedulersReaching(service)
	t := balance.Turn{Rank: rendezvous.Rank(endpointID, i.settings.GetInstance(), schedulers), Deciders: len(schedulers), Known: 1}
	r := i.reach()
	switch {
	case r.Listed == 0:
	case !r.Scheduler, time.Since(i.started) < runsKnownAfter:
		t = balance.Turn{Deciders: 1, Known: 1 / float64(r.Listed)}
	default:
		t.Known = float64(r.Live) / float64(r.Listed)
	}
	return t
}

// repeatUsage repeats the reports on quotas that are nearly used up.
//
// Without it, two schedulers that do not receive each other's messages, while all others receive
// both's, would each allow the whole quota.
func (i *Instance) repeatUsage(now, since time.Time) {
	schedulers := i.node.Schedulers()
	repeat := func(list []quota.Usage, message func(quota.Usage) *gossippb.QuotaUse) {
		for _, u := range list {
			own := u.Instance == i.settings.GetInstance()
			if own || rendezvous.IsAmongFirst(repeaters, u.Account, i.settings.GetInstance(), schedulers) {
				i.node.ReportQuotaUse(message(u))
			}
		}
	}
	repeat(i.quotas.Short(now, since), useMessage)
	repeat(i.statements.limits.Short(now, since), endpointUseMessage)
}

// repeatBookings sends the open bookings for a scheduler that is new: it would take their callers for
// newcomers.
func (i *Instance) repeatBookings(now time.Time, schedulers []string) {
	for _, b := range i.quotas.OpenBookings(now, maxRepeatedBookings) {
		if rendezvous.IsAmongFirst(repeaters, b.Account, i.settings.GetInstance(), schedulers) {
			i.node.ReportQuotaBooking(bookingMessage(now, b))
		}
	}
}

// charge debits the organisation's quota and the endpoint's rate for a run that is sent, and
// reports both.
func (p *placer) charge(now time.Time, q balance.Query, endpointID string) {
	if u, ok := p.limits.Charge(now, uint64(q.Run), endpointID); ok {
		p.node.ReportQuotaUse(endpointUseMessage(u))
	}
	if u, ok := p.quotas.Charge(now, uint64(q.Run), q.Charge); ok {
		quotaPassed.Inc()
		if u.Redeemed != 0 {
			bookingsKept.Inc()
		}
		p.node.ReportQuotaUse(useMessage(u))
	}
}

// NotRun implements gateway.Placer.
func (p *placer) NotRun(run balance.RunID) {
	if u, ok := p.quotas.Refund(time.Now(), uint64(run)); ok {
		quotaReturned.Inc()
		p.node.ReportQuotaUse(useMessage(u))
	}
}

// QuotaUsed implements gossip.Handler.
func (h receiver) QuotaUsed(u *gossippb.QuotaUse) {
	usage := quota.Usage{
		Instance: u.GetInstance(), Incarnation: u.GetIncarnation(), Number: u.GetNumber(),
		Account: u.GetAccount(), Total: u.GetTotal(), Last: u.GetLast(),
		Short: u.GetShort(), Balance: u.GetBalance(), Redeemed: u.GetRedeemed(),
	}
	if u.GetEndpoint() {
		h.statements.limits.ApplyUsage(time.Now(), usage)
		return
	}
	h.quotas.ApplyUsage(time.Now(), usage)
}

// QuotaBooked implements gossip.Handler.
func (h receiver) QuotaBooked(b *gossippb.QuotaBooking) {
	now := time.Now()
	h.quotas.ApplyBooking(now, quota.Booking{
		Account: b.GetAccount(), Key: b.GetKey(), Cost: b.GetCost(), Due: now.Add(micros(b.GetDueInUs())),
	})
}

func bookingMessage(now time.Time, b quota.Booking) *gossippb.QuotaBooking {
	return &gossippb.QuotaBooking{Account: b.Account, Key: b.Key, Cost: b.Cost, DueInUs: b.Due.Sub(now).Microseconds()}
}

// endpointUseMessage is useMessage for the use of an endpoint's rate.
func endpointUseMessage(u quota.Usage) *gossippb.QuotaUse {
	m := useMessage(u)
	m.Endpoint = true
	return m
}

func useMessage(u quota.Usage) *gossippb.QuotaUse {
	return &gossippb.QuotaUse{
		Instance: u.Instance, Incarnation: u.Incarnation, Number: u.Number, Account: u.Account, Total: u.Total, Last: u.Last,
		Short: u.Short, Balance: u.Balance, Redeemed: u.Redeemed,
	}
}

// quotaDecision returns the decision on a request that its organisation's quota does not allow now.
func quotaDecision(d quota.Decision) balance.Decision {
	if d.Outcome == quota.Unknown {
		quotaWaited.Inc()
		return balance.Decision{Admission: balance.Wait, Quota: d}
	}
	switch {
	case d.Made != nil:
		bookingsMade.Inc()
	case d.Early:
		bookingsEarly.Inc()
	}
	if d.Priced {
		quotaPriced.Inc()
	} else {
		quotaRefused.Inc()
	}
	return balance.Decision{Admission: balance.OverQuota, Quota: d}
}
