package frontend

import (
	"strconv"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/prefix"
)

// send sends the request to the granted endpoint. If it returns nil with a.run nil, another
// endpoint must be tried; an error is final.
func (a *answer) send(g placement.Grant) error {
	r := &run{grant: g, id: a.runID(), engine: a.srv.cfg.Dial(g.Address), incarnation: g.Incarnation}
	r.version = a.srv.versions.get(g.Endpoint, a.req.placement.Model, a.req.placement.Version)
	body, err := a.body(r.version, g.Long)
	if err != nil {
		a.srv.cfg.Placer.Done(g, placement.Result{End: placement.EndUnused})
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

// runID returns the ID of the current send. Each send has an ID of its own, so that a late
// piece of an earlier send is not mistaken for a piece of a later one.
func (a *answer) runID() string {
	if a.sends == 1 {
		return a.req.id
	}
	return a.req.id + "." + strconv.Itoa(a.sends)
}

// body returns the request body for the engine: the fields of the caller and of the router,
// and the text delivered so far if another engine began the answer.
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
		// Short prompts of the class take precedence in the queue of the engine. Otherwise
		// each would wait about a second for a long uncached prompt.
		f.setInt(fieldPriority, int64(a.req.placement.Class.GetPriority())+1)
	}
	f.setBool(fieldStream, true)
	f.setString(fieldSalt, prefix.Salt(a.req.placement.Organisation, a.req.placement.Model, version).String())
	return f.encode(), nil
}

// sendFailed handles a send that got no answer: it returns nil if another endpoint can be
// tried or the run was recovered.
func (a *answer) sendFailed(err error) error {
	a.run.send.Failed(err)
	if cause := a.call.cause(); cause != nil {
		return cause
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded:
		a.started--
		a.srv.metrics.notStarted.Inc()
		a.endRun(placement.EndUnused)
		return nil
	case fault.BadRequest, fault.Conflict:
		// An engine that rejects the content of a request has answered it completely.
		a.run.send.Answering()
		a.run.send.Done()
		a.endRun(placement.EndFailed)
		return err
	}
	return a.recover(err)
}

// acceptStream checks the model version of a newly opened stream and takes over its version
// and incarnation. If the endpoint runs another version than the one from which the cache salt
// was derived, an idempotent request is cancelled and sent again with the right salt.
func (a *answer) acceptStream() error {
	r := a.run
	r.incarnation, r.answered = r.stream.Incarnation(), true
	version := r.stream.ModelVersion()
	a.srv.versions.record(r.grant.Endpoint, a.req.placement.Model, version)
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

// abandon cancels a run that must not continue. If cause is nil, the request is sent again,
// possibly to the same endpoint. Otherwise the next send excludes the endpoint, or, if no
// start is left, abandon returns cause.
func (a *answer) abandon(cause error) error {
	a.cancel()
	if cause != nil {
		a.lastErr = cause
		a.excludeEndpoint()
	}
	a.endRun(placement.EndFailed)
	if cause != nil && a.started >= maxStarts {
		return cause
	}
	return nil
}
