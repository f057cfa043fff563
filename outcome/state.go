// Package outcome keeps the account of one request from its arrival to its end
// and derives from it the one word that the caller is told. No code chooses
// the word: it follows from what was sent and from what endpoints said, so a
// request that may have run can't be reported as not run.
package outcome

import (
	"fmt"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/invariant"
)

// State is the stage that a request has reached.
type State int

// The states. Done and Failed are final.
const (
	Received State = iota
	// Admitted requests hold a grant.
	Admitted
	// Claimed requests hold the claim of their idempotency key.
	Claimed
	// Sent requests have, or may have, bytes at an endpoint.
	Sent
	// Answering requests have received the start of an answer.
	Answering
	// Done requests have received their whole answer.
	Done
	// Failed requests ended otherwise.
	Failed
)

var stateNames = [...]string{"received", "admitted", "claimed", "sent", "answering", "done", "failed"}

// String names the state as logs and dumps show it.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Verdict is the word on a request. Its field is not exported and its zero
// value is unknown, so no other package can make the word not-run or complete.
type Verdict struct{ word word }

type word int

const (
	wordUnknown word = iota
	wordNotRun
	wordComplete
)

// String is the value of the outcome header.
func (v Verdict) String() string {
	switch v.word {
	case wordNotRun:
		return "not-run"
	case wordComplete:
		return "complete"
	}
	return "unknown"
}

// NotRun reports whether the request certainly did not run.
func (v Verdict) NotRun() bool { return v.word == wordNotRun }

// Complete reports whether the whole answer arrived.
func (v Verdict) Complete() bool { return v.word == wordComplete }

// Request is the account of one request. One goroutine may use it.
type Request struct {
	state State
	once  bool
	// keyed is set while an earlier attempt under the same idempotency key may
	// have run for all that is known here.
	keyed bool
	// sends that were opened; open ones may have run, answered ones did.
	sends int
	// open counts the sends of which nobody has said that they did not start.
	open int
}

// New returns the account of a request that has just arrived. A request that
// is non-idempotent is given once: it is never sent while an earlier send may
// have run.
func New(once bool) *Request { return &Request{once: once} }

// State returns the stage.
func (r *Request) State() State { return r.state }

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return !r.once }

// Admit notes that a grant is held; a request that is sent again is granted
// again and keeps its later state.
func (r *Request) Admit() {
	if r.check(!r.final(), "admit") {
		r.state = max(r.state, Admitted)
	}
}

// Claim notes that the idempotency key's claim is held.
func (r *Request) Claim() {
	if r.check(r.state == Admitted, "claim") {
		r.state = Claimed
	}
}

// Keyed notes that the request carries an idempotency key. To its caller all
// attempts under the key are one request, and another instance may have run an
// earlier one: until KeyFree the word is unknown even if nothing was sent.
func (r *Request) Keyed() { r.keyed = true }

// KeyFree notes that the record of claims says that no attempt under the key ran
// or will, or that the key belongs to a request for something else.
func (r *Request) KeyFree() { r.keyed = false }

// NeedsRefusal reports whether the word is unknown only because of the key: as
// soon as the record says that no other attempt ran, it is not-run.
func (r *Request) NeedsRefusal() bool { return r.keyed && r.Unrun() }

// Recorded ends the account of a request whose idempotency key another attempt
// holds: what became of that attempt is what became of the request. It is
// unknown unless the attempt's whole answer is on record.
func (r *Request) Recorded(answered bool) {
	if !r.check(r.sends == 0 && !r.final(), "recorded") {
		return
	}
	r.sends++
	r.open++
	r.state = Failed
	if answered {
		r.state = Done
	}
}

// Unrun reports whether nothing that was sent from here can have run.
func (r *Request) Unrun() bool { return r.state != Done && r.open == 0 }

// MaySend reports whether the request may be sent now: always before the first
// send, after that only if it is idempotent or no send can have started it.
func (r *Request) MaySend() bool {
	return !r.final() && r.state >= Admitted && (!r.once || r.open == 0)
}

// Send opens the account of one send. It must be called before the first byte
// leaves. It returns nil where MaySend is false; nothing may be sent then.
func (r *Request) Send() *Send {
	if !r.check(r.MaySend(), "send") {
		return nil
	}
	r.sends++
	r.open++
	r.state = max(r.state, Sent)
	return &Send{request: r}
}

// Finish ends the account; every later call of Verdict gives the same word.
func (r *Request) Finish() Verdict {
	if !r.final() {
		r.state = Failed
	}
	return r.Verdict()
}

// Verdict is the word that holds now.
func (r *Request) Verdict() Verdict {
	if r.state == Done {
		return Verdict{wordComplete}
	}
	if r.open == 0 && !r.keyed {
		return Verdict{wordNotRun}
	}
	return Verdict{wordUnknown}
}

func (r *Request) final() bool { return r.state == Done || r.state == Failed }

func (r *Request) check(ok bool, step string) bool {
	return invariant.Check(ok, "outcome_state", "%s in state %s with %d of %d sends open", step, r.state, r.open, r.sends)
}

// Send is one send of a request to one endpoint.
type Send struct {
	request *Request
	closed  bool
	began   bool
}

// NotStarted closes the send: no byte of it left this process, or the endpoint
// itself said that it did not start it. A send that has begun to answer cannot
// be closed so.
func (s *Send) NotStarted() {
	r := s.request
	if s.closed || !r.check(!s.began && !r.final(), "not started") {
		return
	}
	s.closed = true
	r.open--
}

// Failed closes the send by the error that the endpoint's client gave: of kind
// fault.Unavailable when no byte left, fault.Overloaded when the endpoint
// refused to start it. After any other error the request may have run.
func (s *Send) Failed(err error) {
	if kind := fault.KindOf(err); kind == fault.Unavailable || kind == fault.Overloaded {
		s.NotStarted()
	}
}

// Answering notes that the endpoint's answer began.
func (s *Send) Answering() {
	if s.request.check(!s.closed && !s.request.final(), "answering") {
		s.began = true
		s.request.state = Answering
	}
}

// Done notes that the whole answer arrived.
func (s *Send) Done() {
	if s.request.check(s.began && !s.request.final(), "done") {
		s.request.state = Done
	}
}
