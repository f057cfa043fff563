package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// startupDelay is how long after its start an instance makes requests wait that it would
	// otherwise refuse: by then it has received the reports of the others.
	startupDelay = 1500 * time.Millisecond
	// takeoverDelay is the same for an instance that has become a scheduler: by then the
	// others have reported which quotas are low, and all instances are known.
	takeoverDelay = 600 * time.Millisecond
	// refundWindow is how long a charge can be refunded: longer than a request waits in an
	// endpoint's queue.
	refundWindow = 20 * time.Second
	// partitionGap is the time without a report after which reports are taken to have been
	// lost in a partition.
	partitionGap = time.Second
	// usageTTL is the time without a report after which an instance's total is dropped, and
	// also the bucket of an account that no longer has a limit.
	usageTTL = 10 * time.Minute
	// stallTime is the time without any call after which this instance was stalled: an instance that
	// runs calls Short several times as often.
	stallTime = time.Second
	// lowShare is the fraction of its capacity below which a bucket is low.
	lowShare = 0.5
)

// Book keeps the buckets of one instance. It is safe for concurrent use; no method blocks
// except on the mutex.
type Book struct {
	self        string
	incarnation uint64
	started     time.Time
	random      func() float64

	mu    sync.Mutex
	reach Reach
	// certainAt is when enough is known of what other instances have passed.
	certainAt time.Time
	buckets   map[string]*bucket
	// removed are the buckets of accounts that no longer have a limit, so that an account
	// whose limit is set again gets its old bucket.
	removed map[string]*bucket
	own     map[string]*Usage
	number  uint64
	charges map[uint64]charged
	reports map[origin]*report
	// lapsed counts bookings whose callers did not come, since TakeLapsed.
	lapsed int
	// calledAt is the time of the last call.
	calledAt time.Time
}

// charged is the charge of a run and its time.
type charged struct {
	Charge
	at time.Time
}

// origin identifies the instance and the account of a report.
type origin struct{ instance, account string }

// report is the newest usage of an origin and the time of its arrival.
type report struct {
	Usage
	at time.Time
}

// NewBook returns the book of an instance that starts now. incarnation increases with each
// start.
func NewBook(now time.Time, self string, incarnation uint64) *Book {
	return &Book{
		self: self, incarnation: incarnation, started: now, certainAt: now.Add(startupDelay), random: rand.Float64,
		buckets: map[string]*bucket{}, removed: map[string]*bucket{}, own: map[string]*Usage{},
		charges: map[uint64]charged{}, reports: map[origin]*report{},
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
			known = newBucket(now, l, b.reach.Share())
		}
		known.update(now, l, b.reach.Share())
		b.buckets[name] = known
	}
}

// Limit returns the current limit of an account.
func (b *Book) Limit(account string) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.buckets[account]; k != nil {
		return k.limit
	}
	return Limit{}
}

// Price returns a charge with its cost set, or the zero value if the account has no limit.
func (b *Book) Price(c Charge) Charge {
	l := b.Limit(c.Account)
	if !l.Limited() {
		return Charge{}
	}
	c.Cost = l.Cost(c.Tokens, c.Sized)
	return c
}

// SetReach replaces the part of the fleet for which the instance decides.
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
		k.update(now, k.limit, r.Share())
	}
}

// takeOver starts deciding for other instances, and replaces the buckets, which until now
// were those of this instance alone. If there are other schedulers, each quota counts as
// half used until they have reported the balances that are lower. The caller must hold b.mu.
func (b *Book) takeOver(now time.Time, r Reach) {
	if c := now.Add(takeoverDelay); c.After(b.certainAt) {
		b.certainAt = c
	}
	for name, k := range b.buckets {
		fresh := newBucket(now, k.limit, r.Share())
		if r.Peers > 0 {
			fresh.level = lowShare * fresh.capacity()
		}
		fresh.ledger = k.ledger
		b.buckets[name] = fresh
	}
}

// DecidesForOthers reports whether the instance decides for others, according to the last
// SetReach.
func (b *Book) DecidesForOthers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reach.Scheduler
}

// Check decides whether a request may be sent now. A request that is sent must then be
// charged. again reports whether the request has passed before and is a retry; a retry is
// not refused, since the request may have run.
func (b *Book) Check(now time.Time, c Charge, again bool) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.called(now)
	k := b.buckets[c.Account]
	if k == nil {
		return Decision{Share: 1}
	}
	if c.Key != 0 {
		return b.checkKeyed(now, k, c, again)
	}
	passes := k.allows(now, float64(c.Cost), b.random)
	d := Decision{Cost: c.Cost, Balance: k.level, Share: k.share}
	switch {
	case passes || again:
	case now.Before(b.certainAt):
		d.Outcome = Unknown
	default:
		d.Outcome, d.RetryAfter = Over, k.retryAfter(float64(c.Cost))
	}
	return d
}

// checkKeyed is Check for a request with a key: it has a price and bookings. The caller must hold b.mu.
func (b *Book) checkKeyed(now time.Time, k *bucket, c Charge, again bool) Decision {
	d := Decision{Cost: c.Cost, Share: k.share, Draw: drawOf(c.Key, now)}
	due := k.ledger.find(now, c.Key)
	var passes bool
	switch {
	case due == nil:
		passes, d.Priced = k.decide(now, c, d.Draw, b.random)
	case now.Before(due.due.Add(-earlyRedemption)):
		k.advance(now)
		d.Early = true
	default:
		k.advance(now)
		passes = k.coversPart(float64(c.Cost), b.random) || k.level > -bookedOverdraft*k.capacity()
		d.Kept = passes
	}
	d.Balance = k.level
	d.Price, _ = k.effectivePrice()
	switch {
	case passes || again:
		d.Priced, d.Early = false, false
	case now.Before(b.certainAt):
		d.Outcome, d.Priced, d.Early = Unknown, false, false
	case d.Early:
		d.Outcome, d.Booked, d.RetryAfter = Over, true, due.due.Sub(now)
	case k.rate() <= 0:
		// Without a share nothing is known of when the request could pass.
		d.Outcome, d.RetryAfter = Over, noRateRetry
	default:
		d.Outcome = Over
		if at, ok := k.book(now, c, d.Priced); ok {
			d.Booked, d.RetryAfter = true, at.Sub(now)
			d.Made = &Booking{Account: c.Account, Key: c.Key, Cost: c.Cost, Due: at}
			break
		}
		d.Final = true
	}
	return d
}

// Covers reports whether an account's bucket covers a cost now and leaves the reserve, a
// fraction from 0 to 1 of the capacity beyond the cost. It is always true for an account
// without a limit. A request that is sent must then be charged.
func (b *Book) Covers(now time.Time, account string, cost, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[account]
	if k == nil {
		return true
	}
	return k.covers(now, k.required(cost, reserve, b.reach.Peers == 0), b.random)
}

// RetryAfter returns the time until the bucket covers a cost that is refused now, after the
// costs refused before it. ok is false while it is not known yet what other instances have
// passed.
func (b *Book) RetryAfter(now time.Time, account string, cost float64) (d time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.buckets[account]
	switch {
	case now.Before(b.certainAt):
		return 0, false
	case k == nil:
		return 0, true
	}
	k.advance(now)
	return k.retryAfter(cost), true
}

// Charge debits the cost of a run. The returned usage has to be reported to the other
// schedulers; ok is false if the account has no limit.
func (b *Book) Charge(now time.Time, run uint64, c Charge) (u Usage, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buckets[c.Account] == nil {
		return Usage{}, false
	}
	b.charges[run] = charged{c, now}
	u = b.debit(now, c.Account, c.Cost)
	if l := b.buckets[c.Account].ledger; l != nil && l.redeem(c.Key) {
		u.Redeemed = c.Key
	}
	return u, true
}

// Refund refunds a run that this instance has charged and that did not run. ok is false if
// this instance has no charge for the run.
func (b *Book) Refund(now time.Time, run uint64) (u Usage, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.charges[run]
	if !ok {
		return Usage{}, false
	}
	delete(b.charges, run)
	if k := b.buckets[c.Account]; k != nil && k.ledger != nil {
		k.ledger.restore(now, c.Key)
	}
	return b.debit(now, c.Account, -c.Cost), true
}

// debit debits a cost and adds it to this instance's own usage. The caller must hold b.mu.
func (b *Book) debit(now time.Time, account string, cost int64) Usage {
	if k := b.buckets[account]; k != nil {
		k.debit(now, cost, b.random)
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

// ApplyUsage applies the usage report of another instance. Of the first report of an instance
// only the last part is debited, since the rest may have passed long ago.
func (b *Book) ApplyUsage(now time.Time, u Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.called(now)
	if u.Instance == b.self {
		return
	}
	if k := b.buckets[u.Account]; k != nil && u.Short && now.Before(b.certainAt) {
		k.advance(now)
		k.level = min(k.level, u.Balance)
	}
	if k := b.buckets[u.Account]; k != nil && k.ledger != nil && u.Redeemed != 0 {
		k.ledger.expire(now)
		k.ledger.redeem(u.Redeemed)
	}
	key := origin{u.Instance, u.Account}
	before := b.reports[key]
	if before.supersedes(now, u) {
		return
	}
	b.reports[key] = &report{u, now}
	if k := b.buckets[u.Account]; k != nil {
		k.debitReported(now, before.added(now, u), b.random)
	}
}

// called records a call. After a stall, in which others have decided on the whole quota, the time that
// the buckets gained has to pay for what was passed meanwhile: it is reported all at once, while a
// bucket keeps no more than its capacity. Otherwise the buckets would be in debt for seconds, and this
// instance refuse what the others pass. The caller must hold b.mu.
func (b *Book) called(now time.Time) {
	stall := now.Sub(b.calledAt)
	stalled := !b.calledAt.IsZero() && stall > stallTime
	b.calledAt = now
	if !stalled {
		return
	}
	for _, k := range b.buckets {
		k.resume(now)
	}
	for _, r := range b.reports {
		r.at = r.at.Add(stall)
	}
}

// supersedes reports whether the report makes a usage obsolete. A usage of an earlier
// incarnation is a late report, unless the later incarnation has sent none for some time:
// then the instance has restarted with its clock set back.
func (r *report) supersedes(now time.Time, u Usage) bool {
	switch {
	case r == nil:
		return false
	case u.Incarnation == r.Incarnation:
		return u.Number <= r.Number
	}
	return u.Incarnation < r.Incarnation && now.Sub(r.at) < startupDelay
}

// added returns the cost by which a newer usage exceeds the report.
func (r *report) added(now time.Time, u Usage) int64 {
	switch {
	case r == nil || now.Sub(r.at) > partitionGap:
		// What the instance passed while it was unreachable came from its own share.
		return u.Last
	case u.Incarnation == r.Incarnation:
		return u.Total - r.Total
	}
	return u.Total
}

// Sweep drops charges that can no longer be refunded, usage of instances that have not
// reported for long, and old buckets of accounts without a limit.
func (b *Book) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for run, c := range b.charges {
		if now.Sub(c.at) > refundWindow {
			delete(b.charges, run)
		}
	}
	for key, r := range b.reports {
		if now.Sub(r.at) > usageTTL {
			delete(b.reports, key)
		}
	}
	for _, k := range b.buckets {
		b.lapsed += k.sweepLedger(now)
	}
	for name, k := range b.removed {
		if now.Sub(k.last) > usageTTL {
			delete(b.removed, name)
		}
	}
}

// TakeLapsed returns how many bookings of this instance have lapsed since its last call, as seen by Sweep.
func (b *Book) TakeLapsed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.lapsed
	b.lapsed = 0
	return n
}

// Short returns the usage of this instance for all accounts whose balance is low, and that
// of other instances for them if it arrived after since. Forwarding it reaches schedulers
// that cannot communicate with its origin directly.
func (b *Book) Short(now, since time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.called(now)
	var list []Usage
	for name, k := range b.buckets {
		if k.advance(now); k.level >= lowShare*k.capacity() {
			continue
		}
		own := Usage{Instance: b.self, Incarnation: b.incarnation, Account: name}
		if u := b.own[name]; u != nil {
			own = *u
		}
		own.Short, own.Balance = true, k.level
		list = append(list, own)
		for key, r := range b.reports {
			if key.account == name && r.at.After(since) {
				list = append(list, r.Usage)
			}
		}
	}
	return list
}

// View is the state of one quota in the state dump.
type View struct {
	Account string  `json:"account"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Balance float64 `json:"balance"`
	Share   float64 `json:"share"`
	Passed  int64   `json:"passed_here"`
	// Price is what the price is at the current balance; MaxPrice, at which it admits as if there were none.
	Price    float64 `json:"price"`
	MaxPrice float64 `json:"max_price"`
	// Bookings are those that are open, Booked the cost that they reserve, and BookedMs is the time until a
	// caller that is refused now could be booked.
	Bookings int     `json:"bookings"`
	Booked   float64 `json:"booked"`
	BookedMs int64   `json:"booked_ms"`
}

// Views returns the state of all quotas, sorted by account.
func (b *Book) Views(now time.Time) []View {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]View, 0, len(b.buckets))
	for name, k := range b.buckets {
		k.advance(now)
		v := View{Account: name, Rate: k.limit.Rate, Burst: k.limit.Burst, Balance: k.level, Share: k.share}
		v.Price, _ = k.effectivePrice()
		v.MaxPrice = k.maxPrice()
		v.Bookings, v.Booked, v.BookedMs = k.ledger.view(now)
		if u := b.own[name]; u != nil {
			v.Passed = u.Total
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b View) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
