package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// group is a fleet of cores in virtual time. Messages have no latency; a call that
// cannot be delivered fails after callTimeout.
type group struct {
	t               failer
	now             time.Time
	cores           []*core
	seeds           []string
	partitioned     func(a, b int) bool // whether two cores cannot reach each other
	stopped         map[int]bool
	pendingFailures []pendingFailure
	bytes           int  // sent between the cores
	dropChecks      bool // whether checks are dropped without a reply or a failure
}

type pendingFailure struct {
	at   time.Time
	from int
	o    outgoing
}

// failer is a *testing.T, *testing.B or *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newGroup(t failer, n int) *group {
	g := &group{t: t, now: time.Unix(1000, 0), stopped: map[int]bool{}, seeds: []string{address(0)}}
	g.partitioned = func(int, int) bool { return false }
	for range n {
		g.add(uint64(g.now.UnixNano()))
	}
	return g
}

func address(i int) string { return fmt.Sprintf("addr-%03d", i) }

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

func (g *group) add(incarnation uint64) {
	g.cores = append(g.cores, g.newCore(len(g.cores), incarnation))
}

func (g *group) newCore(i int, incarnation uint64) *core {
	return newCore(Config{
		Fleet:    "test",
		Self:     member.Member{Name: name(i), Address: address(i), DataCentre: "accra-1", Incarnation: incarnation},
		Seeds:    g.seeds,
		Timeouts: member.DefaultTimeouts,
		Complete: func() bool { return true },
		Changed:  func([]exchange.Item) {},
	}, rand.New(rand.NewPCG(1, uint64(i))), g.now)
}

// run advances the virtual time by d.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(pushInterval)
		g.deliverFailures()
		for i, c := range g.cores {
			if !g.stopped[i] {
				g.deliver(i, c.tick(g.now))
			}
		}
	}
}

func (g *group) deliver(from int, list []outgoing) {
	for len(list) > 0 {
		o := list[0]
		list = list[1:]
		if g.dropChecks && o.purpose == purposeCheck {
			continue
		}
		to := g.indexOf(o.peer.Address)
		if !g.connected(from, to) {
			g.pendingFailures = append(g.pendingFailures, pendingFailure{g.now.Add(callTimeout), from, o})
			continue
		}
		reply := g.cores[to].serve(o.request, g.now)
		for _, target := range o.request.GetCheck() {
			if g.connected(to, g.indexOf(target.GetAddress())) {
				reply.Reached = append(reply.Reached, target.GetInstance())
			}
		}
		g.count(o, reply)
		list = append(list, g.cores[from].handleReply(o, reply, g.now)...)
	}
}

func (g *group) deliverFailures() {
	due := g.pendingFailures
	g.pendingFailures = nil
	for _, f := range due {
		if g.now.Before(f.at) {
			g.pendingFailures = append(g.pendingFailures, f)
		} else if !g.stopped[f.from] {
			g.deliver(f.from, g.cores[f.from].handleFailure(f.o, g.now))
		}
	}
}

func (g *group) indexOf(addr string) int {
	for i := range g.cores {
		if address(i) == addr {
			return i
		}
	}
	return -1
}

func (g *group) connected(a, b int) bool {
	return b >= 0 && !g.stopped[a] && !g.stopped[b] && !g.partitioned(a, b)
}

// wantStatus checks that all running cores except the member itself have the
// status for it.
func (g *group) wantStatus(of int, want fleetpb.MemberStatus) {
	g.t.Helper()
	for i, c := range g.cores {
		if i == of || g.stopped[i] {
			continue
		}
		if m, ok := c.table.Find(name(of)); !ok || m.Status != want {
			g.t.Fatalf("%s has status %v for %s, want %v", name(i), m.Status, name(of), want)
		}
	}
}

func (g *group) wantAllAlive() {
	g.t.Helper()
	for i := range g.cores {
		g.wantStatus(i, fleetpb.MemberStatus_MEMBER_STATUS_ALIVE)
	}
}

func record(version uint64) exchange.Item {
	return exchange.Item{
		Key:     exchange.Key{Kind: fleetpb.ItemKind_ITEM_KIND_RECORD, Name: "pools/counters"},
		Version: version, Value: fmt.Append(nil, "version ", version),
	}
}

func (g *group) wantRecord(version uint64) {
	g.t.Helper()
	for i, c := range g.cores {
		if it, _ := c.store.Get(record(0).Key); it.Version != version {
			g.t.Fatalf("%s has version %d, want %d", name(i), it.Version, version)
		}
	}
}

func TestChangeReachesAll(t *testing.T) {
	for _, n := range []int{2, 8, 32} {
		g := newGroup(t, n)
		g.run(20 * time.Second)
		g.wantAllAlive()
		g.cores[n/2].put(g.now, record(3))
		g.run(3 * time.Second)
		g.wantRecord(3)
	}
}

// Many changes of a large record follow each other. The random choice of peers now
// and then leaves an instance out, which would serve callers by the old record
// until the next full compare.
func TestEveryChangeReachesAll(t *testing.T) {
	g := newGroup(t, 8)
	g.run(20 * time.Second)
	for v := uint64(1); v <= 60; v++ {
		it := record(v)
		it.Value = make([]byte, 400)
		g.cores[v%8].put(g.now, it)
		g.run(2 * time.Second)
		g.wantRecord(v)
	}
}

// Each of many instances often publishes the version of its records in force. If
// that were pushed like a change of a record, it would use up the limit on the
// bytes that an instance may send.
func TestRecordsVersionIsNotPushed(t *testing.T) {
	g := newGroup(t, 32)
	g.run(30 * time.Second)
	c := g.cores[3]
	c.put(g.now, c.table.Update(func(m *member.Member) { m.RecordsVersion = 7 }))
	if out := c.pushes(g.now.Add(time.Second)); len(out) > 0 {
		t.Fatalf("pushed to %d peers", len(out))
	}
	g.run(20 * time.Second)
	for i, other := range g.cores {
		if m, _ := other.table.Find(name(3)); i != 3 && m.RecordsVersion != 7 {
			t.Fatalf("%s has not received the records version", name(i))
		}
	}
}

// An instance fails without announcing it, as most do. Its endpoints would be
// without a working owner until the others have declared it dead.
func TestDeadInstanceIsExpelled(t *testing.T) {
	g := newGroup(t, 16)
	g.run(20 * time.Second)
	g.stopped[5] = true
	g.run(20 * time.Second)
	g.wantStatus(5, fleetpb.MemberStatus_MEMBER_STATUS_DEAD)
	for i, c := range g.cores {
		if owners := c.table.View().Owners; i != 5 && len(owners) != 15 {
			t.Fatalf("%s has %d owners", name(i), len(owners))
		}
	}
}

// A data centre fails soon after all instances were started. The failure of each
// instance has to be detected, even if it is no other instance's random partner, or
// its endpoints would keep an owner that never answers.
func TestLostDataCentreIsExpelled(t *testing.T) {
	const n = 60
	g := newGroup(t, n)
	g.run(30 * time.Second)
	for i := 0; i < n; i += 6 {
		g.stopped[i] = true
	}
	g.run(20 * time.Second)
	if !g.allExpelled() {
		t.Fatal("some instances still count members of the lost data centre among the owners")
	}
}

// A rack fails, and the checks of its instances are never sent, as too many calls
// are in flight. A check that stays pending for ever would keep the dead instances
// among the owners.
func TestUnansweredCheckExpires(t *testing.T) {
	g := newGroup(t, 16)
	g.run(20 * time.Second)
	g.dropChecks = true
	g.stopped[5] = true
	g.run(25 * time.Second)
	g.wantStatus(5, fleetpb.MemberStatus_MEMBER_STATUS_DEAD)
}

// The machine of an instance is paused for a few seconds. Declaring the instance
// dead at once would move its endpoints twice, and callers would suffer the loss of
// what the owners knew of the endpoints' caches.
func TestPausedInstanceRefutesSuspicion(t *testing.T) {
	g := newGroup(t, 16)
	g.run(20 * time.Second)
	g.stopped[5] = true
	g.run(4 * time.Second)
	g.wantStatus(5, fleetpb.MemberStatus_MEMBER_STATUS_SUSPECT)
	g.stopped[5] = false
	g.run(4 * time.Second)
	g.wantAllAlive()
}

// The network path between two instances fails while both are healthy. Without
// checks by other instances each would declare the other dead.
func TestPathFailureCausesNoSuspicion(t *testing.T) {
	g := newGroup(t, 8)
	g.run(20 * time.Second)
	g.partitioned = func(a, b int) bool { return a+b == 3 && (a == 1 || a == 2) }
	for range 60 {
		g.run(time.Second)
		g.wantAllAlive()
	}
}

// Two regions are partitioned for ten minutes while operators change a record
// through one of them. Afterwards all instances must serve callers by the same
// record, without any restart.
func TestPartitionHeals(t *testing.T) {
	g := newGroup(t, 16)
	g.run(20 * time.Second)
	g.cores[0].put(g.now, record(3))
	g.run(5 * time.Second)
	g.partitioned = func(a, b int) bool { return a%2 != b%2 }
	g.run(10 * time.Minute)
	g.cores[1].put(g.now, record(4))
	g.run(5 * time.Second)
	if owners := g.cores[0].table.View().Owners; len(owners) != 8 {
		t.Fatalf("%d owners on one side of the partition, want 8", len(owners))
	}
	g.partitioned = func(int, int) bool { return false }
	g.run(30 * time.Second)
	g.wantAllAlive()
	g.wantRecord(4)
}

// An instance restarts on a machine whose clock is hours behind. Its peers remember
// a higher incarnation and would take the state of the dead process for newer than
// that of the running one.
func TestClockBehindAfterRestart(t *testing.T) {
	g := newGroup(t, 8)
	g.run(20 * time.Second)
	g.stopped[5] = true
	g.run(20 * time.Second)
	g.cores[5] = g.newCore(5, 17)
	g.stopped[5] = false
	g.run(10 * time.Second)
	g.wantAllAlive()
}

func TestLeavingInstanceOwnsNothing(t *testing.T) {
	g := newGroup(t, 8)
	g.run(20 * time.Second)
	g.cores[5].put(g.now, g.cores[5].table.Leave())
	g.run(2 * time.Second)
	g.wantStatus(5, fleetpb.MemberStatus_MEMBER_STATUS_LEAVING)
	g.cores[5].put(g.now, g.cores[5].table.FinishLeave())
	g.run(2 * time.Second)
	g.wantStatus(5, fleetpb.MemberStatus_MEMBER_STATUS_LEFT)
}

// Instances are partitioned, stopped and restarted, some with a clock that was set
// back, while operators change a record, in any order. No instance may revert to an
// older version, and once the network is healed all must agree on who is alive and
// on the newest record.
func TestFaultsInAnyOrderHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		g := newGroup(t, n)
		g.run(5 * time.Second)
		version := uint64(0)
		highest := make([]uint64, n)
		check := func() {
			for i, c := range g.cores {
				it, _ := c.store.Get(record(0).Key)
				if it.Version < highest[i] {
					t.Fatalf("%s went from version %d to %d", name(i), highest[i], it.Version)
				}
				highest[i] = it.Version
			}
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			switch rapid.SampledFrom([]string{"cut", "heal", "stop", "restart", "change"}).Draw(t, "step") {
			case "cut":
				side := rapid.IntRange(1, 1<<n-2).Draw(t, "side")
				g.partitioned = func(a, b int) bool { return side>>a&1 != side>>b&1 }
			case "heal":
				g.partitioned = func(int, int) bool { return false }
			case "stop":
				g.stopped[i] = true
			case "restart":
				back := time.Duration(rapid.IntRange(0, 100).Draw(t, "clock back, s")) * time.Second
				g.cores[i] = g.newCore(i, uint64(g.now.Add(-back).UnixNano()))
				g.stopped[i] = false
				highest[i] = 0
			case "change":
				version++
				g.cores[i].put(g.now, record(version))
			}
			g.run(time.Duration(rapid.IntRange(0, 15).Draw(t, "wait, s")) * time.Second)
			check()
		}
		g.partitioned = func(int, int) bool { return false }
		for i := range n {
			g.stopped[i] = false
		}
		g.run(60 * time.Second)
		check()
		g.wantAllAlive()
		newest := uint64(0)
		for _, v := range highest {
			newest = max(newest, v)
		}
		if newest > 0 {
			g.wantRecord(newest)
		}
		for i, c := range g.cores {
			if c.store.Root() != g.cores[0].store.Root() {
				t.Fatalf("%s has other state than the first instance", name(i))
			}
		}
	})
}
