package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/internal/rapidseed"
)

// Fingerprints of parts of prompts.
var crashingPart, otherPart, thirdPart = [16]byte{101}, [16]byte{102}, [16]byte{103}

// partEvent is something that happens to requests with some parts.
type partEvent struct {
	at time.Duration
	// endpoint crashed under a request with the content from the caller; if it is empty, the request completed.
	endpoint        string
	content, caller uint64
	parts           [][16]byte
}

// crashAt returns a crash under a request of caller 1 whose content is that of no other.
func crashAt(at time.Duration, parts ...[16]byte) partEvent {
	return partEvent{at, fmt.Sprint("e-", at), uint64(at) + 1, 1, parts}
}

func completionAt(at time.Duration, parts ...[16]byte) partEvent {
	return partEvent{at: at, parts: parts}
}

func (e partEvent) with(change func(*partEvent)) partEvent {
	change(&e)
	return e
}

// apply records the events.
func apply(g *CrashGuard, events []partEvent) (now time.Time) {
	for _, e := range events {
		now = start.Add(e.at)
		for _, part := range e.parts {
			if e.endpoint == "" {
				g.PartCompleted(now, part)
				continue
			}
			g.PartCrashed(now, part, Crash{ID: fmt.Sprintf("%020d-%s", e.content, e.endpoint), Endpoint: e.endpoint, Content: e.content, Caller: e.caller})
		}
	}
	return now
}

// Guards against requests with a part that crashes endpoints being run on, and against others being refused for
// it.
func TestVerdictOnRequestsByTheCrashesOfTheirParts(t *testing.T) {
	const step, second = 200 * time.Millisecond, time.Second
	three := []partEvent{crashAt(0, crashingPart), crashAt(step, crashingPart), crashAt(2*step, crashingPart)}
	sameContent := func(e *partEvent) { e.content = 7 }
	byTwo := func(e *partEvent) { e.caller = 2 }
	var rack, proven, turned, explaining, indistinct []partEvent
	for k := range 10 {
		rack = append(rack, crashAt(time.Duration(k)*time.Millisecond, crashingPart))
	}
	for k := range 6 {
		crash := crashAt(3*second+time.Duration(k)*step, crashingPart)
		if k < 4 {
			proven = append(proven, crash)
		}
		turned = append(turned, crash)
		explaining = append(explaining, crashAt(time.Duration(k)*step, crashingPart))
		if k%2 == 0 {
			explaining[k].parts = append(explaining[k].parts, otherPart)
		}
		indistinct = append(indistinct, crashAt(time.Duration(k)*step, crashingPart, otherPart))
	}
	completed := []partEvent{completionAt(0, crashingPart)}
	for name, c := range map[string]struct {
		events []partEvent
		parts  [][16]byte
		caller uint64
		want   CrashVerdict
	}{
		"one crash":                             {three[:1], [][16]byte{crashingPart}, 1, CrashSuspect},
		"two":                                   {three[:2], [][16]byte{crashingPart}, 1, CrashConfined},
		"three":                                 {three, [][16]byte{otherPart, crashingPart}, 1, CrashRefused},
		"three, without the part":               {three, [][16]byte{otherPart}, 1, CrashClean},
		"three of one request":                  {[]partEvent{three[0].with(sameContent), three[1].with(sameContent), three[2].with(sameContent)}, [][16]byte{crashingPart}, 1, CrashConfined},
		"a rack in one moment":                  {rack, [][16]byte{crashingPart}, 1, CrashSuspect},
		"completed in between":                  {[]partEvent{three[0], three[1], completionAt(step, crashingPart), three[2]}, [][16]byte{crashingPart}, 1, CrashClean},
		"completed after":                       {append(slices.Clone(three), completionAt(second, crashingPart)), [][16]byte{crashingPart}, 1, CrashClean},
		"proven, four crashes":                  {append(completed, proven...), [][16]byte{crashingPart}, 1, CrashConfined},
		"proven, six crashes":                   {append(completed, turned...), [][16]byte{crashingPart}, 1, CrashRefused},
		"another caller":                        {three, [][16]byte{crashingPart}, 2, CrashClean},
		"a third caller after two":              {[]partEvent{three[0], three[1].with(byTwo), three[2]}, [][16]byte{crashingPart}, 3, CrashRefused},
		"a part beside the cause":               {explaining, [][16]byte{otherPart}, 1, CrashClean},
		"the cause beside a part":               {explaining, [][16]byte{crashingPart}, 1, CrashRefused},
		"two that can't be told apart, both":    {indistinct, [][16]byte{crashingPart, otherPart, thirdPart}, 1, CrashRefused},
		"two that can't be told apart, one":     {indistinct, [][16]byte{otherPart}, 1, CrashConfined},
		"two, of which one completes":           {append(slices.Clone(indistinct), completionAt(3*second, otherPart)), [][16]byte{otherPart}, 1, CrashClean},
		"two, of which the other has completed": {append(slices.Clone(indistinct), completionAt(3*second, otherPart)), [][16]byte{crashingPart}, 1, CrashRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewCrashGuard(time.Hour)
			now := apply(g, c.events)
			if a := g.Assess(now, CrashSubject{Content: [16]byte{1}, Parts: c.parts, Caller: c.caller}); a.Verdict != c.want {
				t.Errorf("%v, want %v", a.Verdict, c.want)
			}
		})
	}
}

// Guards against requests that are refused as crashing endpoints although a part that others carried did.
func TestRequestInterruptedByACrashingPartIsNotRefused(t *testing.T) {
	g, sound := NewCrashGuard(time.Hour), [16]byte{1}
	now := apply(g, []partEvent{crashAt(0, crashingPart), crashAt(time.Second, crashingPart)})
	g.Crashed(now, sound, Crash{ID: "1", Endpoint: "e-0s"})
	g.Crashed(now, sound, Crash{ID: "2", Endpoint: "e-1s", Trial: true})
	expectVerdict(t, g, now, sound, CrashRefused)
	now = apply(g, []partEvent{crashAt(2*time.Second, crashingPart)})
	expectVerdict(t, g, now, sound, CrashClean)
}

// Guards against a popular part that is refused, since several requests that crash endpoints by themselves have it in
// common, here or at an instance that is notified of it.
func TestPartThatCrashingRequestsHaveInCommonIsNotRefused(t *testing.T) {
	seen, told := NewCrashGuard(time.Hour), NewCrashGuard(time.Hour)
	seen.PartCompleted(start, crashingPart)
	var now time.Time
	for k := range 8 {
		now = start.Add(2*time.Second + time.Duration(k)*200*time.Millisecond)
		content := [16]byte{1, byte(k / 2)}
		c := Crash{ID: fmt.Sprint(k), Endpoint: fmt.Sprint("e-", k), Content: uint64(k / 2), Caller: 1, Trial: k%2 == 1}
		seen.Crashed(now, content, c)
		seen.PartCrashed(now, crashingPart, c)
		exchange(seen, told, now)
	}
	for name, g := range map[string]*CrashGuard{"seen to complete": seen, "told": told} {
		if a := g.Assess(now, CrashSubject{Content: [16]byte{2}, Parts: [][16]byte{crashingPart}, Caller: 1}); a.Verdict == CrashRefused {
			t.Errorf("%s: %v", name, a.Verdict)
		}
		expectVerdict(t, g, now, [16]byte{1}, CrashRefused)
	}
}

// Guards against a convicted part that crashes an endpoint each minute, or is refused for ever.
func TestConvictedPartIsTriedAgainLessAndLessOften(t *testing.T) {
	g := NewCrashGuard(10 * time.Minute)
	g.Stagger(12345)
	apply(g, []partEvent{crashAt(0, crashingPart), crashAt(time.Second, crashingPart), crashAt(2*time.Second, crashingPart)})
	subject := CrashSubject{Parts: [][16]byte{crashingPart}, Caller: 1}
	last, trials := 2*time.Second, 0
	for at := 3 * time.Second; at < time.Hour; at += time.Second {
		if g.Assess(start.Add(at), subject).Verdict == CrashRefused {
			g.Tick(start.Add(at))
			continue
		}
		if gap := at - last; gap < retrialDelay<<min(trials, 1) {
			t.Fatalf("trial %d after %v", trials, gap)
		}
		trials++
		last = at
		apply(g, []partEvent{crashAt(at, crashingPart)})
	}
	if trials < 5 || trials > 18 {
		t.Errorf("%d trials within an hour", trials)
	}
}

// Guards against an organisation that fills the records with its parts until those of others are evicted.
func TestOrganisationDoesNotEvictTheRecordsOfOthers(t *testing.T) {
	g := NewCrashGuard(time.Hour)
	now := apply(g, []partEvent{crashAt(0, crashingPart), crashAt(time.Second, crashingPart), crashAt(2*time.Second, crashingPart)})
	for k := range 3 * maxFingerprints {
		part := [16]byte{1, byte(k), byte(k >> 8)}
		g.PartCrashed(now, part, Crash{ID: fmt.Sprint(k), Endpoint: fmt.Sprint("x-", k/50), Content: uint64(k), Caller: 2})
	}
	if g.Len() > maxFingerprints {
		t.Errorf("%d records", g.Len())
	}
	if a := g.Assess(now, CrashSubject{Parts: [][16]byte{crashingPart}, Caller: 1}); a.Verdict != CrashRefused {
		t.Errorf("%v, want the part of the other organisation still refused", a.Verdict)
	}
}

// Guards against instances that decide differently, since messages about parts reached them in another order or
// more than once, and against crashes that look simultaneous to an instance that is notified of them later.
func TestInstancesAgreeOnPartsWhateverTheOrderOfMessages(t *testing.T) {
	rapid.Check(t, instancesAgreeOnParts)
}

// Guards against the return of faults that these seeds have shown.
func TestInstancesAgreeOnPartsWithSeedsThatFailed(t *testing.T) {
	for _, seed := range []uint64{12927592067094828703, 2718650089388084285} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rapidseed.Use(t, seed)
			rapid.Check(t, instancesAgreeOnParts)
		})
	}
}

func instancesAgreeOnParts(t *rapid.T) {
	parts := [][16]byte{crashingPart, otherPart, thirdPart}
	type message struct {
		part  [16]byte
		state *CrashState
	}
	var messages []message
	var now time.Time
	for range rapid.IntRange(1, 4).Draw(t, "instances") {
		g := NewCrashGuard(time.Hour)
		var events []partEvent
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			e := crashAt(time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))*100*time.Millisecond, rapid.SampledFrom(parts).Draw(t, "part"))
			if rapid.IntRange(0, 4).Draw(t, "completed") == 0 {
				e.endpoint = ""
			}
			events = append(events, e)
		}
		slices.SortStableFunc(events, func(a, b partEvent) int { return int(a.at - b.at) })
		apply(g, events)
		now = start.Add(time.Minute)
		for _, part := range g.Fingerprints() {
			s, _ := g.State(now, part)
			messages = append(messages, message{part, s})
		}
	}
	decide := func(order []message) (list []CrashAssessment) {
		g := NewCrashGuard(time.Hour)
		for _, m := range order {
			g.Merge(now, m.part, m.state, time.Hour)
			g.Merge(now, messages[0].part, messages[0].state, time.Hour)
		}
		for _, part := range parts {
			list = append(list, g.Assess(now, CrashSubject{Parts: [][16]byte{part}, Caller: 1}))
		}
		return list
	}
	if a, b := decide(messages), decide(rapid.Permutation(messages).Draw(t, "order")); !reflect.DeepEqual(a, b) {
		t.Fatalf("%v and %v", a, b)
	}
}

// Guards against an instance that forgets a part's proof of soundness, and so suspects the part where others do not, when
// what it knew of the part was cleared before the next crash reached it.
func TestProofOfAPartDoesNotDependOnTheOrderOfMessages(t *testing.T) {
	cleared := &CrashState{Part: true, Crashes: []Crash{{ID: "1", Endpoint: "e-1", Content: 1, Caller: 1, At: start, Proven: true, Cleared: true}}}
	proven := &CrashState{Part: true, Crashes: []Crash{{ID: "2", Endpoint: "e-2", Content: 2, Caller: 1, At: start, Proven: true}}}
	later := &CrashState{Part: true, Crashes: []Crash{{ID: "3", Endpoint: "e-3", Content: 3, Caller: 1, At: start.Add(time.Second)}}}
	now := start.Add(2 * time.Second)
	subject := CrashSubject{Parts: [][16]byte{crashingPart}, Caller: 1}
	for name, c := range map[string]struct {
		states []*CrashState
		want   CrashVerdict
	}{
		"cleared": {[]*CrashState{cleared, later}, CrashSuspect},
		"proven":  {[]*CrashState{cleared, proven, later}, CrashClean},
	} {
		for _, order := range permutations(c.states) {
			g := NewCrashGuard(time.Hour)
			for _, s := range order {
				g.Merge(now, crashingPart, s, time.Hour)
			}
			if a := g.Assess(now, subject); a.Verdict != c.want {
				t.Errorf("%s: %v, want %v", name, a.Verdict, c.want)
			}
		}
	}
}

// permutations returns all orders of a list.
func permutations[T any](list []T) (all [][]T) {
	if len(list) == 0 {
		return [][]T{nil}
	}
	for i := range list {
		rest := slices.Concat(list[:i], list[i+1:])
		for _, p := range permutations(rest) {
			all = append(all, append([]T{list[i]}, p...))
		}
	}
	return all
}

// Guards against instances that differ in what they know of requests and parts after they have merged the same
// states in another order, in other groups or more than once, also where a record is full.
func TestMergeOfCrashStatesIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Minute)
		crash := rapid.Custom(func(t *rapid.T) Crash {
			n := rapid.IntRange(0, 2*maxCrashes).Draw(t, "id")
			return Crash{
				ID: fmt.Sprintf("%03d", n), Endpoint: fmt.Sprint("e-", n), Content: rapid.Uint64Range(0, 2).Draw(t, "content"),
				Caller: rapid.Uint64Range(0, 2).Draw(t, "caller"), Trial: rapid.Bool().Draw(t, "trial"), Cleared: rapid.Bool().Draw(t, "cleared"),
				Proven: rapid.Bool().Draw(t, "proven"), At: start.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "at")) * 100 * time.Millisecond),
			}
		})
		type message struct {
			state *CrashState
			ttl   time.Duration
		}
		var messages []message
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			s := &CrashState{Part: rapid.Bool().Draw(t, "part"), Crashes: rapid.SliceOfN(crash, 0, maxCrashes).Draw(t, "crashes")}
			messages = append(messages, message{s, time.Duration(rapid.IntRange(1, 60).Draw(t, "ttl")) * time.Minute})
		}
		merged := func(g *CrashGuard) message {
			s, ttl := g.State(now, crashingPart)
			return message{s, ttl}
		}
		fold := func(list []message) *CrashGuard {
			g := NewCrashGuard(time.Hour)
			for _, m := range list {
				g.Merge(now, crashingPart, m.state, m.ttl)
			}
			return g
		}
		want := merged(fold(messages))
		order := rapid.Permutation(slices.Concat(messages, messages)).Draw(t, "order")
		if got := merged(fold(order)); !reflect.DeepEqual(got, want) {
			t.Fatalf("in another order, with repeats: %+v, want %+v", got, want)
		}
		cut := rapid.IntRange(0, len(messages)).Draw(t, "cut")
		groups := []message{merged(fold(messages[cut:]))}
		if cut > 0 {
			groups = append(groups, merged(fold(messages[:cut])))
		}
		groups = slices.DeleteFunc(groups, func(m message) bool { return m.state == nil })
		if got := merged(fold(groups)); !reflect.DeepEqual(got, want) {
			t.Fatalf("in groups: %+v, want %+v", got, want)
		}
	})
}
