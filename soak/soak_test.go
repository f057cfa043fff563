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
	firstSeed = flag.Uint64("seed", 0, "first seed; 0 runs those of testdata/seeds.txt")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	jobs      = flag.Int("jobs", 3, "number of concurrent runs")
	keep      = flag.Bool("keep", false, "keep the logs of all runs, and print each fault")
	size      = flag.Int("instances", 5, "number of instances")
)

const (
	warmUp     = 1500 * time.Millisecond
	faultPhase = 8 * time.Second
	// recoveryTime is long enough for planned work that starts once all instances have
	// reconnected, and for the time bounds of that work.
	recoveryTime = stabilisationTime + 5*time.Second
	// stableWindow is the last part of a run, whose requests count for minServedRatio.
	stableWindow = 2 * time.Second
	callerCount  = 16
	// engineCount and plainCount are the numbers of endpoints with and without an engine.
	engineCount = 4
	plainCount  = 3
	// maxPrintedViolations is the maximum number of violations that are printed for a run.
	maxPrintedViolations = 20
	// minServedRatio is the least share of requests that must succeed after recovery.
	minServedRatio = 0.9
)

// soak is the state of one run.
type soak struct {
	seed             uint64
	checker          *checker
	store            *platformtest.Store
	instances        []*instance
	publishedVersion atomic.Int64
	callersStop      atomic.Bool

	// surging is held while an organisation asks for several times its quota or share.
	surging sync.Mutex

	nextServer atomic.Int64
	mu         sync.Mutex
	servers    map[string]*server
	records    records
	// told is when an instance passed on an answer stating that an endpoint leaves.
	told map[told]time.Time
	// crashing are the requests that crash endpoints, by path.
	crashing map[string]*crashingRequest
	// endpointFaults are the times of faults at any endpoint.
	endpointFaults timeline
}

// Instances, endpoints, the store and the network between them fail in random order, also
// concurrently and repeatedly, under load. In all cases a caller must get its own complete answer
// or a truthful error, and after the faults requests must be served again.
func TestSoak(t *testing.T) { runSeeds(t, selectedSeeds(t)) }

// Seeds that show faults which are not fixed yet; the file describes them.
func TestOpenSeeds(t *testing.T) { runSeeds(t, readSeeds(t, "testdata/open.txt")) }

// runSeeds runs each seed as a subtest, with the concurrency that the flag jobs sets.
func runSeeds(t *testing.T, list []uint64) {
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
			runSeed(t, binary, seed)
		})
	}
}

// selectedSeeds returns the seeds that the flags select.
func selectedSeeds(t *testing.T) []uint64 {
	var list []uint64
	if *firstSeed > 0 {
		for n := range *seeds {
			list = append(list, *firstSeed+uint64(n))
		}
		return list
	}
	return readSeeds(t, "testdata/seeds.txt")
}

// readSeeds returns the seeds in a file, each at the start of a line. Other lines are ignored.
func readSeeds(t *testing.T, name string) []uint64 {
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
func build(t testing.TB) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "sardinedock")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/sardinedock").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func runSeed(t *testing.T, binary string, seed uint64) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &soak{seed: seed, checker: newChecker(), servers: map[string]*server{}, records: newRecords(), told: map[told]time.Time{}, crashing: map[string]*crashingRequest{}}
	s.publishedVersion.Store(1)
	s.setUp(t, binary, dir)
	waitCallers := s.startCallers()
	time.Sleep(warmUp)
	s.injectFaults(t, rng)
	s.runPlannedWork()
	stableSince := time.Now().Add(-stableWindow)
	s.callersStop.Store(true)
	waitCallers()
	s.checkEnd(stableSince)
	s.checkLogLines(stableSince)
	s.tearDown()
	t.Logf("seed %d: %v", seed, s.checker.counts)
	for _, b := range s.checker.violations[:min(len(s.checker.violations), maxPrintedViolations)] {
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
	for range engineCount {
		s.addServer("pool")
	}
	for range plainCount {
		s.addServer("orders")
	}
	s.writeRecords()
	for n := range *size {
		i := newInstance(t, n, binary, dir, s.store.Address(), retryRatioOf(s.seed), s.checker)
		s.instances = append(s.instances, i)
		if s.seed >= firstEndlessSeed && s.seed < firstExtraSeed || s.seed >= firstCrowdSeed {
			i.memoryMb = endlessMemoryMb
		}
		if s.seed >= firstScarceSeed {
			i.callers.pressBack()
		}
		i.start()
	}
}

// startCallers starts the callers; the returned function waits until they have finished.
func (s *soak) startCallers() (wait func()) {
	var wg sync.WaitGroup
	for n := range callerCount {
		c := &caller{soak: s, n: n, rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1))}
		wg.Go(c.run)
	}
	return wg.Wait
}

// injectFaults runs the schedule and waits until all faults are over.
func (s *soak) injectFaults(t *testing.T, rng *rand.Rand) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range schedule(rng, faultsOf(s.seed), faultPhase) {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(e.at)))
			if *keep {
				t.Logf("%s %s for %v", time.Now().Format("05.000"), e.fault.name, e.duration)
			}
			s.checker.count("fault")
			e.fault.run(s, rand.New(rand.NewPCG(e.seed, 0)), e.duration)
		})
	}
	wg.Wait()
}

// runPlannedWork does planned work after the faults, when all time bounds apply: it replaces
// endpoints, changes the records and publishes a weights version. Where capacity is short, callers stop
// reading meanwhile, so that what is promised to them is judged without faults.
func (s *soak) runPlannedWork() {
	began := time.Now()
	time.Sleep(stabilisationTime + 200*time.Millisecond)
	var wg sync.WaitGroup
	for _, service := range []string{"pool", "orders"} {
		wg.Go(func() { s.replace(service) })
	}
	if s.seed >= firstScarceSeed {
		wg.Go(func() { s.stopReaders(rand.New(rand.NewPCG(s.seed, 0)), longestStop) })
	}
	s.changeRecords(true)
	s.publishVersion()
	wg.Wait()
	time.Sleep(time.Until(began.Add(recoveryTime)))
}

// replace adds an endpoint to a service and then drains an old one.
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

// publishVersion writes the next weights version to the store, for the rollout to load.
func (s *soak) publishVersion() {
	v := s.publishedVersion.Add(1)
	s.store.Put("versions", model, map[string]any{"model": model, "version": v})
}

// checkEnd checks the guarantees that have to hold at the end of a run.
func (s *soak) checkEnd(stableSince time.Time) {
	ck := s.checker
	served, sent := 0, 0
	calls := s.checker.finalCalls()
	s.checkQuota(calls)
	s.checkCrashing()
	for _, c := range calls {
		// Requests with a dropped key are expected to be rejected.
		if c.sentAt.After(stableSince) && c.leftAt.IsZero() && !c.crashes() && !s.dropped(c.key) && !(s.hasQuota(c.organisation) && c.refused == 429) {
			sent++
			if len(c.answers) > 0 {
				served++
			}
		}
		if !c.leftAt.IsZero() {
			s.checkAbandoned(&c)
		}
	}
	if float64(served) < minServedRatio*float64(sent) || sent == 0 {
		ck.addViolation("RECOVER: %d of %d requests served after recovery", served, sent)
	}
	s.checkRetries(calls)
	for _, x := range s.liveServers() {
		if x.engine == nil {
			continue
		}
		if v, _ := x.engine.Version(); v < s.publishedVersion.Load() {
			ck.addViolation("VERSION: %s holds version %d at the end, %d is published", x.ID, v, s.publishedVersion.Load())
		}
		if n := x.engine.FenceConflicts(); n > 0 {
			ck.addViolation("ONE: %s got %d orders of a second holder under one fence", x.ID, n)
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

// pickServer returns an endpoint that is not leaving. If all have crashed, it waits for the first that is
// back.
func (s *soak) pickServer(rng *rand.Rand) *server {
	list := s.liveServers()
	for ; len(list) == 0; list = s.liveServers() {
		time.Sleep(10 * time.Millisecond)
	}
	for range list {
		x := list[rng.IntN(len(list))]
		if !x.isLeaving() {
			return x
		}
	}
	return list[len(list)-1]
}

func (s *soak) undisturbed(instance int, from, to time.Time) bool {
	return s.instances[instance].undisturbed(from, to)
}

// checkAbandoned checks that the router closed its connection to the endpoint after the caller
// had disconnected. The endpoint's link sees the time of the close even while it drops bytes:
// an endpoint that is cut off keeps working, and neither it nor the router can prevent that.
func (s *soak) checkAbandoned(c *call) {
	for _, w := range c.works {
		bound := c.leftAt.Add(abandonedWorkBound)
		if !s.undisturbed(c.instance, c.leftAt.Add(-stabilisationTime), bound) || w.endedBy(bound) {
			continue
		}
		s.checker.count("left at work")
		if w.proxiedConn == nil {
			s.checker.addViolation("GONE: %s worked on %s over a connection that its link has not seen", w.at.ID, c.id)
			continue
		}
		if closed := w.proxiedConn.callerClosed(); closed.IsZero() || closed.After(bound) {
			s.checker.addViolation("GONE: %s left front-%d at %s; %s works on it from %s, the router closed at %s", c.id, c.instance,
				formatTime(c.leftAt), w.at.ID, formatTime(w.from), formatTime(closed))
		}
	}
}

// formatTime formats a time for violations and logs; the zero time is "never".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Format("05.000")
}
