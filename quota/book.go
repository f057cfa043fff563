package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// learning is how long after its start an instance that is short of quota has
	// requests wait instead of refusing them: the others are heard of by then.
	learning = 1500 * time.Millisecond
	// takingOver is the same for one that has become a scheduler: within it the others
	// report which quotas are short, and all instances are heard of.
	takingOver = 600 * time.Millisecond
	// returnable is how long a charge can be given back: longer than a request waits in
	// an endpoint's queue.
	returnable = 20 * time.Second
	// separated is how long nothing was reported where reports were lost by a cut.
	separated = time.Second
	// forgetUsage is after how long without a report an instance's total is dropped, and
	// the bucket of an account that has no limit any more.
	forgetUsage = 10 * time.Minute
	// shortShare of what may be saved is the balance below which a bucket counts as
	// short.
	shortShare = 0.5
)

// Book holds the buckets of one instance. Any goroutine may use it; no method blocks
// on anything but its mutex.
type Book struct {
	self        string
	incarnation uint64
	started     time.Time
	draw        func() float64

	mu    sync.Mutex
	reach Reach
	// certain is when enough is known of what others let pass.
	certain time.Time
	buckets map[string]*bucket
	// removed are the buckets of accounts that have no limit any more: one that is
	// written again finds its bucket as it was.
	removed map[string]*bucket
	own     map[string]*Usage
	number  uint64
	charges map[uint64]charged
	heard   map[origin]*report
}

// charged is what a run was charged, and when.
type charged struct {
	Charge
	at time.Time
}

// origin is whose total a report is.
type origin struct{ instance, account string }

// report is the newest usage of an origin, and when it came.
type report struct {
	Usage
	at time.Time
}

// NewBook returns the book of an instance that starts now. incarnation rises with each
// start.
func NewBook(now time.Time, self string, incarnation uint64) *Book {
	return &Book{
		self: self, incarnation: incarnation, started: now, certain: now.Add(learning), draw: rand.Float64,
		buckets: map[string]*bucket{}, removed: map[string]*bucket{}, own: map[string]*Usage{},
		charges: map[uint64]charged{}, heard: map[origin]*report{},
	}
}

// SetLimits replaces the limits, by account.
func (b *Book) SetLimits(now time.Time, limits map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, k := range b.buckets {
		if !limits[name].Limited() {
			b.removed[name] = k
			delete(b.buckets, name)
		}
	}
	for name, l := range limits {
		if !l.Limited() {
			continue
		}
		known := cmp.Or(b.buckets[name], b.removed[name])
		delete(b.removed, name)
		if known == nil {
			known = newBucket(now, l, b.reach.share())
		}
		known.set(now, l, b.reach.share())
		b.buckets[name] = known
	}
}

// Limit returns the limit in force for an account.
func (b *Book) Limit(account string) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[account]; k != nil {
		return k.limit
	}
	return Limit{}
}

// Price returns a charge with its cost; the zero value where the account has no limit.
func (b *Book) Price(c Charge) Charge {
	l := b.Limit(c.Account)
	if !l.Limited() {
		return Charge{}
	}
	c.Cost = l.Cost(c.Tokens, c.Sized)
	return c
}

// SetReach replaces for how much of the fleet the instance decides.
func (b *Book) SetReach(now time.Time, r Reach) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == b.reach {
		return
	}
	if r.Scheduler && !b.reach.Scheduler {
		b.takeOver(now, r)
	}
	b.reach = r
	for _, k := range b.buckets {
		k.set(now, k.limit, r.share())
	}
}

// takeOver begins to decide for others; the mutex is held. Until now the buckets were
// those of one instance alone. Where other schedulers are, a quota counts as half used;
// they report the balance of those that hold less.
func (b *Book) takeOver(now time.Time, r Reach) {
	if c := now.Add(takingOver); c.After(b.certain) {
		b.certain = c
	}
	for name, k := range b.buckets {
		fresh := newBucket(now, k.limit, r.share())
		if r.Peers > 0 {
			fresh.level = shortShare * fresh.capacity()
		}
		b.buckets[name] = fresh
	}
}

// Decides reports whether the instance decides for others, as far as SetReach was told.
func (b *Book) Decides() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reach.Scheduler
}

// Ask decides whether a request may be sent now. What is sent then has to be charged.
// again says that the request has passed before and is sent once more; it is not refused,
// since it may have run.
func (b *Book) Ask(now time.Time, c Charge, again bool) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[c.Account]
	if k == nil {
		return Decision{Share: 1}
	}
	passes := k.allows(now, float64(c.Cost), b.draw)
	d := Decision{Cost: c.Cost, Balance: k.level, Share: k.share}
	switch {
	case passes || again:
	case now.Before(b.certain):
		d.Outcome = Unknown
	default:
		d.Outcome, d.RetryAfter = Over, k.retryAfter(float64(c.Cost))
	}
	return d
}

// Holds reports whether an account's bucket holds a cost now; that of an account without a
// limit always does. reserve is how much of what may be saved beyond the cost has to be there
// too, from 0 to 1. What is sent then has to be charged.
func (b *Book) Holds(now time.Time, account string, cost, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[account]
	if k == nil {
		return true
	}
	return k.holds(now, k.reserved(cost, reserve, b.reach.Peers == 0), b.draw)
}

// Promise returns when a cost that is refused now will be there, after that of those refused
// before it. ok is false while it is not known yet what others let pass.
func (b *Book) Promise(now time.Time, account string, cost float64) (d time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[account]
	switch {
	case now.Before(b.certain):
		return 0, false
	case k == nil:
		return 0, true
	}
	k.advance(now)
	return k.retryAfter(cost), true
}

// Charge debits what a run costs. The usage has to be reported to the other
// schedulers; ok is false where the account has no limit.
func (b *Book) Charge(now time.Time, run uint64, c Charge) (u Usage, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets[c.Account] == nil {
		return Usage{}, false
	}
	b.charges[run] = charged{c, now}
	return b.debit(now, c.Account, c.Cost), true
}

// Return credits a run that this instance has charged and that has not run. ok is false
// where it has charged none.
func (b *Book) Return(now time.Time, run uint64) (u Usage, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.charges[run]
	if !ok {
		return Usage{}, false
	}
	delete(b.charges, run)
	return b.debit(now, c.Account, -c.Cost), true
}

// debit counts a cost as this instance's own; the mutex is held.
func (b *Book) debit(now time.Time, account string, cost int64) Usage {
	if k := b.buckets[account]; k != nil {
		k.debit(now, cost, b.draw)
	}
	u := b.own[account]
	if u == nil {
		u = &Usage{Instance: b.self, Incarnation: b.incarnation, Account: account}
		b.own[account] = u
	}
	b.number++
	u.Number, u.Total, u.Last = b.number, u.Total+cost, cost
	return *u
}

// Reported takes in the usage of another instance. Of one that was not heard of before,
// only the last part counts: the rest may have passed long ago.
func (b *Book) Reported(now time.Time, u Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.Instance == b.self {
		return
	}
	if k := b.buckets[u.Account]; k != nil && u.Short && now.Before(b.certain) {
		k.advance(now)
		k.level = min(k.level, u.Balance)
	}
	key := origin{u.Instance, u.Account}
	before := b.heard[key]
	if before.supersedes(now, u) {
		return
	}
	b.heard[key] = &report{u, now}
	if k := b.buckets[u.Account]; k != nil {
		k.debit(now, before.added(now, u), b.draw)
	}
}

// supersedes reports whether a usage is no newer than the report. One of an earlier
// incarnation is late, unless the later one has fallen silent: then the instance has
// started again with its clock set back.
func (r *report) supersedes(now time.Time, u Usage) bool {
	switch {
	case r == nil:
		return false
	case u.Incarnation == r.Incarnation:
		return u.Number <= r.Number
	}
	return u.Incarnation < r.Incarnation && now.Sub(r.at) < learning
}

// added is what a newer usage adds to the report.
func (r *report) added(now time.Time, u Usage) int64 {
	switch {
	case r == nil || now.Sub(r.at) > separated:
		// What passed while its instance was out of reach is of its own share.
		return u.Last
	case u.Incarnation == r.Incarnation:
		return u.Total - r.Total
	}
	return u.Total
}

// Sweep drops charges that can't be given back any more, and totals of instances that
// have long been silent.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for run, c := range b.charges {
		if now.Sub(c.at) > returnable {
			delete(b.charges, run)
		}
	}
	for key, r := range b.heard {
		if now.Sub(r.at) > forgetUsage {
			delete(b.heard, key)
		}
	}
	for name, k := range b.removed {
		if now.Sub(k.last) > forgetUsage {
			delete(b.removed, name)
		}
	}
}

// Short returns the newest totals, of this instance and of others, of accounts
// whose balance is short, as far as they are newer than since. Passed on, they reach
// schedulers that do not hear each other.
func (b *Book) Short(now, since time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Usage
	for name, k := range b.buckets {
		if k.advance(now); k.level >= shortShare*k.capacity() {
			continue
		}
		own := Usage{Instance: b.self, Incarnation: b.incarnation, Account: name}
		if u := b.own[name]; u != nil {
			own = *u
		}
		own.Short, own.Balance = true, k.level
		list = append(list, own)
		for key, r := range b.heard {
			if key.account == name && r.at.After(since) {
				list = append(list, r.Usage)
			}
		}
	}
	return list
}

// View is the state of one quota, for operators.
type View struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Balance float64 `json:"balance"`
	Share   float64 `json:"share"`
	Passed  int64   `json:"passed_here"`
}

// Views returns the state of all quotas, in the order of the names.
func (b *Book) Views(now time.Time) []View {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]View, 0, len(b.buckets))
	for name, k := range b.buckets {
		k.advance(now)
		v := View{Account: name, Rate: k.limit.Rate, Burst: k.limit.Burst, Balance: k.level, Share: k.share}
		if u := b.own[name]; u != nil {
			v.Passed = u.Total
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b View) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
