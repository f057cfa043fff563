package directory

import "time"

// expiryGrace is how long after the end of an outage a missing entry may still have expired
// because of it. Live endpoints renew their entries within this time; what is still missing
// then has been removed.
const expiryGrace = 2 * time.Second

// outages tracks when entries can have expired although their owners are alive: while the
// store answered no instance, and for expiryGrace afterwards. Any answer to this instance
// or a peer ends an outage, since endpoints can then renew their entries again. It does not
// read the clock: the time is an argument.
type outages struct {
	// answeredAt is when the store last answered any instance, as far as known here.
	answeredAt time.Time
	// failedAt is when a call of this instance last failed.
	failedAt time.Time
	// length is the duration of the last outage in which entries can have expired, and
	// endedAt its end.
	length  time.Duration
	endedAt time.Time
}

// failed records a failed call of this instance.
func (o *outages) failed(at time.Time) { o.failedAt = at }

// answered records that the store answered an instance; minOutage is the shortest outage
// in which entries expire. Answers may be reported late and out of order. It reports
// whether this answer ends an outage.
func (o *outages) answered(at time.Time, minOutage time.Duration) (ended bool) {
	if !at.After(o.answeredAt) {
		return false
	}
	if length := o.unansweredFor(at); length > 0 && length >= minOutage {
		o.length, o.endedAt = length, at
		ended = true
	}
	o.answeredAt = at
	return ended
}

// unansweredFor returns for how long the store has answered no instance; 0 if no call has
// failed since the last answer.
func (o *outages) unansweredFor(now time.Time) time.Duration {
	if o.answeredAt.IsZero() || !o.failedAt.After(o.answeredAt) || now.Before(o.failedAt) {
		return 0
	}
	return now.Sub(o.answeredAt)
}

// mayHaveExpired reports whether an entry that is missing now may belong to a live owner
// that could not renew it. One or two failed calls are not an outage: an entry that
// disappears then has been removed, and its owner is about to stop.
func (o *outages) mayHaveExpired(now time.Time, minOutage time.Duration) bool {
	return o.unansweredFor(now) >= minOutage || !o.endedAt.IsZero() && now.Sub(o.endedAt) < expiryGrace
}
