package directory

import (
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/rendezvous"
)

const (
	// turnStagger is how much later the next instance in order reads a kind: the message
	// that tells of a read reaches the others within 10 ms, and some more where they are
	// busy.
	turnStagger = 60 * time.Millisecond
	// aloneTurns spreads the reads of instances that nobody reads for over a second.
	aloneTurns = 16
	// probers is how many instances look for the store's return after failed calls, in turn:
	// with as many, the fleet does so once in the time between two reads. Several, since the
	// path of one may be cut for longer.
	probers = 6
	// spareTurns is after how many times that time each further instance looks too: the
	// store may serve a few again, and not those that are first in order.
	spareTurns = 30
)

// Standing is what an instance knows of those that read and watch the store for all.
type Standing struct {
	// Self is this instance's name, Scheduler says that it is a scheduler.
	Self      string
	Scheduler bool
	// Schedulers are the live ones, Reaching those of them that reach the store; where this
	// instance is a scheduler, it is among both.
	Schedulers, Reaching []string
	// Reaches says whether this instance reaches the store.
	Reaches bool
	// Position of this instance in an order of all.
	Position int
}

// Rank is how many schedulers come before this instance, in an order by hash that all
// instances agree on: those that reach the store before those that do not.
func (s Standing) Rank(what string) int {
	if s.Reaches {
		return rendezvous.Rank(what, s.Self, s.Reaching)
	}
	reaching := len(s.Reaching)
	if slices.Contains(s.Reaching, s.Self) {
		reaching--
	}
	return reaching + rendezvous.Rank(what, s.Self, s.Schedulers)
}

// Place is this instance's place among those that read a kind in turn: schedulers that
// reach the store first, then all others. One that knows of no scheduler that does reads by
// itself.
//
// Load: all watches go deaf at once, such as when what stands between the fleet and the
// store has forgotten its connections. Harm prevented: with a timer of its own at each
// instance, the turns of a fleet that has started together fall together, and a change
// stays unseen for as many seconds as there are instances.
func (s Standing) Place(kind string) int {
	switch {
	case s.Scheduler:
		return s.Rank(kind)
	case s.Reaches && len(s.Reaching) == 0:
		return s.Position % aloneTurns
	}
	return len(s.Schedulers) + s.Position
}

// probePause is how long after its last failed call an instance calls the store again, to
// find out whether it has returned; every is the time between two reads by the fleet.
//
// Load: the store answers nobody, and each call is paid for. Harm prevented: with the
// calls of all instances in step, nobody notices for seconds that the store is back, and
// removals are taken for lapses meanwhile. The first few take turns.
func probePause(place, failures int, every time.Duration) time.Duration {
	turns := probers
	if place >= probers {
		turns = spareTurns
	}
	switch failures {
	case 0:
		// The store is back: all look again, one after the other.
		return time.Duration(place) * turnStagger
	case 1:
		return time.Duration(1+place%turns) * every
	}
	return time.Duration(turns) * every
}
