// Package lease elects one instance at a time as the holder of a lease, which is an object
// in the platform's object API.
//
// The holder keeps writing the lease object. An instance that sees the object's version
// unchanged for the lease's length, by its own clock, takes the lease over by a conditional
// write. The version created by that write is the fencing number. Instances never compare
// the readings of their clocks with each other.
package lease

import (
	"time"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// driftDivisor is the divisor of the length that gives the margin by which a holder stops
	// relying on the lease before others may take it over. The clocks of two machines drift
	// apart by far less than a tenth.
	driftDivisor = 10
	// renewDivisor and pollDivisor are the divisors of the length that give the intervals at
	// which the holder writes and the others read. Two writes in a row may fail before the
	// lease is lost. Other instances see a write up to one poll late, and check for expiry
	// up to another poll late, so a longer poll interval adds to the time without a holder.
	renewDivisor = 3
	pollDivisor  = 6
	// retryDivisor is the divisor of the length that gives the delay before a failed call is
	// retried.
	retryDivisor = 12
	// actionDivisor is the divisor of the length that gives the time before others may take the lease
	// over by which an action under the lease is given up. An action that was sent may arrive that much
	// later, and a process may be paused for that long between its last check and the send.
	actionDivisor = 4
	// minActionDivisor is the divisor of the length that gives the least time that an action is given.
	minActionDivisor = 12
	// maxPendingWrites bounds the number of writes with an unknown outcome. A later write under
	// the same condition rules an earlier one out, so a few are enough.
	maxPendingWrites = 4
)

// Value is the content of a lease object, as JSON.
type Value struct {
	// Holder is the holding instance's name, for operators only. It is not used for
	// decisions: an instance that restarts under the same name is a different holder.
	Holder string `json:"holder"`
	// Released reports that the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

// StepKind is a kind of action that the caller of Machine has to take.
type StepKind int

// The kinds of step.
const (
	// StepWait means that there is nothing to do before Step.At.
	StepWait StepKind = iota
	// StepRead means to read the object and call Observed or ReadFailed.
	StepRead
	// StepWrite means to write the object and call Wrote or WriteFailed.
	StepWrite
)

// Step is the next action to take.
type Step struct {
	Kind StepKind
	// At is when to call Next again, for StepWait.
	At time.Time
	// Expected is the version required by the conditional write, and Attempt its id, for
	// StepWrite.
	Expected objectapi.Version
	Attempt  string
}

// Machine is the state machine of one lease on one instance. It does no I/O and reads no
// clock: it is given the results of calls and the time by the instance's monotonic clock.
// It is not safe for concurrent use.
type Machine struct {
	length     time.Duration
	newAttempt func() string

	// seen is the newest version that was read or written, and seenAt when it was first
	// seen. absent reports that the object has been missing since then.
	seen   objectapi.Version
	seenAt time.Time
	absent bool
	// own reports that the version seen is this machine's own write; released reports that its
	// writer has released the lease.
	own      bool
	released bool
	// confirmed reports that the object was read after the last write of unknown outcome.
	confirmed  bool
	readDue    time.Time
	writeAfter time.Time

	fence      objectapi.Version
	validUntil time.Time
	// actUntil is when actions under the lease are given up at the latest.
	actUntil time.Time
	renewAt  time.Time
	// termBegan is when this machine took the lease over from another holder.
	termBegan time.Time

	// open is the number of actions in progress, of all terms.
	open int
	// doubtUntil is until when an action whose outcome is unknown rules out a release.
	doubtUntil time.Time
	// resigned reports that the lease is not renewed and no action begins.
	resigned bool

	pendingWrites []pendingWrite
}

// pendingWrite is a write without a known outcome, and when it was sent.
type pendingWrite struct {
	attempt string
	at      time.Time
	// creates reports that the write only creates the object and acquires no lease.
	creates bool
	// continues reports that the condition is on this machine's own last version, so that nobody else
	// has held the lease in between if the write takes effect.
	continues bool
	// renewal reports that the lease was held, and not resigned, when the write was sent.
	renewal bool
}

// NewMachine returns a machine without any knowledge of the object. newAttempt must return
// a unique id for each write.
func NewMachine(length time.Duration, newAttempt func() string) *Machine {
	return &Machine{length: length, newAttempt: newAttempt}
}

// Held returns the fencing number while this instance can rely on holding the lease. The
// goroutine may be paused after the call returns, so whatever it does under the lease must
// tolerate being late.
func (m *Machine) Held(now time.Time) (fence objectapi.Version, ok bool) {
	if m.fence == 0 || !now.Before(m.validUntil) {
		return 0, false
	}
	return m.fence, true
}

// Next returns the next action. If that is a write, it counts as sent at the time now.
func (m *Machine) Next(now time.Time) Step {
	writeAt := m.writeAt()
	if m.confirmed && !now.Before(writeAt) {
		return m.write(now)
	}
	reads := !m.confirmed || !m.holds()
	if reads && !now.Before(m.readDue) {
		return Step{Kind: StepRead}
	}
	switch {
	case !m.confirmed:
		return Step{Kind: StepWait, At: m.readDue}
	case reads && m.readDue.Before(writeAt):
		return Step{Kind: StepWait, At: m.readDue}
	}
	return Step{Kind: StepWait, At: writeAt}
}

// writeAt returns when the next conditional write is due: to renew the lease, to acquire a
// lease that was released or whose version has not changed for the whole length, or to
// create the object if it is missing.
func (m *Machine) writeAt() time.Time {
	at := m.seenAt.Add(m.length)
	switch {
	case m.holds():
		at = m.renewAt
	case m.released, m.absent:
		at = m.seenAt
	}
	if at.Before(m.writeAfter) {
		return m.writeAfter
	}
	return at
}

// write returns the conditional write that is due. Creating a missing object does not
// acquire the lease: its condition would also hold after another instance had acquired the
// lease and the object had been removed again. Only the condition on a version proves that
// nothing happened in between.
func (m *Machine) write(now time.Time) Step {
	s := Step{Kind: StepWrite, Expected: m.seen, Attempt: m.newAttempt()}
	if m.absent {
		s.Expected = 0
	}
	m.pendingWrites = append(m.pendingWrites, pendingWrite{attempt: s.Attempt, at: now, creates: m.absent, continues: m.own && !m.absent, renewal: m.holds()})
	if over := len(m.pendingWrites) - maxPendingWrites; over > 0 {
		m.pendingWrites = m.pendingWrites[over:]
	}
	return s
}

// Wrote records that the write took effect and created the given version.
func (m *Machine) Wrote(now time.Time, attempt string, version objectapi.Version) {
	pending, ok := m.pending(attempt)
	if !ok || (version <= m.seen && m.own) {
		return
	}
	if pending.creates {
		m.setVersion(now, version)
		m.released, m.confirmed = false, true
		m.readDue = now.Add(m.length / pollDivisor)
		return
	}
	if !pending.continues {
		invariant.Check(version > m.fence, "fencing_numbers_rise", "fence %d after %d", version, m.fence)
		m.fence = version
		m.termBegan = now
	}
	m.setVersion(now, version)
	m.own, m.released, m.confirmed = true, false, true
	m.resigned = m.resigned && pending.renewal
	m.validUntil = pending.at.Add(m.length - m.length/driftDivisor)
	m.actUntil = pending.at.Add(m.length - m.length/actionDivisor)
	m.renewAt = pending.at.Add(m.length / renewDivisor)
	m.pendingWrites = nil
}

func (m *Machine) pending(attempt string) (pendingWrite, bool) {
	for _, w := range m.pendingWrites {
		if w.attempt == attempt {
			return w, true
		}
	}
	return pendingWrite{}, false
}

// setVersion records the current version of the object.
func (m *Machine) setVersion(now time.Time, version objectapi.Version) {
	if m.seenAt.IsZero() || m.absent || version > m.seen {
		m.seenAt = now
	}
	m.seen, m.absent = version, false
}

// WriteFailed records that a write was not confirmed. Whatever the error, the write may
// have taken effect, so the object is read before the next write.
func (m *Machine) WriteFailed(now time.Time) {
	m.confirmed = false
	m.readDue = now
	m.writeAfter = now.Add(m.length / retryDivisor)
}

// ReadFailed records that a read got no answer.
func (m *Machine) ReadFailed(now time.Time) {
	m.readDue = now.Add(m.length / retryDivisor)
}

// Observed records the result of a read. A missing object has version 0: either the lease
// was never held, or the object was removed while a holder still relies on the lease.
func (m *Machine) Observed(now time.Time, obj objectapi.Object, v Value) {
	m.readDue = now.Add(m.length / pollDivisor)
	if obj.Version == 0 {
		if m.seenAt.IsZero() || !m.absent {
			m.seenAt = now
		}
		m.absent, m.released, m.confirmed = true, false, true
		m.invalidate()
		return
	}
	if obj.Version < m.seen {
		// A stale read carries no information.
		return
	}
	if _, ok := m.pending(obj.Attempt); ok {
		m.Wrote(now, obj.Attempt, obj.Version)
		return
	}
	unchanged := m.own && obj.Version == m.seen
	m.setVersion(now, obj.Version)
	m.confirmed = true
	if !unchanged {
		m.released = v.Released
		m.invalidate()
	}
}

// invalidate invalidates the lease on this instance at once, because it was released or the
// object has changed.
func (m *Machine) invalidate() {
	m.own, m.resigned = false, false
	m.validUntil = time.Time{}
}

// holds reports whether this machine keeps the lease by renewing it.
func (m *Machine) holds() bool { return m.own && !m.resigned }

// Begin begins an action under the lease, such as an order to an endpoint, whose effect others see after
// it was sent. until is when it has to be given up, so that it arrives before those of the next holder. ok
// is false if the term of that fencing number has ended or hardly any time is left. End has to be called
// once for each action that began.
func (m *Machine) Begin(now time.Time, fence objectapi.Version) (until time.Time, ok bool) {
	if !m.MayAct(now.Add(m.length/minActionDivisor), fence) || m.resigned {
		return time.Time{}, false
	}
	m.open++
	return m.actUntil, true
}

// MayAct reports whether an action that began under the fencing number may be sent now.
func (m *Machine) MayAct(now time.Time, fence objectapi.Version) bool {
	held, ok := m.Held(now)
	return ok && held == fence && now.Before(m.actUntil)
}

// End ends an action. settled reports that it was answered or never sent; any other may arrive later.
func (m *Machine) End(now time.Time, settled bool) {
	m.open--
	if !settled {
		m.doubtUntil = now.Add(m.length)
	}
}

// Blocker is why a lease can't be released.
type Blocker string

// The blockers.
const (
	// NotBlocked means that nothing speaks against a release.
	NotBlocked Blocker = ""
	// NotHolder means that the lease is not held.
	NotHolder Blocker = "not held"
	// ActionsOpen means that actions are in progress.
	ActionsOpen Blocker = "actions in progress"
	// ActionsInDoubt means that an action with an unknown outcome may still arrive.
	ActionsInDoubt Blocker = "actions in doubt"
	// TermTooShort means that the holder before could be the next one within the lease's length: two
	// holders would take turns.
	TermTooShort Blocker = "term too short"
)

// Resign ends the term: no action begins, and the lease is not renewed. It expires unless Release
// succeeds. If nobody takes it over, this machine may acquire it again once it has expired.
func (m *Machine) Resign() { m.resigned = m.own }

// Blocker returns what speaks against a release now.
func (m *Machine) Blocker(now time.Time) Blocker {
	_, held := m.Held(now)
	switch {
	case !held:
		return NotHolder
	case m.open > 0:
		return ActionsOpen
	case now.Before(m.doubtUntil):
		return ActionsInDoubt
	case now.Before(m.termBegan.Add(m.length)):
		return TermTooShort
	}
	return NotBlocked
}

// Release invalidates the lease on this instance and returns the write that lets others
// acquire it at once. ok is false if there is a Blocker.
func (m *Machine) Release(now time.Time) (s Step, ok bool) {
	if m.Blocker(now) != NotBlocked {
		return Step{}, false
	}
	expected := m.seen
	m.invalidate()
	m.confirmed = false
	return Step{Kind: StepWrite, Expected: expected, Attempt: m.newAttempt()}, true
}
