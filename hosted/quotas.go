package hosted

import (
	"context"
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
	// quotaPatience is how long a request under a quota looks for a scheduler that
	// answers, before this instance decides on its own small share.
	quotaPatience = 300 * time.Millisecond
	// reachEvery is how often it is looked how much of the fleet is heard of.
	reachEvery = 100 * time.Millisecond
	// repeatEvery is the time between two reports of quotas that are short, for
	// schedulers that do not hear each other.
	repeatEvery = 200 * time.Millisecond
	// repeaters is how many schedulers repeat what they have heard of one account.
	repeaters = 2
)

var (
	quotaPassed   = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="passed"}`)
	quotaOver     = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="refused"}`)
	quotaUnknown  = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="waited"}`)
	quotaReturned = metrics.GetOrCreateCounter(`sardinedock_quota_requests_total{outcome="returned"}`)
)

// setQuotas puts the quotas of the records in force.
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

// followQuotas keeps the share of quotas and of endpoints' rates up to date and repeats what
// others may have missed, until ctx ends.
func (i *Instance) followQuotas(ctx context.Context) {
	repeated := time.Now()
	for clock.Sleep(ctx, reachEvery) == nil {
		now := time.Now()
		reach := i.reach()
		i.quotas.SetReach(now, reach)
		i.rates.limits.SetReach(now, reach)
		if now.Sub(repeated) >= repeatEvery && i.node.IsScheduler() {
			i.repeatUsage(now, repeated)
			repeated = now
		}
	}
}

// reach is for how much of the fleet this instance decides.
func (i *Instance) reach() quota.Reach {
	r := quota.Reach{Scheduler: i.node.IsScheduler(), Peers: len(i.node.Schedulers())}
	if r.Scheduler {
		r.Peers--
	}
	r.Live, r.Listed = i.node.Reach()
	return r
}

// repeatUsage reports what is known of quotas that are short.
//
// Failure: two schedulers do not hear each other, and all others hear both. Each would
// let the whole quota pass without the other's knowledge.
func (i *Instance) repeatUsage(now, since time.Time) {
	schedulers := i.node.Schedulers()
	repeat := func(list []quota.Usage, message func(quota.Usage) *gossippb.QuotaUse) {
		for _, u := range list {
			own := u.Instance == i.settings.GetInstance()
			if own || rendezvous.Rank(u.Account, i.settings.GetInstance(), schedulers) < repeaters {
				i.node.ReportQuotaUse(message(u))
			}
		}
	}
	repeat(i.quotas.Short(now, since), useMessage)
	repeat(i.rates.limits.Short(now, since), endpointUseMessage)
}

// charge debits a run that is sent to an endpoint, and reports it.
func (p *placer) charge(now time.Time, q balance.Query, endpointID string) {
	if u, ok := p.limits.Charge(now, uint64(q.Run), endpointID); ok {
		p.node.ReportQuotaUse(endpointUseMessage(u))
	}
	if u, ok := p.quotas.Charge(now, uint64(q.Run), q.Charge); ok {
		quotaPassed.Inc()
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
		Short: u.GetShort(), Balance: u.GetBalance(),
	}
	if u.GetEndpoint() {
		h.rates.limits.ApplyUsage(time.Now(), usage)
		return
	}
	h.quotas.ApplyUsage(time.Now(), usage)
}

// endpointUseMessage is useMessage for what an endpoint was sent.
func endpointUseMessage(u quota.Usage) *gossippb.QuotaUse {
	m := useMessage(u)
	m.Endpoint = true
	return m
}

func useMessage(u quota.Usage) *gossippb.QuotaUse {
	return &gossippb.QuotaUse{
		Instance: u.Instance, Incarnation: u.Incarnation, Number: u.Number, Account: u.Account, Total: u.Total, Last: u.Last,
		Short: u.Short, Balance: u.Balance,
	}
}

// quotaDecision answers a request that its organisation's quota does not let pass now.
func quotaDecision(d quota.Decision) balance.Decision {
	if d.Outcome == quota.Unknown {
		quotaUnknown.Inc()
		return balance.Decision{Admission: balance.Wait, Quota: d}
	}
	quotaOver.Inc()
	return balance.Decision{Admission: balance.OverQuota, Quota: d}
}
