package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
)

const (
	// silentAfter is how long an endpoint with requests may bring nothing on any of
	// its connections before it is looked at: the longest pause that callers are
	// content with, and half as much again.
	silentAfter = 600 * time.Millisecond
	// silenceLook is the time between two looks at the endpoints in use.
	silenceLook = 100 * time.Millisecond
	// silentDoubt is how long a silent endpoint that cannot be reached is in doubt.
	// It is looked at again within it while requests are there.
	silentDoubt = 1500 * time.Millisecond
)

// errSilent ends a send to an endpoint that brings nothing and cannot be reached.
var errSilent = fault.New(fault.Broken, "look at the endpoint and the way to it", "the endpoint is silent and cannot be reached")

// errEnded ends a send to an endpoint that has started again since.
var errEnded = fault.New(fault.Broken, "send the request again", "the endpoint has started again; what ran there is lost")

var silentTotal = metrics.GetOrCreateCounter("sardinedock_gateway_silent_endpoints_total")

// silenceWatch notices endpoints that fall silent with requests in flight.
//
// Load: an endpoint loses its power, or the way to it breaks, without a word. Harm
// prevented: TCP tells after four seconds at the earliest. Until then requests go on
// being sent there, and the streams that could go on elsewhere stop, until their
// callers give up after two or three seconds. One connection that cannot be made
// tells the same within a second. An endpoint that only reads a long prompt takes
// connections all the while, so nothing is broken off for slowness.
type silenceWatch struct {
	mu        sync.Mutex
	endpoints map[string]*watched
}

// watched is an endpoint with requests of this instance.
type watched struct {
	heardAt  time.Time
	attempts map[*attempt]time.Time
	probing  bool
}

func newSilenceWatch() *silenceWatch { return &silenceWatch{endpoints: map[string]*watched{}} }

// begin notes a send.
func (w *silenceWatch) begin(a *attempt, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[a.place.Endpoint.ID]
	if e == nil {
		e = &watched{attempts: map[*attempt]time.Time{}}
		w.endpoints[a.place.Endpoint.ID] = e
	}
	e.attempts[a] = now
}

// heard notes that bytes came from an endpoint.
func (w *silenceWatch) heard(endpointID string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.endpoints[endpointID]; e != nil {
		e.heardAt = now
	}
}

// end notes the end of a send.
func (w *silenceWatch) end(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[a.place.Endpoint.ID]
	if e == nil {
		return
	}
	delete(e.attempts, a)
	if len(e.attempts) == 0 {
		delete(w.endpoints, a.place.Endpoint.ID)
	}
}

// silent returns an attempt at each endpoint that has brought nothing for too long,
// and marks these as being looked at.
func (w *silenceWatch) silent(now time.Time) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*attempt
	for _, e := range w.endpoints {
		var oldest *attempt
		for a, at := range e.attempts {
			if oldest == nil || at.Before(e.attempts[oldest]) {
				oldest = a
			}
		}
		since := e.attempts[oldest]
		if e.heardAt.After(since) {
			since = e.heardAt
		}
		if !e.probing && now.Sub(since) > silentAfter {
			e.probing = true
			list = append(list, oldest)
		}
	}
	return list
}

// looked ends a look at an endpoint and returns the attempts there.
func (w *silenceWatch) looked(endpointID string, now time.Time) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[endpointID]
	if e == nil {
		return nil
	}
	e.probing, e.heardAt = false, now
	list := make([]*attempt, 0, len(e.attempts))
	for a := range e.attempts {
		list = append(list, a)
	}
	return list
}

// WatchSilence looks for silent endpoints until ctx ends.
func (s *Server) WatchSilence(ctx context.Context) {
	for clock.Sleep(ctx, silenceLook) == nil {
		for _, a := range s.silence.silent(time.Now()) {
			go s.look(ctx, a)
		}
	}
}

// look tries to reach a silent endpoint. Where that fails, all instances are told,
// and what may run elsewhere is broken off here.
func (s *Server) look(ctx context.Context, a *attempt) {
	e := a.place.Endpoint
	err := s.cfg.Relay(e.Address).Probe(ctx)
	now := time.Now()
	attempts := s.silence.looked(e.ID, now)
	if err == nil || ctx.Err() != nil {
		return
	}
	silentTotal.Inc()
	log.WithField("endpoint", e.ID).WithField("address", e.Address).WithField("requests", len(attempts)).WithField("why", err.Error()).
		Info("endpoint silent and out of reach")
	s.cfg.State.Suspect(e.ID, now.Add(silentDoubt))
	a.req.avoid(e.ID, silentDoubt)
	for _, x := range attempts {
		if r := x.req.route; r.Repeatable() || r.Resumable {
			x.cancel(errSilent)
		}
	}
}

// Ended says that an incarnation has ended, as the one after it shows. What was sent
// there is broken off at once. Its connections may stay open without a word, and a
// request that must not run twice would hold its caller until its time is over for an
// answer that can't come.
func (s *Server) Ended(endpointID string) {
	for _, a := range s.silence.looked(endpointID, time.Now()) {
		a.cancel(errEnded)
	}
}
