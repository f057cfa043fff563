package balance

import "time"

// roomRecovery is the time after which a brittle endpoint that has rejected a request is sent one more at
// once.
const roomRecovery = time.Second

// borrowInterval is the time between two requests for which an instance uses the places of others: twice
// the usual time until it receives reports on what they have sent.
const borrowInterval = 20 * time.Millisecond

// Turn is this instance's part in decisions on one endpoint that other instances decide on at the same time.
type Turn struct {
	// Rank is this instance's index among Deciders instances, of which each has another rank at each
	// endpoint.
	Rank, Deciders int
	// Known is the share of the fleet whose runs this instance knows.
	Known float64
}

// alone is the Turn of the only instance.
func alone(string, string) Turn { return Turn{Deciders: 1, Known: 1} }

// roomFor returns how many requests a brittle endpoint may have at once. known is the share of the fleet
// whose runs are known here: an instance that does not know what others have sent uses its share only.
//
// An endpoint that fails once it has to reject too many requests a second must not be sent more than it
// has room for: when many instances find out by rejections, each of them has sent some, and the endpoints
// fail one after the other. So the endpoint's slots are the bound, though it may let some requests
// wait, and requests wait here, where a wait can end at another endpoint or in a refusal. A rejection
// lowers the bound to what was running, and it returns slowly.
func (e *endpoint) roomFor(now time.Time, known float64) int {
	room := e.Slots
	if !e.roomAt.IsZero() {
		room = min(room, e.room+int(now.Sub(e.roomAt)/roomRecovery))
	}
	return max(1, int(known*float64(room)))
}

// hasRoomFor reports whether this instance may send one more request to a brittle endpoint.
//
// What others have sent in the last some ms is not known here, and in a burst all instances see the same
// places free. So each instance has its own part of them. It uses those of the others only while they have
// nothing there, one at a time, so that it would have received a report on them in between.
func (e *endpoint) hasRoomFor(now time.Time, t Turn) bool {
	room := e.roomFor(now, t.Known)
	if e.running >= room {
		return false
	}
	deciders := max(t.Deciders, 1)
	part := room / deciders
	if t.Rank < room%deciders {
		part++
	}
	return e.decided < part || e.running == e.decided && now.Sub(e.decidedAt) >= borrowInterval
}

// rejected records that the endpoint has rejected a request, which does not count as running any more.
func (e *endpoint) rejected(now time.Time) {
	e.room = max(1, min(e.roomFor(now, 1), e.running))
	e.roomAt = now
}
