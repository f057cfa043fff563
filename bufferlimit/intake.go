package bufferlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinedock/sardinedock/fault"
)

// ErrIntakeFull ends the collection of a message: the sum of all that are being received is over the bound, and this one was chosen to
// be given up.
var ErrIntakeFull = fault.New(fault.Broken, "look at who sends large messages", "the message is among the largest of those being received, and memory for them is used up")

// ErrIntakeBusy defers the growth of a request: the memory of others that were given up for it is not released yet.
var ErrIntakeBusy = fault.New(fault.Unavailable, "try again some ms later", "memory of requests that were given up is not released yet")

// SmallMessage is the size, in bytes, up to which messages may use the part of an Intake that is reserved for them.
const SmallMessage = 64 << 10

// Intake bounds the memory of messages that are received whole before they are passed on, in sum. It is safe for concurrent use.
//
// The load pattern: some peers send messages without end, as fast as they are read, or hold many of them just short of their end, beside
// others whose messages are small and must not fail for it.
type Intake struct {
	// bound limits the sum of all messages, bound less reserve that of those over SmallMessage.
	bound, reserve int64
	// requests is set if the messages are requests. Then the one is given up, of those with at least half the size of the largest, that
	// received nothing for longest, and what it occupies counts until End. Otherwise it is the largest, and counts no more.
	requests bool

	mu sync.Mutex
	// held is the sum of all messages, large that of those over SmallMessage.
	held, large int64
	// ending and endingLarge are the same of requests that were given up and have not ended.
	ending, endingLarge int64
	open                map[*Collection]bool
	lastID              uint64
	// ended counts the collections that were ended for the bound.
	ended int64
}

// NewIntake returns an Intake for answers, which bounds the sum to the given number of bytes.
func NewIntake(bound int64) *Intake { return &Intake{bound: bound, open: map[*Collection]bool{}} }

// NewRequestIntake returns an Intake for requests, which bounds the sum to the given number of bytes. A quarter of it is reserved for
// messages of at most SmallMessage bytes.
func NewRequestIntake(bound int64) *Intake {
	const reserveShare = 4
	return &Intake{bound: bound, reserve: bound / reserveShare, requests: true, open: map[*Collection]bool{}}
}

// Collection is one message that is being received, or that was received and is still needed.
type Collection struct {
	intake *Intake
	id     uint64
	size   int64
	// ending is the size with which the collection was ended for the bound.
	ending int64
	// grownAt is the time of the last growth.
	grownAt time.Time
	// complete is set once the message was received to its end.
	complete bool
	// full is set once the collection was ended for the bound.
	full atomic.Bool
	stop func()
}

// Begin returns an empty collection. stop is called, at most once, if the collection is ended while it waits for bytes; it must
// not block.
func (i *Intake) Begin(stop func()) *Collection {
	c := &Collection{}
	i.BeginIn(c, stop)
	return c
}

// BeginIn is Begin with a collection that is new, or that has ended and is used again.
func (i *Intake) BeginIn(c *Collection, stop func()) {
	*c = Collection{intake: i, stop: stop}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	c.id = i.lastID
	i.open[c] = true
}

// Grow adds n bytes before they are allocated. While a sum is over its bound, it ends a collection that is not complete, and returns
// ErrIntakeFull if that is this one, or ErrIntakeBusy if the growth has to be tried again later.
func (c *Collection) Grow(now time.Time, n int64) error {
	i := c.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.full.Load() {
		return ErrIntakeFull
	}
	i.resize(c, n)
	c.grownAt = now
	for i.held > i.bound || i.large > i.bound-i.reserve {
		given := i.choose(c, i.held <= i.bound)
		if given == c {
			// The n bytes were not allocated.
			i.resize(c, -n)
			i.end(c)
			return ErrIntakeFull
		}
		i.end(given)
		given.stop()
	}
	if i.held+i.ending > i.bound || largeSize(c.size) > 0 && i.large+i.endingLarge > i.bound-i.reserve {
		i.resize(c, -n)
		return ErrIntakeBusy
	}
	return nil
}

// Shrink releases n bytes.
func (c *Collection) Shrink(n int64) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if !c.full.Load() {
		c.intake.resize(c, -n)
	}
}

// Complete states that the message was received to its end. It still counts until End, and is not ended for the bound any more. It
// returns ErrIntakeFull if it was ended before.
func (c *Collection) Complete() error {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.full.Load() {
		return ErrIntakeFull
	}
	c.complete = true
	return nil
}

// resize changes the size of a collection that was not ended. i.mu is held.
func (i *Intake) resize(c *Collection, n int64) {
	i.large -= largeSize(c.size)
	c.size += n
	i.large += largeSize(c.size)
	i.held += n
}

func largeSize(size int64) int64 {
	if size > SmallMessage {
		return size
	}
	return 0
}

// choose returns the collection to be ended, which is c if no other one has to be; only one over SmallMessage if largeOnly is set.
// i.mu is held.
func (i *Intake) choose(c *Collection, largeOnly bool) *Collection {
	largest := c
	for other := range i.open {
		if i.mayEnd(other) && other.size > largest.size {
			largest = other
		}
	}
	if !i.requests {
		return largest
	}
	least := largest.size / 2
	if largeOnly {
		least = max(least, SmallMessage+1)
	}
	chosen := largest
	for other := range i.open {
		if i.mayEnd(other) && other.size >= least && other.stalledBefore(chosen) {
			chosen = other
		}
	}
	return chosen
}

func (i *Intake) mayEnd(c *Collection) bool { return !c.complete && !c.full.Load() }

func (c *Collection) stalledBefore(other *Collection) bool {
	if !c.grownAt.Equal(other.grownAt) {
		return c.grownAt.Before(other.grownAt)
	}
	return c.id < other.id
}

// end ends a collection for the bound. i.mu is held.
func (i *Intake) end(c *Collection) {
	if i.requests {
		c.ending = c.size
		i.ending += c.ending
		i.endingLarge += largeSize(c.ending)
	}
	i.resize(c, -c.size)
	c.full.Store(true)
	i.ended++
}

// Full reports whether the collection was ended for the bound.
func (c *Collection) Full() bool { return c.full.Load() }

// End releases the collection's bytes.
func (c *Collection) End() {
	i := c.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.open[c] {
		return
	}
	delete(i.open, c)
	i.resize(c, -c.size)
	i.ending -= c.ending
	i.endingLarge -= largeSize(c.ending)
}

// IntakeView is the state of an Intake for the state dump.
type IntakeView struct {
	Bound int64 `json:"bound_bytes"`
	Held  int64 `json:"held_bytes"`
	// Messages is how many are held, Ended how many were ended for the bound since the start.
	Messages int   `json:"messages"`
	Ended    int64 `json:"ended"`
}

// View returns the state. It is the zero value for nil.
func (i *Intake) View() IntakeView {
	if i == nil {
		return IntakeView{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return IntakeView{Bound: i.bound, Held: i.held + i.ending, Messages: len(i.open), Ended: i.ended}
}
