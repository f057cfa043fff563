// Package reachability decides to which endpoints an instance has a path, from what it sees of its own
// connections. It does no I/O and takes the time as an argument.
//
// That an instance does not reach an endpoint says little about the endpoint: a crash, a full accept
// queue and a partition between the two look the same. So what is decided here concerns this instance
// only. It is safe for concurrent use.
package reachability

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of an endpoint that is out of reach. It doubles
	// with each loss of the same endpoint that follows its return within flapWindow, up to
	// maxProbeInterval, so that a link that loses packets does not make requests change their path all
	// the time.
	probeInterval    = 400 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	flapWindow       = 10 * time.Second
	// probesToReturn is the number of successful probes in a row after which an endpoint is in reach
	// again. One may succeed by chance on a link that loses packets.
	probesToReturn = 2
	// confirmInterval is the time between these.
	confirmInterval = 100 * time.Millisecond
	// recentlyReceived is how long after bytes from an endpoint the path to it counts as open without a
	// probe.
	recentlyReceived = 300 * time.Millisecond
	// lossWindow and suspiciousLosses: as many paths lost within that time raise the question whether
	// others are lost too. A single one is mostly a crash.
	lossWindow       = 2 * time.Second
	suspiciousLosses = 2
	// sampleSize is how many endpoints of a service that are lost in a row, with nothing received from any in
	// between, stand for all of them.
	sampleSize = 8
	// maxProbes bounds the probes that are due at once.
	maxProbes = 32
	// While a service is out of reach, a sample of its endpoints is probed, one each sampleInterval: many
	// instances may be cut off together, and each endpoint would have to accept connections from all of
	// them at the moment of their return. Once returnSample endpoints are back, all count as reachable.
	sampleInterval = 100 * time.Millisecond
	returnSample   = 3
	// isolatedShare is the fraction, 1/isolatedShare, of the endpoints in use that have to be out of
	// reach for the fault to be on this side. A sample that stands for a whole service is enough too.
	isolatedShare = 2
)

// State is what this instance can do with an endpoint.
type State int

// The states.
const (
	// Open: requests can be sent.
	Open State = iota
	// NoConnections: new connections fail; those that are open may work.
	NoConnections
	// Silent: nothing arrives from the endpoint, on open connections either.
	Silent
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case NoConnections:
		return "no connections"
	case Silent:
		return "silent"
	}
	return "open"
}

// service sums up the paths to the endpoints of one service.
type service struct {
	name string
	// endpoints is their number, lost how many of them are not open.
	endpoints, lost int
	// lostInRow is how many of them have been lost since bytes last arrived over an open path, and receivedCount
	// how often that has been.
	lostInRow     int
	receivedCount uint64
	// out is set from when the service gets out of reach, at outAt, until a sample of it has returned;
	// returned is how many endpoints have. nextProbe is when the next endpoint may be probed meanwhile.
	out              bool
	outAt, nextProbe time.Time
	returned         int
}

// outOfReach reports whether none of the endpoints is in reach.
func (s *service) outOfReach() bool {
	return s.lost > 0 && s.lost == s.endpoints || s.lostInRow >= sampleSize
}

// path is the path to one endpoint.
type path struct {
	service *service
	state   State
	// used is set once anything is known of the path.
	used bool
	// receivedBefore is service.receivedCount when the path was lost.
	receivedBefore uint64
	// lostAt is when the path was lost; returnedAt when it last returned.
	lostAt, returnedAt time.Time
	// receivedAt is when bytes last arrived.
	receivedAt time.Time
	// probeAt is when the next probe is due, if the path is lost or in doubt; zero otherwise.
	probeAt  time.Time
	probing  bool
	interval time.Duration
	// succeeded is the number of successful probes in a row.
	succeeded int
}

// Table holds the paths to all endpoints.
type Table struct {
	mu       sync.Mutex
	paths    map[string]*path
	services map[string]*service
	// lostPaths is the number of paths that are not open, used the number of those of which anything is
	// known.
	lostPaths, used int
}

// NewTable returns a table without endpoints.
func NewTable() *Table { return &Table{paths: map[string]*path{}, services: map[string]*service{}} }

// Put adds an endpoint of a service, whose path counts as open.
func (t *Table) Put(endpoint, serviceName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, ok := t.paths[endpoint]; ok {
		if w.service.name == serviceName {
			return
		}
		t.remove(endpoint, w)
	}
	s := t.services[serviceName]
	if s == nil {
		s = &service{name: serviceName}
		t.services[serviceName] = s
	}
	s.endpoints++
	t.paths[endpoint] = &path{service: s}
}

// Remove removes an endpoint.
func (t *Table) Remove(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, ok := t.paths[endpoint]; ok {
		t.remove(endpoint, w)
	}
}

func (t *Table) remove(endpoint string, w *path) {
	s := w.service
	if w.state != Open && w.receivedBefore == s.receivedCount {
		s.lostInRow--
	}
	t.set(w, Open)
	if w.used {
		t.used--
	}
	delete(t.paths, endpoint)
	if s.endpoints--; s.endpoints == 0 {
		delete(t.services, s.name)
	}
}

// set changes the state of a path.
func (t *Table) set(w *path, s State) {
	if w.state != Open {
		t.lostPaths--
		w.service.lost--
	}
	if w.state = s; s != Open {
		t.lostPaths++
		w.service.lost++
	}
	if w.service.lost == 0 {
		w.service.out = false
	}
}

// use records that something is known of a path.
func (t *Table) use(w *path) {
	if !w.used {
		w.used = true
		t.used++
	}
}

// received records that bytes have arrived over a path.
func (t *Table) received(now time.Time, w *path) {
	t.use(w)
	w.receivedAt = now
	if w.state == Open {
		w.service.receivedCount++
		w.service.lostInRow = 0
	}
}

// Received records that bytes have arrived from an endpoint, on a connection that was made at the given time.
// It reports whether the path has returned: one that was silent has, but bytes on a connection made before
// the loss do not show that new ones can be made.
func (t *Table) Received(now time.Time, endpoint string, connected time.Time) (returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paths[endpoint]
	if w == nil {
		return false
	}
	returned = w.state == Silent || w.state == NoConnections && connected.After(w.lostAt)
	if returned {
		t.open(now, w)
	}
	t.received(now, w)
	if w.state == Open {
		w.probeAt = time.Time{}
	}
	return returned
}

// Lost records that an endpoint can't be reached. state is NoConnections or Silent. It reports whether the
// path was open before.
func (t *Table) Lost(now time.Time, endpoint string, state State) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paths[endpoint]
	if w == nil {
		return false
	}
	changed = w.state == Open
	t.set(w, max(w.state, state))
	if changed {
		t.lost(now, w)
	}
	return changed
}

// lost schedules the probes of a path that has just been lost. If it is the second one within
// lossWindow, the paths on which nothing has arrived for some time are probed at once: if this instance
// is partitioned, its requests need not find out one path after the other.
func (t *Table) lost(now time.Time, w *path) {
	t.use(w)
	s := w.service
	w.receivedBefore = s.receivedCount
	before := s.lostInRow >= sampleSize
	if s.lostInRow++; s.outOfReach() && !before {
		s.out, s.outAt, s.nextProbe, s.returned = true, now, now, 0
	}
	last := w.interval
	w.lostAt, w.succeeded, w.interval = now, 0, probeInterval
	if !w.returnedAt.IsZero() && now.Sub(w.returnedAt) < flapWindow {
		w.interval = min(2*max(last, probeInterval), maxProbeInterval)
	}
	w.probeAt = now.Add(w.interval)
	recent := 0
	for _, other := range t.paths {
		if other.state != Open && now.Sub(other.lostAt) < lossWindow {
			recent++
		}
	}
	if recent < suspiciousLosses {
		return
	}
	for _, other := range t.paths {
		if other.state == Open && other.probeAt.IsZero() && now.Sub(other.receivedAt) > recentlyReceived {
			other.probeAt = now
		}
	}
}

// Probed records the result of a probe that Due has named. It reports whether the state has changed.
func (t *Table) Probed(now time.Time, endpoint string, ok bool) (state State, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paths[endpoint]
	if w == nil {
		return Open, false
	}
	w.probing = false
	switch {
	case !ok && w.state == Open:
		t.set(w, NoConnections)
		t.lost(now, w)
		return w.state, true
	case !ok:
		w.succeeded = 0
		w.probeAt = now.Add(w.interval)
	case w.state == Open:
		w.probeAt = time.Time{}
		t.received(now, w)
	default:
		if w.succeeded++; w.succeeded >= probesToReturn {
			t.open(now, w)
			t.received(now, w)
			return Open, true
		}
		w.probeAt = now.Add(confirmInterval)
	}
	return w.state, false
}

func (t *Table) open(now time.Time, w *path) {
	t.set(w, Open)
	w.returnedAt, w.probeAt, w.succeeded = now, time.Time{}, 0
	s := w.service
	if !s.out {
		return
	}
	if s.returned++; s.returned >= min(returnSample, s.endpoints) {
		t.openRest(now, s)
	}
}

// openRest takes the paths of a service for open that were lost when it got out of reach. Requests show
// which of them are not.
func (t *Table) openRest(now time.Time, s *service) {
	s.out = false
	for _, w := range t.paths {
		if w.service != s || w.state != Open && w.lostAt.Before(s.outAt.Add(-lossWindow)) {
			continue
		}
		if w.state != Open {
			t.open(now, w)
		}
		w.probeAt = time.Time{}
	}
}

// Due returns the endpoints to probe now; the caller has to report each result to Probed.
func (t *Table) Due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for id, w := range t.paths {
		if len(list) == maxProbes {
			break
		}
		if w.probing || w.probeAt.IsZero() || now.Before(w.probeAt) {
			continue
		}
		if s := w.service; s.out && w.succeeded == 0 {
			if now.Before(s.nextProbe) {
				continue
			}
			s.nextProbe = now.Add(sampleInterval)
		}
		w.probing = true
		list = append(list, id)
	}
	return list
}

// State returns the state of the path to an endpoint. An unknown one counts as open.
func (t *Table) State(endpoint string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.paths[endpoint]; w != nil {
		return w.state
	}
	return Open
}

// ReceivedWithin reports whether bytes have arrived from an endpoint within d.
func (t *Table) ReceivedWithin(now time.Time, endpoint string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paths[endpoint]
	return w != nil && now.Sub(w.receivedAt) < d
}

// Doubtful reports whether the path to an endpoint may be lost although it counts as open: several others
// are, and nothing has arrived from this one for some time.
func (t *Table) Doubtful(now time.Time, endpoint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.paths[endpoint]
	return t.lostPaths >= suspiciousLosses && w != nil && w.state == Open && now.Sub(w.receivedAt) >= recentlyReceived
}

// Isolated reports whether so many endpoints are out of reach that the fault is probably on this side.
// What such an instance sees of endpoints must not concern others.
func (t *Table) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostPaths < suspiciousLosses {
		return false
	}
	for _, s := range t.services {
		if s.lostInRow >= sampleSize {
			return true
		}
	}
	return isolatedShare*t.lostPaths >= t.used
}

// LostServices returns the sorted services of which this instance reaches no endpoint.
func (t *Table) LostServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lostPaths == 0 {
		return nil
	}
	var list []string
	for _, s := range t.services {
		if s.outOfReach() {
			list = append(list, s.name)
		}
	}
	slices.Sort(list)
	return list
}

// View is the path to one endpoint in the state dump.
type View struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	State    string `json:"state"`
	// LostMs is how long ago the path was lost.
	LostMs int64 `json:"lost_ms_ago"`
}

// Views returns the paths that are lost, by endpoint.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []View
	for _, id := range slices.Sorted(maps.Keys(t.paths)) {
		if w := t.paths[id]; w.state != Open {
			list = append(list, View{id, w.service.name, w.state.String(), now.Sub(w.lostAt).Milliseconds()})
		}
	}
	return list
}
