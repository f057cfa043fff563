package hosted

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

var (
	partitionSeed  = flag.Uint64("partition-seed", 1, "first seed of TestPartitionsUnderLoad")
	partitionSeeds = flag.Int("partition-seeds", 2, "number of seeds of TestPartitionsUnderLoad")
)

// partitionLedger records what endpoints ran, by the request's ID.
type partitionLedger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *partitionLedger) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id]
}

func (l *partitionLedger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// handle answers with the request's ID, as a whole or as a stream, after some time.
func (l *partitionLedger) handle(x *platformtest.Exchange) bool {
	l.ran(x.ID())
	path := string(x.Request.URI().Path())
	if strings.HasPrefix(path, "/stock/") || strings.HasPrefix(path, "/confirm/") {
		if x.CallerClosed(30 * time.Millisecond) {
			return false
		}
		x.Answer(200, "answer to "+x.ID())
		return true
	}
	x.StreamHead()
	from, _ := strconv.Atoi(x.Header("Last-Event-Id"))
	for n := from + 1; n <= partitionEvents; n++ {
		if x.CallerClosed(15 * time.Millisecond) {
			return false
		}
		x.Chunk(partitionEvent(x.ID(), n))
	}
	x.End()
	return true
}

const partitionEvents = 6

func partitionEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

func partitionAnswer(path, id string) string {
	if strings.HasPrefix(path, "/stock/") || strings.HasPrefix(path, "/confirm/") {
		return "answer to " + id
	}
	var b strings.Builder
	for n := 1; n <= partitionEvents; n++ {
		b.WriteString(partitionEvent(id, n))
	}
	return b.String()
}

// partitionCaller sends requests of all kinds until stop and checks each answer.
func (f *fixture) partitionCaller(t *testing.T, l *partitionLedger, rng *rand.Rand, stop *atomic.Bool, served, sent *atomic.Int64) {
	for !stop.Load() {
		path := []string{"/stock/1", "/confirm/1", "/check/1", "/draft/1"}[rng.IntN(4)]
		req := f.request("POST", path, strings.Repeat("b", rng.IntN(40_000)))
		if path == "/stock/1" {
			req = f.request("GET", path, "")
		}
		if strings.HasPrefix(path, "/check/") || strings.HasPrefix(path, "/draft/") {
			req = prompt(req)
		}
		id := req.Header.Get("Sardinedock-Request-Id")
		a := f.sendTo(rng.IntN(len(f.instances)), req)
		sent.Add(1)
		runs := l.count(id)
		once := path == "/confirm/1" || path == "/draft/1"
		switch {
		case a.truncated:
		case a.status == http.StatusOK && a.body != partitionAnswer(path, id):
			t.Errorf("MIXED: %s %s got %q", path, id, a.body)
		case a.status == http.StatusOK:
			served.Add(1)
		case a.status == http.StatusServiceUnavailable && once && runs > 0:
			t.Errorf("REFUSED: %s %s was refused as not run and ran %d times", path, id, runs)
		}
		if once && runs > 1 {
			t.Errorf("TWICE: %s %s ran %d times", path, id, runs)
		}
	}
}

// Instances lose their paths to some or all endpoints and regain them, endpoints stall, instances lose each
// other, under load and in series that overlap. Each caller must get its own whole answer or a truthful
// error, what must run once must not run twice, and all is served once the faults are over.
func TestPartitionsUnderLoad(t *testing.T) {
	for n := range *partitionSeeds {
		seed := *partitionSeed + uint64(n)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playPartitions(t, seed) })
	}
}

func playPartitions(t *testing.T, seed uint64) {
	const instances, callers, faults, phase = 4, 16, 16, 6 * time.Second
	rng := rand.New(rand.NewPCG(seed, 0))
	f := newFixture(t, instances)
	var paths, peers []*partition
	for _, i := range f.instances {
		paths = append(paths, partitioned(i))
		p := &partition{conns: map[*cuttableConn]bool{}}
		i.peerRelays.dialer = p.dial
		peers = append(peers, p)
	}
	ledger := &partitionLedger{runs: map[string]int{}}
	var endpoints []*platformtest.Endpoint
	for _, id := range []string{"p1", "p2", "p3"} {
		endpoints = append(endpoints, f.endpoint(id, "orders", ledger.handle))
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		endpoints = append(endpoints, f.endpoint(id, "pool", ledger.handle))
	}
	f.serve(len(endpoints), nil)
	f.awaitPeers()
	var stop atomic.Bool
	var served, sent atomic.Int64
	var wg, faultsWG sync.WaitGroup
	for k := range callers {
		own := rand.New(rand.NewPCG(seed, uint64(k)+1))
		wg.Go(func() { f.partitionCaller(t, ledger, own, &stop, &served, &sent) })
	}
	began := time.Now()
	for range faults {
		at, d := time.Duration(rng.Int64N(int64(phase))), time.Duration(200+rng.IntN(1800))*time.Millisecond
		k, mode, what := rng.IntN(instances), cutMode(1+rng.IntN(3)), rng.IntN(6)
		some := endpoints[:1+rng.IntN(len(endpoints))]
		faultsWG.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			switch what {
			case 0, 1:
				paths[k].cut(mode)
			case 2:
				paths[k].cut(mode, some...)
			case 3:
				paths[k].stall(d, some...)
			default:
				// The instances that forward for this one are lost in the middle of it.
				paths[k].cut(cutWithReset)
				time.Sleep(d / 2)
				peers[k].cut(mode)
			}
			time.Sleep(d)
			paths[k].cut(cutNothing)
			peers[k].cut(cutNothing)
		})
	}
	faultsWG.Wait()
	during, of := served.Load(), sent.Load()
	time.Sleep(contactTime)
	calm, calmOf := served.Load(), sent.Load()
	time.Sleep(time.Second)
	after, afterOf := served.Load()-calm, sent.Load()-calmOf
	stop.Store(true)
	wg.Wait()
	t.Logf("seed %d: %d of %d served during the faults, %d of %d after them", seed, during, of, after, afterOf)
	const calmShare = 0.95
	if float64(after) < calmShare*float64(afterOf) || afterOf == 0 {
		t.Errorf("RECOVER: %d of %d requests served once all is calm", after, afterOf)
	}
}
