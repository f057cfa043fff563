package entry

import (
	"strconv"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/place"
	"github.com/sardinedock/sardinedock/prefix"
)

// send sends the request to the granted endpoint. It leaves run nil where
// another endpoint has to be tried; an error is final.
func (a *answer) send(g place.Grant) error {
	r := &run{grant: g, id: a.runID(), engine: a.srv.cfg.Dial(g.Address), incarnation: g.Incarnation}
	r.version = a.srv.versions.get(g.Endpoint, a.req.place.Model, a.req.place.Version)
	body, err := a.body(r.version, g.Long)
	if err != nil {
		a.srv.cfg.Placer.Done(g, place.Result{End: place.EndUnused})
		return err
	}
	a.endpoint = g.Endpoint
	a.run = r
	a.started++
	r.send = a.tracker.Send()
	r.sentAt = time.Now()
	r.stream, err = r.engine.Generate(a.call.ctx, endpoint.Request{ID: r.id, Path: a.req.path, Body: body, Fresh: a.req.nonIdempotent})
	if err != nil {
		return a.sendFailed(err)
	}
	return a.acceptStream()
}

// runID names a send. Sends have ids of their own, so that a late piece of an
// earlier one can't be taken for a piece of a later one.
func (a *answer) runID() string {
	if a.sends == 1 {
		return a.req.id
	}
	return a.req.id + "." + strconv.Itoa(a.sends)
}

// body is what goes to the engine: the caller's fields, the router's, and the
// text that the caller already has where another engine began the answer.
func (a *answer) body(version string, long bool) ([]byte, error) {
	f := a.req.fields
	if a.progress.pieces > 0 {
		var ok bool
		if f, ok = f.continuation(a.req.chat, a.progress.text, a.progress.tokens); !ok {
			return nil, fault.New(fault.Broken, "send the request again", "the endpoint died and the answer's form can't be continued elsewhere")
		}
	} else {
		f = f.clone()
	}
	if long {
		// Short prompts of the class go first at the engine, or each of them
		// would wait the second that a cold catalogue takes.
		f.setInt(fieldPriority, int64(a.req.place.Class.GetPriority())+1)
	}
	f.setBool(fieldStream, true)
	f.setString(fieldSalt, prefix.Salt(a.req.place.Organisation, a.req.place.Model, version).String())
	return f.encode(), nil
}

// sendFailed decides on a send that brought no answer.
func (a *answer) sendFailed(err error) error {
	a.run.send.Failed(err)
	if cause := a.call.cause(); cause != nil {
		return cause
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded:
		a.started--
		a.srv.metrics.notStarted.Inc()
		a.endRun(place.EndUnused)
		return nil
	case fault.BadRequest, fault.Conflict:
		// The engine's refusal of the content is a whole answer.
		a.run.send.Answering()
		a.run.send.Done()
		a.endRun(place.EndFailed)
		return err
	}
	return a.recover(err)
}

// opened checks whose answer it is that has begun.
func (a *answer) acceptStream() error {
	r := a.run
	r.incarnation, r.answered = r.stream.Incarnation(), true
	version := r.stream.ModelVersion()
	a.srv.versions.record(r.grant.Endpoint, a.req.place.Model, version)
	if a.progress.pieces > 0 && version != a.progress.version {
		return a.abandon(fault.New(fault.Broken, "send the request again", "the answer was begun by version %q and the endpoint runs %q", a.progress.version, version))
	}
	if version != r.version && a.tracker.Idempotent() {
		return a.abandon(nil)
	}
	r.send.Answering()
	a.progress.version = version
	return nil
}

// giveUp cancels a run that must not go on. The next send goes elsewhere if
// the cause is given, and ends the answer with it if that was the last one.
func (a *answer) abandon(cause error) error {
	a.cancel()
	if cause != nil {
		a.lastErr = cause
		a.excludeEndpoint()
	}
	a.endRun(place.EndFailed)
	if cause != nil && a.started >= maxStarts {
		return cause
	}
	return nil
}
