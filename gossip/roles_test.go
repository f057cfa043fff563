package gossip

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Guards against choosing schedulers with narrow links or in one data centre only. Their
// messages to the others would fill narrow links and delay the answers to their own callers,
// and the loss of a single data centre would leave the fleet without schedulers.
func TestSchedulerOrderPrefersWideLinksInAllDataCentres(t *testing.T) {
	order := schedulerOrder(largeFleet(5, 39))
	seen := map[string]bool{}
	for _, p := range order[:schedulerCount] {
		if p.LinkMbps != 200 {
			t.Errorf("%s is among the first instances with a link of %v Mbit/s", p.Name, p.LinkMbps)
		}
		seen[p.DataCentre] = true
	}
	if len(seen) != 5 {
		t.Errorf("the first instances are in %d data centres, want 5", len(seen))
	}
}

func largeFleet(dataCentres, each int) []Peer {
	var list []Peer
	for dc := range dataCentres {
		for k := range each {
			link := 20.0
			if k < 3 {
				link = 200
			}
			list = append(list, Peer{Name: fmt.Sprintf("dc%d-%d", dc, k), DataCentre: fmt.Sprint("dc", dc), LinkMbps: link})
		}
	}
	return list
}

// fleetModel is a set of instances that decide on their roles in virtual time. The state of a
// scheduler reaches all instances of its partition before their next check.
type fleetModel struct {
	nodes []*Node
	dead  map[string]bool
	// partition maps an instance to its network partition; instances of different partitions do
	// not receive each other's datagrams.
	partition     func(name string) int
	now           time.Time
	maxSchedulers int
}

func newFleetModel(list []Peer) *fleetModel {
	m := &fleetModel{dead: map[string]bool{}, partition: func(string) int { return 0 }, now: time.Unix(1000, 0)}
	for _, p := range list {
		n := &Node{
			name: p.Name, dataCentre: p.DataCentre, linkMbps: p.LinkMbps, incarnation: 1,
			states: map[string]peerState{}, revisions: map[string]uint64{}, reads: map[string]time.Time{},
			out: ring.New[item]("gossip_test", 4), handler: nopHandler{},
		}
		n.SetPeers(list)
		m.nodes = append(m.nodes, n)
	}
	return m
}

// run advances the model by d and records the largest number of simultaneous schedulers.
func (m *fleetModel) run(d time.Duration) {
	m.maxSchedulers = 0
	for until := m.now.Add(d); m.now.Before(until); m.now = m.now.Add(roleCheckInterval) {
		for _, n := range m.nodes {
			if !m.dead[n.name] {
				n.updateRoles(m.now)
			}
		}
		for _, from := range m.nodes {
			if m.dead[from.name] || !from.IsScheduler() {
				continue
			}
			d := from.newDatagram()
			for _, to := range m.nodes {
				if to != from && !m.dead[to.name] && m.partition(to.name) == m.partition(from.name) {
					to.admit(d, m.now)
				}
			}
		}
		m.maxSchedulers = max(m.maxSchedulers, len(m.schedulers(0))+len(m.schedulers(1)))
	}
}

// schedulers returns the names of the live schedulers of a partition.
func (m *fleetModel) schedulers(part int) []string {
	var names []string
	for _, n := range m.nodes {
		if !m.dead[n.name] && m.partition(n.name) == part && n.IsScheduler() {
			names = append(names, n.name)
		}
	}
	return names
}

// Guards against too few or too many schedulers after all instances of a large fleet start at
// the same moment, and after all schedulers fail at once. Others have to take over without
// coordination, as requests are placed on little information until then, but only a few: each
// scheduler receives the reports on all requests, which a large fleet can't afford on every
// instance.
func TestVacantSchedulerPositionsAreFilledOnce(t *testing.T) {
	m := newFleetModel(largeFleet(5, 39))
	m.run(2 * time.Second)
	first := m.schedulers(0)
	if len(first) != schedulerCount || m.maxSchedulers > schedulerCount {
		t.Fatalf("%d schedulers after the start, at most %d at a time; want %d", len(first), m.maxSchedulers, schedulerCount)
	}
	for _, name := range first {
		m.dead[name] = true
	}
	m.run(livenessTimeout + 2*time.Second)
	if next := m.schedulers(0); len(next) != schedulerCount || m.maxSchedulers > schedulerCount {
		t.Fatalf("%d schedulers after the loss of all, at most %d at a time; want %d", len(next), m.maxSchedulers, schedulerCount)
	}
	for _, name := range first {
		m.dead[name] = false
	}
	m.run(3 * time.Second)
	if again := m.schedulers(0); len(again) != schedulerCount {
		t.Errorf("%d schedulers after their return; want %d", len(again), schedulerCount)
	}
}

// Guards against a partition without schedulers when a data centre is cut off from the others:
// both sides still have callers. Once the partition heals, no surplus schedulers may remain.
func TestEachPartitionHasSchedulers(t *testing.T) {
	m := newFleetModel(largeFleet(5, 39))
	m.run(2 * time.Second)
	m.partition = func(name string) int {
		if name[:3] == "dc0" {
			return 1
		}
		return 0
	}
	m.run(8 * time.Second)
	if a, b := len(m.schedulers(0)), len(m.schedulers(1)); a != schedulerCount || b != schedulerCount {
		t.Errorf("%d and %d schedulers in the two partitions, want %d in each", a, b, schedulerCount)
	}
	m.partition = func(string) int { return 0 }
	m.run(2 * time.Second)
	if n := len(m.schedulers(0)); n != schedulerCount {
		t.Errorf("%d schedulers after the partition healed, want %d", n, schedulerCount)
	}
}

// Guards against missing or surplus schedulers while half of the fleet does not know yet of
// the newest machines, which come first in the order. Each instance needs schedulers whose
// address it knows, and the two halves may not have more than both would have alone.
func TestDifferentPeerListsHaveFewSchedulers(t *testing.T) {
	list := largeFleet(5, 12)
	m := newFleetModel(list)
	var older []Peer
	for _, p := range list {
		if p.Name[len(p.Name)-2:] != "-0" {
			older = append(older, p)
		}
	}
	for i, n := range m.nodes {
		if i%2 == 1 {
			n.SetPeers(older)
		}
	}
	m.run(4 * time.Second)
	if n := len(m.schedulers(0)); n < schedulerCount || n > 2*schedulerCount {
		t.Errorf("%d schedulers, want %d to %d", n, schedulerCount, 2*schedulerCount)
	}
	for _, n := range m.nodes {
		if len(n.Schedulers()) == 0 {
			t.Errorf("%s knows of no scheduler", n.name)
		}
	}
}

// Guards against a fleet that misses all changes and weight rollouts because the store rejects
// the machines of all schedulers but serves others; and against all others becoming schedulers
// then, each of which would receive the reports on all requests.
func TestSchedulersAreAddedWhereStoreIsReachable(t *testing.T) {
	m := newFleetModel(largeFleet(5, 39))
	m.run(2 * time.Second)
	setStoreLost := func(lost bool) {
		for _, n := range m.nodes {
			if n.IsScheduler() {
				n.storeLost = lost
			}
		}
	}
	setStoreLost(true)
	m.run(2 * time.Second)
	withStore := 0
	for _, n := range m.nodes {
		if n.IsScheduler() && !n.storeLost {
			withStore++
		}
	}
	if withStore < minSchedulersWithStore || m.maxSchedulers > schedulerCount+minSchedulersWithStore {
		t.Errorf("%d schedulers reach the store, want %d; at most %d schedulers at a time", withStore, minSchedulersWithStore, m.maxSchedulers)
	}
	setStoreLost(false)
	m.run(2 * time.Second)
	if n := len(m.schedulers(0)); n != schedulerCount {
		t.Errorf("%d schedulers once the store serves all instances, want %d", n, schedulerCount)
	}
}

// Instances fail and come back in any order. The live ones soon have to have schedulers among
// them, and not many more than needed.
func TestLiveInstancesHaveSchedulersAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := largeFleet(rapid.IntRange(1, 5).Draw(t, "data centres"), rapid.IntRange(4, 12).Draw(t, "each"))
		if len(list) <= SmallFleet {
			return
		}
		m := newFleetModel(list)
		m.run(2 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "times") {
			live := 0
			for _, p := range list {
				m.dead[p.Name] = rapid.IntRange(0, 2).Draw(t, "dead") == 0
				if !m.dead[p.Name] {
					live++
				}
			}
			// Each dead instance before a live one in the order costs one takeoverStep.
			m.run(livenessTimeout + time.Duration(len(list))*(takeoverStep+roleCheckInterval))
			if n := len(m.schedulers(0)); n != min(schedulerCount, live) {
				t.Fatalf("%d schedulers among %d live instances", n, live)
			}
		}
	})
}

// Guards against a caller that waits longer than its context allows for a frozen scheduler,
// whose process neither answers nor resets anything.
func TestAskOfUnresponsiveSchedulerTimesOut(t *testing.T) {
	unresponsive, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	asker, answerer := startNode(t, "asker"), startNode(t, "answerer")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := asker.Ask(ctx, Peer{Name: "unresponsive", Address: addressOf(unresponsive.LocalAddr())}, &gossippb.Ask{Run: 1}); err == nil {
		t.Error("Ask returned a decision from an unresponsive scheduler")
	}
	to := Peer{Name: "answerer", Address: addressOf(answerer.conn.LocalAddr())}
	v, err := asker.Ask(t.Context(), to, &gossippb.Ask{Run: 2})
	if err != nil || v.GetRun() != 2 || v.GetEndpoint() != "chosen" {
		t.Errorf("decision %v, %v", v, err)
	}
	if len(asker.asks.pending) != 0 {
		t.Errorf("%d asks are still pending", len(asker.asks.pending))
	}
}

func startNode(t *testing.T, name string) *Node {
	t.Helper()
	n, err := New(Peer{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: "dc"}, 1, nopHandler{})
	if err != nil {
		t.Fatal(err)
	}
	go n.Run(t.Context())
	return n
}

func addressOf(a net.Addr) netip.AddrPort { return a.(*net.UDPAddr).AddrPort() }

// Guards against broadcasts that cross between data centres once for each instance, and
// against a data centre that receives no broadcasts after its forwarding scheduler has died.
func TestBroadcastsCrossBetweenDataCentresOnce(t *testing.T) {
	const dataCentres, each = 5, 39
	m := newFleetModel(largeFleet(dataCentres, each))
	m.run(2 * time.Second)
	n := m.node(m.schedulers(0)[0])
	if len(n.roles.direct) != each-1 || len(n.roles.forwarders) != dataCentres-1 {
		t.Fatalf("sends to %d instances directly and to %d forwarders; want %d and %d", len(n.roles.direct), len(n.roles.forwarders), each-1, dataCentres-1)
	}
	dead := n.roles.forwarders[0]
	m.dead[dead.Name] = true
	m.run(relayTimeout + 2*roleCheckInterval)
	for _, p := range n.roles.forwarders {
		if p.Name == dead.Name {
			t.Errorf("%s, which is dead, is used as a forwarder", p.Name)
		}
	}
	reached := 0
	for _, p := range n.roles.direct {
		if p.DataCentre == dead.DataCentre {
			reached++
		}
	}
	for _, p := range n.roles.forwarders {
		if p.DataCentre == dead.DataCentre {
			reached = each
		}
	}
	if reached < each {
		t.Errorf("%d of %d instances of its data centre are reached", reached, each)
	}
}

func (m *fleetModel) node(name string) *Node {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Guards against keeping replaced machines, whose share of every quota would be held back for
// ever, and against a separated part of the fleet that takes all other instances for lost.
func TestLostInstancesAreDistinguishedFromPartition(t *testing.T) {
	m := newFleetModel(largeFleet(3, 8))
	m.run(2 * time.Second)
	killed := m.nodes[len(m.nodes)-1].name
	m.dead[killed] = true
	m.run(10 * time.Second)
	n := m.node(m.schedulers(0)[0])
	n.markLiveReachable(m)
	if lost := n.Lost(time.Now().Add(time.Minute), 30*time.Second); lost != nil {
		t.Errorf("an instance that receives nothing reports %d instances as lost", len(lost))
	}
	if lost := n.Lost(m.now, 5*time.Second); len(lost) != 1 || lost[0] != killed {
		t.Errorf("lost instances are %v, want %s", lost, killed)
	}
}

// markLiveReachable records a datagram from every live instance now, and every instance as
// listed long ago.
func (n *Node) markLiveReachable(m *fleetModel) {
	for _, o := range m.nodes {
		n.listedAt[o.name] = m.now.Add(-time.Hour)
		if !m.dead[o.name] {
			n.states[o.name] = peerState{incarnation: 1, at: m.now}
		}
	}
}

// Guards against a scheduler that pauses for a moment and is not sent the ends of runs
// meanwhile: it would count those runs for half a minute after it resumes.
func TestPausedSchedulerIsStillSentReports(t *testing.T) {
	m := newFleetModel(largeFleet(3, 8))
	m.run(2 * time.Second)
	names := m.schedulers(0)
	n, paused := m.node(names[0]), names[1]
	m.dead[paused] = true
	m.run(livenessTimeout + 500*time.Millisecond)
	if !has(n.roles.receivers, paused) || has(n.roles.others, paused) {
		t.Errorf("paused for 1.6 s: sent reports %v, counted as live %v; want true, false", has(n.roles.receivers, paused), has(n.roles.others, paused))
	}
	m.run(reportTimeout)
	if has(n.roles.receivers, paused) {
		t.Error("the paused scheduler is still sent reports after reportTimeout")
	}
}

func has(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}
