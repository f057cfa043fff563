package soak

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

var (
	firstSeed = flag.Uint64("seed", 0, "first seed; 0 plays those of testdata/seeds.txt")
	seeds     = flag.Int("seeds", 1, "how many seeds")
	jobs      = flag.Int("jobs", 3, "how many runs at a time")
	keep      = flag.Bool("keep", false, "keep the logs of all runs, and tell of each fault")
	size      = flag.Int("instances", 5, "how many instances")
)

const (
	warmUp    = 1500 * time.Millisecond
	faultsFor = 8 * time.Second
	// calmDown is enough for planned work that begins once all instances are in
	// touch again, and for its bounds.
	calmDown    = contact + 5*time.Second
	judgedAtEnd = 2 * time.Second
	callers     = 16
	engines     = 4
	plain       = 3
	// breachesTold bounds what is printed of one run.
	breachesTold = 20
	// servedAtEnd is the least share of requests that succeed once all is calm.
	servedAtEnd = 0.9
)

// soak is one run.
type soak struct {
	seed      uint64
	ledger    *ledger
	store     *platformtest.Store
	instances []*instance
	named     atomic.Int64
	over      atomic.Bool

	nextServer atomic.Int64
	mu         sync.Mutex
	servers    map[string]*server
	records    records
	// endpointFaults are faults at any endpoint.
	endpointFaults timeline
}

// Instances, endpoints, the store and the ways between them fail in random order,
// together and in series, while callers go on. Whatever happens, a caller gets its
// own whole answer or a word that is true, and once it is over all are served.
func TestSoak(t *testing.T) { playAll(t, chosen(t)) }

// Seeds whose fault is not mended yet; the file tells what each shows.
func TestOpenSeeds(t *testing.T) { playAll(t, listed(t, "testdata/open.txt")) }

// playAll plays seeds, as many at a time as the flags say.
func playAll(t *testing.T, list []uint64) {
	t.Helper()
	if len(list) == 0 {
		return
	}
	binary := build(t)
	slots := make(chan struct{}, *jobs)
	for _, seed := range list {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if *jobs > 1 {
				t.Parallel()
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			play(t, binary, seed)
		})
	}
}

// chosen returns the seeds that the flags ask for.
func chosen(t *testing.T) []uint64 {
	var list []uint64
	if *firstSeed > 0 {
		for n := range *seeds {
			list = append(list, *firstSeed+uint64(n))
		}
		return list
	}
	return listed(t, "testdata/seeds.txt")
}

// listed returns the seeds that a file lists, each at the start of a line.
func listed(t *testing.T, name string) []uint64 {
	t.Helper()
	var list []uint64
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		word, _, _ := strings.Cut(sc.Text(), " ")
		if seed, err := strconv.ParseUint(word, 10, 64); err == nil {
			list = append(list, seed)
		}
	}
	return list
}

// build builds the program under test.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "sardinedock")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/sardinedock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func play(t *testing.T, binary string, seed uint64) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &soak{seed: seed, ledger: newLedger(), servers: map[string]*server{}, records: newRecords()}
	s.named.Store(1)
	s.setUp(t, binary, dir)
	stop := s.callAll()
	time.Sleep(warmUp)
	s.harm(t, rng)
	s.workAtPeace()
	settledAt := time.Now().Add(-judgedAtEnd)
	s.over.Store(true)
	stop()
	s.judgeEnd(settledAt)
	s.judgeLines(settledAt)
	s.tearDown()
	t.Logf("seed %d: %v", seed, s.ledger.counts)
	for _, b := range s.ledger.broken[:min(len(s.ledger.broken), breachesTold)] {
		t.Error(b)
	}
	if t.Failed() || *keep {
		t.Logf("logs in %s", dir)
		return
	}
	_ = os.RemoveAll(dir)
}

func (s *soak) setUp(t *testing.T, binary, dir string) {
	var err error
	if s.store, err = platformtest.NewStore(); err != nil {
		t.Fatal(err)
	}
	s.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	for range engines {
		s.addServer("pool")
	}
	for range plain {
		s.addServer("orders")
	}
	s.writeRecords()
	for n := range *size {
		i := newInstance(t, n, binary, dir, s.store.Address(), s.ledger)
		s.instances = append(s.instances, i)
		i.start()
	}
}

// callAll starts the callers; the function returned waits for their end.
func (s *soak) callAll() (wait func()) {
	var wg sync.WaitGroup
	for n := range callers {
		c := &caller{soak: s, n: n, rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1))}
		wg.Go(c.run)
	}
	return wg.Wait
}

// harm plays the schedule and waits until all faults are over.
func (s *soak) harm(t *testing.T, rng *rand.Rand) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range schedule(rng, faultsOf(s.seed), faultsFor) {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(e.at)))
			if *keep {
				t.Logf("%s %s for %v", time.Now().Format("05.000"), e.fault.name, e.lasts)
			}
			s.ledger.count("fault")
			e.fault.do(s, rand.New(rand.NewPCG(e.seed, 0)), e.lasts)
		})
	}
	wg.Wait()
}

// workAtPeace has planned work done once all faults are over, when each bound holds:
// endpoints leave, the records change, and weights are named.
func (s *soak) workAtPeace() {
	began := time.Now()
	time.Sleep(contact + 200*time.Millisecond)
	var wg sync.WaitGroup
	for _, service := range []string{"pool", "orders"} {
		wg.Go(func() { s.replace(service) })
	}
	s.changeRecords(true)
	s.nameWeights()
	wg.Wait()
	time.Sleep(time.Until(began.Add(calmDown)))
}

// replace has one endpoint of a service leave once another one is there.
func (s *soak) replace(service string) {
	var leaving *server
	for _, x := range s.liveServers() {
		if x.service == service && !x.isLeaving() {
			leaving = x
			break
		}
	}
	s.addServer(service)
	if leaving != nil {
		leaving.leave()
	}
}

// nameWeights names the next version.
func (s *soak) nameWeights() {
	v := s.named.Add(1)
	s.store.Put("versions", model, map[string]any{"model": model, "version": v})
}

// judgeEnd judges what has to hold once all is calm.
func (s *soak) judgeEnd(settledAt time.Time) {
	l := s.ledger
	served, sent, extra := 0, 0, 0
	calls := s.ledger.settled()
	s.judgeQuota(calls)
	for _, c := range calls {
		// A dropped key is not served any more, whatever its request counted on.
		if c.sentAt.After(settledAt) && c.leftAt.IsZero() && !s.dropped(c.key) && !(s.limited(c.organisation) && c.refused == 429) {
			sent++
			if len(c.answers) > 0 {
				served++
			}
		}
		extra += max(0, c.arrivals-1)
		if !c.leftAt.IsZero() {
			s.judgeGone(&c)
		}
	}
	if float64(served) < servedAtEnd*float64(sent) || sent == 0 {
		l.breach("RECOVER: %d of %d requests served once all was calm", served, sent)
	}
	windows := (warmUp+faultsFor+calmDown).Seconds()/retryWindow + 1
	if most := retryRatio*float64(len(l.calls)) + retrySlack*windows; float64(extra) > most {
		l.breach("BUDGET: %d repeats, %.0f are allowed", extra, most)
	}
	for _, x := range s.liveServers() {
		if x.engine == nil {
			continue
		}
		if v, _ := x.engine.Version(); v < s.named.Load() {
			l.breach("VERSION: %s holds version %d at the end, %d is named", x.ID, v, s.named.Load())
		}
		if n := x.engine.FenceConflicts(); n > 0 {
			l.breach("ONE: %s got %d orders of a second holder under one fence", x.ID, n)
		}
	}
}

func (s *soak) tearDown() {
	for _, i := range s.instances {
		i.close()
	}
	for _, x := range s.liveServers() {
		x.remove()
	}
	s.store.Close()
}

func (s *soak) liveServers() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*server
	for n := int64(1); n <= s.nextServer.Load(); n++ {
		for _, service := range []string{"pool", "orders"} {
			if x := s.servers[fmt.Sprintf("%s-%d", service, n)]; x != nil {
				list = append(list, x)
			}
		}
	}
	return list
}

// pickServer returns an endpoint that is not leaving.
func (s *soak) pickServer(rng *rand.Rand) *server {
	list := s.liveServers()
	for range list {
		x := list[rng.IntN(len(list))]
		if !x.isLeaving() {
			return x
		}
	}
	return list[len(list)-1]
}

func (s *soak) calm(instance int, from, to time.Time) bool {
	return s.instances[instance].calm(from, to)
}

// judgeGone judges for each request whose caller left whether the router has told the
// endpoint, by closing the connection to it. The moment is seen at the endpoint's link,
// whatever that does to the connection: an endpoint that is cut off works on, and neither
// it nor the router could know better.
func (s *soak) judgeGone(c *call) {
	for _, w := range c.works {
		bound := c.leftAt.Add(goneBound)
		if !s.calm(c.instance, c.leftAt.Add(-contact), bound) || w.endedBy(bound) {
			continue
		}
		s.ledger.count("left at work")
		if w.pair == nil {
			s.ledger.breach("GONE: %s worked on %s over a connection that its link has not seen", w.at.ID, c.id)
			continue
		}
		if closed := w.pair.callerClosed(); closed.IsZero() || closed.After(bound) {
			s.ledger.breach("GONE: %s left front-%d at %s; %s works on it from %s, the router closed at %s", c.id, c.instance,
				stamp(c.leftAt), w.at.ID, stamp(w.from), stamp(closed))
		}
	}
}

// stamp is a moment as breaches and logs tell it; a zero one has not come.
func stamp(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Format("05.000")
}
