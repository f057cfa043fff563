package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/reachability"
)

const (
	// pathCheckInterval is the time between two checks for probes that are due.
	pathCheckInterval = 50 * time.Millisecond
	// pathLines bounds the log lines about paths of single endpoints in each pathLinesWindow.
	pathLines       = 5
	pathLinesWindow = time.Second
)

var (
	pathsLost     = metrics.GetOrCreateCounter("sardinedock_gateway_ways_lost_total")
	pathsRestored = metrics.GetOrCreateCounter("sardinedock_gateway_ways_returned_total")
	pathProbes    = metrics.GetOrCreateCounter("sardinedock_gateway_way_probes_total")
)

// pathLog logs which endpoints and services are out of reach from this instance. It is safe for concurrent
// use.
type pathLog struct {
	mu       sync.Mutex
	since    time.Time
	lines    int
	services []string
}

// endpoint logs a change of the path to one endpoint, unless there were many in the last second.
func (l *pathLog) endpoint(e balance.Endpoint, s reachability.State, why string) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.since) > pathLinesWindow {
		l.since, l.lines = now, 0
	}
	l.lines++
	skip := l.lines > pathLines
	l.mu.Unlock()
	if skip {
		return
	}
	entry := log.WithField("endpoint", e.ID).WithField("address", e.Address)
	if s == reachability.Open {
		entry.Info("endpoint in reach again")
		return
	}
	entry.WithField("way", s.String()).WithField("why", why).Info("endpoint out of reach from here")
}

// update logs a change of the services that are out of reach. It reports whether there was one.
func (l *pathLog) update(services []string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(services, l.services) {
		return false
	}
	log.WithField("services", strings.Join(services, ",")).WithField("before", strings.Join(l.services, ",")).Info("services out of reach from here")
	l.services = services
	return true
}

// received records that bytes have arrived from an endpoint, on a connection that was made at the given time.
func (s *Server) received(e balance.Endpoint, now, connected time.Time) {
	s.activity.received(e.ID, now)
	if s.cfg.Paths.Received(now, e.ID, connected) {
		s.pathRestored(e)
	}
}

// received records that bytes of the attempt's answer have arrived.
func (a *attempt) received() {
	now := time.Now()
	if a.forwarded() {
		a.req.srv.activity.received(a.place.Endpoint.ID, now)
		return
	}
	a.req.srv.received(a.place.Endpoint, now, a.resp.ConnectedAt())
}

// pathLost records that an endpoint can't be reached from here.
func (s *Server) pathLost(e balance.Endpoint, state reachability.State, why error) {
	if s.cfg.Paths.Lost(time.Now(), e.ID, state) {
		pathsLost.Inc()
		s.pathLog.endpoint(e, state, why.Error())
		s.announceLostServices()
	}
}

// announceLostServices tells the other instances which services are out of reach from here, if that has
// changed.
func (s *Server) announceLostServices() {
	if services := s.cfg.Paths.LostServices(); s.pathLog.update(services) {
		s.cfg.Broadcaster.ReportLostServices(services)
	}
}

func (s *Server) pathRestored(e balance.Endpoint) {
	pathsRestored.Inc()
	s.pathLog.endpoint(e, reachability.Open, "")
	s.announceLostServices()
}

// ProbePaths probes the endpoints whose paths are lost or in doubt until ctx is done.
func (s *Server) ProbePaths(ctx context.Context) {
	for clock.Sleep(ctx, pathCheckInterval) == nil {
		for _, id := range s.cfg.Paths.Due(time.Now()) {
			go s.probePath(ctx, id)
		}
		// Endpoints may have been added or removed.
		s.announceLostServices()
	}
}

func (s *Server) probePath(ctx context.Context, endpointID string) {
	e, listed := s.cfg.State.Listed(endpointID)
	if !listed {
		s.cfg.Paths.Remove(endpointID)
		return
	}
	pathProbes.Inc()
	err := s.cfg.Relay(e.Address).Probe(ctx)
	now := time.Now()
	if err != nil && ctx.Err() == nil {
		s.cfg.State.Suspect(endpointID, now.Add(unreachableAvoidance))
	}
	state, changed := s.cfg.Paths.Probed(now, endpointID, err == nil)
	switch {
	case !changed || ctx.Err() != nil:
	case state == reachability.Open:
		s.pathRestored(e)
	default:
		pathsLost.Inc()
		s.pathLog.endpoint(e, state, err.Error())
		s.announceLostServices()
	}
}
