package hosted

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/directory"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/rendezvous"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// applyRecords applies newer records. Unusable records leave the previous ones in force.
func (i *Instance) applyRecords(changes []directory.Change) {
	for _, c := range changes {
		if c.Name == platform.RecordsName && !c.Deleted {
			i.setRecords(c.Object)
		}
	}
}

var cacheGroupChanges = metrics.GetOrCreateCounter("sardinedock_cache_group_changes_total")

func (i *Instance) setRecords(obj objectapi.Object) {
	t, err := platform.Records(obj)
	if err != nil {
		log.WithError(err).WithField("revision", uint64(obj.Version)).Error("records refused; those before stay in force")
		return
	}
	old := i.table.Load()
	if old != nil && old.Version() >= t.Version() {
		return
	}
	if group := t.CacheGroup(nil); old != nil && old.CacheGroup(nil) != group {
		cacheGroupChanges.Inc()
		log.WithField("records", t.Version()).WithField("group", group).WithField("before", old.CacheGroup(nil)).
			Info("isolated organisations changed; the others' cached prompt parts are out of use")
	}
	pools := map[string]balance.Pool{}
	t.Services(func(s *route.Service) {
		if s.Engine != nil {
			pools[s.Name] = balance.Pool{CacheTokens: s.Engine.CacheTokens}
		}
	})
	i.state.SetPools(pools)
	i.state.SetCacheStores(cacheStores(t))
	i.setQuotas(t)
	i.table.Store(t)
	log.WithField("records", t.Version()).WithField("revision", uint64(obj.Version)).WithField("routes", t.Routes()).Info("records in force")
}

func cacheStores(t *route.Table) []balance.CacheStore {
	var list []balance.CacheStore
	for _, s := range t.CacheStores() {
		list = append(list, balance.CacheStore{Address: s.Store.Address, DataCentre: s.Store.DataCentre, CacheTokens: s.Store.CacheTokens})
	}
	return list
}

// applyWeights passes the versions that operators want to the rollout.
func (i *Instance) applyWeights(changes []directory.Change) {
	for _, c := range changes {
		if c.Deleted {
			continue
		}
		w, err := platform.Weights(c.Object)
		if err != nil {
			log.WithError(err).Error("weights can't be decoded")
			continue
		}
		i.state.SetWanted(time.Now(), w.Model, w.Version)
		i.rollout.SetWanted(w)
	}
}

// pools returns the models of each service that has any.
func (i *Instance) pools() map[string][]string {
	t := i.table.Load()
	pools := map[string][]string{}
	if t == nil {
		return pools
	}
	t.Services(func(s *route.Service) {
		if s.Engine != nil {
			pools[s.Name] = s.Engine.Models
		}
	})
	return pools
}

// broadcastLoadExpected records and broadcasts, for the time d, that an endpoint is one of the next
// to load new weights.
func (i *Instance) broadcastLoadExpected(endpointID string, d time.Duration) {
	i.state.LoadingSoon(endpointID, time.Now().Add(d))
	i.node.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, SoonMs: d.Milliseconds()})
}

func (i *Instance) broadcastLoading(endpointID string, d time.Duration) {
	i.state.Loading(endpointID, time.Now().Add(d))
	i.node.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, LoadingMs: d.Milliseconds()})
}

func (i *Instance) broadcastLoaded(endpointID, model string, version int64) {
	i.state.SetLoaded(endpointID, model, version)
	i.node.BroadcastNotice(&gossippb.Notice{Endpoint: endpointID, Model: model, Version: version})
}

// broadcastEntry sends the others a change that this instance's watch reported.
func (i *Instance) broadcastEntry(obj objectapi.Object, before uint64, steady bool) {
	i.node.BroadcastEntry(&gossippb.Entry{
		Kind: obj.Kind, Name: obj.Name, Revision: uint64(obj.Version), Deleted: obj.Deleted, Value: obj.Value, Before: before, Steady: steady,
	})
}

// receiver handles the messages of other instances.
type receiver struct{ *Instance }

// Started implements gossip.Handler.
func (h receiver) Started(m *gossippb.RunStart) {
	st := balance.Start{
		Run: balance.RunID(m.GetRun()), Endpoint: m.GetEndpoint(), Model: m.GetModel(), Version: m.GetVersion(), Rank: int(m.GetRank()),
		Tokens: m.GetTokens(), Uncached: m.GetUncached(), Output: m.GetOutput(), SaveTo: m.GetSaveTo(), Again: m.GetAgain(),
	}
	for _, k := range m.GetKeys() {
		st.Keys = append(st.Keys, prefix.PartKey(k))
	}
	if len(st.Keys) == len(st.Tokens) {
		h.state.Started(time.Now(), st)
	}
}

// Stage implements gossip.Handler.
func (h receiver) Stage(m *gossippb.RunStage) {
	if m.GetVersion() > 0 {
		h.state.Misdirected(balance.RunID(m.GetRun()), m.GetVersion())
	}
	if pace := m.GetPacePercent(); pace > 0 {
		h.state.SetPace(time.Now(), balance.RunID(m.GetRun()), float64(pace)/100)
	}
	h.state.SetStage(time.Now(), balance.RunID(m.GetRun()), balance.Stage(m.GetStage()))
	h.origins.Began(origin.Key(m.GetStream()), m.GetRelease(), time.Duration(m.GetStreamMs())*time.Millisecond)
	if m.GetNotRun() {
		h.placer.NotRun(balance.RunID(m.GetRun()))
	}
}

// vouchedFor is how long after bytes from an endpoint another instance that does not reach it is not
// believed: the fault is on the way between these two.
const vouchedFor = 250 * time.Millisecond

// Notice implements gossip.Handler.
func (h receiver) Notice(from string, n *gossippb.Notice) {
	now := time.Now()
	if n.GetAvoidMs() > 0 && (n.GetTrial() != nil || !h.paths.ReceivedWithin(now, n.GetEndpoint(), vouchedFor)) {
		h.state.Suspect(n.GetEndpoint(), now.Add(time.Duration(n.GetAvoidMs())*time.Millisecond))
	}
	if n.GetLoadingMs() > 0 {
		h.state.Loading(n.GetEndpoint(), now.Add(time.Duration(n.GetLoadingMs())*time.Millisecond))
	}
	if n.GetSoonMs() > 0 {
		h.state.LoadingSoon(n.GetEndpoint(), now.Add(time.Duration(n.GetSoonMs())*time.Millisecond))
	}
	if n.GetModel() != "" {
		h.state.SetLoaded(n.GetEndpoint(), n.GetModel(), n.GetVersion())
	}
	if n.GetLeaving() && n.GetDeparture() == nil {
		h.state.MarkReplaced(n.GetEndpoint())
	}
	h.statements.applyNotice(from, n)
	for _, crash := range h.guard.ApplyNotice(now, from, n) {
		if h.checksCrashes(crash.Endpoint, from) {
			h.server.CheckReportedCrash(crash)
		}
	}
}

// crashCheckers is the number of instances that check a crash which another one has reported: some of them
// may be partitioned from the endpoint too.
const crashCheckers = 3

// checksCrashes reports whether this instance checks a crash of an endpoint that another one has reported.
func (i *Instance) checksCrashes(endpointID, reporter string) bool {
	schedulers := slices.DeleteFunc(i.node.Schedulers(), func(name string) bool { return name == reporter })
	return rendezvous.IsAmongFirst(crashCheckers, endpointID, i.settings.GetInstance(), schedulers)
}

// Entry implements gossip.Handler.
func (h receiver) Entry(e *gossippb.Entry) {
	f, ok := h.followers[e.GetKind()]
	if !ok {
		return
	}
	f.ApplyPeerChange(objectapi.Object{
		Kind: e.GetKind(), Name: e.GetName(), Version: objectapi.Version(e.GetRevision()), Deleted: e.GetDeleted(), Value: e.GetValue(),
	}, e.GetBefore(), e.GetSteady())
}

// Revision implements gossip.Handler.
func (h receiver) Revision(kind string, revision uint64, readAt time.Time) {
	if f, ok := h.followers[kind]; ok {
		f.Hint(revision)
		f.RecordPeerRead(readAt)
	}
}
