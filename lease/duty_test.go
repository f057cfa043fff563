package lease

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/objectapi/objecttest"
)

func startDuties(s *objecttest.Store, n int) []*Duty {
	duties := make([]*Duty, n)
	for i := range duties {
		duties[i] = NewDuty(Config{Store: s, Name: "rollout", Self: fmt.Sprintf("entry-%d", i)})
		duties[i].Start()
	}
	return duties
}

// holders returns the duties that hold the lease now.
func holders(duties []*Duty) []*Duty {
	var list []*Duty
	for _, d := range duties {
		if _, ok := d.Held(); ok {
			list = append(list, d)
		}
	}
	return list
}

func TestOneHolderAndTakeoverAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		duties := startDuties(s, 3)
		time.Sleep(30 * time.Second)
		first := holders(duties)
		if len(first) != 1 {
			t.Fatalf("%d holders, want 1", len(first))
		}
		before, _ := first[0].Held()
		first[0].Stop()
		first[0].Release()
		time.Sleep(DefaultLength)
		second := holders(duties)
		if len(second) != 1 || second[0] == first[0] {
			t.Fatalf("%d holders after the release, want another one", len(second))
		}
		if after, _ := second[0].Held(); after <= before {
			t.Fatalf("fence %d after %d", after, before)
		}
		for _, d := range duties {
			if d != first[0] {
				d.Stop()
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
		duties := startDuties(s, 2)
		time.Sleep(40 * time.Second)
		if n := len(holders(duties)); n != 1 {
			t.Fatalf("%d holders, want 1", n)
		}
		s.SetDown(true)
		time.Sleep(DefaultLength)
		if n := len(holders(duties)); n != 0 {
			t.Fatalf("%d holders during an outage, want none", n)
		}
		s.SetDown(false)
		time.Sleep(2 * DefaultLength)
		if n := len(holders(duties)); n != 1 {
			t.Fatalf("%d holders after the outage, want 1", n)
		}
		for _, d := range duties {
			d.Stop()
		}
	})
}

func TestNonCandidateMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		d := NewDuty(Config{Store: s, Name: "rollout", Self: "entry-0", Candidate: func() bool { return false }})
		d.Start()
		time.Sleep(time.Minute)
		d.Stop()
		if c := s.Counts(); c != (objecttest.Counts{}) {
			t.Fatalf("calls: %+v", c)
		}
	})
}
