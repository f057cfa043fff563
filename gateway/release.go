package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Origins knows which releases of the endpoints' software began the streams that may be resumed.
type Origins interface {
	// Began records the release that wrote the first event of a stream of this instance.
	Began(k origin.Key, release string, life time.Duration)
	// Find returns the release that a stream of a service, which has lasted for at most the given life, may go on
	// at; empty if that is not known. It may block while other instances are asked: for some tens of
	// ms, or for up to a second at an instance that has just started.
	// from names the instance that knew, empty for this one.
	Find(ctx context.Context, service string, k origin.Key, life time.Duration) (release string, result origin.Result, from string)
}

var (
	errReleaseGone    = fault.New(fault.Unavailable, "begin the stream anew", "no endpoint of the release that began the stream is left")
	errReleaseUnknown = fault.New(fault.Unavailable, "begin the stream anew", "it is not known which release began the stream")
)

// resumableTimeouts is for how many timeouts of its route a stream may last before its caller resumes it: a first and a
// second try.
const resumableTimeouts = 2

func resumptionsTotal(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`sardinedock_stream_resumptions_total{origin="` + result + `"}`)
}

// bindRelease finds the release that may run a request which resumes a stream that an earlier request of the caller
// began. What two releases write does not fit together, and endpoints don't check it.
func (r *request) bindRelease() error {
	if r.call.ResumeAfter == "" || !r.route.Resumable {
		return nil
	}
	if r.release != "" {
		r.releaseFrom = r.origin
		return nil
	}
	k, life := origin.KeyOf(r.organisationName(), r.call.Resumes), resumableTimeouts*r.route.Timeout
	release, result, from := r.srv.cfg.Origins.Find(r.reqCtx, r.service.Name, k, life)
	resumptionsTotal(result.String()).Inc()
	r.release, r.releaseFrom = release, cmp.Or(from, r.srv.cfg.Instance)+": "+result.String()
	if release == "" {
		return errReleaseUnknown
	}
	return nil
}

func (r *request) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

// release returns the release of the endpoint that answers; empty if it is not known for certain.
func (a *attempt) release() string {
	if a.forwarded() {
		return string(a.resp.Header().Peek(HeaderForwardRelease))
	}
	if state := a.req.srv.cfg.State; state.Exists(a.place.Endpoint.ID) {
		return state.ReleaseOf(a.place.Endpoint.ID)
	}
	return a.place.Endpoint.Release
}

// checkRelease returns an error if an answer that goes on with a stream was not written by the release that began it.
// An instance of an earlier version does not know what a forwarded request is bound to.
func (a *attempt) checkRelease() error {
	if bound := a.req.release; bound != "" && a.release() != bound {
		return fault.New(fault.Broken, "begin the stream anew", "release %q answered in place of %q", a.release(), bound)
	}
	return nil
}

// reportOrigin adds to the report of a run's first event which release wrote it, if the stream may be resumed.
func (a *attempt) reportOrigin(m *gossippb.RunStage) {
	r, release := a.req, a.release()
	if !r.route.Resumable || release == "" {
		return
	}
	k, life := origin.KeyOf(r.organisationName(), r.call.ID), time.Until(r.patience)
	r.srv.cfg.Origins.Began(k, release, life)
	m.Stream, m.Release, m.StreamMs = uint64(k), release, life.Milliseconds()
}
