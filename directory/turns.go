package directory

import (
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
)

// Standing is what an instance knows of those that read and watch the store for all.
type Standing struct {
	// Self is this instance's name, Scheduler says that it is a scheduler.
	Self      string
	Scheduler bool
	// Schedulers are the live ones, Reaching those of them that reach the store; where this
	// instance is a scheduler, it is among both.
	Schedulers, Reaching []string
	// Position of this instance in an order of all.
	Position int
}

// Rank is how many of the schedulers that reach the store come before this instance, in an
// order by hash that all instances agree on.
func (s Standing) Rank(what string) int { return rendezvous.Rank(what, s.Self, s.Reaching) }

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
	case len(s.Reaching) == 0:
		return s.Position % aloneTurns
	}
	return len(s.Schedulers) + s.Position
}
