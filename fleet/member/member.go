// Package member maintains the list of the fleet's instances and their status in
// the manner of SWIM: alive, suspected of having failed, dead, leaving or left. It
// has no timers, does no I/O and reads no clock. A Table is not safe for
// concurrent use.
package member

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Member is one instance as last known to this one.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Status     fleetpb.MemberStatus
	// Incarnation is higher after each restart of the instance.
	Incarnation uint64
	// RecordsVersion is the highest store version of the records that the
	// instance has in force.
	RecordsVersion uint64
	// Callers is the address at which the instance serves callers.
	Callers string
	// StoreReachable is whether the instance can reach the object API.
	StoreReachable bool
}

// Owns reports whether the member may own endpoints. A suspected member keeps
// its endpoints: most recover before they would be declared dead, and moving the
// endpoints away and back would lose what is known of the endpoints' caches.
func (m Member) Owns() bool {
	return m.Status == fleetpb.MemberStatus_MEMBER_STATUS_ALIVE || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT
}

// live reports whether messages are sent to the member as a matter of course.
func (m Member) live() bool {
	return m.Owns() || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEAVING
}

// View is an immutable snapshot of the members, sorted by name. It is safe for
// concurrent use.
type View struct {
	Self    string
	Members []Member
	// Owners are the names of the members that may own endpoints, sorted.
	Owners []string
}

// Find returns the member with the name.
func (v *View) Find(name string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if i < len(v.Members) && v.Members[i].Name == name {
		return v.Members[i], true
	}
	return Member{}, false
}

// Versions of a member's item are grouped into rounds of four. The member begins
// a round with each update of its own state, at rank 0. Within the round peers may
// replace the item by SUSPECT and then by DEAD, which the member refutes by a new
// round. The member's final state, LEFT, has the highest rank of its round.
const (
	roundSize   = 4
	rankSuspect = 1
	rankDead    = 2
	rankLeft    = 3
)

func round(version uint64) uint64 { return version / roundSize }

// Timeouts are the time limits of failure detection.
type Timeouts struct {
	// Expel is how long a member may be suspected before it is declared dead.
	Expel time.Duration
	// Forget is how long dead and left members are kept in the table. Dead ones
	// are still called now and then, so that a partition of up to that length
	// heals without intervention.
	Forget time.Duration
}

// DefaultTimeouts give a paused instance time to recover: pauses of a second or two
// are common on busy machines, and declaring an instance dead moves the ownership
// of its endpoints.
var DefaultTimeouts = Timeouts{Expel: 6 * time.Second, Forget: time.Hour}

func itemKey(name string) exchange.Key {
	return exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_MEMBER, Name: name}
}

func decode(it exchange.Item) (Member, bool) {
	var s fleetpb.MemberState
	if proto.Unmarshal(it.Value, &s) != nil {
		return Member{}, false
	}
	return Member{
		Name: it.Key.Name, Address: s.GetAddress(), DataCentre: s.GetDataCentre(), Region: s.GetRegion(),
		Status: s.GetStatus(), Incarnation: it.Epoch, RecordsVersion: s.GetRecordsVersion(), Callers: s.GetCallers(),
		StoreReachable: s.GetStoreReachable(),
	}, true
}

func encode(m Member, version uint64, ttl time.Duration) exchange.Item {
	s := &fleetpb.MemberState{
		Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
		Status: m.Status, RecordsVersion: m.RecordsVersion, Callers: m.Callers,
		StoreReachable: m.StoreReachable,
	}
	value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return exchange.Item{Key: itemKey(m.Name), Epoch: m.Incarnation, Version: version, Value: value, TTL: ttl}
}

// Minor reports whether a change of a member's item concerns status reports only:
// nothing but RecordsVersion differs.
func Minor(old, changed exchange.Item) bool {
	if old.Key.Kind != fleetpb.ItemKind_ITEM_KIND_MEMBER || old.Epoch != changed.Epoch {
		return false
	}
	a, okA := decode(old)
	b, okB := decode(changed)
	a.RecordsVersion, b.RecordsVersion = 0, 0
	return okA && okB && a == b
}
