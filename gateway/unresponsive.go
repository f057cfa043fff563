package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/reachability"
)

const (
	// unresponsiveAfter is how long an endpoint with open requests may send nothing on any of its
	// connections before it is probed: 1.5 times the longest pause that callers accept.
	unresponsiveAfter = 600 * time.Millisecond
	// activityCheckInterval is the time between two checks of the endpoints in use.
	activityCheckInterval = 100 * time.Millisecond
	// suspectFor is how long an endpoint that is unresponsive and unreachable stays suspected.
	// While requests are open there, it is probed again within that time.
	suspectFor = 1500 * time.Millisecond
)

// errUnresponsive cancels a send to an endpoint that sends nothing and can't be reached.
var errUnresponsive = fault.New(fault.Broken, "look at the endpoint and the way to it", "the endpoint is silent and cannot be reached")

// errEndpointRestarted cancels a send to an endpoint that has restarted since.
var errEndpointRestarted = fault.New(fault.Broken, "send the request again", "the endpoint has started again; what ran there is lost")

var unresponsiveTotal = metrics.GetOrCreateCounter("sardinedock_gateway_silent_endpoints_total")

// activityWatch detects endpoints that stop sending while requests are in flight.
//
// When an endpoint loses power, or the network path to it breaks, TCP reports it after four seconds
// at the earliest. Until then requests would still be sent there, and streams that could be resumed
// elsewhere would stall until their callers give up after two or three seconds. A connection
// attempt that fails shows the same within a second. An endpoint that is only processing a long
// prompt still accepts connections, so no request is cancelled for slowness.
type activityWatch struct {
	mu        sync.Mutex
	endpoints map[string]*watchedEndpoint
}

// watchedEndpoint is an endpoint with open requests of this instance.
type watchedEndpoint struct {
	receivedAt time.Time
	attempts   map[*attempt]time.Time
	probing    bool
}

func newActivityWatch() *activityWatch {
	return &activityWatch{endpoints: map[string]*watchedEndpoint{}}
}

// begin records a send.
func (w *activityWatch) begin(a *attempt, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[a.place.Endpoint.ID]
	if e == nil {
		e = &watchedEndpoint{attempts: map[*attempt]time.Time{}}
		w.endpoints[a.place.Endpoint.ID] = e
	}
	e.attempts[a] = now
}

// received records that bytes arrived from an endpoint.
func (w *activityWatch) received(endpointID string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.endpoints[endpointID]; e != nil {
		e.receivedAt = now
	}
}

// end records the end of a send.
func (w *activityWatch) end(a *attempt) {
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

// startProbes returns one attempt at each endpoint that has sent nothing for unresponsiveAfter, and
// marks these endpoints as being probed.
func (w *activityWatch) startProbes(now time.Time) []*attempt {
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
		if e.receivedAt.After(since) {
			since = e.receivedAt
		}
		if !e.probing && now.Sub(since) > unresponsiveAfter {
			e.probing = true
			list = append(list, oldest)
		}
	}
	return list
}

// endProbe ends the probe of an endpoint and returns the attempts there.
func (w *activityWatch) endProbe(endpointID string, now time.Time) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[endpointID]
	if e == nil {
		return nil
	}
	e.probing, e.receivedAt = false, now
	list := make([]*attempt, 0, len(e.attempts))
	for a := range e.attempts {
		list = append(list, a)
	}
	return list
}

// ProbeUnresponsive probes unresponsive endpoints until ctx is done.
func (s *Server) ProbeUnresponsive(ctx context.Context) {
	for clock.Sleep(ctx, activityCheckInterval) == nil {
		for _, a := range s.activity.startProbes(time.Now()) {
			go s.probe(ctx, a)
		}
	}
}

// probe tries to connect to an unresponsive endpoint. If that fails, all instances avoid it for a
// while, and the attempts there whose requests may be repeated or resumed are cancelled.
func (s *Server) probe(ctx context.Context, a *attempt) {
	e := a.place.Endpoint
	relay := s.cfg.Relay
	if a.forwarded() {
		relay = s.cfg.PeerRelay
	}
	err := relay(e.Address).Probe(ctx)
	now := time.Now()
	attempts := s.activity.endProbe(e.ID, now)
	if err == nil || ctx.Err() != nil {
		return
	}
	unresponsiveTotal.Inc()
	relay(e.Address).Close()
	if a.forwarded() {
		s.cfg.Peers.ForwarderFailed(a.forwarder.Name)
		log.WithField("peer", a.forwarder.Name).WithField("requests", len(attempts)).WithField("why", err.Error()).Info("instance silent and out of reach")
	} else {
		s.pathLost(e, reachability.Silent, err)
		log.WithField("endpoint", e.ID).WithField("address", e.Address).WithField("requests", len(attempts)).WithField("why", err.Error()).
			Info("endpoint silent and out of reach")
		s.avoid(e.ID, now, suspectFor)
	}
	for _, x := range attempts {
		if r := x.req.route; r.Repeatable() || r.Resumable {
			x.cancel(errUnresponsive)
		}
	}
}

// CancelEndpoint cancels all attempts at an endpoint's incarnation that has ended, which is known
// from its successor. Its connections may stay open without any data, and a request that must not
// run twice would keep its caller waiting until the timeout for an answer that can't come.
func (s *Server) CancelEndpoint(endpointID string) {
	for _, a := range s.activity.endProbe(endpointID, time.Now()) {
		a.cancel(errEndpointRestarted)
	}
}
