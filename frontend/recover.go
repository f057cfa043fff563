package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/placement"
)

// maxResumes limits how often a stream is resumed without a valid piece in between.
const maxResumes = 3

// probeResult is the state of a run whose connection failed.
type probeResult int

const (
	// resumed: the run continues on a new connection.
	resumed probeResult = iota
	// runLost: the engine is alive but does not know the run or cannot resume it.
	runLost
	// engineDied: the engine crashed during the run.
	engineDied
)

// recover recovers from a broken or unresponsive connection or an unexpected piece: it resumes
// the run on a new connection to the same engine, or prepares a rerun elsewhere if the engine
// has lost the run or died. After a nil error, Next continues.
func (a *answer) recover(cause error) error {
	if callErr := a.call.cause(); callErr != nil {
		return callErr
	}
	switch a.probeRun(cause) {
	case resumed:
		a.srv.metrics.resumed.Inc()
		return nil
	case engineDied:
		return a.afterCrash(cause)
	}
	if callErr := a.call.cause(); callErr != nil {
		return callErr
	}
	a.excludeEndpoint()
	a.endRun(placement.EndFailed)
	return a.retryElsewhere(cause)
}

// afterCrash reports the crash and prepares a rerun elsewhere, unless the request ran alone on
// the endpoint: then the request itself caused the crash and would crash the next endpoint
// too.
func (a *answer) afterCrash(cause error) error {
	a.srv.metrics.crashed.Inc()
	alone := a.run.grant.Alone
	a.endRun(placement.EndCrashed)
	if alone {
		return fault.Wrap(cause, fault.Suspect, "change the request; its content crashed endpoints", "the endpoint died while it ran this request alone")
	}
	return a.retryElsewhere(cause)
}

// retryElsewhere checks whether the request may be sent again and prepares the rerun. If not,
// it returns the error for the caller.
func (a *answer) retryElsewhere(cause error) error {
	a.lastErr = cause
	if !a.tracker.MaySend() {
		return fault.Wrap(cause, fault.Unknown, "ask with the same Idempotency-Key what became of it", "a non-idempotent request broke off; it may have run")
	}
	if a.progress.pieces > 0 && (a.progress.notText || !a.req.singleChoice) {
		return fault.Wrap(cause, fault.Broken, "send the request again", "the endpoint died and the answer's form can't be continued elsewhere")
	}
	if !a.srv.reruns.take() {
		return fault.Wrap(cause, fault.Overloaded, "send the request again later", "too many requests had to be run again")
	}
	a.srv.metrics.rerun.Inc()
	a.resetStartDeadline(time.Now())
	return nil
}

// probeRun asks the engine on new connections for the state of the run and resumes it if
// possible. That no data arrives on an open connection proves nothing: a middlebox may have
// dropped the connection. Only a failing new connection or another incarnation means that the
// engine died.
func (a *answer) probeRun(cause error) probeResult {
	r := a.run
	if r.stream != nil {
		r.stream.Close()
		r.stream = nil
	}
	var status *endpoint.StatusError
	if errors.As(cause, &status) {
		return a.probeEngine()
	}
	for ; r.resumes < maxResumes && a.call.cause() == nil; r.resumes++ {
		s, err := r.engine.Resume(a.call.ctx, r.id, r.next-1)
		if err == nil {
			return a.attach(s)
		}
		found := a.probeEngine()
		if found == runLost && fault.Is(err, fault.NotFound) && a.mayHaveRestarted(cause) {
			return engineDied
		}
		if found == engineDied || fault.Is(err, fault.NotFound) {
			return found
		}
	}
	return runLost
}

// mayHaveRestarted reports whether the engine may have crashed and restarted unnoticed: the
// connection broke before any answer reported the incarnation, and the engine that now answers
// does not know the request. A false positive costs at most an isolated run of the request; a
// false negative would let a request that crashes endpoints move on to the next one. Timeouts
// are excluded: the request may never have arrived on an unresponsive connection.
func (a *answer) mayHaveRestarted(cause error) bool {
	return a.run.incarnation == 0 && !endpoint.IsTimeout(cause)
}

// probeEngine queries the state of the engine on a new connection and returns engineDied or
// runLost.
func (a *answer) probeEngine() probeResult {
	ctx, stop := context.WithTimeout(a.call.ctx, a.srv.silenceTimeout())
	defer stop()
	st, err := a.run.engine.State(ctx)
	if a.call.cause() != nil {
		return runLost
	}
	if err != nil || a.run.incarnation != 0 && st.Incarnation != a.run.incarnation {
		return engineDied
	}
	return runLost
}

// attach continues with a resumed stream if it belongs to the same run with the same model
// weights.
func (a *answer) attach(s endpoint.Stream) probeResult {
	r := a.run
	r.resumes++
	// The incarnation in a grant may be outdated; only a change from one that an answer
	// reported shows a restart.
	if r.answered && s.Incarnation() != r.incarnation {
		s.Close()
		return engineDied
	}
	if a.progress.pieces > 0 && s.ModelVersion() != a.progress.version {
		s.Close()
		return runLost
	}
	r.stream = s
	r.incarnation, r.answered = s.Incarnation(), true
	a.progress.version = s.ModelVersion()
	r.send.Answering()
	return resumed
}
