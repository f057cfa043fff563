package directory

import "time"

// lapsedGrace is how long after the store answers again an entry that is missing may
// have lapsed in the outage: endpoints that live have renewed theirs by then, and what is
// still missing has gone.
const lapsedGrace = 2 * time.Second

// outages tells when entries can have lapsed though their owners live: while the store
// answered nobody, and for a moment afterwards. Any answer that this instance or a peer
// has received ends an outage, since endpoints can renew their entries again. It is pure:
// the time is an argument.
type outages struct {
	// answeredAt is when the store has last answered anybody, as far as known here.
	answeredAt time.Time
	// failedAt is when a call of this instance has last failed.
	failedAt time.Time
	// length of the last outage in which entries can have lapsed, and when it ended.
	length  time.Duration
	endedAt time.Time
}

// failed notes that a call of this instance has had no answer.
func (o *outages) failed(at time.Time) { o.failedAt = at }

// answered notes that the store has answered somebody; lapseAfter is the shortest outage
// in which entries lapse. Answers may be reported late and in any order. It reports whether
// an outage ends with this one.
func (o *outages) answered(at time.Time, lapseAfter time.Duration) (ended bool) {
	if !at.After(o.answeredAt) {
		return false
	}
	if length := o.silence(at); length > 0 && length >= lapseAfter {
		o.length, o.endedAt = length, at
		ended = true
	}
	o.answeredAt = at
	return ended
}

// silence is for how long the store has answered nobody; 0 where no call has failed.
func (o *outages) silence(now time.Time) time.Duration {
	if o.answeredAt.IsZero() || !o.failedAt.After(o.answeredAt) || now.Before(o.failedAt) {
		return 0
	}
	return now.Sub(o.answeredAt)
}

// mayHaveLapsed reports whether an entry that is missing now may be one whose owner lives
// and could not renew it. A call or two that failed are no outage: an entry that goes then
// has been removed, and its owner is about to end.
func (o *outages) mayHaveLapsed(now time.Time, lapseAfter time.Duration) bool {
	return o.silence(now) >= lapseAfter || !o.endedAt.IsZero() && now.Sub(o.endedAt) < lapsedGrace
}
