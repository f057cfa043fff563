package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/objectapi"
)

const length = 10 * time.Second

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// world is one lease object and the machines of several instances, whose clocks differ and
// run at slightly different rates.
type world struct {
	now        time.Duration
	version    objectapi.Version
	object     objectapi.Object
	value      Value
	oldObjects []objectapi.Object
	nodes      []*node
	fence      objectapi.Version
	holder     int
}

type node struct {
	m      *Machine
	offset time.Duration
	drift  float64
	// inFlight holds writes that were sent and have not arrived.
	inFlight []Step
}

func (n *node) clock(now time.Duration) time.Time {
	return start.Add(n.offset + time.Duration(n.drift*float64(now)))
}

func newWorld(t *rapid.T, instances int) *world {
	w := &world{holder: -1}
	for i := range instances {
		attempts := 0
		n := &node{
			offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second,
			drift:  1 + float64(rapid.IntRange(-4, 4).Draw(t, "drift"))/100,
		}
		n.m = NewMachine(length, func() string {
			attempts++
			return fmt.Sprintf("%d-%d", i, attempts)
		})
		w.nodes = append(w.nodes, n)
	}
	return w
}

// apply applies a write to the object if its condition holds.
func (w *world) apply(s Step) (objectapi.Version, bool) {
	if w.object.Version != s.Expected {
		return 0, false
	}
	w.version++
	w.oldObjects = append(w.oldObjects, w.object)
	w.object = objectapi.Object{Version: w.version, Attempt: s.Attempt}
	w.value = Value{}
	return w.version, true
}

// step takes the next action of one instance's machine, possibly with an injected fault.
func (w *world) step(t *rapid.T, n *node) {
	s := n.m.Next(n.clock(w.now))
	fate := rapid.SampledFrom([]string{"well", "well", "well", "lost", "late", "slow", "stale", "down"}).Draw(t, "fate")
	if fate == "slow" {
		w.pass(t, 8*time.Second)
	}
	switch s.Kind {
	case StepRead:
		w.read(t, n, fate)
	case StepWrite:
		w.write(n, s, fate)
		if fate == "late" {
			n.inFlight = append(n.inFlight, s)
		}
	}
}

func (w *world) read(t *rapid.T, n *node, fate string) {
	switch {
	case fate == "down":
		n.m.ReadFailed(n.clock(w.now))
	case fate == "stale" && len(w.oldObjects) > 0:
		old := w.oldObjects[rapid.IntRange(0, len(w.oldObjects)-1).Draw(t, "old")]
		n.m.Observed(n.clock(w.now), old, Value{})
	default:
		n.m.Observed(n.clock(w.now), w.object, w.value)
	}
}

func (w *world) write(n *node, s Step, fate string) {
	if fate == "down" || fate == "late" {
		n.m.WriteFailed(n.clock(w.now))
		return
	}
	version, ok := w.apply(s)
	if !ok || fate == "lost" {
		n.m.WriteFailed(n.clock(w.now))
		return
	}
	n.m.Wrote(n.clock(w.now), s.Attempt, version)
}

func (w *world) pass(t *rapid.T, most time.Duration) {
	w.now += time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
}

// check verifies the invariants that must hold after any sequence of events.
func (w *world) check(t *rapid.T) {
	holder := -1
	for i, n := range w.nodes {
		fence, ok := n.m.Held(n.clock(w.now))
		if !ok {
			continue
		}
		if holder >= 0 {
			t.Fatalf("instances %d and %d both hold the lease at %v", holder, i, w.now)
		}
		holder = i
		if fence < w.fence || (fence == w.fence && w.holder >= 0 && w.holder != i) {
			t.Fatalf("fence %d of instance %d after %d of instance %d", fence, i, w.fence, w.holder)
		}
		w.fence, w.holder = fence, i
	}
}

// Guards against two instances relying on the lease at the same time, so that both would
// send orders to endpoints, and against the fencing numbers of successive holders not
// increasing, so that endpoints would refuse the new holder. Instances are paused for
// longer than the lease, replies are lost, writes arrive late, reads are stale, operators
// remove the object and clocks differ.
func TestOneHolderAndIncreasingFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "instances"))
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "instance")]
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "pass", "arrive", "release", "remove"}).Draw(t, "event") {
			case "step":
				w.step(t, n)
			case "pass":
				w.pass(t, 12*time.Second)
			case "arrive":
				if len(n.inFlight) > 0 {
					w.apply(n.inFlight[0])
					n.inFlight = n.inFlight[1:]
				}
			case "release":
				if s, ok := n.m.Release(n.clock(w.now)); ok {
					if _, done := w.apply(s); done {
						w.value.Released = true
					}
				}
			case "remove":
				if rapid.IntRange(0, 9).Draw(t, "removes") == 0 {
					w.version++
					w.object, w.value = objectapi.Object{}, Value{}
				}
			}
			w.check(t)
		}
	})
}

// run lets the instances act in turn without faults for the given time, and returns the
// holder at its end.
func (w *world) run(d time.Duration, nodes ...*node) (*node, objectapi.Version) {
	for end := w.now + d; w.now < end; w.now += 100 * time.Millisecond {
		for _, n := range nodes {
			switch s := n.m.Next(n.clock(w.now)); s.Kind {
			case StepRead:
				w.read(nil, n, "well")
			case StepWrite:
				w.write(n, s, "well")
			}
		}
	}
	for _, n := range nodes {
		if fence, ok := n.m.Held(n.clock(w.now)); ok {
			return n, fence
		}
	}
	return nil, 0
}

func faultlessWorld(instances int) *world {
	w := &world{holder: -1}
	for i := range instances {
		attempts := 0
		w.nodes = append(w.nodes, &node{drift: 1, m: NewMachine(length, func() string {
			attempts++
			return fmt.Sprintf("%d-%d", i, attempts)
		})})
	}
	return w
}

// Guards against a holder that was paused for longer than the lease relying on it when it
// resumes: another instance has taken over with a higher fencing number meanwhile.
func TestPausedHolderIsReplaced(t *testing.T) {
	w := faultlessWorld(2)
	first, fence := w.run(30*time.Second, w.nodes...)
	if first == nil {
		t.Fatal("no instance acquired the lease")
	}
	other := w.nodes[0]
	if other == first {
		other = w.nodes[1]
	}
	second, next := w.run(30*time.Second, other)
	if second != other || next <= fence {
		t.Fatalf("fence %d after %d; the other instance holds: %v", next, fence, second == other)
	}
	if _, ok := first.m.Held(first.clock(w.now)); ok {
		t.Fatal("the paused instance still relies on the lease")
	}
	if holder, _ := w.run(30*time.Second, w.nodes...); holder != other {
		t.Fatal("the lease changed hands without a fault")
	}
}

// Guards against waiting for the expiry of the lease of an instance that shuts down
// cleanly, which would delay every rollout whenever the program is upgraded.
func TestReleasedLeaseIsAcquiredWithinOnePoll(t *testing.T) {
	w := faultlessWorld(2)
	first, _ := w.run(30*time.Second, w.nodes[0])
	w.run(time.Second, w.nodes[1])
	s, ok := first.m.Release(first.clock(w.now))
	if _, done := w.apply(s); !ok || !done {
		t.Fatal("the holder could not release")
	}
	w.value.Released = true
	if second, _ := w.run(6*time.Second, w.nodes[1]); second != w.nodes[1] {
		t.Fatal("the released lease was not acquired within one poll")
	}
}

// Without faults, the holder renews the lease three times per length, and the others read it
// six times.
func TestIdleWritesAreBounded(t *testing.T) {
	w := faultlessWorld(1)
	w.run(30*time.Second, w.nodes[0])
	before := w.version
	w.run(100*time.Second, w.nodes[0])
	if writes := w.version - before; writes < 25 || writes > 31 {
		t.Fatalf("%d writes in 100 s", writes)
	}
}
