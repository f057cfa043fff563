package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// Names of the placement policies. With ownView each instance decides from its own records;
	// with owners it asks the instance that owns the endpoint.
	roundRobin  = "round robin"
	leastLoaded = "least loaded"
	rendezvous  = "rendezvous"
	ownView     = "own view"
	owners      = "owners"

	// reportLag is the age of load reports on delivery and the interval between them.
	reportLag = 500 * time.Millisecond
)

// parameters has the parameters that can be varied by flags.
type parameters struct {
	// candidates is the number of endpoints considered.
	candidates int
	// patience is the longest wait at the first candidate for which the others are not asked.
	patience time.Duration
	// recompute is the weight of the recomputation time.
	recompute float64
}

var params = parameters{candidates: 4, patience: 50 * time.Millisecond, recompute: policy.DefaultRecompute}

// caller is the caller name in all requests to owners. It stands for all instances; requests are
// distinguished by their ids.
const caller = "i"

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// sim is the simulation of one policy.
type sim struct {
	timeline
	s       scenario
	policy  string
	ranking *policy.Ranking
	engines []*engine
	// registries are the endpoint registries of the instances.
	registries []*owner.Registry
	ownerOf    []int
	// secondOwner makes every other instance treat the next instance as the owner of an endpoint.
	secondOwner bool
	levels      []*prefix.Levels
	requests    []*request
	next        []int
	asks        int
	costs       policy.CostModel
}

func endpointName(i int) string { return fmt.Sprintf("engine-%d", i) }

func newSim(s scenario, policyName string, requests []*request) *sim {
	m := &sim{s: s, policy: policyName, requests: requests, next: make([]int, s.instances)}
	m.costs = policy.CostModel{PrefillTokensPerSecond: s.prefillRate, Recompute: params.recompute}
	var names, members []string
	for i := range s.instances {
		members = append(members, fmt.Sprintf("instance-%d", i))
	}
	for i := range s.endpoints {
		names = append(names, endpointName(i))
		m.ownerOf = append(m.ownerOf, slices.Index(members, owner.Of(names[i], members)))
		e := &engine{s: &m.s, t: &m.timeline, cache: newLRU(s.cacheBlocks), slow: 1}
		e.onFirst, e.onDone = m.first, m.done
		m.engines = append(m.engines, e)
	}
	m.ranking = policy.NewRanking(names)
	m.restart()
	return m
}

func (m *sim) time() time.Time { return epoch.Add(m.now) }

// restart gives all instances a new, empty state.
func (m *sim) restart() {
	m.registries, m.levels = nil, nil
	for i := range m.s.instances {
		b := owner.NewRegistry(m.costs)
		for e := range m.s.endpoints {
			if m.policy != owners || m.ownerOf[e] == i {
				b.Add(m.config(e))
			}
		}
		m.registries = append(m.registries, b)
		m.levels = append(m.levels, prefix.NewLevels(prefix.DefaultLevelSets))
	}
}

func (m *sim) config(endpoint int) owner.Config {
	return owner.Config{Name: endpointName(endpoint), Slots: m.s.slots, UrgentSlots: m.s.urgentSlots, BlockTokens: blockTokens,
		CacheBlocks: int64(m.s.cacheBlocks), PrefillTokensPerSecond: m.s.prefillRate, FirstGrantID: uint64(m.now)}
}

// play runs all arrivals and the events that follow, for the longest time that requests may take.
func (m *sim) play() {
	for _, r := range m.requests {
		m.after(r.at, func() { m.arrive(r) })
	}
	end := m.s.warm + m.s.measured + m.s.maxWait + 30*time.Second
	m.every(owner.TickInterval, func() {
		for _, b := range m.registries {
			b.RenewLease(m.time(), caller)
			m.apply(b.Tick(m.time()))
		}
	})
	m.every(reportLag, m.report)
	m.run(end)
}

func (m *sim) every(d time.Duration, run func()) {
	m.after(d, func() {
		run()
		m.every(d, run)
	})
}

// report delivers the current load of all endpoints to all registries after reportLag.
func (m *sim) report() {
	for i, e := range m.engines {
		r := owner.LoadReport{MeasuredAt: m.time(), Running: e.used, Waiting: len(e.queue)}
		m.after(reportLag, func() {
			for _, b := range m.registries {
				if o := b.Endpoint(endpointName(i)); o != nil {
					m.apply(o.LoadReport(m.time(), r))
				}
			}
		})
	}
}

func (m *sim) arrive(r *request) {
	switch m.policy {
	case roundRobin:
		m.next[r.instance]++
		m.send(r, (m.next[r.instance]+r.instance)%m.s.endpoints)
	case leastLoaded:
		best := r.id % m.s.endpoints
		for i, e := range m.engines {
			if e.load() < m.engines[best].load() {
				best = i
			}
		}
		m.send(r, best)
	case rendezvous:
		m.send(r, m.candidates(r, 1)[0])
	default:
		m.place(r)
	}
}

func (m *sim) candidates(r *request, n int) []int {
	l := m.levels[r.instance]
	key := l.Key(r.salt, r.chain, 0)
	l.Observe(r.salt, r.chain)
	return m.ranking.Top(nil, key, n, func(i int) bool { return !m.engines[i].paused })
}

func (m *sim) registry(r *request, endpoint int) *owner.Registry {
	if m.policy == ownView {
		return m.registries[r.instance]
	}
	if m.secondOwner && r.instance%2 == 1 {
		return m.registries[(m.ownerOf[endpoint]+1)%m.s.instances]
	}
	return m.registries[m.ownerOf[endpoint]]
}

// place asks the first candidate and, if that is busy, chooses among all.
func (m *sim) place(r *request) {
	list := m.candidates(r, params.candidates)
	if len(list) == 0 {
		m.after(reportLag, func() { m.place(r) })
		return
	}
	a := m.ask(r)
	a.Patience = params.patience
	d := m.askOne(r, a, list[0])
	if d.Kind != owner.Offered {
		m.apply([]owner.Decision{d})
		return
	}
	offers := d.Offers
	a.Mode, a.Patience = owner.Probe, 0
	for i, e := range list[1:] {
		a.Candidate = i + 1
		offers = append(offers, m.askOne(r, a, e).Offers...)
	}
	a.Mode = owner.Take
	costs := m.costs
	costs.Urgent = r.urgent
	choice := policy.Choose(r.tokens, 0, offers, costs)
	a.Candidate = choice.Index
	m.apply([]owner.Decision{m.askOne(r, a, m.index(offers[choice.Index].Endpoint))})
}

func (m *sim) askOne(r *request, a owner.Ask, endpoint int) owner.Decision {
	m.asks++
	return m.registry(r, endpoint).Ask(m.time(), a, []string{endpointName(endpoint)})
}

func (m *sim) index(name string) int {
	i := 0
	_, _ = fmt.Sscanf(name, "engine-%d", &i)
	return i
}

func (m *sim) ask(r *request) owner.Ask {
	return owner.Ask{
		Caller: caller, RequestID: fmt.Sprintf("%d/%d", r.id, r.attempts), Organisation: fmt.Sprint("o", r.organisation),
		Urgent: r.urgent, Blocks: r.chain, PromptTokens: r.tokens, MaxTokens: int64(r.output),
		Deadline: epoch.Add(r.at + r.maxWait),
	}
}

func (m *sim) apply(decisions []owner.Decision) {
	for _, d := range decisions {
		id, attempt := 0, 0
		_, _ = fmt.Sscanf(d.RequestID, "%d/%d", &id, &attempt)
		r := m.requests[id]
		switch {
		case attempt != r.attempts:
		case d.Kind == owner.Granted:
			r.grant = d.Offer.GrantID
			if d.Offer.Long {
				r.priority = 2
			}
			m.send(r, m.index(d.Offer.Endpoint))
		case d.Kind == owner.Refused && d.Reason == owner.ReasonEndpoint:
			r.attempts++
			m.place(r)
		case d.Kind == owner.Refused:
			r.refused = m.now
		}
	}
}

func (m *sim) send(r *request, endpoint int) {
	r.endpoint = endpoint
	m.engines[endpoint].send(r)
}

func (m *sim) grantingEndpoint(r *request) *owner.Endpoint {
	if r.grant == 0 {
		return nil
	}
	return m.registry(r, r.endpoint).Endpoint(endpointName(r.endpoint))
}

func (m *sim) first(r *request) {
	if e := m.grantingEndpoint(r); e != nil {
		m.apply(e.FirstToken(m.time(), r.grant, int64(r.cached), m.now-r.sent))
	}
}

func (m *sim) done(r *request) {
	if e := m.grantingEndpoint(r); e != nil {
		m.apply(e.End(m.time(), owner.End{GrantID: r.grant, Outcome: owner.Done, CachedTokens: int64(r.cached)}))
	}
}

// herdRestart replaces the state of all instances. Requests that have not been sent are placed
// again by the new instances at once.
func (m *sim) herdRestart() {
	m.restart()
	for _, r := range m.requests {
		if r.at <= m.now && r.endpoint < 0 && r.refused == 0 {
			r.attempts++
			m.place(r)
		}
	}
}

// pause stops an endpoint for a time. The endpoint is suspected after a second and expelled after
// the deferral. After three seconds without messages, whether it is expelled or not, entry
// instances resend the requests that have no first token.
func (m *sim) pause(endpoint int, length, deferral time.Duration) {
	const suspectAfter, entryTimeout = time.Second, 3 * time.Second
	e, name := m.engines[endpoint], endpointName(endpoint)
	o := m.registries[m.ownerOf[endpoint]].Endpoint(name)
	e.paused = true
	status := func(s fleetpb.EndpointStatus) func() {
		return func() {
			if e.paused || s == fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE {
				m.apply(o.Status(m.time(), s, 1).Decisions)
			}
		}
	}
	m.after(suspectAfter, status(fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT))
	m.after(suspectAfter+deferral, status(fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED))
	m.after(entryTimeout, func() {
		if e.paused {
			m.resend(e)
		}
	})
	m.after(length, func() {
		e.paused = false
		e.step()
		status(fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE)()
	})
}

// resend removes the requests without a first token from a paused engine and places them again.
func (m *sim) resend(e *engine) {
	var list []*request
	for _, j := range e.prefill {
		list = append(list, j.r)
		e.used--
	}
	list = append(list, e.queue...)
	e.prefill, e.queue = nil, nil
	for _, r := range list {
		if o := m.grantingEndpoint(r); o != nil {
			m.apply(o.End(m.time(), owner.End{GrantID: r.grant, Outcome: owner.Failed}))
		}
		r.attempts++
		r.endpoint, r.grant = -1, 0
		m.place(r)
	}
}
