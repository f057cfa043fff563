package placement

import (
	"time"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// routes is an immutable snapshot of the records and members that placement reads.
type routes struct {
	view    *member.View
	records *record.Snapshot
	pools   map[string]*poolRoutes
	// owners maps endpoints to their owners.
	owners map[string]string
}

// poolRoutes is the part of routes for one pool.
type poolRoutes struct {
	record    *recordspb.EndpointPool
	ranking   *policy.Ranking
	endpoints []*recordspb.Endpoint
	// near marks the endpoints in this instance's region; all of them if there is none.
	near []bool
}

// newRoutes computes owners and rankings. It hashes each endpoint with each member, which
// takes about ten milliseconds in the largest fleet, so it is called when records or
// members change and not per request.
func newRoutes(view *member.View, records *record.Snapshot) *routes {
	r := &routes{view: view, records: records, pools: map[string]*poolRoutes{}, owners: map[string]string{}}
	if records == nil {
		return r
	}
	regions := newRegions(view)
	for _, name := range records.PoolNames() {
		pool, _ := records.Pool(name)
		r.pools[name] = newPoolRoutes(pool, regions)
		for _, e := range pool.GetEndpoints() {
			r.owners[e.GetName()] = owner.Of(e.GetName(), regions.members(e.GetDataCentre()))
		}
	}
	return r
}

func newPoolRoutes(pool *recordspb.EndpointPool, regions *regions) *poolRoutes {
	p := &poolRoutes{record: pool, endpoints: pool.GetEndpoints(), near: make([]bool, len(pool.GetEndpoints()))}
	names := make([]string, 0, len(p.endpoints))
	anyNear := false
	for i, e := range p.endpoints {
		names = append(names, e.GetName())
		p.near[i] = regions.isNear(e.GetDataCentre())
		anyNear = anyNear || p.near[i]
	}
	for i := range p.near {
		p.near[i] = p.near[i] || !anyNear
	}
	p.ranking = policy.NewRanking(names)
	return p
}

// ownerOf returns the instance that owns the endpoint.
func (r *routes) ownerOf(endpoint string) string { return r.owners[endpoint] }

// address returns the address of a member, if it is known.
func (r *routes) address(instance string) (string, bool) {
	m, ok := r.view.Find(instance)
	return m.Address, ok && m.Address != ""
}

// owned returns the configurations of the endpoints that this instance owns.
func (r *routes) owned() []owner.Config {
	var list []owner.Config
	for _, p := range r.pools {
		for _, e := range p.endpoints {
			if r.owners[e.GetName()] == r.view.Self {
				list = append(list, ownerConfig(e.GetName(), p.record))
			}
		}
	}
	return list
}

func ownerConfig(name string, pool *recordspb.EndpointPool) owner.Config {
	return owner.Config{
		Name: name, Slots: int(pool.GetSlots()), UrgentSlots: int(pool.GetUrgentSlots()),
		BlockTokens: pool.GetBlockTokens(), CacheBlocks: pool.GetCacheBlocks(),
		PrefillTokensPerSecond: pool.GetPrefillTokensPerSecond(),
	}
}

// regions groups members by region. An endpoint's owner is chosen in the endpoint's own
// region: an ask across regions would take longer than its benefit, and a region that is
// cut off keeps all its owners.
type regions struct {
	self         string
	byDataCentre map[string]string
	byRegion     map[string][]string
	all          []string
}

func newRegions(view *member.View) *regions {
	g := &regions{byDataCentre: map[string]string{}, byRegion: map[string][]string{}, all: view.Owners}
	for _, m := range view.Members {
		g.byDataCentre[m.DataCentre] = m.Region
		if m.Owns() {
			g.byRegion[m.Region] = append(g.byRegion[m.Region], m.Name)
		}
		if m.Name == view.Self {
			g.self = m.Region
		}
	}
	return g
}

// members returns the members that may own an endpoint in the data centre.
func (g *regions) members(centre string) []string {
	if region, ok := g.byDataCentre[centre]; ok && len(g.byRegion[region]) > 0 {
		return g.byRegion[region]
	}
	return g.all
}

func (g *regions) isNear(centre string) bool {
	region, ok := g.byDataCentre[centre]
	return !ok || region == g.self
}

// costs returns the cost model for the choice between a pool's endpoints.
func (p *poolRoutes) costs() policy.CostModel {
	return policy.CostModel{
		PrefillTokensPerSecond: p.record.GetPrefillTokensPerSecond(),
		Recompute:              policy.DefaultRecompute,
		ImportTokensPerSecond:  p.record.GetKvImportTokensPerSecond(),
		ImportFixed:            importFixed,
	}
}

// importFixed is the time that an import takes regardless of its size: a round trip to the
// endpoint and one from there to the KV store.
const importFixed = 10 * time.Millisecond

// classWait is the longest time that a request of the class may wait for its start.
func classWait(class *recordspb.RequestClass) time.Duration {
	return milliseconds(class.GetMaxWaitMs())
}
