package lease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
)

func startManagers(s *objecttest.Store, n int) []*Manager {
	managers := make([]*Manager, n)
	for i := range managers {
		managers[i] = NewManager(Config{Store: s, Name: "rollout", Self: fmt.Sprintf("entry-%d", i), Clock: clock.System{}})
		managers[i].Start()
	}
	return managers
}

// holders returns the managers that hold the lease now.
func holders(managers []*Manager) []*Manager {
	var list []*Manager
	for _, m := range managers {
		if _, ok := m.Held(); ok {
			list = append(list, m)
		}
	}
	return list
}

func TestOneHolderAndTakeoverAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		managers := startManagers(s, 3)
		time.Sleep(30 * time.Second)
		first := holders(managers)
		if len(first) != 1 {
			t.Fatalf("%d holders, want 1", len(first))
		}
		before, _ := first[0].Held()
		first[0].Stop()
		first[0].Release()
		time.Sleep(DefaultLength)
		second := holders(managers)
		if len(second) != 1 || second[0] == first[0] {
			t.Fatalf("%d holders after the release, want another one", len(second))
		}
		if after, _ := second[0].Held(); after <= before {
			t.Fatalf("fence %d after %d", after, before)
		}
		for _, m := range managers {
			if m != first[0] {
				m.Stop()
			}
		}
	})
}

// Guards against a holder relying on its lease after the object API was unreachable for
// longer than the lease, against none or several holders afterwards, and against lost
// replies to the first writes costing the lease.
func TestOutageInvalidatesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		s.LoseReplies(3)
		managers := startManagers(s, 2)
		time.Sleep(40 * time.Second)
		if n := len(holders(managers)); n != 1 {
			t.Fatalf("%d holders, want 1", n)
		}
		s.SetDown(true)
		time.Sleep(DefaultLength)
		if n := len(holders(managers)); n != 0 {
			t.Fatalf("%d holders during an outage, want none", n)
		}
		s.SetDown(false)
		time.Sleep(2 * DefaultLength)
		if n := len(holders(managers)); n != 1 {
			t.Fatalf("%d holders after the outage, want 1", n)
		}
		for _, m := range managers {
			m.Stop()
		}
	})
}

func TestNonCandidateMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		m := NewManager(Config{Store: s, Name: "rollout", Self: "entry-0", Clock: clock.System{}, Candidate: func() bool { return false }})
		m.Start()
		time.Sleep(time.Minute)
		m.Stop()
		if c := s.Counts(); c != (objecttest.Counts{}) {
			t.Fatalf("calls: %+v", c)
		}
	})
}
