package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// firstQuotaSeed is the first seed in which the isolated organisation has a quota, far below
// what its callers send.
const firstQuotaSeed = 90000

// The quota in tokens, and the tokens that a request is charged; plain requests state no size.
const (
	quotaRate    = 3000
	quotaBurst   = 3000
	promptTokens = 1240
	plainTokens  = 100
	// quotaWindow is the time window over which the quota is checked, and quotaTolerance the
	// tolerated excess as a share of it. quotaSlack is a further allowance: one prompt for
	// each instance and one for each of its restarts.
	quotaWindow    = 8 * time.Second
	quotaTolerance = 0.1
	quotaSlack     = 15_000
)

// hasQuota reports whether the organisation has a quota in this run.
func (s *soak) hasQuota(organisation string) bool {
	return s.seed >= firstQuotaSeed && organisation == isolatedOrg
}

// addQuota adds the quota, if any, to an organisation's record.
func (s *soak) addQuota(organisation string, record map[string]any) {
	if s.hasQuota(organisation) {
		record["unit"], record["ratePerS"], record["burst"], record["plainTokens"] = "token_stream", quotaRate, quotaBurst, plainTokens
	}
}

// checkQuota checks the tokens that endpoints have run for the organisation with a quota.
func (s *soak) checkQuota(calls []call) {
	type run struct {
		at   time.Time
		cost float64
	}
	var runs []run
	for _, c := range calls {
		if !s.hasQuota(c.organisation) {
			continue
		}
		cost := float64(plainTokens)
		if c.parts != "" {
			cost = promptTokens
		}
		for _, w := range c.works {
			runs = append(runs, run{w.from, cost})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	const allowed = (quotaRate*8+quotaBurst)*(1+quotaTolerance) + quotaSlack
	sum, first := 0.0, 0
	for _, r := range runs {
		sum += r.cost
		for r.at.Sub(runs[first].at) > quotaWindow {
			sum -= runs[first].cost
			first++
		}
		if sum > allowed {
			s.checker.addViolation("QUOTA: %.0f tokens of %s ran in 8 s until %s, %.0f are allowed", sum, isolatedOrg, r.at.Format("05.000"), float64(allowed))
			return
		}
	}
	if len(runs) > 0 && s.seed >= firstQuotaSeed {
		s.checker.counts["runs under a quota"] = len(runs)
	}
}

// firstScarceSeed is the first seed in which capacity is short: endpoints run as many requests at a time as
// their entries state, at speeds that change; some requests and answers are large; and the faults include
// organisations that ask for several times their quota or share, callers that stop reading in the middle of
// answers, and endpoints that read requests slowly.
const firstScarceSeed = 160000

const (
	// largeOneIn is the number of requests of which one, on average, is large, and one has a large answer.
	largeOneIn = 8
	// Sizes in bytes: a large request, an event of a large stream, and a large plain answer.
	largeBody, largeEvent, largeAnswer = 256 << 10, 16 << 10, 128 << 10
	// unreadEvent is the size in bytes of an event of a stream whose caller stops reading. A draft has 8 MB
	// then: the kernel takes 4 MB from a process whose peer does not read.
	unreadEvent = 128 << 10
	// unreadHaste is how much faster than usual such a stream comes, so that it is not the pause between
	// events that bounds it.
	unreadHaste = 8
	// longestStop bounds the time for which a caller stops reading. It is below the time after which callers
	// would give a stream up, so that nothing excuses an answer that is cut.
	longestStop = 1500 * time.Millisecond
	// surgeCallers is the number of further callers of an organisation that asks for several times its
	// share; a service has 24 or 32 slots. stoppingCallers is that of callers that all stop reading.
	surgeCallers    = 40
	stoppingCallers = 12
	// acceptedShare is the divisor of the time that a caller has left, which gives the longest Retry-After
	// that it accepts.
	acceptedShare = 3
	// impatientPause is how soon a caller that ignores Retry-After repeats its request.
	impatientPause = 50 * time.Millisecond
)

// drawSizes makes some requests or their answers large, and some of the callers of the latter stop reading.
func (s *soak) drawSizes(r *call) {
	rng := s.requestRand(r)
	if rng.IntN(largeOneIn) == 0 && r.kind != lookup {
		r.body = strings.Repeat("b", largeBody/2+rng.IntN(largeBody))
	}
	if rng.IntN(largeOneIn) == 0 {
		r.enlargeAnswer()
		if rng.IntN(2) == 0 {
			s.drawStop(r, rng)
		}
	}
}

func (r *call) enlargeAnswer() {
	r.pad = largeAnswer
	if r.kind == draft || r.kind == check {
		r.pad = largeEvent
	}
}

// drawStop makes the caller stop reading in the middle of the answer.
func (s *soak) drawStop(r *call, rng *rand.Rand) {
	if r.kind == draft || r.kind == check {
		r.pad = unreadEvent
	}
	r.stopsAfter = 1 + rng.IntN(2*r.pad)
	r.stopsFor = time.Duration(1 + rng.Int64N(int64(longestStop)))
	r.leavesStopped = rng.IntN(3) == 0
}

// scarceFaults are the additional faults of seeds from firstScarceSeed on.
var scarceFaults = []fault{
	{"organisation asks for several times its quota", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.surge(rng, surgeCallers, isolatedOrg, []kind{lookup, draft, check}, duration, nil)
	}},
	{"organisation asks for several times its share of plain endpoints", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.surge(rng, surgeCallers, openOrg, []kind{lookup, confirm}, duration, nil)
	}},
	{"organisation asks for several times its share of engines", func(s *soak, rng *rand.Rand, duration time.Duration) {
		s.surge(rng, surgeCallers, openOrg, []kind{draft, check}, duration, nil)
	}},
	{"many callers stop reading", (*soak).stopReaders},
	{"endpoint reads slowly", func(s *soak, rng *rand.Rand, duration time.Duration) {
		rate := []int{20_000, 60_000, 200_000}[rng.IntN(3)]
		s.disturbEndpoint(rng, func(x *server) { s.impairFor(x.link, impairment{upRate: rate}, duration) })
	}},
	{"a service reads slowly", func(s *soak, rng *rand.Rand, duration time.Duration) {
		defer s.endpointFaults.begin()()
		service, rate := s.pickServer(rng).service, 60_000+rng.IntN(200_000)
		var wg sync.WaitGroup
		for _, x := range s.liveServers() {
			if x.service == service {
				wg.Go(func() { s.impairFor(x.link, impairment{upRate: rate}, duration) })
			}
		}
		wg.Wait()
	}},
}

// stopReaders has further callers ask for large answers, and all of them stop reading.
func (s *soak) stopReaders(rng *rand.Rand, duration time.Duration) {
	s.surge(rng, stoppingCallers, openOrg, []kind{draft}, duration, func(r *call) { s.drawStop(r, s.requestRand(r)) })
}

// scarceFaultsOf returns the faults of a seed from firstScarceSeed on. Its own are drawn about as often as
// all others together.
func scarceFaultsOf() []fault {
	list := crashingFaultsOf()
	for n := len(list); len(list) < 2*n; {
		list = append(list, scarceFaults...)
	}
	return list
}

// surge has further callers of an organisation send requests of the given kinds, each the next one as soon as
// the last is answered. change, if set, changes each request. Only one surge goes on at a time: the machine
// that runs instances, endpoints and callers is not to be what is short.
func (s *soak) surge(rng *rand.Rand, callers int, organisation string, kinds []kind, duration time.Duration, change func(*call)) {
	if !s.surging.TryLock() {
		return
	}
	defer s.surging.Unlock()
	s.checker.count("surges")
	until := time.Now().Add(duration)
	first := 2*callerCount + int(rng.Uint32N(1<<20))*surgeCallers
	var wg sync.WaitGroup
	for n := range callers {
		c := &caller{soak: s, n: first + n, rng: rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))}
		wg.Go(func() {
			for time.Now().Before(until) && !s.callersStop.Load() {
				if c.conn == nil && !c.connect() {
					time.Sleep(impatientPause)
					continue
				}
				r := c.callOf(kinds[c.rng.IntN(len(kinds))], organisation)
				r.long = true
				if change != nil {
					change(r)
				}
				c.sendUntilRefusedTwice(r)
			}
			c.disconnect()
		})
	}
	wg.Wait()
}

// sendUntilRefusedTwice sends a request, and if that is refused once more with the same content, over a new
// connection. Every second caller ignores Retry-After; the others come back at that time if they accept it.
func (c *caller) sendUntilRefusedTwice(r *call) {
	c.send(r)
	if r.refused == 0 {
		return
	}
	wait := impatientPause
	if c.n%2 == 0 {
		if left := callerTimeout - time.Since(r.sentAt); r.retryAfter == 0 || r.retryAfter > left/acceptedShare {
			time.Sleep(impatientPause)
			return
		}
		wait = r.retryAfter
		c.soak.checker.count("came back")
	}
	time.Sleep(wait)
	c.disconnect()
	if !c.connect() {
		return
	}
	again := &call{
		id: r.id + "-again", kind: r.kind, instance: c.instance.n, incarnation: c.starts, organisation: r.organisation, key: r.key,
		droppedIn: r.droppedIn, addedIn: r.addedIn, path: r.path, body: r.body, parts: r.parts, pad: r.pad, stopsAfter: r.stopsAfter,
		stopsFor: r.stopsFor, leavesStopped: r.leavesStopped, long: r.long,
	}
	if c.send(again); again.refused != 0 {
		time.Sleep(impatientPause)
	} else if c.n%2 == 0 {
		c.soak.checker.count("came back, not refused")
	}
}
