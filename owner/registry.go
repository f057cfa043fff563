package owner

import (
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// callerLease is how long an instance may be unresponsive before its grants and queued asks
// are dropped. A killed instance cannot release what it was granted; without the lease its
// slots would be lost until the requests time out.
const callerLease = 10 * time.Second

// Registry is the set of endpoints that an instance owns.
type Registry struct {
	endpoints map[string]*Endpoint
	lastSeen  map[string]time.Time
	costs     policy.CostModel
	// levels are the shared prefix lengths seen on all endpoints. Requests with the same
	// prefix go to few endpoints, so their owners detect where shared prefixes end long
	// before any of the many instances that place such requests.
	levels *prefix.Levels
}

// NewRegistry returns a Registry without endpoints. The costs decide between endpoints if
// an ask names several.
func NewRegistry(costs policy.CostModel) *Registry {
	return &Registry{endpoints: map[string]*Endpoint{}, lastSeen: map[string]time.Time{}, costs: costs, levels: prefix.NewLevels(prefix.DefaultLevelSets)}
}

// Add adds an endpoint. If the endpoint exists, it keeps its state and gets the new
// configuration.
func (r *Registry) Add(cfg Config) *Endpoint {
	e, ok := r.endpoints[cfg.Name]
	if !ok {
		e = New(cfg)
		e.levels = r.levels
		r.endpoints[cfg.Name] = e
		return e
	}
	e.reconfigure(cfg)
	return e
}

// Remove removes an endpoint and refuses the asks queued for it.
func (r *Registry) Remove(name string) []Decision {
	e, ok := r.endpoints[name]
	if !ok {
		return nil
	}
	delete(r.endpoints, name)
	e.status = fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING
	return e.refuseQueued()
}

// Endpoint returns the named endpoint, or nil if it is not in the registry.
func (r *Registry) Endpoint(name string) *Endpoint { return r.endpoints[name] }

// Names returns the names of the endpoints, sorted.
func (r *Registry) Names() []string {
	names := make([]string, 0, len(r.endpoints))
	for name := range r.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Ask answers an ask for one of the named endpoints. Probe returns the offers of all of
// them; Take asks the best one for a slot.
func (r *Registry) Ask(now time.Time, a Ask, names []string) Decision {
	r.RenewLease(now, a.Caller)
	offers := r.offers(now, a, names)
	if len(offers) == 0 {
		return refuse(a, r.noOfferReason(names), 0)
	}
	if a.Mode == Probe {
		return Decision{Kind: Offered, Caller: a.Caller, RequestID: a.RequestID, Offers: offers}
	}
	best := r.findExisting(a, names)
	if best == nil {
		costs := r.costs
		costs.Urgent = a.Urgent
		choice := policy.Choose(a.PromptTokens, 0, offers, costs)
		best = r.endpoints[offers[choice.Index].Endpoint]
	}
	d := best.Ask(now, a)
	if d.Kind == Offered {
		d.Offers = offers
	}
	return d
}

// findExisting returns the named endpoint at which the ask is already granted or queued, or
// nil.
func (r *Registry) findExisting(a Ask, names []string) *Endpoint {
	for _, name := range names {
		e := r.endpoints[name]
		if e == nil {
			continue
		}
		_, granted := e.granted[a.key()]
		_, queued := e.queued[a.key()]
		if granted || queued {
			return e
		}
	}
	return nil
}

func (r *Registry) offers(now time.Time, a Ask, names []string) []policy.Offer {
	offers := make([]policy.Offer, 0, len(names))
	for _, name := range names {
		if e := r.endpoints[name]; e != nil && e.live() {
			offers = append(offers, e.offer(now, a, e.estimateCache(now, a)))
		}
	}
	return offers
}

func (r *Registry) noOfferReason(names []string) Reason {
	for _, name := range names {
		if r.endpoints[name] != nil {
			return ReasonEndpoint
		}
	}
	return ReasonNotOwned
}

// Idle reports whether no endpoint has granted or queued requests.
func (r *Registry) Idle() bool {
	for _, e := range r.endpoints {
		if len(e.grants)+len(e.queued) > 0 {
			return false
		}
	}
	return true
}

// RenewLease renews the lease of an instance. It is called when a message from the instance
// arrives or while the instance is a live member.
func (r *Registry) RenewLease(now time.Time, caller string) { r.lastSeen[caller] = now }

// CallerLost drops the grants and queued asks of an instance that has failed or left.
func (r *Registry) CallerLost(now time.Time, caller string) []Decision {
	delete(r.lastSeen, caller)
	var decisions []Decision
	for _, name := range r.Names() {
		decisions = append(decisions, r.endpoints[name].CallerLost(now, caller)...)
	}
	return decisions
}

// Tick expires leases, grants and deadlines. It must be called every TickInterval.
func (r *Registry) Tick(now time.Time) []Decision {
	var decisions []Decision
	for _, caller := range r.expired(now) {
		decisions = append(decisions, r.CallerLost(now, caller)...)
	}
	for _, name := range r.Names() {
		decisions = append(decisions, r.endpoints[name].Tick(now)...)
	}
	return decisions
}

func (r *Registry) expired(now time.Time) []string {
	var expired []string
	for caller, seen := range r.lastSeen {
		if now.Sub(seen) > callerLease {
			expired = append(expired, caller)
		}
	}
	slices.Sort(expired)
	return expired
}
