// Package lease gives a duty that must have one holder to one instance at a
// time, by an object of the platform's object API.
//
// A lease object is written again and again by its holder. Who sees its version
// unchanged for the lease's length, by its own clock, takes it over by a
// conditional write. The version of the write that took it is the fencing
// number. Instances never compare the readings of their clocks with each other.
package lease

import (
	"time"

	"github.com/sardinedock/sardinedock/invariant"
	"github.com/sardinedock/sardinedock/objectapi"
)

const (
	// driftShare is the part of the length by which a holder stops believing
	// earlier than others may take over. Clocks of machines run apart by far
	// less than a tenth.
	driftShare = 10
	// renewShare and pollShare are the parts of the length after which the
	// holder writes and the others read again. Two writes may fail before
	// the lease is lost. Others see a write late by up to a poll and look again
	// late by another, so rare polls add to the time without a holder.
	renewShare = 3
	pollShare  = 6
	// retryShare is the part of the length after which a failed call is made
	// again.
	retryShare = 12
	// maxUnsettled bounds the writes whose fate is not known. A later write
	// under the same condition rules an earlier one out, so a few are enough.
	maxUnsettled = 4
)

// Value is what a lease object holds, as JSON.
type Value struct {
	// Holder is the instance's name, for operators. It decides nothing: an
	// instance that restarts under its old name is another holder.
	Holder string `json:"holder"`
	// Released says that the holder has given the lease up.
	Released bool `json:"released,omitempty"`
}

// StepKind is what has to be done for a lease.
type StepKind int

// The kinds of step.
const (
	// StepWait: nothing before the step's time.
	StepWait StepKind = iota
	// StepRead: read the object and call Observed or ReadFailed.
	StepRead
	// StepWrite: write the object and call Wrote or WriteFailed.
	StepWrite
)

// Step is what has to be done next.
type Step struct {
	Kind StepKind
	// At is when to ask again, of StepWait.
	At time.Time
	// Expected and Attempt go into the conditional write, of StepWrite.
	Expected objectapi.Version
	Attempt  string
}

// Machine decides for one instance and one lease. It is pure: it takes
// messages and the time by the instance's monotonic clock. One goroutine may
// use it.
type Machine struct {
	length     time.Duration
	newAttempt func() string

	// seen is the newest version that was read or written, and seenAt when it
	// was first seen. absent says that the object is missing since then.
	seen   objectapi.Version
	seenAt time.Time
	absent bool
	// mine says that the version seen is this machine's write, free that its
	// writer has released the lease.
	mine bool
	free bool
	// settled says that no write went out since the last read.
	settled    bool
	readDue    time.Time
	writeAfter time.Time

	fence   objectapi.Version
	until   time.Time
	renewAt time.Time

	unsettled []sentWrite
}

// sentWrite is a write whose reply has not come, and when it was sent.
type sentWrite struct {
	attempt string
	at      time.Time
	// creates says that the write only makes the object.
	creates bool
}

// NewMachine returns a machine that has seen nothing. newAttempt returns ids
// that no other write has.
func NewMachine(length time.Duration, newAttempt func() string) *Machine {
	return &Machine{length: length, newAttempt: newAttempt}
}

// Held returns the fencing number while this instance may believe that it
// holds the lease. A goroutine may be paused after the answer, so what it does
// must bear being late.
func (m *Machine) Held(now time.Time) (fence objectapi.Version, ok bool) {
	if m.fence == 0 || !now.Before(m.until) {
		return 0, false
	}
	return m.fence, true
}

// Next says what to do at a moment. A write counts as sent from then on.
func (m *Machine) Next(now time.Time) Step {
	writeAt := m.writeAt()
	if m.settled && !now.Before(writeAt) {
		return m.write(now)
	}
	reads := !m.settled || !m.mine
	if reads && !now.Before(m.readDue) {
		return Step{Kind: StepRead}
	}
	switch {
	case !m.settled:
		return Step{Kind: StepWait, At: m.readDue}
	case reads && m.readDue.Before(writeAt):
		return Step{Kind: StepWait, At: m.readDue}
	}
	return Step{Kind: StepWait, At: writeAt}
}

// writeAt is when a conditional write is right: to renew, to take what is
// free, to take what stood unchanged for the whole length, or to make the
// object where it is missing.
func (m *Machine) writeAt() time.Time {
	at := m.seenAt.Add(m.length)
	switch {
	case m.mine:
		at = m.renewAt
	case m.free, m.absent:
		at = m.seenAt
	}
	if at.Before(m.writeAfter) {
		return m.writeAfter
	}
	return at
}

// write returns the conditional write that is due. Making a missing object
// takes no lease: its condition would also hold after another instance had
// taken the lease and somebody had removed the object once more. Only a version
// tells that nothing came in between.
func (m *Machine) write(now time.Time) Step {
	s := Step{Kind: StepWrite, Expected: m.seen, Attempt: m.newAttempt()}
	if m.absent {
		s.Expected = 0
	}
	m.unsettled = append(m.unsettled, sentWrite{attempt: s.Attempt, at: now, creates: m.absent})
	if over := len(m.unsettled) - maxUnsettled; over > 0 {
		m.unsettled = m.unsettled[over:]
	}
	return s
}

// Wrote says that the write has taken effect at a version.
func (m *Machine) Wrote(now time.Time, attempt string, version objectapi.Version) {
	sent, own := m.sent(attempt)
	if !own || (version <= m.seen && m.mine) {
		return
	}
	if sent.creates {
		m.see(now, version)
		m.free, m.settled = false, true
		m.readDue = now.Add(m.length / pollShare)
		return
	}
	if _, held := m.Held(now); !held {
		invariant.Check(version > m.fence, "fencing_numbers_rise", "fence %d after %d", version, m.fence)
		m.fence = version
	}
	m.see(now, version)
	m.mine, m.free, m.settled = true, false, true
	m.until = sent.at.Add(m.length - m.length/driftShare)
	m.renewAt = sent.at.Add(m.length / renewShare)
	m.unsettled = nil
}

func (m *Machine) sent(attempt string) (sentWrite, bool) {
	for _, w := range m.unsettled {
		if w.attempt == attempt {
			return w, true
		}
	}
	return sentWrite{}, false
}

// see notes which version stands in the object.
func (m *Machine) see(now time.Time, version objectapi.Version) {
	if m.seenAt.IsZero() || m.absent || version > m.seen {
		m.seenAt = now
	}
	m.seen, m.absent = version, false
}

// WriteFailed says that no success was heard of. Whatever the error, the write
// may have taken effect, so the object is read before the next one.
func (m *Machine) WriteFailed(now time.Time) {
	m.settled = false
	m.readDue = now
	m.writeAfter = now.Add(m.length / retryShare)
}

// ReadFailed says that a read was not answered.
func (m *Machine) ReadFailed(now time.Time) {
	m.readDue = now.Add(m.length / retryShare)
}

// Observed says what a read has shown. An object that does not exist has
// version 0: nobody has held the lease, or somebody has removed the object
// while a holder still believes in it.
func (m *Machine) Observed(now time.Time, obj objectapi.Object, v Value) {
	m.readDue = now.Add(m.length / pollShare)
	if obj.Version == 0 {
		if m.seenAt.IsZero() || !m.absent {
			m.seenAt = now
		}
		m.absent, m.free, m.settled = true, false, true
		m.lose()
		return
	}
	if obj.Version < m.seen {
		// A stale read tells nothing.
		return
	}
	if _, own := m.sent(obj.Attempt); own {
		m.Wrote(now, obj.Attempt, obj.Version)
		return
	}
	unchanged := m.mine && obj.Version == m.seen
	m.see(now, obj.Version)
	m.settled = true
	if !unchanged {
		m.free = v.Released
		m.lose()
	}
}

// lose ends the belief at once: another write stands in the object.
func (m *Machine) lose() {
	m.mine = false
	m.until = time.Time{}
}

// Release ends the belief and returns the write that lets others take over at
// once. ok is false where there is nothing to release.
func (m *Machine) Release(now time.Time) (s Step, ok bool) {
	if _, held := m.Held(now); !held {
		return Step{}, false
	}
	expected := m.seen
	m.lose()
	m.settled = false
	return Step{Kind: StepWrite, Expected: expected, Attempt: m.newAttempt()}, true
}
