package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// crashAvoidance is how long this instance avoids an endpoint that died while it ran
	// one of its requests. By then the owner's published status has arrived.
	crashAvoidance = 2 * time.Second
	// ownerRetryInterval is how long an owner that did not answer is not asked again. Each
	// ask to it delays a request by askTimeout; one ask per interval detects that it is
	// reachable again.
	ownerRetryInterval = 500 * time.Millisecond
)

// states is this instance's own view of endpoints and owners, for the choice of candidates
// and for placement without an owner. It is safe for concurrent use; the lock is held only
// for a few map accesses.
type states struct {
	mu           sync.Mutex
	reported     map[string]*fleetpb.EndpointState
	crashed      map[string]time.Time
	inFlight     map[string]int
	unresponsive map[string]time.Time
}

func newStates() *states {
	return &states{
		reported: map[string]*fleetpb.EndpointState{}, crashed: map[string]time.Time{},
		inFlight: map[string]int{}, unresponsive: map[string]time.Time{},
	}
}

// update applies a state that the endpoint's owner published. A new incarnation ends the
// avoidance after a crash.
func (s *states) update(endpoint string, state *fleetpb.EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.reported[endpoint]; old.GetIncarnation() != state.GetIncarnation() {
		delete(s.crashed, endpoint)
	}
	s.reported[endpoint] = state
}

// retain drops the endpoints that are not in known.
func (s *states) retain(known map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.reported {
		if _, ok := known[name]; !ok {
			delete(s.reported, name)
		}
	}
	for name := range s.crashed {
		if _, ok := known[name]; !ok {
			delete(s.crashed, name)
		}
	}
}

// usable reports whether new work may go to the endpoint. An endpoint without a published
// state is usable: a starting instance has to serve before it has received any.
func (s *states) usable(endpoint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.reported[endpoint].GetStatus()
	live := status == fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE || status == fleetpb.EndpointStatus_ENDPOINT_STATUS_UNSPECIFIED
	return live && now.Sub(s.crashed[endpoint]) >= crashAvoidance
}

func (s *states) incarnation(endpoint string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reported[endpoint].GetIncarnation()
}

func (s *states) markCrashed(endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed[endpoint] = now
}

// sent counts a request of this instance as running on the endpoint; ended removes it.
func (s *states) sent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[endpoint]++
}

func (s *states) ended(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[endpoint]--; s.inFlight[endpoint] <= 0 {
		delete(s.inFlight, endpoint)
	}
}

func (s *states) running(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[endpoint]
}

// canAsk reports whether the owner should be asked. For an unresponsive owner it returns
// true once per ownerRetryInterval.
func (s *states) canAsk(instance string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.unresponsive[instance]
	if !ok {
		return true
	}
	if now.Before(until) {
		return false
	}
	s.unresponsive[instance] = now.Add(ownerRetryInterval)
	return true
}

func (s *states) markResponsive(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unresponsive, instance)
}

func (s *states) markUnresponsive(instance string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[instance] = now.Add(ownerRetryInterval)
}

// all returns a copy of the map of published states. The states themselves are never
// modified.
func (s *states) all() map[string]*fleetpb.EndpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reported)
}

// dump returns copies for the state dump: the status of endpoints, this instance's requests
// on them, and the unresponsive owners.
func (s *states) dump() (reported map[string]string, running map[string]int, unresponsive []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported = make(map[string]string, len(s.reported))
	for name, state := range s.reported {
		reported[name] = state.GetStatus().String()
	}
	for instance := range s.unresponsive {
		unresponsive = append(unresponsive, instance)
	}
	slices.Sort(unresponsive)
	return reported, maps.Clone(s.inFlight), unresponsive
}
