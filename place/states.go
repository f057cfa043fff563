package place

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// crashSuspicion is how long this instance avoids an endpoint that died
	// under one of its requests, until the owner's word of it has come round.
	crashAvoidance = 2 * time.Second
	// ownerSilence is how long an owner that did not answer is not asked
	// again. Each ask of it would cost a request the bound of an ask; one a
	// period notices that it is back.
	ownerRetryInterval = 500 * time.Millisecond
)

// states is what this instance holds of endpoints and of owners, for the
// choice of candidates and for the time without an owner's answer. Any
// goroutine may use it; the lock is held for a few map accesses.
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

// tell takes what an owner says of an endpoint. Another incarnation ends the
// suspicion of a crash.
func (s *states) update(endpoint string, state *fleetpb.EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.reported[endpoint]; old.GetIncarnation() != state.GetIncarnation() {
		delete(s.crashed, endpoint)
	}
	s.reported[endpoint] = state
}

// keep forgets the endpoints that no record names any more.
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

// usable reports whether new work may go to the endpoint. One that nobody has
// told of is: a starting instance has to serve before it has heard of any.
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

// sent counts a request of this instance on the endpoint, ended the end of it.
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

// mayAsk reports whether the owner is worth an ask. After a silence one ask a
// period goes through.
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

// all copies what owners say of endpoints. The states themselves are never
// changed.
func (s *states) all() map[string]*fleetpb.EndpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reported)
}

// dump copies what is held: the status of endpoints, this instance's requests
// on them, and the owners that did not answer.
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
