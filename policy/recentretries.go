package policy

import (
	"math"
	"time"
)

const (
	// retrySlots is the number of slots that a window is divided into. It is even, since windows are compared with others that
	// begin half a window earlier.
	retrySlots = 50
	// keptSlots are those of two windows: the one before the earliest that still matters counts too.
	keptSlots = 2*retrySlots + 2
)

// recentRetries counts requests and retries in slots.
type recentRetries struct {
	// current is the number of the current slot; 0 before the first call of advance.
	current int64
	slots   [keptSlots]retrySlot
}

type retrySlot struct{ requests, retries int }

// slotOf returns the number of the slot at a time after the start of the process. The numbers begin with keptSlots, so that
// those of all slots that are kept are positive.
func slotOf(since, window time.Duration) int64 {
	return keptSlots + int64(max(since, 0)/slotLength(window))
}

func slotLength(window time.Duration) time.Duration {
	return max(window/retrySlots, 1)
}

func (r *recentRetries) slot(number int64) *retrySlot { return &r.slots[number%keptSlots] }

// now returns the current slot.
func (r *recentRetries) now() *retrySlot { return r.slot(r.current) }

// advance makes a slot the current one, and empties those that are too old to matter. An earlier slot has no effect.
func (r *recentRetries) advance(to int64) {
	if to-r.current >= keptSlots {
		*r = recentRetries{current: to}
		return
	}
	for r.current < to {
		r.current++
		*r.slot(r.current) = retrySlot{}
	}
}

// tightest returns the counts of the window that leaves least room for retries if each request earns ratio of one. Any span
// of a window's length counts: its retries, and its requests or those of the window before or of the one half a window before,
// whichever are most. Of slots that may lie in a window in part, the retries count and the requests do not.
func (r *recentRetries) tightest(ratio float64) retrySlot {
	oldest := r.current - keptSlots + 1
	// before[n] are the requests of the n oldest slots.
	var before [keptSlots + 1]int
	for n := range keptSlots {
		before[n+1] = before[n] + r.slot(oldest+int64(n)).requests
	}
	// requests returns those of a window that begins within slot n.
	requests := func(n int) int { return max(before[min(n+retrySlots, keptSlots)]-before[n+1], 0) }
	var tightest retrySlot
	least := math.Inf(1)
	retries := 0
	for n := keptSlots - 1; n >= keptSlots-1-retrySlots; n-- {
		retries += r.slot(oldest + int64(n)).retries
		most := max(requests(n), requests(n-retrySlots/2), requests(n-retrySlots))
		if room := ratio*float64(most) - float64(retries); room < least {
			least, tightest = room, retrySlot{requests: most, retries: retries}
		}
	}
	return tightest
}

// resized returns the retries in the slots of another window, each in the latest slot that it may belong to, at a time after the
// start of the process. The requests are left out, since it is not known which of the new windows they lie in.
func (r *recentRetries) resized(since, from, to time.Duration) recentRetries {
	next := recentRetries{current: slotOf(since, to)}
	for number := max(r.current-keptSlots+1, keptSlots); number <= r.current; number++ {
		end := time.Duration(number+1-keptSlots) * slotLength(from)
		if last := min(slotOf(end, to), next.current); next.current-last < keptSlots {
			next.slot(last).retries += r.slot(number).retries
		}
	}
	return next
}
