package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	live     = fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE
	suspect  = fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT
	leaving  = fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING
	expelled = fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

var testCosts = policy.CostModel{PrefillTokensPerSecond: 20000, Recompute: policy.DefaultRecompute}

func config() Config {
	return Config{Name: "engine-1", Slots: 4, UrgentSlots: 1, BlockTokens: 64, CacheBlocks: 256, PrefillTokensPerSecond: 20000}
}

// chain returns the block hashes of a prompt of the organisation. The seed determines the
// text.
func chain(organisation, version string, seed, blocks int) []prefix.Hash {
	text := make([]byte, 0, blocks*256)
	for i := range blocks * 256 {
		text = append(text, byte(seed+i/256))
	}
	return prefix.Blocks(nil, prefix.Salt(organisation, "m", version), text, 64)
}

func ask(id, organisation string, isUrgent bool, blocks []prefix.Hash) Ask {
	return Ask{
		Caller: "i1", RequestID: id, Organisation: organisation, Urgent: isUrgent, Blocks: blocks,
		PromptTokens: int64(len(blocks)) * 64, Deadline: epoch.Add(time.Hour), Timeout: time.Hour,
	}
}

// model drives an endpoint by random events and tracks each request's state as its caller
// sees it.
type model struct {
	e        *Endpoint
	now      time.Time
	next     int
	waiting  map[string]Ask
	running  map[string]Decision
	asks     map[string]Ask
	finished int
	asked    int
}

func (m *model) apply(t *rapid.T, decisions ...Decision) {
	for _, d := range decisions {
		a, known := m.asks[d.RequestID]
		if !known {
			t.Fatalf("decision %+v for an unknown request", d)
		}
		switch d.Kind {
		case Granted:
			if _, twice := m.running[d.RequestID]; twice {
				t.Fatalf("%s granted twice", d.RequestID)
			}
			if d.Offer.Incarnation != m.e.incarnation || !m.e.live() {
				t.Fatalf("grant %+v on incarnation %d, status %v", d, m.e.incarnation, m.e.status)
			}
			m.running[d.RequestID] = d
			delete(m.waiting, d.RequestID)
		case Queued:
			m.waiting[d.RequestID] = a
		case Refused:
			delete(m.waiting, d.RequestID)
			m.finished++
		}
	}
	m.check(t)
}

// check verifies the invariants on the callers' view.
func (m *model) check(t *rapid.T) {
	nonUrgent := 0
	for id := range m.running {
		if !m.asks[id].Urgent {
			nonUrgent++
		}
		if m.asks[id].Alone && len(m.running) > 1 {
			t.Fatalf("%s has to run alone and %d others run", id, len(m.running)-1)
		}
	}
	if nonUrgent > 3 || len(m.running) > 4 {
		t.Fatalf("%d requests that are not urgent hold slots, of %d that run", nonUrgent, len(m.running))
	}
	if m.asked != m.finished+len(m.running)+len(m.waiting) {
		t.Fatalf("%d asks, but %d finished, %d running and %d queued", m.asked, m.finished, len(m.running), len(m.waiting))
	}
	if len(m.waiting) != len(m.e.queued) || len(m.running) != len(m.e.grants) {
		t.Fatalf("callers count %d queued and %d running, the endpoint %d and %d", len(m.waiting), len(m.running), len(m.e.queued), len(m.e.grants))
	}
}

func (m *model) ask(t *rapid.T) {
	m.next++
	a := ask(fmt.Sprint("r", m.next), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
		rapid.Bool().Draw(t, "urgent"), nil)
	a.Blocks = chain(a.Organisation, "1", rapid.IntRange(0, 3).Draw(t, "prompt"), rapid.IntRange(0, 20).Draw(t, "blocks"))
	a.PromptTokens = int64(len(a.Blocks)) * 64
	a.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "budget")) * time.Millisecond)
	a.Alone = rapid.IntRange(0, 19).Draw(t, "alone") == 0
	m.asks[a.RequestID] = a
	m.asked++
	d := m.e.Ask(m.now, a)
	if again := m.e.Ask(m.now, a); d.Kind == Granted && (again.Kind != Granted || again.Offer.GrantID != d.Offer.GrantID) {
		t.Fatalf("repeated ask: first %+v, then %+v", d, again)
	}
	m.apply(t, d)
}

func (m *model) pick(t *rapid.T) (string, bool) {
	ids := make([]string, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "running"), true
}

func (m *model) end(t *rapid.T) {
	id, ok := m.pick(t)
	if !ok {
		return
	}
	g := m.running[id]
	if rapid.Bool().Draw(t, "first") {
		m.apply(t, m.e.FirstToken(m.now, g.Offer.GrantID, g.Offer.CachedTokens, time.Millisecond)...)
	}
	delete(m.running, id)
	m.finished++
	outcome := rapid.SampledFrom([]Outcome{Unused, Done, Failed}).Draw(t, "stage")
	m.apply(t, m.e.End(m.now, End{GrantID: g.Offer.GrantID, Outcome: outcome})...)
}

func (m *model) withdraw(t *rapid.T) {
	if id, ok := m.pick(t); ok {
		delete(m.running, id)
		m.finished++
		m.apply(t, m.e.Withdraw(m.now, "i1", id)...)
	}
}

func (m *model) status(t *rapid.T) {
	status := rapid.SampledFrom([]fleetpb.EndpointStatus{live, live, suspect, leaving, expelled}).Draw(t, "status")
	incarnation := m.e.incarnation + uint64(rapid.IntRange(0, 1).Draw(t, "restart"))
	running := len(m.running)
	change := m.e.Status(m.now, status, incarnation)
	if len(change.Lost) > 0 {
		if len(change.Lost) != running {
			t.Fatalf("%d requests lost of %d in flight", len(change.Lost), running)
		}
		m.finished += running
		clear(m.running)
	}
	m.apply(t, change.Decisions...)
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
	m.apply(t, m.e.Tick(m.now)...)
	for id, a := range m.waiting {
		if m.now.After(a.Deadline) {
			t.Fatalf("%s still queued after its deadline", id)
		}
	}
	if len(m.running) == 0 && len(m.waiting) > 0 && m.e.live() {
		t.Fatalf("%d queued while nothing runs", len(m.waiting))
	}
}

// Guards against lost or duplicate decisions. Whatever the order of events, a request gets
// one grant or one refusal, non-urgent requests take no slots reserved for urgent ones, an
// exclusive request has the endpoint to itself, nothing is granted on an endpoint that is
// not live, and an endpoint with queued requests is never idle.
func TestEveryRequestIsGrantedOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{e: New(config()), now: epoch, waiting: map[string]Ask{}, running: map[string]Decision{}, asks: map[string]Ask{}}
		m.e.Status(m.now, live, 1)
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask, "ask again": m.ask, "end": m.end, "withdraw": m.withdraw, "status": m.status, "tick": m.tick,
		})
	})
}

func TestLeavingMemberMovesOnlyItsEndpoints(t *testing.T) {
	members := []string{"i1", "i2", "i3", "i4"}
	for i := range 200 {
		name := fmt.Sprint("engine-", i)
		before := Of(name, members)
		after := Of(name, members[1:])
		if before != "i1" && before != after {
			t.Fatalf("%s moved from %s to %s when i1 left", name, before, after)
		}
	}
}
