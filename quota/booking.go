package quota

import (
	"slices"
	"time"
)

const (
	// bookedShare is the fraction of a bucket's rate that may be booked. The rest is left for callers without a
	// booking, since whoever is admitted at once is served sooner than whoever comes back.
	bookedShare = 0.1
	// earlyRedemption and lateRedemption are how long before and after its time a booking admits its
	// caller: callers' timers and connections take some of it.
	earlyRedemption = 50 * time.Millisecond
	lateRedemption  = 400 * time.Millisecond
	// patienceShare bounds the time of a booking to 1/patienceShare of what its caller has left.
	// Callers do not wait longer.
	patienceShare = 3
	// maxBookingDelay bounds the time until a booking is due, and with it the state of a ledger.
	maxBookingDelay = 3 * time.Second
	// minBookingDelay is above the time in which the other schedulers get to know of a booking.
	minBookingDelay = 100 * time.Millisecond
	// maxBookings bounds the bookings of one account.
	maxBookings = 4096
	// cheapShare is the cost, as a fraction of the largest recent one, up to which a request that the price refuses gets
	// a booking.
	cheapShare = 0.125
	// bookedOverdraft is how far below 0 the level may be for a caller with a booking, as a fraction of
	// the capacity: its cost was reserved, and newcomers may have overdrawn the bucket.
	bookedOverdraft = 0.5
	// ledgerSlot is the resolution of the times at which bookings are due, ledgerSlots how many of
	// them a ledger has: more than maxBookingDelay and lateRedemption.
	ledgerSlot  = 50 * time.Millisecond
	ledgerSlots = 128
)

// Booking reserves cost for a caller that was refused and given a time to come back.
type Booking struct {
	Account string
	Key     uint64
	Cost    int64
	Due     time.Time
}

// booked is a booking of a ledger. reserved is the part of the cost that the level has to cover when
// it is due: a cost above the capacity would never be covered whole.
type booked struct {
	due      time.Time
	cost     int64
	reserved float64
	// redeemed bookings are kept until they lapse, so that late messages do not restore them.
	redeemed bool
	// own is set for bookings that this instance has made.
	own bool
}

// ledger holds the bookings of one account.
type ledger struct {
	bookings map[uint64]*booked
	// slots hold the keys of bookings by the time at which they are due; first and last delimit those in use.
	slots [ledgerSlots][]uint64
	// from is when slot 0 begins.
	from        time.Time
	first, last int64
	// reserved is the sum over all bookings that are not redeemed.
	reserved float64
	// tail is when all booked cost would have been gained at bookedShare of the rate.
	tail time.Time
	// lapsed counts this instance's bookings whose callers did not come.
	lapsed int
}

func newLedger(now time.Time) *ledger {
	return &ledger{bookings: map[uint64]*booked{}, from: now.Add(-lateRedemption)}
}

// slotOf returns the number of the slot of a time. Steps of the wall clock do not change it.
func (l *ledger) slotOf(t time.Time) int64 { return max(int64(t.Sub(l.from)/ledgerSlot), 0) }

func (l *ledger) slot(n int64) *[]uint64 { return &l.slots[n%ledgerSlots] }

// expire drops the bookings that have lapsed.
func (l *ledger) expire(now time.Time) {
	until := l.slotOf(now.Add(-lateRedemption))
	for ; l.first < until && l.first <= l.last; l.first++ {
		s := l.slot(l.first)
		for _, key := range *s {
			b := l.bookings[key]
			if b == nil || l.slotOf(b.due) != l.first {
				continue
			}
			if !b.redeemed && b.own {
				l.lapsed++
			}
			l.remove(key)
		}
		*s = (*s)[:0]
	}
	l.first = max(l.first, until)
	l.last = max(l.last, l.first)
	if len(l.bookings) == 0 {
		l.reserved = 0
	}
}

// find returns the booking of a key that was neither redeemed nor has lapsed, or nil.
func (l *ledger) find(now time.Time, key uint64) *booked {
	if l == nil {
		return nil
	}
	l.expire(now)
	if b := l.bookings[key]; b != nil && !b.redeemed && now.Before(b.due.Add(lateRedemption)) {
		return b
	}
	return nil
}

// add adds or replaces a booking and advances the tail by its cost.
func (l *ledger) add(now time.Time, key uint64, b booked, rate float64) {
	l.remove(key)
	l.bookings[key] = &b
	n := l.slotOf(b.due)
	s := l.slot(n)
	*s = append(*s, key)
	l.reserved += b.reserved
	l.last = max(l.last, n)
	if l.tail.Before(now) {
		l.tail = now
	}
	l.tail = l.tail.Add(seconds(float64(b.cost) / (rate * bookedShare)))
}

func (l *ledger) remove(key uint64) {
	if b := l.bookings[key]; b != nil {
		if !b.redeemed {
			l.reserved -= b.reserved
		}
		delete(l.bookings, key)
	}
}

func (l *ledger) redeem(key uint64) bool {
	b := l.bookings[key]
	if b == nil || b.redeemed {
		return false
	}
	l.reserved -= b.reserved
	b.redeemed = true
	return true
}

// restore reverts redeem for a run that did not run.
func (l *ledger) restore(now time.Time, key uint64) {
	l.expire(now)
	if b := l.bookings[key]; b != nil && b.redeemed {
		b.redeemed = false
		l.reserved += b.reserved
	}
}

// sweepLedger drops an empty ledger, and returns how many bookings have lapsed since the last call.
func (b *bucket) sweepLedger(now time.Time) (lapsed int) {
	l := b.ledger
	if l == nil {
		return 0
	}
	l.expire(now)
	lapsed, l.lapsed = l.lapsed, 0
	if len(l.bookings) == 0 && l.tail.Before(now) {
		b.ledger = nil
	}
	return lapsed
}

// view returns the number of open bookings, what they reserve, and the time until the tail.
func (l *ledger) view(now time.Time) (open int, reserved float64, tailMs int64) {
	if l == nil {
		return 0, 0, 0
	}
	l.expire(now)
	for _, b := range l.bookings {
		if !b.redeemed {
			open++
		}
	}
	return open, l.reserved, max(l.tail.Sub(now), 0).Milliseconds()
}

// seconds converts a number of seconds, at most a day.
func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), 86_400) * float64(time.Second))
}

// book books the cost of a refused request at the earliest time that has room, if that is within a part
// of what the caller has left and within the request's latency target: later, callers that are admitted at once make better
// use of the cost.
//
// Of the requests that the price refuses, only those that cost little get a booking. Each booking takes room from
// callers that would be admitted at once, and is served later; of the cheap ones, few are refused, and they take
// little.
func (b *bucket) book(now time.Time, c Charge, priced bool) (due time.Time, ok bool) {
	rate := b.rate()
	horizon := min(c.Left/patienceShare, maxBookingDelay)
	if c.OnTime != 0 {
		horizon = min(horizon, c.OnTime/2)
	}
	if rate <= 0 || horizon < minBookingDelay || c.Cost <= 0 || priced && rankedCost(c.Cost, c.Rank) > cheapShare*b.largest {
		return due, false
	}
	l := b.ledger
	if l == nil {
		l = newLedger(now)
	}
	l.expire(now)
	start := now
	if l.tail.After(now) {
		start = l.tail
	}
	wait := start.Sub(now)
	if wait >= horizon || len(l.bookings) >= maxBookings {
		return due, false
	}
	reserved := b.reservedOf(c.Cost)
	slot := seconds(reserved / (rate * bookedShare))
	if wait == 0 && l.reserved == 0 {
		// Nobody else has booked: as soon as the level covers the cost.
		slot = 0
	}
	delay := max(wait+slot, seconds((l.reserved+reserved-b.level)/rate), minBookingDelay)
	if delay > horizon {
		return due, false
	}
	due = now.Add(delay)
	b.ledger = l
	l.add(now, c.Key, booked{due: due, cost: c.Cost, reserved: reserved, own: true}, rate)
	return due, true
}

// reservedOf returns which part of a cost a booking reserves.
func (b *bucket) reservedOf(cost int64) float64 { return min(float64(cost), b.capacity()/2) }

// ApplyBooking applies a booking of another scheduler, which is due at b.Due. It may arrive several
// times: the latest time counts, and a booking that was redeemed stays so.
func (b *Book) ApplyBooking(now time.Time, k Booking) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.buckets[k.Account]
	if a == nil || k.Key == 0 || k.Cost <= 0 || a.rate() <= 0 || k.Due.Add(lateRedemption).Before(now) || k.Due.Sub(now) > maxBookingDelay {
		return
	}
	if a.ledger == nil {
		a.ledger = newLedger(now)
	}
	l := a.ledger
	l.expire(now)
	known := l.bookings[k.Key]
	switch {
	case known != nil && (known.redeemed || !known.due.Before(k.Due)):
		return
	case known == nil && len(l.bookings) >= maxBookings:
		return
	}
	l.add(now, k.Key, booked{due: k.Due, cost: k.Cost, reserved: a.reservedOf(k.Cost)}, a.rate())
}

// OpenBookings returns the bookings that are open, at most limit of them, for a scheduler that does not know
// them yet. Those that are due first come first.
func (b *Book) OpenBookings(now time.Time, limit int) []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Booking
	for name, k := range b.buckets {
		if k.ledger == nil {
			continue
		}
		k.ledger.expire(now)
		for key, r := range k.ledger.bookings {
			if !r.redeemed {
				list = append(list, Booking{Account: name, Key: key, Cost: r.cost, Due: r.due})
			}
		}
	}
	slices.SortFunc(list, func(a, b Booking) int { return a.Due.Compare(b.Due) })
	return list[:min(len(list), limit)]
}
