package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/zeebo/xxh3"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/schema/gossippb"
	"github.com/sardinedock/sardinedock/selfreport"
)

const (
	// askTimeout bounds the wait for a scheduler's decision. A round trip and the decision usually
	// take 2 ms; a machine that has used up its CPU share answers after some tens of ms, and
	// another scheduler is the better choice then.
	askTimeout = 40 * time.Millisecond
	// maxAsks is how many schedulers are asked before this instance decides alone: the tightest
	// latency targets leave time for two askTimeouts.
	maxAsks = 2
	// unresponsiveFor is how long a scheduler that gave no decision is not asked. One that has died
	// is marked dead by the membership soon after.
	unresponsiveFor = 500 * time.Millisecond
	// warmUpPeriod is how long after its start a scheduler asks others to retry requests that it
	// can't place well yet, since endpoints have not reported their cache contents. They do so
	// within 0.1 s.
	warmUpPeriod = 400 * time.Millisecond
	// maxAskedPauses bounds the pauses that a scheduler is sent, since they must fit into one
	// datagram. A placement at another endpoint that pauses is refused here, and excluded from the
	// next ask.
	maxAskedPauses = 64
)

var placedAlone = metrics.GetOrCreateCounter("sardinedock_placed_alone_total")

// placer places this instance's requests: a scheduler decides itself, another instance asks one.
type placer struct {
	started time.Time
	state   *balance.State
	node    *gossip.Node
	quotas  *quota.Book
	limits  *ratelimit.Limits
	// departures are the endpoints that have stated that they leave, pauses those that want no
	// requests from this instance for now.
	departures *selfreport.Flags
	pauses     *selfreport.Pauses
	// reach is Instance.reach: this instance's share of the decisions on quotas.
	reach func() quota.Reach

	mu sync.Mutex
	// unresponsiveUntil is the time, by scheduler, until which it is not asked.
	unresponsiveUntil map[string]time.Time
}

func newPlacer(i *Instance) *placer {
	return &placer{started: time.Now(), state: i.state, node: i.node, quotas: i.quotas, limits: i.statements.limits, departures: i.statements.departures, pauses: i.statements.pauses, reach: i.reach, unresponsiveUntil: map[string]time.Time{}}
}

// Place implements gateway.Placer. If a scheduler does not answer within askTimeout, since it died,
// is cut off or is late, the next one is asked. If that one does not answer either, this instance
// decides on its own requests only. Such choices are worse but still safe: the instance that has
// the caller sends the request, and one that may run once is sent once.
func (p *placer) Place(ctx context.Context, q balance.Query) (balance.RunID, balance.Decision) {
	q.Charge = p.quotas.Price(q.Charge)
	q.Exclude = p.withDepartures(q.Exclude, q.Service)
	q.Paused = p.pauses.Paused(time.Now(), q.Service)
	tries := 0
	for _, to := range p.node.SchedulersFor(affinityKey(q.Ask)) {
		if tries == maxAsks || ctx.Err() != nil {
			break
		}
		if p.isUnresponsive(to.Name) {
			continue
		}
		tries++
		q.Run = balance.RunID(rand.Uint64())
		v, ok := p.ask(ctx, to, q)
		if ok {
			return q.Run, v
		}
		if v.Found {
			q.Exclude = append(q.Exclude, v.Placement.Endpoint.ID)
		}
	}
	if tries > 0 && q.Charge.Account != "" && q.Elapsed < quotaAskTimeout {
		return 0, balance.Decision{Admission: balance.Wait}
	}
	return p.placeLocally(q)
}

// withDepartures returns exclude with the service's endpoints that have stated that they leave and are
// listed as ready. A scheduler that missed the statement would place one request after the other at
// such an endpoint, and each refused placement costs the caller a round trip.
func (p *placer) withDepartures(exclude []string, service string) []string {
	list := slices.Clip(exclude)
	for _, id := range p.departures.Endpoints() {
		if of, ready := p.state.ListedReady(id); ready && of == service {
			list = append(list, id)
		}
	}
	return list
}

// placeLocally decides at this instance.
func (p *placer) placeLocally(q balance.Query) (balance.RunID, balance.Decision) {
	q.Run = balance.RunID(rand.Uint64())
	if !p.node.IsScheduler() {
		// Spreads the choices of instances that decide alone, since they do not know each other's.
		q.Offset = affinityKey(q.Ask)
		placedAlone.Inc()
	}
	return q.Run, p.decide(q)
}

// decide places a request, received here or at a peer, if its organisation's quota allows it, and
// reports its start to the other schedulers.
func (p *placer) decide(q balance.Query) balance.Decision {
	now := time.Now()
	if p.quotas.DecidesForOthers() != p.node.IsScheduler() {
		reach := p.reach()
		p.quotas.SetReach(now, reach)
		p.limits.SetReach(now, reach)
	}
	if q.Target > 0 {
		q.Charge.OnTime = q.Target - q.Elapsed
	}
	if d := p.quotas.Check(now, q.Charge, q.Again); d.Outcome != quota.Pass {
		if d.Made != nil {
			p.node.ReportQuotaBooking(bookingMessage(now, *d.Made))
		}
		return quotaDecision(d)
	}
	v := p.state.Decide(now, q)
	if v.Admission == balance.Send {
		p.node.ReportStart(startMessage(balance.StartOf(q, v.Placement)))
		p.charge(now, q, v.Placement.Endpoint.ID)
	}
	countPassedOver(v)
	countAdmission(v)
	return v
}

// ask requests a decision from a scheduler. ok is false if there is no usable one.
func (p *placer) ask(ctx context.Context, to gossip.Peer, q balance.Query) (v balance.Decision, ok bool) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m, err := p.node.Ask(limited, to, askMessage(q))
	if err != nil {
		if ctx.Err() == nil {
			p.markUnresponsive(to.Name, err)
		}
		p.cancelRun(q.Run, to.Name)
		return balance.Decision{}, false
	}
	v = decisionOf(m, to.Name)
	v.Quota.Cost = q.Charge.Cost
	if !v.Found {
		return v, true
	}
	if v.Placement, ok = p.resolve(q.Ask, v.Placement); ok {
		// A scheduler of an earlier version does not know the field.
		ok = q.Release == "" || v.Placement.Endpoint.Release == q.Release
	}
	if !ok {
		if v.Admission == balance.Send {
			p.cancelRun(q.Run, to.Name)
		}
		return v, false
	}
	if v.Admission == balance.Send {
		p.state.Started(time.Now(), balance.StartOf(q, v.Placement))
	}
	return v, true
}

// resolve is balance.State.Resolve, and refuses endpoints that have asked this instance for a pause
// which the scheduler was not sent.
func (p *placer) resolve(a balance.Ask, place balance.Placement) (balance.Placement, bool) {
	if p.pauses.Left(time.Now(), place.Endpoint.ID) > 0 {
		return place, false
	}
	return p.state.Resolve(a, place)
}

// cancelRun reports to a scheduler that a request was not sent as it may have decided, since its
// decision was lost or late. Otherwise the scheduler would count the work and keep other requests
// from the endpoint for seconds.
func (p *placer) cancelRun(run balance.RunID, by string) {
	p.node.ReportStage(&gossippb.RunStage{Run: uint64(run), Stage: int32(balance.Abandoned), NotRun: true}, by)
}

func (p *placer) isUnresponsive(scheduler string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.unresponsiveUntil[scheduler])
}

func (p *placer) markUnresponsive(scheduler string, why error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsiveUntil[scheduler] = time.Now().Add(unresponsiveFor)
	log.WithField("scheduler", scheduler).WithField("why", why.Error()).Warn("scheduler silent; not asked for a while")
}

// Warm implements gateway.Placer. A scheduler that is asked reports in its decision that it is not
// warm.
func (p *placer) Warm(service string) bool {
	return !p.node.IsScheduler() || p.state.Warm(service)
}

// Asked implements gossip.Handler.
func (h receiver) Asked(a *gossippb.Ask) *gossippb.Decision {
	if a.GetOriginService() != "" {
		return h.origins.answerAsk(a)
	}
	cold := a.GetModel() != "" && time.Since(h.placer.started) < warmUpPeriod && !h.state.Warm(a.GetService())
	// An instance that is no scheduler any more receives few of the others' messages.
	if cold || !h.Ready() || !h.node.IsScheduler() {
		return decisionMessage(balance.RunID(a.GetRun()), balance.Decision{Admission: balance.Wait})
	}
	q := queryOf(a)
	return decisionMessage(q.Run, h.placer.decide(q))
}

// affinityKey returns the hash of what a request shares with others: its last prompt part that is
// not its own, or the service. Requests with the same key are placed by the same scheduler, so that
// a shared part is processed once and the counts of a small service are exact.
func affinityKey(a balance.Ask) uint64 {
	if len(a.Parts) < 2 {
		return xxh3.HashString(a.Service)
	}
	return uint64(prefix.KeyOf(a.Wall, a.Model, a.Parts[len(a.Parts)-2].ID))
}

func askMessage(q balance.Query) *gossippb.Ask {
	m := &gossippb.Ask{
		Run: uint64(q.Run), Service: q.Service, Model: q.Model, Wall: q.Wall, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
		Rank: int32(q.Rank), DataCentre: q.DataCentre, Exclude: q.Exclude,
		TargetUs: q.Target.Microseconds(), PatienceUs: q.Patience.Microseconds(), ElapsedUs: q.Elapsed.Microseconds(),
		Organisation: q.Charge.Account, Cost: q.Charge.Cost, RequestKey: q.Charge.Key, LeftUs: q.Charge.Left.Microseconds(), Again: q.Again, Release: q.Release,
		OrganisationHash: q.Organisation,
	}
	for _, pause := range q.Paused[:min(len(q.Paused), maxAskedPauses)] {
		m.Paused = append(m.Paused, &gossippb.Pause{Endpoint: pause.Endpoint, LeftUs: pause.Left.Microseconds()})
	}
	for _, part := range q.Parts {
		m.Parts = append(m.Parts, part.ID)
		m.Tokens = append(m.Tokens, part.Tokens)
	}
	return m
}

func queryOf(m *gossippb.Ask) balance.Query {
	q := balance.Query{
		Run: balance.RunID(m.GetRun()), Target: micros(m.GetTargetUs()), Patience: micros(m.GetPatienceUs()), Elapsed: micros(m.GetElapsedUs()),
		Charge: quota.Charge{
			Account: m.GetOrganisation(), Cost: m.GetCost(), Key: m.GetRequestKey(), Rank: int(m.GetRank()), Left: micros(m.GetLeftUs()),
		},
		Ask: balance.Ask{
			Service: m.GetService(), Model: m.GetModel(), Wall: m.GetWall(), PromptTokens: m.GetPromptTokens(), OutputTokens: m.GetOutputTokens(),
			Rank: int(m.GetRank()), DataCentre: m.GetDataCentre(), Exclude: m.GetExclude(), Again: m.GetAgain(),
			Release: m.GetRelease(), Organisation: m.GetOrganisationHash(),
		},
	}
	for _, pause := range m.GetPaused() {
		q.Paused = append(q.Paused, selfreport.Pause{Endpoint: pause.GetEndpoint(), Left: micros(pause.GetLeftUs())})
	}
	if len(m.GetParts()) != len(m.GetTokens()) {
		return q
	}
	for i, id := range m.GetParts() {
		q.Parts = append(q.Parts, prefix.Part{ID: id, Tokens: m.GetTokens()[i]})
	}
	return q
}

func decisionMessage(run balance.RunID, v balance.Decision) *gossippb.Decision {
	p := v.Placement
	return &gossippb.Decision{
		Run: uint64(run), Admission: int32(v.Admission), Endpoint: p.Endpoint.ID, Name: p.Endpoint.Name, Address: p.Endpoint.Address,
		Version: p.Version, Uncached: p.Uncached, Release: p.Endpoint.Release,
		FetchFrom: p.FetchFrom, SaveTo: p.SaveTo, Ahead: p.Ahead, Queued: p.Queued, Running: int32(p.Running), Full: p.Full,
		BacklogUs: p.Backlog.Microseconds(), FirstUs: p.FirstToken.Microseconds(),
		Balance: v.Quota.Balance, Share: v.Quota.Share, RetryUs: v.Quota.RetryAfter.Microseconds(),
		QuotaPrice: v.Quota.Price, QuotaDraw: v.Quota.Draw, QuotaPriced: v.Quota.Priced, QuotaBooked: v.Quota.Booked, QuotaFinal: v.Quota.Final,
		PassedOver: p.PassedOver, PassedFor: int32(p.PassedFor), FreeInUs: v.FreeIn.Microseconds(),
		Refusal: int32(v.Refusal.Reason), Limit: int32(v.Refusal.Limit), InUse: int32(v.Refusal.InUse),
	}
}

func decisionOf(m *gossippb.Decision, by string) balance.Decision {
	return balance.Decision{
		Admission: balance.Admission(m.GetAdmission()), Found: m.GetEndpoint() != "",
		Placement: balance.Placement{
			Endpoint: balance.Endpoint{ID: m.GetEndpoint(), Name: m.GetName(), Address: m.GetAddress(), Release: m.GetRelease()}, PlacedBy: by, Version: m.GetVersion(), Uncached: m.GetUncached(),
			FetchFrom: m.GetFetchFrom(), SaveTo: m.GetSaveTo(), Ahead: m.GetAhead(), Queued: m.GetQueued(), Running: int(m.GetRunning()), Full: m.GetFull(),
			Backlog: micros(m.GetBacklogUs()), FirstToken: micros(m.GetFirstUs()), PassedOver: m.GetPassedOver(), PassedFor: balance.Obstacle(m.GetPassedFor()),
		},
		FreeIn: micros(m.GetFreeInUs()), Refusal: balance.Refusal{Reason: balance.RefusalReason(m.GetRefusal()), Limit: int(m.GetLimit()), InUse: int(m.GetInUse())},
		Quota: quota.Decision{
			Balance: m.GetBalance(), Share: m.GetShare(), RetryAfter: micros(m.GetRetryUs()), Price: m.GetQuotaPrice(), Draw: m.GetQuotaDraw(),
			Priced: m.GetQuotaPriced(), Booked: m.GetQuotaBooked(), Final: m.GetQuotaFinal(),
		},
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func startMessage(st balance.Start) *gossippb.RunStart {
	m := &gossippb.RunStart{
		Run: uint64(st.Run), Endpoint: st.Endpoint, Model: st.Model, Version: st.Version, Rank: int32(st.Rank),
		Tokens: st.Tokens, Uncached: st.Uncached, Output: st.Output, SaveTo: st.SaveTo, Again: st.Again,
	}
	for _, k := range st.Keys {
		m.Keys = append(m.Keys, uint64(k))
	}
	return m
}
