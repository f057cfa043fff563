package entry

import (
	"context"
	"errors"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/place"
)

// maxResumes bounds how often a stream is resumed without a good piece in
// between.
const maxResumes = 3

// state is what is found of a run whose connection failed.
type state int

const (
	// resumed: the run goes on, on a new connection.
	resumed state = iota
	// lost: the engine lives and does not know the run, or can't give it.
	lost
	// dead: the engine died with the run in flight.
	dead
)

// recover goes on after a break, a silence, or a piece that was not due: on a
// new connection to the same engine, or elsewhere if the engine has lost the
// run or died. A nil error means that Next can go on.
func (a *answer) recover(cause error) error {
	if gone := a.call.cause(); gone != nil {
		return gone
	}
	switch a.examine(cause) {
	case resumed:
		a.srv.metrics.resumed.Inc()
		return nil
	case dead:
		return a.afterCrash(cause)
	}
	if gone := a.call.cause(); gone != nil {
		return gone
	}
	a.excludeRun()
	a.leave(place.EndFailed)
	return a.elsewhere(cause)
}

// afterCrash reports the crash and goes on elsewhere, unless the request ran
// alone: then it is what crashed the endpoint, and the next one would die too.
func (a *answer) afterCrash(cause error) error {
	a.srv.metrics.crashed.Inc()
	alone := a.run.grant.Alone
	a.leave(place.EndCrashed)
	if alone {
		return fault.Wrap(cause, fault.Suspect, "change the request; its content crashed endpoints", "the endpoint died while it ran this request alone")
	}
	return a.elsewhere(cause)
}

// elsewhere decides whether the request may be sent again.
func (a *answer) elsewhere(cause error) error {
	a.broke = cause
	if !a.account.MaySend() {
		return fault.Wrap(cause, fault.Unknown, "ask with the same Idempotency-Key what became of it", "a non-idempotent request broke off; it may have run")
	}
	if a.progress.pieces > 0 && (a.progress.special || !a.req.single) {
		return fault.Wrap(cause, fault.Broken, "send the request again", "the endpoint died and the answer's form can't be continued elsewhere")
	}
	if !a.srv.reruns.take() {
		return fault.Wrap(cause, fault.Overloaded, "send the request again later", "too many requests had to be run again")
	}
	a.srv.metrics.continued.Inc()
	a.waitFrom(time.Now())
	return nil
}

// examine asks the engine on new connections what became of the run. An open
// connection's silence proves nothing: something in between may have forgotten
// it. Only a new connection that fails, or another incarnation, means death.
func (a *answer) examine(cause error) state {
	r := a.run
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	var status *endpoint.StatusError
	if errors.As(cause, &status) {
		return a.alive()
	}
	for ; r.resumes < maxResumes && a.call.cause() == nil; r.resumes++ {
		s, err := r.engine.Resume(a.call.ctx, r.id, r.next-1)
		if err == nil {
			return a.adopt(s)
		}
		found := a.alive()
		if found == lost && fault.Is(err, fault.NotFound) && a.maybeDied(cause) {
			return dead
		}
		if found == dead || fault.Is(err, fault.NotFound) {
			return found
		}
	}
	return lost
}

// maybeDied reports whether the engine may have died and come back unseen: the
// connection broke before any answer told the engine's incarnation, and the
// engine that is there now doesn't know the request. Taking that for a crash
// costs a run alone at worst; passing over it would let a request that crashes
// endpoints go on to the next one. A silent connection may never have brought
// the request.
func (a *answer) maybeDied(cause error) bool {
	return a.run.incarnation == 0 && !endpoint.IsTimeout(cause)
}

// alive asks the engine for its state on a new connection.
func (a *answer) alive() state {
	ctx, stop := context.WithTimeout(a.call.ctx, a.srv.silence())
	defer stop()
	st, err := a.run.engine.State(ctx)
	if a.call.cause() != nil {
		return lost
	}
	if err != nil || a.run.incarnation != 0 && st.Incarnation != a.run.incarnation {
		return dead
	}
	return lost
}

// adopt goes on with a resumed stream, if it is still the same run of the same
// weights.
func (a *answer) adopt(s endpoint.Stream) state {
	r := a.run
	r.resumes++
	// The incarnation of a grant may be an old one; only that of an answer tells
	// a restart.
	if r.answered && s.Incarnation() != r.incarnation {
		s.Close()
		return dead
	}
	if a.progress.pieces > 0 && s.ModelVersion() != a.progress.version {
		s.Close()
		return lost
	}
	r.stream = s
	r.incarnation, r.answered = s.Incarnation(), true
	a.progress.version = s.ModelVersion()
	r.send.Answering()
	return resumed
}
