// Package member keeps the list of the fleet's instances: who is alive, who is
// silent, who leaves. It holds no timers, does no I/O and reads no clock; one
// goroutine may use a Table.
package member

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// Member is one instance as seen from here.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Status     fleetpb.MemberStatus
	// Incarnation rises with every start of the instance.
	Incarnation uint64
	// RecordsVersion is the highest store version in force there.
	RecordsVersion uint64
	// Callers is the address that serves callers.
	Callers string
	// StoreReachable says that the object API answers the instance.
	StoreReachable bool
}

// Owns reports whether the member may own endpoints. A suspect keeps what it
// owns: most suspects are back within the bound, and moving their endpoints
// twice would cost what is known of their caches.
func (m Member) Owns() bool {
	return m.Status == fleetpb.MemberStatus_MEMBER_STATUS_ALIVE || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT
}

// live reports whether the member is worth a message.
func (m Member) live() bool {
	return m.Owns() || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEAVING
}

// View is the list at one moment, in order of name. It is never changed once
// built, so any goroutine may read it.
type View struct {
	Self    string
	Members []Member
	// Owners are the names of the members that may own endpoints.
	Owners []string
}

// Find returns the member of that name.
func (v *View) Find(name string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if i < len(v.Members) && v.Members[i].Name == name {
		return v.Members[i], true
	}
	return Member{}, false
}

// Versions of a member's item rise in rounds of four. The member itself opens
// a round; within it peers may say that it is silent, then that it is dead, and
// any later round of the member's own outweighs them. LEFT outweighs both and
// is the member's last word.
const (
	roundSize   = 4
	rankSuspect = 1
	rankDead    = 2
	rankLeft    = 3
)

func round(version uint64) uint64 { return version / roundSize }

// Bounds are the times of suspicion and expulsion.
type Bounds struct {
	// Expel is how long a suspect may stay silent before it counts as dead.
	Expel time.Duration
	// Forget is how long dead and left members are remembered and tried, so
	// that a partition of that length heals by itself.
	Forget time.Duration
}

// DefaultBounds let a paused instance come back: pauses of a second or two are
// common on busy machines, and expelling moves the ownership of its endpoints.
var DefaultBounds = Bounds{Expel: 6 * time.Second, Forget: time.Hour}

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

// Minor reports whether a member's change is of no concern but for status: it
// tells which records are in force there.
func Minor(old, changed exchange.Item) bool {
	if old.Key.Kind != fleetpb.ItemKind_ITEM_KIND_MEMBER || old.Epoch != changed.Epoch {
		return false
	}
	a, readable := decode(old)
	b, ok := decode(changed)
	a.RecordsVersion, b.RecordsVersion = 0, 0
	return readable && ok && a == b
}
