package hosted

import (
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/cachefeed"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/rendezvous"
	"github.com/sardinedock/sardinedock/route"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// ownedHolders returns the endpoints and cache stores whose cache events this instance follows:
// those for which it ranks first among the schedulers by rendezvous hashing. Only schedulers need
// to know what is cached where.
func (i *Instance) ownedHolders() []cachefeed.Holder {
	t := i.table.Load()
	if t == nil || i.leaving.Load() || !i.settled.Load() || !i.node.IsScheduler() {
		return nil
	}
	now := time.Now()
	names := i.node.Schedulers()
	var owned []cachefeed.Holder
	t.Services(func(s *route.Service) {
		if s.Store != nil && i.owns(s.Store.Address, names) {
			owned = append(owned, cachefeed.Holder{Address: s.Store.Address})
		}
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			return
		}
		for _, e := range i.state.Endpoints(s.Name, now) {
			if i.owns(e.ID, names) {
				owned = append(owned, cachefeed.Holder{ID: e.ID, Name: e.Name, Born: e.Born, Address: e.Address, Model: s.Engine.Models[0]})
			}
		}
	})
	return owned
}

// owns reports whether this instance follows the cache events of a holder.
func (i *Instance) owns(holder string, names []string) bool {
	return rendezvous.First(holder, names) == i.settings.GetInstance()
}

func (i *Instance) reportCache(n balance.CacheNews) {
	m := &gossippb.CacheNews{Holder: n.Holder, Model: n.Model, Whole: n.Whole}
	for _, p := range n.Added {
		m.Added = append(m.Added, uint64(p.Key))
		m.Tokens = append(m.Tokens, p.Tokens)
	}
	for _, k := range n.Removed {
		m.Removed = append(m.Removed, uint64(k))
	}
	i.node.ReportCache(m)
}

// Cache implements gossip.Handler.
func (h receiver) Cache(m *gossippb.CacheNews) {
	if len(m.GetAdded()) != len(m.GetTokens()) {
		return
	}
	n := balance.CacheNews{Holder: m.GetHolder(), Model: m.GetModel(), Whole: m.GetWhole()}
	for k, key := range m.GetAdded() {
		n.Added = append(n.Added, balance.CachedPart{Key: prefix.PartKey(key), Tokens: m.GetTokens()[k]})
	}
	for _, key := range m.GetRemoved() {
		n.Removed = append(n.Removed, prefix.PartKey(key))
	}
	h.state.UpdateCache(n)
}

// SchedulerStarted implements gossip.Handler.
func (h receiver) SchedulerStarted(string) {
	h.feed.Resync()
	h.repeatStatements()
}
