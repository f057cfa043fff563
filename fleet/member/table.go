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
	membersSuspected   = metrics.GetOrCreateCounter("sardinedock_fleet_members_suspected_total")
	membersExpelled    = metrics.GetOrCreateCounter("sardinedock_fleet_members_expelled_total")
	suspicionsRefuted  = metrics.GetOrCreateCounter("sardinedock_fleet_suspicions_refuted_total")
	incarnationsRaised = metrics.GetOrCreateCounter("sardinedock_fleet_incarnations_raised_total")
	itemsUnreadable    = metrics.GetOrCreateCounter("sardinedock_fleet_member_items_unreadable_total")
)

// Table is the list of members. The caller publishes the items that its methods
// return.
type Table struct {
	self     Member
	version  uint64
	timeouts Timeouts
	random   *rand.Rand

	members map[string]*state
	// seeds and listed are the addresses from the settings and from the
	// platform's list. They are called now and then while no live member has
	// them.
	seeds  []string
	listed []string

	partners partners
	dirty    bool
}

// state is a member with the table's bookkeeping.
type state struct {
	Member
	version      uint64
	suspectSince time.Time
	position     uint64 // on the ring of hashed names
}

// New returns a table with only the instance itself. The incarnation of self
// should be higher than that of its last start; if a peer remembers a higher one,
// Apply raises it.
func New(self Member, seeds []string, timeouts Timeouts, random *rand.Rand) *Table {
	self.Status = fleetpb.MemberStatus_MEMBER_STATUS_ALIVE
	return &Table{
		self: self, version: roundSize, timeouts: timeouts, random: random,
		members: map[string]*state{}, seeds: seeds,
	}
}

// Self returns the instance's own state.
func (t *Table) Self() Member { return t.self }

// SelfItem returns the instance's own item.
func (t *Table) SelfItem() exchange.Item {
	ttl := time.Duration(0)
	if t.self.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
		ttl = t.timeouts.Forget
	}
	return encode(t.self, t.version, ttl)
}

// TakeDirty reports whether the view has changed since the last call.
func (t *Table) TakeDirty() bool {
	was := t.dirty
	t.dirty = false
	return was
}

// Update applies fn to the instance's own state and begins a new round.
func (t *Table) Update(fn func(*Member)) exchange.Item {
	t.dirty = true
	fn(&t.self)
	t.version = (round(t.version) + 1) * roundSize
	return t.SelfItem()
}

// Leave sets the instance's status to LEAVING: it accepts no more ownership and
// will shut down.
func (t *Table) Leave() exchange.Item {
	return t.Update(func(m *Member) { m.Status = fleetpb.MemberStatus_MEMBER_STATUS_LEAVING })
}

// FinishLeave sets the instance's status to LEFT, its final state.
func (t *Table) FinishLeave() exchange.Item {
	t.Update(func(m *Member) { m.Status = fleetpb.MemberStatus_MEMBER_STATUS_LEFT })
	t.version += rankLeft
	return t.SelfItem()
}

// SetListed replaces the addresses of the platform's list.
func (t *Table) SetListed(addresses []string) { t.listed = addresses }

// Apply updates the table from a member's item that was new to the exchange. It
// returns the items to publish: a refutation, if the item is about this instance
// and wrong.
func (t *Table) Apply(it exchange.Item, now time.Time) []exchange.Item {
	m, ok := decode(it)
	if !ok {
		itemsUnreadable.Inc()
		return nil
	}
	if m.Name == t.self.Name {
		return t.applySelf(it)
	}
	s := t.members[m.Name]
	if s == nil {
		s = &state{position: ringPosition(m.Name)}
		t.members[m.Name] = s
	}
	if m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT && s.Status != m.Status {
		s.suspectSince = now
	}
	s.Member, s.version = m, it.Version
	t.dirty = true
	return nil
}

// applySelf refutes an item about the instance itself that is newer than its own.
// A higher incarnation comes from an earlier start, when the clock was ahead;
// without a refutation peers would keep the state of the earlier process for ever.
func (t *Table) applySelf(it exchange.Item) []exchange.Item {
	if it.Epoch > t.self.Incarnation {
		incarnationsRaised.Inc()
		t.self.Incarnation = it.Epoch + 1
		t.dirty = true
		return []exchange.Item{t.SelfItem()}
	}
	if it.Epoch < t.self.Incarnation || it.Version <= t.version {
		return nil
	}
	suspicionsRefuted.Inc()
	t.version = (round(it.Version) + 1) * roundSize
	if t.self.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT {
		t.version += rankLeft
	}
	return []exchange.Item{t.SelfItem()}
}

// Suspect returns the items that mark a member as suspected, as neither this
// instance nor the peers that it asked can reach it. Peers still send messages to
// a suspected member, so that it learns of the suspicion and refutes it by a new
// round if it runs. A leaving member that is unreachable is declared dead at once:
// it has shut down before it could publish that it left.
func (t *Table) Suspect(name string) []exchange.Item {
	s := t.members[name]
	if s == nil {
		return nil
	}
	m := s.Member
	switch s.Status {
	case fleetpb.MemberStatus_MEMBER_STATUS_ALIVE:
		membersSuspected.Inc()
		m.Status = fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT
		return []exchange.Item{encode(m, round(s.version)*roundSize+rankSuspect, 0)}
	case fleetpb.MemberStatus_MEMBER_STATUS_LEAVING:
		return []exchange.Item{t.markDead(s)}
	}
	return nil
}

func (t *Table) markDead(s *state) exchange.Item {
	membersExpelled.Inc()
	m := s.Member
	m.Status = fleetpb.MemberStatus_MEMBER_STATUS_DEAD
	return encode(m, round(s.version)*roundSize+rankDead, t.timeouts.Forget)
}

// Tick returns the items that declare dead the members suspected for too long.
func (t *Table) Tick(now time.Time) []exchange.Item {
	var items []exchange.Item
	for _, s := range t.members {
		if s.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT && now.Sub(s.suspectSince) >= t.timeouts.Expel {
			items = append(items, t.markDead(s))
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key.Name < items[j].Key.Name })
	return items
}

// Forget removes a member whose item has expired.
func (t *Table) Forget(name string) {
	delete(t.members, name)
	t.dirty = true
}

// Names returns the sorted names of all members, dead ones included, except the
// instance itself.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.members))
	for name := range t.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Len returns the number of members, dead ones included, except the instance
// itself.
func (t *Table) Len() int { return len(t.members) }

// View returns a snapshot of the current members.
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

// Find returns another member by its name.
func (t *Table) Find(name string) (Member, bool) {
	s := t.members[name]
	if s == nil {
		return Member{}, false
	}
	return s.Member, true
}
