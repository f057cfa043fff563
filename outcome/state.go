// Package outcome tracks the state of one request from its arrival to its end, and derives from
// it the outcome that is reported to the caller: not-run, complete or unknown. No other code
// chooses the outcome: it follows from what was sent and from what endpoints answered, so that
// a request that may have run can't be reported as not run.
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
	// Admitted requests have been granted capacity.
	Admitted
	// Claimed requests hold the claim on their idempotency key.
	Claimed
	// Sent requests have been, or may have been, partly or wholly sent to an endpoint.
	Sent
	// Answering requests have received the beginning of an answer.
	Answering
	// Done requests have received their complete answer.
	Done
	// Failed requests ended in any other way.
	Failed
)

var stateNames = [...]string{"received", "admitted", "claimed", "sent", "answering", "done", "failed"}

// String returns the name of the state for logs and dumps.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Verdict is the outcome of a request. Its field is unexported and its zero value is unknown, so
// that no other package can construct the outcomes not-run or complete.
type Verdict struct{ result result }

type result int

const (
	resultUnknown result = iota
	resultNotRun
	resultComplete
)

// String returns the value of the outcome header.
func (v Verdict) String() string {
	switch v.result {
	case resultNotRun:
		return "not-run"
	case resultComplete:
		return "complete"
	}
	return "unknown"
}

// NotRun reports whether the request certainly did not run.
func (v Verdict) NotRun() bool { return v.result == resultNotRun }

// Complete reports whether the complete answer was received.
func (v Verdict) Complete() bool { return v.result == resultComplete }

// Request tracks one request. It is not safe for concurrent use.
type Request struct {
	state         State
	nonIdempotent bool
	// keyPending is set while an earlier attempt under the same idempotency key may have run
	// without this instance knowing.
	keyPending bool
	// sends is the number of sends that were started.
	sends int
	// mayHaveRun is the number of sends that may have run: all except those known not to have
	// been started by the endpoint.
	mayHaveRun int
}

// New returns the state of a request that has just arrived. nonIdempotent is set for a request
// that must never be sent while an earlier send may have run.
func New(nonIdempotent bool) *Request { return &Request{nonIdempotent: nonIdempotent} }

// State returns the stage that the request has reached.
func (r *Request) State() State { return r.state }

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return !r.nonIdempotent }

// Admit records that the request was granted capacity. A request that is sent again is admitted
// again and keeps its later state.
func (r *Request) Admit() {
	if r.check(!r.final(), "admit") {
		r.state = max(r.state, Admitted)
	}
}

// Claim records that the claim on the idempotency key is held.
func (r *Request) Claim() {
	if r.check(r.state == Admitted, "claim") {
		r.state = Claimed
	}
}

// Keyed records that the request carries an idempotency key. To its caller all attempts under the
// key are one request, and another instance may have run an earlier one: until KeyFree is called
// the outcome is unknown even if nothing was sent.
func (r *Request) Keyed() { r.keyPending = true }

// KeyFree records that, according to the stored claims, no attempt under the key has run or will
// run, or that the key belongs to a different request.
func (r *Request) KeyFree() { r.keyPending = false }

// NeedsRefusal reports whether the outcome is unknown only because of the key. It becomes not-run
// as soon as a refusal is stored that keeps the other attempts from running.
func (r *Request) NeedsRefusal() bool { return r.keyPending && r.NoSendMayHaveRun() }

// Recorded ends a request whose idempotency key is held by another attempt: that attempt's
// outcome is the request's outcome. It is unknown unless the attempt's complete answer is stored.
func (r *Request) Recorded(answered bool) {
	if !r.check(r.sends == 0 && !r.final(), "recorded") {
		return
	}
	r.sends++
	r.mayHaveRun++
	r.state = Failed
	if answered {
		r.state = Done
	}
}

// NoSendMayHaveRun reports whether nothing that this instance has sent can have run.
func (r *Request) NoSendMayHaveRun() bool { return r.state != Done && r.mayHaveRun == 0 }

// MaySend reports whether the request may be sent now: always before the first send, and after
// that only if it is idempotent or no earlier send can have run.
func (r *Request) MaySend() bool {
	return !r.final() && r.state >= Admitted && (!r.nonIdempotent || r.mayHaveRun == 0)
}

// Send records the start of a send. It must be called before the first byte is written. It
// returns nil if MaySend is false; nothing may be sent then.
func (r *Request) Send() *Send {
	if !r.check(r.MaySend(), "send") {
		return nil
	}
	r.sends++
	r.mayHaveRun++
	r.state = max(r.state, Sent)
	return &Send{request: r}
}

// Finish ends the request; every later call of Verdict returns the same outcome.
func (r *Request) Finish() Verdict {
	if !r.final() {
		r.state = Failed
	}
	return r.Verdict()
}

// Verdict returns the outcome as of now.
func (r *Request) Verdict() Verdict {
	if r.state == Done {
		return Verdict{resultComplete}
	}
	if r.mayHaveRun == 0 && !r.keyPending {
		return Verdict{resultNotRun}
	}
	return Verdict{resultUnknown}
}

func (r *Request) final() bool { return r.state == Done || r.state == Failed }

func (r *Request) check(ok bool, step string) bool {
	return invariant.Check(ok, "outcome_state", "%s in state %s with %d of %d sends that may have run", step, r.state, r.mayHaveRun, r.sends)
}

// Send is one attempt to send a request to an endpoint.
type Send struct {
	request   *Request
	ended     bool
	answering bool
}

// NotStarted ends a send of which no byte has left this process, or which the endpoint reported
// as not started. For a send whose answer has begun it reports an invariant violation and
// changes nothing.
func (s *Send) NotStarted() {
	r := s.request
	if s.ended || !r.check(!s.answering && !r.final(), "not started") {
		return
	}
	s.ended = true
	r.mayHaveRun--
}

// Failed ends the send with the error of the endpoint's client: fault.Unavailable if no byte
// was sent, fault.Overloaded if the endpoint refused to start the request. After any other error
// the request may have run.
func (s *Send) Failed(err error) {
	if kind := fault.KindOf(err); kind == fault.Unavailable || kind == fault.Overloaded {
		s.NotStarted()
	}
}

// Answering records that the endpoint's answer has begun.
func (s *Send) Answering() {
	if s.request.check(!s.ended && !s.request.final(), "answering") {
		s.answering = true
		s.request.state = Answering
	}
}

// Done records that the complete answer was received.
func (s *Send) Done() {
	if s.request.check(s.answering && !s.request.final(), "done") {
		s.request.state = Done
	}
}
