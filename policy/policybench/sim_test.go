package main

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// small returns a pool that a test can simulate in a fraction of a second.
func small() scenario {
	s := scenarios[0]
	s.endpoints, s.instances, s.families, s.cacheBlocks, s.slots = 6, 4, 8, 4096, 16
	s.warm, s.measured = 20*time.Second, 20*time.Second
	return s
}

func run(s scenario, policyName string, load float64, prepare func(*sim)) *sim {
	m := newSim(s, policyName, s.arrivals(1, load*s.capacity()))
	if prepare != nil {
		prepare(m)
	}
	m.play()
	return m
}

// outcome counts the results of a group of requests.
type outcome struct {
	total, inTime, refused, unanswered int
	waits                              []float64
}

func (m *sim) outcome(of func(*request) bool) outcome {
	var o outcome
	for _, r := range m.requests {
		if r.at < m.s.warm || !of(r) {
			continue
		}
		o.total++
		switch {
		case r.refused > 0:
			o.refused++
		case r.finished == 0:
			o.unanswered++
		default:
			o.waits = append(o.waits, (r.first - r.at).Seconds())
			if r.started <= r.at+r.maxWait {
				o.inTime++
			}
		}
	}
	return o
}

func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(max(o.total, 1)) }

func all(*request) bool        { return true }
func isUrgent(r *request) bool { return r.urgent }

// check fails if a request of the group got neither a response nor a refusal, or if the share that
// started in time is below inTime.
func check(t *testing.T, m *sim, what string, of func(*request) bool, inTime float64) outcome {
	t.Helper()
	o := m.outcome(of)
	if o.unanswered > 0 {
		t.Errorf("%s: %d of %d got neither a response nor a refusal", what, o.unanswered, o.total)
	}
	if o.inTimeShare() < inTime {
		t.Errorf("%s: %.3f in time, want %.3f", what, o.inTimeShare(), inTime)
	}
	return o
}

// All branches open on the hour and send half as much load again as on average. Requests must
// still start in time, and urgent ones well before they would without owners; otherwise the
// branches' staff get their responses late.
func TestHourlyBurst(t *testing.T) {
	t.Parallel()
	m := run(small(), owners, 0.8, nil)
	check(t, m, "all requests", all, 0.99)
	urgent := check(t, m, "urgent", isUrgent, 0.999)
	alone := run(small(), rendezvous, 0.8, nil).outcome(isUrgent)
	if got, other := quantile(urgent.waits, 0.99), quantile(alone.waits, 0.99); got > other/2 {
		t.Errorf("p99 of time to first token of urgent requests %.3f s, without owners %.3f s", got, other)
	}
}

// One organisation sends far more than its share for minutes. The requests of the others must
// start as if it were not there.
func TestOneOrganisationOverloadsPool(t *testing.T) {
	t.Parallel()
	s := small()
	m := newSim(s, owners, s.arrivals(1, 1.6*s.capacity()))
	for _, r := range m.requests {
		if r.organisation > 2 {
			continue
		}
		r.organisation = 0
	}
	m.play()
	check(t, m, "small organisations", func(r *request) bool { return r.organisation > 2 }, 0.97)
	if overload := m.outcome(func(r *request) bool { return r.organisation == 0 }); overload.refused == 0 {
		t.Error("nothing was refused, so the pool was not overloaded")
	}
}

// The most requested catalogue changes without notice in the middle of the run. The new one must
// be computed only once or a few times and then be found in the caches.
func TestHotPrefixChanges(t *testing.T) {
	t.Parallel()
	s := small()
	m := run(s, owners, 0.7, nil)
	check(t, m, "all requests", all, 0.99)
	change := s.warm + s.measured/2
	before, after := m.hitsIn(change-5*time.Second, change), m.hitsIn(change+3*time.Second, change+8*time.Second)
	if after < 0.95*before {
		t.Errorf("hit rate %.3f before the change and %.3f three seconds after", before, after)
	}
}

// An endpoint computes at a quarter of its rate, as with a failing accelerator that still
// responds. Callers whose prompts are cached there must not be slowed down with it.
func TestOneSlowEndpoint(t *testing.T) {
	t.Parallel()
	slow := func(m *sim) { m.engines[2].slow = 4 }
	m := run(small(), owners, 0.6, slow)
	check(t, m, "all requests", all, 0.99)
	there := m.outcome(func(r *request) bool { return r.endpoint == 2 })
	if share := float64(there.total) / float64(m.outcome(all).total); share > 1.0/6 {
		t.Errorf("the slow endpoint got %.2f of all requests, more than its even share of a sixth", share)
	}
	without := run(small(), rendezvous, 0.6, slow).outcome(all)
	if got, other := quantile(m.outcome(all).waits, 0.95), quantile(without.waits, 0.95); got > other/2 {
		t.Errorf("p95 of time to first token %.2f s, without owners %.2f s", got, other)
	}
}

// Long catalogue prompts exceed the pool's capacity while other callers need short, urgent
// responses. Urgent requests must still start in time.
func TestUrgentRequestsDuringOverload(t *testing.T) {
	t.Parallel()
	m := run(small(), owners, 1.3, nil)
	check(t, m, "urgent", isUrgent, 0.999)
}

// The load is twice the pool's capacity. Goodput must stay at the capacity, and requests must be
// refused as soon as it is known that they cannot start in time, not after their deadline.
func TestOverloadAtTwiceCapacity(t *testing.T) {
	t.Parallel()
	s := small()
	m := run(s, owners, 2, nil)
	o := check(t, m, "all requests", all, 0)
	if goodput := float64(o.inTime) / s.measured.Seconds(); goodput < 0.95*s.capacity() {
		t.Errorf("%.1f requests a second in time, of a capacity of %.1f", goodput, s.capacity())
	}
	for _, r := range m.requests {
		if late := r.refused - r.at - r.maxWait; r.refused > 0 && late > 50*time.Millisecond {
			t.Fatalf("request %d was refused %v after its deadline", r.id, late)
		}
	}
}

// crash stops an endpoint. It restarts at once with an empty cache as another incarnation. Its
// requests fail and are placed again.
func (m *sim) crash(i int, incarnation uint64) {
	old := m.engines[i]
	broken := map[*request]bool{}
	for _, r := range m.requests {
		if r.at <= m.now && r.endpoint == i && r.finished == 0 {
			broken[r] = true
		}
	}
	old.onFirst, old.onDone = func(*request) {}, func(*request) {}
	e := &engine{s: old.s, t: old.t, cache: newLRU(m.s.cacheBlocks), slow: 1, onFirst: m.first, onDone: m.done}
	m.engines[i] = e
	o := m.registries[m.ownerOf[i]].Endpoint(endpointName(i))
	m.apply(o.Status(m.time(), fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE, incarnation).Decisions)
	for _, r := range m.requests {
		if broken[r] {
			again := *r
			again.attempts++
			again.endpoint, again.grant, again.at = -1, 0, r.at
			again.started, again.first, again.maxWait = 0, 0, r.maxWait
			m.requests[r.id] = &again
			m.place(&again)
		}
	}
}

// Engines crash at peak load and restart with empty caches, two of them shortly after each other.
// Every caller must still get a response or a refusal, and only the lost catalogues are computed
// again.
func TestEndpointsCrash(t *testing.T) {
	t.Parallel()
	s := small()
	m := run(s, owners, 0.6, func(m *sim) {
		for i := range s.endpoints {
			m.registries[m.ownerOf[i]].Endpoint(endpointName(i)).Status(m.time(), fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE, 1)
		}
		m.after(s.warm+2*time.Second, func() { m.crash(0, 2) })
		m.after(s.warm+3*time.Second, func() { m.crash(3, 2) })
		m.after(s.warm+9*time.Second, func() { m.crash(0, 3) })
	})
	check(t, m, "all requests", all, 0.97)
}

// All instances are replaced two seconds into the burst and start without state. The prompts that
// the engines have cached must be found again through the order of the endpoints alone, and no
// request may be refused because of the restart.
func TestHerdRestartInTheBurst(t *testing.T) {
	t.Parallel()
	s := small()
	at := s.warm + 2*time.Second
	m := run(s, owners, 0.7, func(m *sim) { m.after(at, m.herdRestart) })
	check(t, m, "all requests", all, 0.99)
	before, after := m.hitsIn(at-2*time.Second, at), m.hitsIn(at+2*time.Second, at+4*time.Second)
	if after < 0.9*before {
		t.Errorf("hit rate %.3f before the restart, %.3f two seconds after", before, after)
	}
	if refused := m.refusedIn(at, at+10*time.Second); refused > 0 {
		t.Errorf("%v requests refused after the restart", refused)
	}
}

// The owner of several endpoints crashes without notice. Another instance takes them over with no
// record of the requests that run or wait there.
func TestOwnerLost(t *testing.T) {
	t.Parallel()
	s := small()
	m := run(s, owners, 0.7, func(m *sim) {
		m.after(s.warm+2*time.Second, func() {
			lost := m.ownerOf[0]
			m.registries[lost] = owner.NewRegistry(m.costs)
			for e, o := range m.ownerOf {
				if o == lost {
					m.registries[lost].Add(m.config(e))
				}
			}
			for _, r := range m.requests {
				if r.at <= m.now && r.endpoint < 0 && r.refused == 0 {
					r.attempts++
					m.place(r)
				}
			}
		})
	})
	check(t, m, "all requests", all, 0.99)
}

// Half of the instances treat another instance as the owner of each endpoint. Each owner grants
// half of the work and learns of the rest through load reports.
func TestTwoOwnersOfEachEndpoint(t *testing.T) {
	t.Parallel()
	s := small()
	m := run(s, owners, 0.6, func(m *sim) {
		m.secondOwner = true
		for i := range s.endpoints {
			m.registries[(m.ownerOf[i]+1)%s.instances].Add(m.config(i))
		}
	})
	check(t, m, "all requests", all, 0.98)
}

// A completion report for a grant made before a restart must not end a grant of the new owner.
func TestReportOnOldGrantDoesNotEndNewGrant(t *testing.T) {
	t.Parallel()
	m := newSim(small(), owners, nil)
	e := owner.New(m.config(0))
	old := e.Ask(epoch, owner.Ask{Caller: "i", RequestID: "1", PromptTokens: 64, Deadline: epoch.Add(time.Second)})
	m.now = time.Minute
	next := owner.New(m.config(0))
	granted := next.Ask(m.time(), owner.Ask{Caller: "i", RequestID: "2", PromptTokens: 64, Deadline: m.time().Add(time.Second)})
	next.End(m.time(), owner.End{GrantID: old.Offer.GrantID, Outcome: owner.Done})
	again := next.Ask(m.time(), owner.Ask{Caller: "i", RequestID: "2", PromptTokens: 64, Deadline: m.time().Add(time.Second)})
	if granted.Kind != owner.Granted || again.Offer.GrantID != granted.Offer.GrantID {
		t.Fatalf("the grant %+v was ended by a report on %+v", granted.Offer, old.Offer)
	}
}
