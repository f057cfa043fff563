package hosted

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/origin"
	"github.com/sardinedock/sardinedock/prefix"
	"github.com/sardinedock/sardinedock/quota"
	"github.com/sardinedock/sardinedock/ratelimit"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// fleet is a set of instances that place requests and exchange messages on loopback, without the
// connections of callers and endpoints.
type fleet struct {
	instances []*Instance
	endpoints int
	// messages counts the messages about runs that instances have received.
	messages atomic.Int64
}

func newFleet(b *testing.B, instances, endpoints int) *fleet {
	b.Helper()
	f := &fleet{endpoints: endpoints}
	var peers []gossip.Peer
	for k := range instances {
		i := &Instance{state: balance.NewState(8 * time.Second), quotas: quota.NewBook(time.Now(), fmt.Sprintf("instance-%d", k), 1)}
		i.state.SetPools(map[string]balance.Pool{"pool": {CacheTokens: 80_000}})
		i.state.SetEndpoints(fleetEndpoints(endpoints))
		address := freeDatagramAddress(b)
		dataCentre := fmt.Sprintf("dc-%d", k%3)
		self := gossip.Peer{Name: fmt.Sprintf("instance-%d", k), Address: netip.MustParseAddrPort(address), DataCentre: dataCentre, LinkMbps: 10}
		node, err := gossip.New(self, 1, fleetReceiver{i, &f.messages})
		if err != nil {
			b.Fatal(err)
		}
		i.node = node
		i.origins = &origins{book: origin.NewBook(), state: i.state, node: node, started: time.Now(), settled: &i.settled}
		i.statements = newStatements(ratelimit.NewLimits(time.Now(), self.Name, 1), i.state.ServiceOf, node.BroadcastNotice)
		i.placer = newPlacer(i)
		f.instances = append(f.instances, i)
		peers = append(peers, self)
	}
	for _, i := range f.instances {
		i.node.SetPeers(peers)
		go i.node.Run(b.Context())
	}
	return f
}

func freeDatagramAddress(b *testing.B) string {
	b.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func fleetEndpoints(n int) []balance.Endpoint {
	var list []balance.Endpoint
	for k := range n {
		list = append(list, balance.Endpoint{
			ID: fmt.Sprintf("i-%08x", k), Address: fmt.Sprintf("10.0.0.%d:8280", k), Service: "pool",
			DataCentre: fmt.Sprintf("dc-%d", k%3), Slots: 12, Versions: map[string]int64{"model": 1},
		})
	}
	return list
}

// fleetReceiver counts and handles peers' messages about runs.
type fleetReceiver struct {
	*Instance
	messages *atomic.Int64
}

func (h fleetReceiver) Started(m *gossippb.RunStart) {
	h.messages.Add(1)
	receiver{h.Instance}.Started(m)
}

func (h fleetReceiver) Stage(m *gossippb.RunStage) {
	h.messages.Add(1)
	receiver{h.Instance}.Stage(m)
}

func (fleetReceiver) Notice(string, *gossippb.Notice)    {}
func (fleetReceiver) Entry(*gossippb.Entry)              {}
func (fleetReceiver) Cache(*gossippb.CacheNews)          {}
func (fleetReceiver) QuotaUsed(*gossippb.QuotaUse)       {}
func (fleetReceiver) QuotaBooked(*gossippb.QuotaBooking) {}
func (fleetReceiver) SchedulerStarted(string)            {}
func (fleetReceiver) Revision(string, uint64, time.Time) {}
func (h fleetReceiver) Asked(a *gossippb.Ask) *gossippb.Decision {
	q := queryOf(a)
	return decisionMessage(q.Run, h.placer.decide(q))
}

// request places one request, and broadcasts its start and its stages.
func (f *fleet) request(i *Instance, n int) {
	ask := balance.Ask{
		Service: "pool", Model: "model", Wall: "all", DataCentre: "dc-0", PromptTokens: 6000, OutputTokens: 40,
		Parts: []prefix.Part{{ID: fmt.Sprint("company", n%4), Tokens: 2000}, {ID: fmt.Sprint("history", n%900), Tokens: 3000}, {ID: fmt.Sprint("own", n), Tokens: 1000}},
	}
	run, v := i.placer.Place(context.Background(), balance.Query{Ask: ask, Target: time.Second, Patience: 3 * time.Second})
	if v.Admission != balance.Send {
		return
	}
	for _, s := range []balance.Stage{balance.Answering, balance.Done} {
		time.Sleep(50 * time.Millisecond)
		i.state.SetStage(time.Now(), run, s)
		i.node.ReportStage(&gossippb.RunStage{Run: uint64(run), Stage: int32(s)}, v.Placement.PlacedBy)
	}
}

// BenchmarkFleet measures the cost of one request to a fleet in CPU time of all its instances, at 5
// requests a second an instance, and the messages about runs and the datagrams that an instance
// receives a second. In a fleet of up to gossip.SmallFleet each instance receives all messages;
// beyond it, only schedulers do. With all messages sent to all, 195 instances took 6,327 µs a
// request and received 2,925 messages a second each; 62 took 3,837 µs.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ instances, endpoints int }{{8, 12}, {62, 144}, {195, 124}, {360, 240}} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			f := newFleet(b, size.instances, size.endpoints)
			time.Sleep(2 * time.Second)
			const perInstance = 5
			pause := time.Second / time.Duration(perInstance*size.instances)
			before, from, messages, datagrams := processorTime(), time.Now(), f.messages.Load(), datagramsReceived()
			n := 0
			for b.Loop() {
				go f.request(f.instances[n%size.instances], n)
				n++
				time.Sleep(pause)
			}
			time.Sleep(200 * time.Millisecond)
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(n), "cpu-µs/request")
			perSecond := func(count float64) float64 {
				return count / time.Since(from).Seconds() / float64(size.instances)
			}
			b.ReportMetric(perSecond(float64(f.messages.Load()-messages)), "messages/s")
			b.ReportMetric(perSecond(datagramsReceived()-datagrams), "datagrams/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// datagramsReceived returns the number of datagrams received by all instances of this process.
func datagramsReceived() float64 {
	return float64(metrics.GetOrCreateCounter("sardinedock_gossip_datagrams_received_total").Get())
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
