package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

var (
	suspected  = metrics.GetOrCreateCounter("sardinedock_fleet_members_suspected_total")
	expelled   = metrics.GetOrCreateCounter("sardinedock_fleet_members_expelled_total")
	refuted    = metrics.GetOrCreateCounter("sardinedock_fleet_suspicions_refuted_total")
	overtaken  = metrics.GetOrCreateCounter("sardinedock_fleet_incarnations_raised_total")
	unreadable = metrics.GetOrCreateCounter("sardinedock_fleet_member_items_unreadable_total")
)

// Table is the list of members. Items that it returns are to be put into the
// exchange.
type Table struct {
	self    Member
	version uint64
	bounds  Bounds
	random  *rand.Rand

	members map[string]*state
	// addresses that settings and the platform name, tried while no live
	// member has them.
	seeds  []string
	listed []string

	partners partners
	dirty    bool
}

// state is a member with what the table knows of it.
type state struct {
	Member
	version      uint64
	suspectSince time.Time
	place        uint64 // on the ring of names
}

// New returns a table that knows only the instance itself. The incarnation of
// self has to be higher than that of its last start where possible; peers that
// remember a higher one raise it.
func New(self Member, seeds []string, bounds Bounds, random *rand.Rand) *Table {
	self.Status = fleetpb.MemberStatus_MEMBER_STATUS_ALIVE
	return &Table{
		self: self, version: roundSize, bounds: bounds, random: random,
		members: map[string]*state{}, seeds: seeds,
	}
}

// Self returns the instance's own state.
func (t *Table) Self() Member { return t.self }

// SelfItem returns the instance's own item.
func (t *Table) SelfItem() exchange.Item {
	ttl := time.Duration(0)
	if t.self.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
		ttl = t.bounds.Forget
	}
	return encode(t.self, t.version, ttl)
}

// TakeDirty reports whether the view has changed since the last call.
func (t *Table) TakeDirty() bool {
	was := t.dirty
	t.dirty = false
	return was
}

// Update changes the instance's own state by fn and opens a new round.
func (t *Table) Update(fn func(*Member)) exchange.Item {
	t.dirty = true
	fn(&t.self)
	t.version = (round(t.version) + 1) * roundSize
	return t.SelfItem()
}

// Leave says that the instance takes no more ownership and will end.
func (t *Table) Leave() exchange.Item {
	return t.Update(func(m *Member) { m.Status = fleetpb.MemberStatus_MEMBER_STATUS_LEAVING })
}

// Left is the instance's last word.
func (t *Table) Left() exchange.Item {
	t.Update(func(m *Member) { m.Status = fleetpb.MemberStatus_MEMBER_STATUS_LEFT })
	t.version += rankLeft
	return t.SelfItem()
}

// SetListed replaces the addresses of the platform's list.
func (t *Table) SetListed(addresses []string) { t.listed = addresses }

// Apply takes a member's item that was new to the exchange. It returns items
// to publish: the refutation, where the item says something false of the
// instance itself.
func (t *Table) Apply(it exchange.Item, now time.Time) []exchange.Item {
	m, ok := decode(it)
	if !ok {
		unreadable.Inc()
		return nil
	}
	if m.Name == t.self.Name {
		return t.heardOfSelf(it)
	}
	s := t.members[m.Name]
	if s == nil {
		s = &state{place: ringPlace(m.Name)}
		t.members[m.Name] = s
	}
	if m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT && s.Status != m.Status {
		s.suspectSince = now
	}
	s.Member, s.version = m, it.Version
	t.dirty = true
	return nil
}

// heardOfSelf answers an item about the instance itself that is newer than its
// own. A higher incarnation is left from an earlier start, under a clock that
// went ahead; unanswered, peers would hold the dead one's state for ever.
func (t *Table) heardOfSelf(it exchange.Item) []exchange.Item {
	if it.Epoch > t.self.Incarnation {
		overtaken.Inc()
		t.self.Incarnation = it.Epoch + 1
		t.dirty = true
		return []exchange.Item{t.SelfItem()}
	}
	if it.Epoch < t.self.Incarnation || it.Version <= t.version {
		return nil
	}
	refuted.Inc()
	t.version = (round(it.Version) + 1) * roundSize
	if t.self.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
		t.version += rankLeft
	}
	return []exchange.Item{t.SelfItem()}
}

// Suspect marks a member that neither this instance nor the ones it asked can
// reach. The suspect hears it, as it is still sent messages, and refutes it by
// a new round. A leaving member that is silent has ended before it could say
// so.
func (t *Table) Suspect(name string) []exchange.Item {
	s := t.members[name]
	if s == nil {
		return nil
	}
	m := s.Member
	switch s.Status {
	case fleetpb.MemberStatus_MEMBER_STATUS_ALIVE:
		suspected.Inc()
		m.Status = fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT
		return []exchange.Item{encode(m, round(s.version)*roundSize+rankSuspect, 0)}
	case fleetpb.MemberStatus_MEMBER_STATUS_LEAVING:
		return []exchange.Item{t.dead(s)}
	}
	return nil
}

func (t *Table) dead(s *state) exchange.Item {
	expelled.Inc()
	m := s.Member
	m.Status = fleetpb.MemberStatus_MEMBER_STATUS_DEAD
	return encode(m, round(s.version)*roundSize+rankDead, t.bounds.Forget)
}

// Tick returns the deaths that are due.
func (t *Table) Tick(now time.Time) []exchange.Item {
	var items []exchange.Item
	for _, s := range t.members {
		if s.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT && now.Sub(s.suspectSince) >= t.bounds.Expel {
			items = append(items, t.dead(s))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key.Name < items[j].Key.Name })
	return items
}

// Forget drops a member whose item has expired.
func (t *Table) Forget(name string) {
	delete(t.members, name)
	t.dirty = true
}

// Names lists the members known, dead ones included, but for the instance
// itself.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Len is the number of members known, dead ones included, but for the instance
// itself.
func (t *Table) Len() int { return len(t.members) }

// View returns the list now.
func (t *Table) View() *View {
	v := &View{Self: t.self.Name, Members: make([]Member, 0, len(t.members)+1)}
	v.Members = append(v.Members, t.self)
	for _, s := range t.members {
		v.Members = append(v.Members, s.Member)
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Name < v.Members[j].Name })
	for _, m := range v.Members {
		if m.Owns() {
			v.Owners = append(v.Owners, m.Name)
		}
	}
	return v
}

// Find returns what is held of another member.
func (t *Table) Find(name string) (Member, bool) {
	s := t.members[name]
	if s == nil {
		return Member{}, false
	}
	return s.Member, true
}
