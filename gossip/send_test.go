package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// countingHandler counts the notices and run stages that an instance receives.
type countingHandler struct {
	nopHandler
	mu      sync.Mutex
	notices map[string]int
	stages  map[uint64]int
}

func (c *countingHandler) Notice(_ string, n *gossippb.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices[n.GetEndpoint()]++
}

func (c *countingHandler) Stage(s *gossippb.RunStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stages[s.GetRun()]++
}

func (c *countingHandler) noticeCount(endpoint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notices[endpoint]
}

func (c *countingHandler) stageCount(run uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stages[run]
}

// loopbackFleet is a set of instances that exchange datagrams on the loopback interface.
type loopbackFleet struct {
	t *testing.T
	// name is a part of all names in the fleet. The port of an instance that was stopped may be bound by one of
	// another fleet, also of another process, which then receives datagrams of this one.
	name     string
	nodes    []*Node
	handlers []*countingHandler
	stops    []context.CancelFunc
}

// fleets counts the fleets of this process.
var fleets atomic.Int64

func newLoopbackFleet(t *testing.T, size int) *loopbackFleet {
	t.Helper()
	f := &loopbackFleet{t: t, name: fmt.Sprintf("%d-%d", os.Getpid(), fleets.Add(1))}
	var peers []Peer
	for k := range size {
		c := &countingHandler{notices: map[string]int{}, stages: map[uint64]int{}}
		self := Peer{Name: fmt.Sprintf("instance-%s-%d", f.name, k), Address: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: fmt.Sprint("dc-", k%3)}
		n, err := New(self, 1, c)
		if err != nil {
			t.Fatal(err)
		}
		self.Address = addressOf(n.conn.LocalAddr())
		peers = append(peers, self)
		f.nodes, f.handlers = append(f.nodes, n), append(f.handlers, c)
	}
	for _, n := range f.nodes {
		n.SetPeers(peers)
		ctx, cancel := context.WithCancel(t.Context())
		f.stops = append(f.stops, cancel)
		go n.Run(ctx)
	}
	return f
}

// settled waits until all live instances know schedulerCount schedulers.
func (f *loopbackFleet) settled(dead map[int]bool) {
	f.t.Helper()
	f.eventually("all instances know the schedulers", func() bool {
		for k, n := range f.nodes {
			if !dead[k] && len(n.Schedulers()) != schedulerCount {
				return false
			}
		}
		return true
	})
}

func (f *loopbackFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.logViews()
	f.t.Fatalf("not within 10 s: %s", what)
}

// Guards against lost and duplicated messages in a large fleet, where they are forwarded by
// schedulers. A notice about an endpoint has to reach all instances, and a run's stage all
// schedulers, whichever instance sends it and although a scheduler has just died. A run's end
// that is received twice would be subtracted twice from the load of its endpoint.
func TestMessagesReachEachInstanceOnce(t *testing.T) {
	f := newLoopbackFleet(t, SmallFleet+4)
	dead := map[int]bool{}
	f.settled(dead)
	f.sendAll("before", 1000, dead)
	for k, n := range f.nodes {
		if n.IsScheduler() {
			dead[k] = true
			f.stops[k]()
			break
		}
	}
	f.eventually("the dead scheduler is no longer counted", func() bool {
		for k, n := range f.nodes {
			if !dead[k] && n.Live() != len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
	f.settled(dead)
	f.sendAll("after", 2000, dead)
}

// logViews logs what each instance knows of the schedulers.
func (f *loopbackFleet) logViews() {
	for k, n := range f.nodes {
		f.t.Logf("instance %d: scheduler %v, knows %v, %d live, %s datagrams dropped by its full socket",
			k, n.IsScheduler(), n.Schedulers(), n.Live(), socketDrops(addressOf(n.conn.LocalAddr()).Port()))
	}
}

// socketDrops returns how many datagrams the kernel has dropped since the receive buffer of the UDP socket at a port was
// full, or why that is not known.
func socketDrops(port uint16) string {
	table, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 2 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			return fields[len(fields)-1]
		}
	}
	return "unknown"
}

// sendAll has each live instance send a notice and a run stage, and checks that every
// recipient receives each of them exactly once.
func (f *loopbackFleet) sendAll(when string, firstRun uint64, dead map[int]bool) {
	f.t.Helper()
	for k, n := range f.nodes {
		if dead[k] {
			continue
		}
		endpoint, run := fmt.Sprint(when, "-", f.name, "-", k), firstRun+uint64(k)
		n.BroadcastNotice(&gossippb.Notice{Endpoint: endpoint, AvoidMs: 1})
		n.ReportStage(&gossippb.RunStage{Run: run}, "")
		f.eventually(endpoint+" delivered", func() bool { return f.delivered(k, endpoint, run, dead) })
	}
	// A duplicate arrives shortly after the first copy.
	time.Sleep(2 * relayHeartbeatDelay)
	for k := range f.nodes {
		endpoint, run := fmt.Sprint(when, "-", f.name, "-", k), firstRun+uint64(k)
		for other, c := range f.handlers {
			if c.noticeCount(endpoint) > 1 || c.stageCount(run) > 1 {
				f.logViews()
				f.t.Errorf("instance %d received notice %s %d times, its run stage %d times", other, endpoint, c.noticeCount(endpoint), c.stageCount(run))
			}
		}
	}
}

// delivered reports whether all other live instances have received the sender's notice, and
// all other schedulers its run stage.
func (f *loopbackFleet) delivered(sender int, endpoint string, run uint64, dead map[int]bool) bool {
	for k, n := range f.nodes {
		if k == sender || dead[k] {
			continue
		}
		if f.handlers[k].noticeCount(endpoint) == 0 || n.IsScheduler() && f.handlers[k].stageCount(run) == 0 {
			return false
		}
	}
	return true
}

// Guards against a message that arrives twice, since an instance that forwards to its data centre also sends to another
// one of which it knows no scheduler: that one gets it from another forwarder.
func TestForwardedToADataCentreOnlyThere(t *testing.T) {
	f := newLoopbackFleet(t, SmallFleet+4)
	f.settled(nil)
	forwarder := 0
	for k, n := range f.nodes {
		if n.IsScheduler() {
			forwarder = k
			break
		}
	}
	n := f.nodes[forwarder]
	own, other := -1, -1
	for k, p := range f.nodes {
		switch {
		case k == forwarder:
		case p.dataCentre == n.dataCentre:
			own = k
		default:
			other = k
		}
	}
	// The forwarder knows no scheduler of the other data centre for a moment.
	n.mu.Lock()
	r := n.roles
	n.mu.Unlock()
	r.direct, r.forwarders = append([]Peer{}, r.direct...), nil
	for _, p := range n.allPeers() {
		if p.Name == f.nodes[other].name {
			r.direct = append(r.direct, p)
		}
	}
	const notice = "forwarded"
	d := &gossippb.Datagram{Instance: "sender", Incarnation: 1, Number: 1, Notices: []*gossippb.Notice{{Endpoint: notice, AvoidMs: 1}}}
	n.forwardBatch(r, []relayed{{data: encode(d), audience: gossippb.Audience_DATA_CENTRE, urgent: true}})
	f.eventually("the notice in the forwarder's data centre", func() bool { return f.handlers[own].noticeCount(notice) == 1 })
	time.Sleep(2 * relayHeartbeatDelay)
	if c := f.handlers[other].noticeCount(notice); c != 0 {
		t.Errorf("%d notices in another data centre", c)
	}
}
