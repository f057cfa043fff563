package directory

import (
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/rendezvous"
)

const (
	// readStagger is the delay between the reads of consecutive instances in the read
	// order. The message that announces a read reaches the others within 10 ms, or somewhat
	// later under load.
	readStagger = 60 * time.Millisecond
	// standaloneSlots is the number of slots over which instances that know of no reading
	// scheduler spread their own reads, over about one second.
	standaloneSlots = 16
	// probers is how many instances probe an unreachable store in turn: with this many, the
	// fleet probes about once per read interval. Several are needed because one instance's
	// own path to the store may be cut for longer.
	probers = 6
	// backupProbeTurns is the number of read intervals after which each further instance
	// probes too: the store may serve only a few instances again, and not the first in the
	// order.
	backupProbeTurns = 30
)

// FleetView is an instance's view of the instances that read and watch the store for the
// fleet.
type FleetView struct {
	// Self is this instance's name; Scheduler reports whether it is a scheduler.
	Self      string
	Scheduler bool
	// Schedulers are the live schedulers, and Reaching those of them that reach the store.
	// Both include this instance if it is a scheduler.
	Schedulers, Reaching []string
	// Reaches reports whether this instance reaches the store.
	Reaches bool
	// Position is this instance's position in an order of all instances.
	Position int
}

// Rank returns the number of schedulers ordered before this instance for the given name.
// The order is by a hash that all instances agree on, with schedulers that reach the store
// first.
func (v FleetView) Rank(name string) int {
	if v.Reaches {
		return rendezvous.Rank(name, v.Self, v.Reaching)
	}
	reaching := len(v.Reaching)
	if slices.Contains(v.Reaching, v.Self) {
		reaching--
	}
	return reaching + rendezvous.Rank(name, v.Self, v.Schedulers)
}

// ReadPosition returns this instance's position among those that read a kind: schedulers
// that reach the store come first, then all others. An instance that reaches the store but
// knows of no scheduler that does reads on its own.
//
// All watches may stop delivering events at once, for example when a middlebox between the
// fleet and the store drops its connection state. With independent timers, the reads of
// instances that started together would coincide, and a change could stay unnoticed for as
// many seconds as there are instances.
func (v FleetView) ReadPosition(kind string) int {
	switch {
	case v.Scheduler:
		return v.Rank(kind)
	case v.Reaches && len(v.Reaching) == 0:
		return v.Position % standaloneSlots
	}
	return len(v.Schedulers) + v.Position
}

// probeDelay returns how long after its last failed call an instance calls the store again
// to find out whether it is back; interval is the fleet's read interval.
//
// While the store answers no instance, each call still costs money. If all instances probed
// at the same moments, the store's return could go unnoticed for seconds, and removals
// would be mistaken for expiries meanwhile. So the first few instances take turns.
func probeDelay(position, failures int, interval time.Duration) time.Duration {
	turns := probers
	if position >= probers {
		turns = backupProbeTurns
	}
	switch failures {
	case 0:
		// The store is back: all instances try again, one after another.
		return time.Duration(position) * readStagger
	case 1:
		return time.Duration(1+position%turns) * interval
	}
	return time.Duration(turns) * interval
}
