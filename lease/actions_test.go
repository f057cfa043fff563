package lease

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// maxDelay is the longest time in these tests between the last check of an action and its arrival: what is left of
// the time before the lease may be taken over if both clocks are wrong by as much as in newWorld.
const maxDelay = length * 15 / 100

// action is an action under the lease on its way to one endpoint.
type action struct {
	by *node
	// until is when the sender gives it up, by its own clock.
	until     time.Time
	fence     objectapi.Version
	arrivesAt time.Duration
	sent      bool
	arrived   bool
	ended     bool
}

// actions are all actions of a world, and their arrivals at the endpoint.
type actions struct {
	*world
	list     []*action
	arrivals []platformtest.OrderArrival
}

// begin begins an action at an instance that holds the lease.
func (a *actions) begin(n *node) {
	fence, _ := n.m.Held(n.clock(a.now))
	if until, ok := n.m.Begin(n.clock(a.now), fence); ok {
		a.list = append(a.list, &action{by: n, until: until, fence: fence})
	}
}

func (a *actions) holds(n *node) bool {
	_, held := n.m.Held(n.clock(a.now))
	return held
}

// send sends an action that has begun, if its sender still may.
func (a *actions) send(t *rapid.T, x *action) {
	if x.sent || x.ended || !x.by.m.MayAct(x.by.clock(a.now), x.fence) {
		return
	}
	x.sent = true
	x.arrivesAt = a.now + time.Duration(rapid.IntRange(0, 5).Draw(t, "delay"))*maxDelay/5
}

// end ends an action at its sender: settled if it has arrived or was never sent.
func (a *actions) end(x *action) {
	if !x.ended {
		x.ended = true
		x.by.m.End(x.by.clock(a.now), x.arrived || !x.sent)
	}
}

// deliver delivers what has arrived by now, and ends actions whose time is over.
func (a *actions) deliver() {
	due := slices.DeleteFunc(slices.Clone(a.list), func(x *action) bool { return !x.sent || x.arrived || x.arrivesAt > a.now })
	slices.SortStableFunc(due, func(x, y *action) int { return int(x.arrivesAt - y.arrivesAt) })
	for _, x := range due {
		x.arrived = true
		name := fmt.Sprint(slices.Index(a.nodes, x.by))
		a.arrivals = append(a.arrivals, platformtest.OrderArrival{At: start.Add(x.arrivesAt), Holder: name, Fence: uint64(x.fence)})
	}
	for _, x := range a.list {
		if !x.by.clock(a.now).Before(x.until) {
			a.end(x)
		}
	}
}

// giveUp resigns at an instance and releases the lease if nothing speaks against it.
func (a *actions) giveUp(n *node) {
	n.m.Resign()
	s, ok := n.m.Release(n.clock(a.now))
	if !ok {
		return
	}
	if _, done := a.apply(s); done {
		a.value.Released = true
	}
}

// Guards against actions of a former holder that reach an endpoint after those of its successor, and against holders that
// take turns within the lease's length, whatever ends their terms: a release with actions on their way, an expiry, a
// pause, a lost or late write, a reset of the object.
func TestActionsArriveInTheOrderOfTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &actions{world: newWorld(t, rapid.IntRange(2, 4).Draw(t, "instances"))}
		pick := func() *action {
			return a.list[len(a.list)-1-rapid.IntRange(0, min(len(a.list), 4)-1).Draw(t, "action")]
		}
		a.run(3*length, a.nodes...)
		for range rapid.SampledFrom([]int{30, 60, 120}).Draw(t, "steps") {
			n := a.nodes[rapid.IntRange(0, len(a.nodes)-1).Draw(t, "instance")]
			switch rapid.SampledFrom([]string{"run", "run", "run", "step", "begin", "begin", "send", "send", "end", "pause", "wait", "late", "give up"}).Draw(t, "event") {
			case "run":
				// One of the instances may be paused.
				others := slices.DeleteFunc(slices.Clone(a.nodes), func(o *node) bool { return o == n && len(a.nodes) > 2 })
				a.run(rapid.SampledFrom([]time.Duration{length / 50, length / 10, length / 5, length / 2, length}).Draw(t, "for"), others...)
			case "step":
				a.step(t, n)
			case "begin":
				if holder := slices.IndexFunc(a.nodes, a.holds); holder >= 0 {
					a.begin(a.nodes[holder])
				}
			case "send":
				if len(a.list) > 0 {
					a.send(t, pick())
				}
			case "end":
				if len(a.list) > 0 {
					a.end(pick())
				}
			case "pause":
				a.pass(t, 12*time.Second)
			case "wait":
				a.pass(t, time.Second)
			case "late":
				if len(n.inFlight) > 0 {
					a.apply(n.inFlight[0])
					n.inFlight = n.inFlight[1:]
				}
			case "give up":
				if holder := slices.IndexFunc(a.nodes, a.holds); holder >= 0 {
					a.giveUp(a.nodes[holder])
				}
			}
			a.deliver()
			a.check(t)
		}
		a.now += length
		a.deliver()
		if found := platformtest.OrderViolations(a.arrivals, length-length/driftDivisor); len(found) > 0 {
			t.Fatal(found)
		}
	})
}

// Guards against a higher fencing number after a lapse in which nobody else held the lease: an action from before it would
// arrive with a lower one.
func TestFenceIsKeptUntilAnotherInstanceHoldsTheLease(t *testing.T) {
	w := faultlessWorld(2)
	first, fence := w.run(30*time.Second, w.nodes[0])
	w.now += 2 * length
	if _, held := first.m.Held(first.clock(w.now)); held {
		t.Fatal("the lease has not lapsed")
	}
	if holder, again := w.run(length, w.nodes[0]); holder != first || again != fence {
		t.Fatalf("fence %d after %d", again, fence)
	}
	other, second := w.run(30*time.Second, w.nodes[1])
	if other != w.nodes[1] {
		t.Fatal("not taken over")
	}
	other.m.Resign()
	if holder, third := w.run(30*time.Second, w.nodes[0]); holder != first || third <= second {
		t.Fatalf("fence %d after %d", third, second)
	}
}

// suspendable is a clock that also counts the time for which it was suspended.
type suspendable struct{ suspended time.Duration }

func (c *suspendable) Now() time.Time { return time.Now().Add(c.suspended) }

// Guards against a holder that relies on its lease after its machine was suspended, during which the steady clock
// stands still and others take the lease over.
func TestSuspensionInvalidatesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &suspendable{}
		m := NewManager(Config{Store: &objecttest.Store{}, Name: "rollout", Self: "entry-0", Clock: c})
		m.Start()
		time.Sleep(30 * time.Second)
		synctest.Wait()
		if _, held := m.Held(); !held {
			t.Fatal("not held")
		}
		c.suspended += DefaultLength
		if _, held := m.Held(); held {
			t.Error("held after a suspension for the lease's length")
		}
		m.Stop()
	})
}

// Guards against a clock that jumps: it must go at the speed of the monotonic clock.
func TestBootClockAdvancesWithTime(t *testing.T) {
	began, steady := clock.Boot{}.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	passed, want := clock.Boot{}.Now().Sub(began), time.Since(steady)
	if passed < 20*time.Millisecond || passed > want+20*time.Millisecond {
		t.Errorf("%v passed in %v", passed, want)
	}
}

// Guards against a release with an action on its way or in doubt, against one right after the lease was taken over, and
// against actions that begin in a term that is being given up or is nearly over.
func TestTermEndsOnlyWithItsActions(t *testing.T) {
	for _, test := range []struct {
		name string
		do   func(n *node, w *world, act func() bool)
		want Blocker
	}{
		{"nothing in progress", func(*node, *world, func() bool) {}, NotBlocked},
		{"in progress", func(_ *node, _ *world, act func() bool) { act() }, ActionsOpen},
		{"answered", func(n *node, w *world, act func() bool) { act(); n.m.End(n.clock(w.now), true) }, NotBlocked},
		{"unknown outcome", func(n *node, w *world, act func() bool) { act(); n.m.End(n.clock(w.now), false) }, ActionsInDoubt},
		{"unknown outcome, long ago", func(n *node, w *world, act func() bool) {
			act()
			n.m.End(n.clock(w.now), false)
			w.run(length+time.Second, n)
		}, NotBlocked},
		{"expired", func(_ *node, w *world, _ func() bool) { w.now += length }, NotHolder},
		{"nearly over", func(n *node, w *world, act func() bool) {
			w.now = time.Duration(n.m.actUntil.Sub(start)) - length/minActionDivisor
			if act() {
				w.holder = -2
			}
		}, NotBlocked},
		{"resigned", func(n *node, w *world, act func() bool) {
			n.m.Resign()
			if act() {
				w.holder = -2
			}
		}, NotBlocked},
	} {
		w := faultlessWorld(1)
		n, fence := w.run(5*length, w.nodes...)
		test.do(n, w, func() bool { _, ok := n.m.Begin(n.clock(w.now), fence); return ok })
		if got := n.m.Blocker(n.clock(w.now)); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
		if w.holder == -2 {
			t.Errorf("%s: an action began", test.name)
		}
	}
	w := faultlessWorld(1)
	for w.nodes[0].m.fence == 0 {
		w.run(100*time.Millisecond, w.nodes[0])
	}
	if got := w.nodes[0].m.Blocker(w.nodes[0].clock(w.now)); got != TermTooShort {
		t.Errorf("right after the takeover: %q", got)
	}
}
