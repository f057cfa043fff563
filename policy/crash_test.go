package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashOf returns the crash of an endpoint with a request in flight.
func crashOf(endpoint string) Crash { return Crash{ID: endpoint + "@1", Endpoint: endpoint} }

// trialAt returns the crash of an endpoint with a request in flight as the only suspect.
func trialAt(endpoint string) Crash {
	c := crashOf(endpoint)
	c.Trial = true
	return c
}

// expectVerdict fails the test if the verdict on a request is another one.
func expectVerdict(t *testing.T, g *CrashGuard, now time.Time, fp [16]byte, want CrashVerdict) {
	t.Helper()
	if got, _ := g.Verdict(now, fp); got != want {
		t.Fatalf("verdict %v on %v, want %v", got, fp[0], want)
	}
}

// exchange sends what has changed at one guard to another.
func exchange(from, to *CrashGuard, now time.Time) {
	for _, fp := range from.Changed() {
		s, ttl := from.State(now, fp)
		to.Merge(now, fp, s, ttl)
	}
}

// One request crashes each endpoint that runs it, and its caller keeps retrying it on other
// instances. Other requests in flight at the first crash are cleared by completing. After the second
// crash, in a trial, the request is refused.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	culprit, innocent := [16]byte{1}, [16]byte{2}
	here, there := NewCrashGuard(time.Hour), NewCrashGuard(time.Hour)
	for _, fp := range [][16]byte{culprit, innocent} {
		here.Crashed(start, fp, crashOf("engine-1"))
		here.Crashed(start, fp, crashOf("engine-1"))
		expectVerdict(t, here, start, fp, CrashSuspect)
	}
	exchange(here, there, start)
	there.Completed(start.Add(time.Second), innocent)
	there.Crashed(start.Add(time.Second), culprit, trialAt("engine-2"))
	exchange(there, here, start.Add(time.Second))
	for _, g := range []*CrashGuard{here, there} {
		expectVerdict(t, g, start.Add(2*time.Second), innocent, CrashClean)
		expectVerdict(t, g, start.Add(2*time.Second), culprit, CrashRefused)
		expectVerdict(t, g, start.Add(2*time.Hour), culprit, CrashClean)
	}
}

// A request that crashes endpoints is sent through two instances in turn. It must crash no more than two endpoints, and three
// if one message between the instances is lost, whichever that is.
func TestLostMessageCostsOneMoreEndpoint(t *testing.T) {
	const sends, none = 8, -1
	for lost := none; lost < sends; lost++ {
		guards := [2]*CrashGuard{NewCrashGuard(time.Hour), NewCrashGuard(time.Hour)}
		fp, crashed := [16]byte{1}, 0
		for n := range sends {
			now, g, other := start.Add(time.Duration(n)*30*time.Millisecond), guards[n%2], guards[(n+1)%2]
			crash := crashOf(string(rune('a' + n)))
			switch v, _ := g.Verdict(now, fp); v {
			case CrashRefused:
				continue
			case CrashSuspect, CrashConfined:
				crash = trialAt(string(rune('a' + n)))
			}
			g.Crashed(now, fp, crash)
			if crashed++; crashed == lost+1 {
				g.Changed()
				continue
			}
			exchange(g, other, now)
		}
		want := 3
		if lost == none {
			want = 2
		}
		if crashed > want {
			t.Errorf("message %d is lost: %d endpoints crashed, want at most %d", lost, crashed, want)
		}
	}
}

// Several endpoints are lost together, and a harmless request for a popular thing was in flight at
// more than one. It must be run again, and cleared when it completes.
func TestRequestAtEndpointsLostTogetherIsNotRefused(t *testing.T) {
	g, fp := NewCrashGuard(time.Hour), [16]byte{1}
	for _, endpoint := range []string{"a", "b", "c"} {
		g.Crashed(start, fp, crashOf(endpoint))
	}
	expectVerdict(t, g, start, fp, CrashConfined)
	g.Completed(start, fp)
	expectVerdict(t, g, start, fp, CrashClean)
}

// A harmless request runs in a trial when its endpoint is lost for another reason. It must not be
// refused for as long as a request that has crashed endpoints in two trials.
func TestConvictedRequestIsTriedOnceMore(t *testing.T) {
	g, fp := NewCrashGuard(time.Hour), [16]byte{1}
	g.Crashed(start, fp, crashOf("a"))
	g.Crashed(start, fp, trialAt("b"))
	expectVerdict(t, g, start.Add(retrialDelay-time.Second), fp, CrashRefused)
	expectVerdict(t, g, start.Add(retrialDelay), fp, CrashConfined)
	g.Crashed(start.Add(retrialDelay), fp, trialAt("c"))
	expectVerdict(t, g, start.Add(3*retrialDelay), fp, CrashRefused)
}

// An instance's connections are reset while the endpoint lives. What other instances see of the
// endpoint must withdraw the crash, and what a process shows that started later must not.
func TestCrashIsWithdrawnByTheSameProcessOnly(t *testing.T) {
	g, fp := NewCrashGuard(time.Hour), [16]byte{1}
	g.Crashed(start, fp, crashOf("a"))
	if cleared := g.Alive(start.Add(time.Second), "a", start.Add(500*time.Millisecond)); len(cleared) > 0 {
		t.Error("a connection made after the crash withdraws it")
	}
	expectVerdict(t, g, start.Add(time.Second), fp, CrashSuspect)
	if cleared := g.Alive(start.Add(time.Second), "a", start.Add(-time.Second)); len(cleared) != 1 {
		t.Error("a connection made before the crash does not withdraw it")
	}
	expectVerdict(t, g, start.Add(time.Second), fp, CrashClean)
}

// Two suspects are announced at the same endpoint at the same time. Just one of them may run there, and
// a copy of a suspect must wait.
func TestSuspectsDoNotShareAnEndpoint(t *testing.T) {
	trials, until := NewTrials(), start.Add(time.Second)
	low, high := Trial{ID: 1, Content: [16]byte{1}, Endpoint: "a", Until: until}, Trial{ID: 2, Content: [16]byte{2}, Endpoint: "a", Until: until}
	trials.Put(low)
	trials.Put(high)
	if trials.Yields(start, low) || !trials.Yields(start, high) {
		t.Error("both suspects run on one endpoint, or none")
	}
	if trials.Alone(start, low) {
		t.Error("a suspect beside another one counts as alone")
	}
	if !trials.Running(start, low.Content, nil) || trials.Running(until, low.Content, nil) {
		t.Error("a trial is not counted until its end, or after it")
	}
	trials.End(high.ID)
	if !trials.Alone(start, low) {
		t.Error("a trial that has ended counts")
	}
}

// States are delivered between instances in any order and more than once. All instances have to
// reach the same verdicts.
func TestCrashStateMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fp := [16]byte{1}
		var states []*CrashState
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			g := NewCrashGuard(time.Minute)
			for range rapid.IntRange(0, 3).Draw(t, "crashes") {
				c := crashOf(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint"))
				c.Trial = rapid.Bool().Draw(t, "trial")
				g.Crashed(start, fp, c)
				if rapid.Bool().Draw(t, "completed") {
					g.Completed(start, fp)
				}
			}
			if s, _ := g.State(start, fp); s != nil {
				states = append(states, s)
			}
		}
		merged := func(order []*CrashState) *CrashState {
			g := NewCrashGuard(time.Minute)
			for _, s := range order {
				g.Merge(start, fp, s, time.Minute)
				g.Merge(start, fp, states[0], time.Minute)
			}
			s, _ := g.State(start, fp)
			return s
		}
		if a, b := merged(states), merged(rapid.Permutation(states).Draw(t, "order")); !reflect.DeepEqual(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Guards against an index of crashes by endpoint that misses some: an answer of the endpoint would not clear
// the requests that were in flight there.
func TestIndexHoldsAllCrashesThatAreNotCleared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewCrashGuard(time.Minute)
		now := start
		request := func(t *rapid.T) [16]byte { return [16]byte{rapid.Byte().Draw(t, "request") % 4} }
		crash := func(t *rapid.T) Crash { return crashOf(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")) }
		t.Repeat(map[string]func(*rapid.T){
			"crash":    func(t *rapid.T) { g.Crashed(now, request(t), crash(t)) },
			"disprove": func(t *rapid.T) { g.Disprove(now, request(t), crash(t).ID) },
			"complete": func(t *rapid.T) { g.Completed(now, request(t)) },
			"alive":    func(t *rapid.T) { g.Alive(now, crash(t).Endpoint, start) },
			"merge": func(t *rapid.T) {
				c := crash(t)
				c.Cleared = rapid.Bool().Draw(t, "cleared")
				g.Merge(now, request(t), &CrashState{Crashes: []Crash{c}}, time.Minute)
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
				g.Tick(now)
			},
			"": func(t *rapid.T) {
				want := map[string]map[[16]byte]bool{}
				for fp, r := range g.records {
					for _, c := range r.crashes {
						if !c.Cleared && want[c.Endpoint] == nil {
							want[c.Endpoint] = map[[16]byte]bool{}
						}
						if !c.Cleared {
							want[c.Endpoint][fp] = true
						}
					}
				}
				if !reflect.DeepEqual(g.byEndpoint, want) {
					t.Fatalf("%v, want %v", g.byEndpoint, want)
				}
			},
		})
	})
}

// BenchmarkAlive is what each answer of an endpoint costs while the guard is full of requests that were in
// flight at the crashes of other endpoints, cleared or not.
func BenchmarkAlive(b *testing.B) {
	g := NewCrashGuard(time.Hour)
	for n := range maxFingerprints {
		fp := [16]byte{byte(n), byte(n >> 8)}
		g.Crashed(start, fp, crashOf(fmt.Sprint("engine-", n/64)))
		if n%2 == 0 {
			g.Completed(start, fp)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if cleared := g.Alive(start, "engine-another", start); len(cleared) > 0 {
			b.Fatal("cleared of crashes of other endpoints")
		}
	}
}
