package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

var start = time.Unix(1_700_000_000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// tableOf returns a table with n endpoints of a service, all in reach at the start.
func tableOf(service string, n int) *Table {
	t := NewTable()
	for k := range n {
		t.Put(fmt.Sprint(service, k), service)
		t.Received(start, fmt.Sprint(service, k), start)
	}
	return t
}

// probeAll reports the same result for all probes that are due, and returns their number.
func probeAll(t *Table, now time.Time, ok bool) int {
	due := t.Due(now)
	for _, id := range due {
		t.Probed(now, id, ok)
	}
	return len(due)
}

// An instance is cut off from all endpoints while no requests are on their way to most of them. It must
// not take a failed request for each endpoint to find out.
func TestTwoLostWaysHaveTheQuietOnesProbed(t *testing.T) {
	paths := tableOf("a", 5)
	paths.Received(at(900), "a4", start)
	if !paths.Lost(at(900), "a0", Silent) {
		t.Fatal("the loss is no change")
	}
	if n := probeAll(paths, at(900), false); n != 0 {
		t.Errorf("%d ways probed after a single loss", n)
	}
	paths.Lost(at(1000), "a1", Silent)
	if n := probeAll(paths, at(1000), false); n != 2 {
		t.Errorf("%d ways probed, want the two that were quiet and not the one just heard", n)
	}
	if got := paths.LostServices(); len(got) > 0 {
		t.Errorf("%v lost while one endpoint answers", got)
	}
	paths.Lost(at(1100), "a4", Silent)
	if got := paths.LostServices(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("services lost: %v", got)
	}
	if !paths.Isolated() {
		t.Error("the instance blames the endpoints")
	}
}

// One endpoint of several crashes. The instance must not take itself for cut off.
func TestOneCrashedEndpointIsNoIsolation(t *testing.T) {
	paths := tableOf("a", 5)
	paths.Lost(at(100), "a0", NoConnections)
	probeAll(paths, at(100), true)
	if paths.Isolated() || len(paths.LostServices()) > 0 {
		t.Error("one lost endpoint of five isolates the instance")
	}
}

// A single successful probe on a link that loses packets must not bring the requests back, and one that
// returns and is lost again and again must be probed less often.
func TestFlappingWayReturnsMoreAndMoreSlowly(t *testing.T) {
	paths := tableOf("a", 1)
	now := start
	// lose loses the path and returns after what time it was back, with all probes successful.
	lose := func() time.Duration {
		paths.Lost(now, "a0", NoConnections)
		lostAt := now
		for paths.State("a0") != Open {
			now = now.Add(10 * time.Millisecond)
			probeAll(paths, now, true)
			if now.Sub(lostAt) > time.Minute {
				t.Fatal("the way does not return")
			}
		}
		return now.Sub(lostAt)
	}
	first := lose()
	if first < probeInterval+confirmInterval {
		t.Errorf("back after %v, with one probe", first)
	}
	now = now.Add(time.Second)
	if second := lose(); second < first+probeInterval/2 {
		t.Errorf("back after %v at first and %v then", first, second)
	}
	now = now.Add(2 * flapWindow)
	if later := lose(); later > first+20*time.Millisecond {
		t.Errorf("back after %v long after the last loss", later)
	}
}

// An endpoint falls silent for a second and goes on. Its bytes show that the path is open, without a probe.
func TestStalledEndpointIsBackWithItsBytes(t *testing.T) {
	paths := tableOf("a", 2)
	paths.Lost(at(1000), "a0", Silent)
	if !paths.Received(at(1200), "a0", start) || paths.State("a0") != Open {
		t.Error("bytes of a silent endpoint do not open the way")
	}
	paths.Lost(at(2000), "a0", NoConnections)
	if paths.Received(at(2100), "a0", start) || paths.State("a0") != NoConnections {
		t.Error("bytes on an old connection show that new ones can be made")
	}
}

// Of hundreds of endpoints an instance can't reach any. It must know before it has tried all of them.
func TestSampleStandsForALargeService(t *testing.T) {
	paths := tableOf("a", 400)
	for k := range sampleSize {
		paths.Lost(at(1000+k), fmt.Sprint("a", k), NoConnections)
	}
	if got := paths.LostServices(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("services lost: %v", got)
	}
	paths.Received(at(1100), "a300", start)
	if got := paths.LostServices(); len(got) > 0 {
		t.Errorf("%v lost although an endpoint has answered since", got)
	}
}

// A request that must not run twice is sent on an open connection whose path has been cut. While other
// paths are lost, one that has been quiet is in doubt.
func TestQuietWayIsInDoubtWhileOthersAreLost(t *testing.T) {
	paths := tableOf("a", 4)
	paths.Lost(at(1000), "a0", Silent)
	if paths.Doubtful(at(1000), "a1") {
		t.Error("a quiet way is in doubt while a single one is lost")
	}
	paths.Lost(at(1000), "a3", Silent)
	paths.Received(at(1000), "a2", start)
	if !paths.Doubtful(at(1100), "a1") || paths.Doubtful(at(1100), "a2") {
		t.Error("the quiet way is not in doubt, or the one just heard is")
	}
}

// An instance is cut off from a service with many endpoints, one of which has been down for some time. It
// must not take until the paths to all of them are found lost.
func TestEarlierCrashDoesNotDelayTheLossOfAService(t *testing.T) {
	paths := tableOf("a", 100)
	paths.Lost(at(100), "a0", NoConnections)
	paths.Received(at(5000), "a50", start)
	for k := range sampleSize {
		paths.Lost(at(6000+k), fmt.Sprint("a", k+1), Silent)
	}
	if got := paths.LostServices(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("services lost: %v, want the one of which %d endpoints were lost in a row", got, sampleSize)
	}
	paths.Received(at(6100), "a50", start)
	if got := paths.LostServices(); len(got) > 0 {
		t.Errorf("%v lost though an endpoint answers", got)
	}
}

// replay has the probes that are due every 50 ms succeed for the endpoints that reach names, from one time
// to another. It returns how many there were.
func replay(paths *Table, from, to time.Time, reached func(endpoint string) bool) (probes int) {
	for now := from; now.Before(to); now = now.Add(50 * time.Millisecond) {
		for _, id := range paths.Due(now) {
			paths.Probed(now, id, reached(id))
			probes++
		}
	}
	return probes
}

// lostService returns a table of a service with n endpoints, all of which were lost within 0.3 s from 1 s
// on.
func lostService(n int) *Table {
	paths := tableOf("a", n)
	for k := range n {
		paths.Lost(at(1000+300*k/n), fmt.Sprint("a", k), NoConnections)
	}
	return paths
}

// Guards against many instances that are cut off together and probe hundreds of endpoints each, all the
// while and again when their paths return: the endpoints would spend that moment on connections.
func TestServiceOutOfReachIsProbedByASample(t *testing.T) {
	const endpoints, allowedASecond, allowedAtReturn = 400, 12, 20
	none := func(string) bool { return false }
	all := func(string) bool { return true }
	paths := lostService(endpoints)
	if n := replay(paths, at(1300), at(11_300), none); n > 10*allowedASecond {
		t.Errorf("%d probes in 10 s, at most %d a second should be sent", n, allowedASecond)
	}
	if n := replay(paths, at(11_300), at(12_300), all); n > allowedAtReturn {
		t.Errorf("%d probes on the return, want at most %d", n, allowedAtReturn)
	}
	if left := len(paths.Views(at(12_300))); left > 0 {
		t.Errorf("%d of %d endpoints still out of reach a second after the return", left, endpoints)
	}
}

// Guards against endpoints that count as reachable for good because a sample of their service is.
func TestEndpointThatStaysOutOfReachIsLostAgain(t *testing.T) {
	paths := lostService(20)
	reached := func(endpoint string) bool { return endpoint != "a7" }
	replay(paths, at(1300), at(3000), reached)
	paths.Lost(at(3000), "a7", NoConnections)
	replay(paths, at(3000), at(6000), reached)
	if paths.State("a7") != NoConnections || len(paths.LostServices()) > 0 {
		t.Errorf("a7 is %v, services lost %v", paths.State("a7"), paths.LostServices())
	}
	replay(paths, at(6000), at(12_000), func(string) bool { return true })
	if paths.State("a7") != Open {
		t.Error("a7 is not probed any more")
	}
}

// Guards against a path that counts as lost although requests are answered on new connections.
func TestAnswerOnANewConnectionReturnsTheWay(t *testing.T) {
	paths := tableOf("a", 2)
	paths.Lost(at(1000), "a0", NoConnections)
	if !paths.Received(at(1200), "a0", at(1100)) || paths.State("a0") != Open {
		t.Error("an answer on a connection made after the loss does not open the way")
	}
}

// Guards against sums over the paths of a service that drift away from the paths: an instance that reaches all
// endpoints would forward its requests for ever.
func TestSumsAgreeWithTheWays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := NewTable()
		now := start
		endpoint := func(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 19).Draw(t, "endpoint")) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				paths.Put(endpoint(t), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))
			},
			"remove": func(t *rapid.T) { paths.Remove(endpoint(t)) },
			"hear": func(t *rapid.T) {
				paths.Received(now, endpoint(t), now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond))
			},
			"lose": func(t *rapid.T) {
				paths.Lost(now, endpoint(t), rapid.SampledFrom([]State{NoConnections, Silent}).Draw(t, "state"))
			},
			"probe": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				for _, id := range paths.Due(now) {
					paths.Probed(now, id, rapid.Bool().Draw(t, "success"))
				}
			},
			"": func(t *rapid.T) { expectSums(t, paths) },
		})
	})
}

// expectSums fails the test if a sum is not that of the paths.
func expectSums(t *rapid.T, paths *Table) {
	lost, used := 0, 0
	services := map[*service]service{}
	for _, w := range paths.paths {
		sum := services[w.service]
		sum.endpoints++
		if w.state != Open {
			lost++
			sum.lost++
			if w.receivedBefore == w.service.receivedCount {
				sum.lostInRow++
			}
		}
		if w.used {
			used++
		}
		services[w.service] = sum
	}
	if lost != paths.lostPaths || used != paths.used || len(services) != len(paths.services) {
		t.Fatalf("%d ways lost, %d used, %d services; the sums say %d, %d, %d", lost, used, len(services), paths.lostPaths, paths.used, len(paths.services))
	}
	for s, sum := range services {
		if s.endpoints != sum.endpoints || s.lost != sum.lost || s.lostInRow != sum.lostInRow {
			t.Fatalf("service %s: %+v, want %+v", s.name, *s, sum)
		}
	}
}

// BenchmarkLostServices is what each request of an instance pays while one of 2,400 endpoints is out of
// reach.
func BenchmarkLostServices(b *testing.B) {
	paths := tableOf("a", 2400)
	paths.Lost(at(100), "a0", NoConnections)
	b.ReportAllocs()
	for b.Loop() {
		if len(paths.LostServices()) > 0 || paths.Isolated() {
			b.Fatal("one lost endpoint of 2,400 isolates the instance")
		}
	}
}
