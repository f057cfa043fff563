package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// firstStatementSeed is the first seed whose endpoints state in their answers that they leave, or for
// how long they want no requests from an instance.
const firstStatementSeed = 110000

const (
	// leavingHeader is how an endpoint states that it leaves.
	leavingHeader = "Server-Leaving"
	// pauseSlack is how long after a rejection requests that were sent before may still arrive, and
	// pauseTolerance the number of requests that an endpoint tolerates from then to the end of the time
	// for which it wants none.
	pauseSlack     = 500 * time.Millisecond
	pauseTolerance = 2
)

// statementFaults are the additional faults of seeds from firstStatementSeed on.
var statementFaults = []fault{
	{"endpoint leaves and its entry follows late", func(s *soak, rng *rand.Rand, duration time.Duration) {
		x := s.pickServer(rng)
		s.addServer(x.service)
		x.statesLeaving.Store(true)
		for until := time.Now().Add(drainMs*time.Millisecond + duration); time.Now().Before(until); {
			time.Sleep(heartbeatMs * time.Millisecond)
			x.publishEntry("ready")
		}
		x.leave()
	}},
	{"endpoint leaves while the store is down", func(s *soak, rng *rand.Rand, duration time.Duration) {
		x := s.pickServer(rng)
		s.disturbStore(func() {
			s.store.Refuse(503)
			x.statesLeaving.Store(true)
			time.Sleep(max(duration, 2*drainMs*time.Millisecond))
			s.store.Refuse(0)
		})
		s.addServer(x.service)
		x.leave()
	}},
	{"endpoint pauses", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.pickServer(rng).pauseFor(rng, duration)
	}},
	{"half of a service pauses", func(s *soak, rng *rand.Rand, duration time.Duration) { s.pauseService(rng, 2, duration) }},
	{"a service pauses", func(s *soak, rng *rand.Rand, duration time.Duration) { s.pauseService(rng, 1, duration) }},
}

// pauseService makes one in oneIn endpoints of a service pause.
func (s *soak) pauseService(rng *rand.Rand, oneIn int, duration time.Duration) {
	service := s.pickServer(rng).service
	var wg sync.WaitGroup
	for n, x := range s.liveServers() {
		if x.service == service && n%oneIn == 0 {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			wg.Go(func() { x.pauseFor(own, duration) })
		}
	}
	wg.Wait()
}

// pauseFor makes an endpoint reject all requests for the given time, with a Retry-After that some
// write in another form or not at all.
func (x *server) pauseFor(rng *rand.Rand, duration time.Duration) {
	text := []string{"1", "2", "3", "0.7", "2.5", "", "soon", "-1"}[rng.IntN(8)]
	x.retryAfter.Store(&text)
	x.behaveFor(pausing, duration)
}

// pauseAsked is a rejection of a request that an instance sent, with the time for which the endpoint wanted no
// further ones.
type pauseAsked struct {
	sender
	from, to time.Time
	// conn is the connection on which it was rejected, and passedDown what had been passed on to the
	// sender before.
	conn       *proxiedConn
	passedDown int64
	// arrived is the number of requests since from.
	arrived int
}

// delivered reports whether the rejection was passed on to the sender. It was if anything was: an endpoint
// answers one request at a time on a connection.
func (p *pauseAsked) delivered() bool {
	return p.conn == nil || p.conn.passedDown.Load() > p.passedDown
}

// told identifies an endpoint and an instance that has received its statement.
type told struct {
	sender
	endpoint string
}

// rejectWithPause rejects a request, stating for how long the endpoint wants no further ones. Nobody learns
// of it if the sender's connection is not open any more.
func (x *server) rejectWithPause(from sender, open bool, conn *proxiedConn, e *platformtest.Exchange) {
	text := *x.retryAfter.Load()
	if d, err := time.ParseDuration(text + "s"); err == nil && d > 0 && open {
		now := time.Now()
		x.mu.Lock()
		x.pauses = append(x.pauses, &pauseAsked{sender: from, from: now.Add(pauseSlack), to: now.Add(d), conn: conn, passedDown: conn.passedDown.Load()})
		x.mu.Unlock()
	}
	header := x.statements()
	if text != "" {
		header = append(header, "Retry-After: "+text)
	}
	e.Reject(503, header...)
}

// statements returns the header lines that the endpoint adds to each answer.
func (x *server) statements() []string {
	var lines []string
	if x.statesLeaving.Load() {
		lines = append(lines, leavingHeader+": 1")
	}
	if x.reportsLoad {
		factor := x.speed.Factor(time.Since(x.createdAt))
		lines = append(lines, platformtest.LoadHeader+": "+platformtest.LoadReport(len(x.slots), int(x.waiting.Load()), endpointSlots, factor))
	}
	return lines
}

// checkStatements checks that a request may reach the endpoint after what that has stated before.
func (x *server) checkStatements(c *call, from sender) {
	ck, now := x.soak.checker, time.Now()
	for _, i := range slices.Compact([]sender{{c.instance, c.incarnation}, from}) {
		if at, ok := x.soak.toldAt(told{i, x.ID}); ok && c.sentAt.Sub(at) > drainMs*time.Millisecond && x.soak.ranThroughout(i, at, now) {
			ck.addViolation("DRAIN: %s, sent %v after front-%d had passed on an answer of %s that it leaves, reaches it by front-%d", c.id, c.sentAt.Sub(at), i.instance, x.ID, from.instance)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.pauses {
		if p.sender != from || now.Before(p.from) || now.After(p.to) || !p.delivered() {
			continue
		}
		if p.arrived++; p.arrived > pauseTolerance && x.soak.undisturbed(from.instance, p.from.Add(-pauseSlack), now) {
			ck.addViolation("BUDGET: %s is number %d from front-%d that reaches %s before %s, until when it wanted none", c.id, p.arrived, from.instance, x.ID, formatTime(p.to))
		}
	}
}

// ranThroughout reports whether a process of an instance was neither replaced nor stopped by a signal in the
// given time span. Disturbances of its links excuse nothing.
func (s *soak) ranThroughout(p sender, from, to time.Time) bool {
	i := s.instances[p.instance]
	return i.starts() == p.incarnation && !i.suspensions.overlaps(from, to)
}

// passedOn records that an instance has passed on an answer of an endpoint that states that it leaves.
func (s *soak) passedOn(c *call, signature string) {
	id, _, _ := strings.Cut(signature, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	key := told{sender{c.instance, c.incarnation}, id}
	if _, known := s.told[key]; !known {
		s.told[key] = time.Now()
		s.checker.count("departures passed on")
	}
}

func (s *soak) toldAt(key told) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.told[key]
	return at, ok
}

// forgetPauses drops the pauses that the endpoint asked for before it restarted.
func (x *server) forgetPauses() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pauses = nil
}

// statementFaultsOf returns the faults of a seed from firstStatementSeed on. Its own are drawn as often
// as all others together.
func statementFaultsOf() []fault {
	others := slices.Concat(faults, restartFaults)
	list := slices.Clone(others)
	for len(list) < 2*len(others) {
		list = append(list, statementFaults...)
	}
	return list
}
