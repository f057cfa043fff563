package record

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/objectapi/objecttest"
)

type held bool

func (h held) Held() (uint64, bool) { return 1, bool(h) }

// An operator's invalid edit is refused, and then all instances restart at once. The
// object API returns only the invalid version. If the accepted one was not stored
// separately it would be lost, and requests that need it would be refused.
func TestAcceptedVersionSurvivesRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		k, p := startProvider(s, "entry-0", 0)
		preserver := NewPreserver(s, k, held(true))
		preserver.Start()
		time.Sleep(5 * time.Second)
		s.Set(string(Classes), "quote", refusedItem("quote", 2).Value)
		time.Sleep(5 * time.Second)
		p.Stop()
		preserver.Stop()
		next, again := startProvider(s, "entry-1", 0)
		defer again.Stop()
		time.Sleep(time.Second)
		if got := inForce(next, "quote"); got != 1 {
			t.Fatalf("version %d is in force after the restart, want 1", got)
		}
		if c := next.Conditions()[0]; c.Refused == "" {
			t.Fatal("the condition does not report the refusal after the restart")
		}
	})
}

// A record is removed and possibly recreated with an invalid version, and then all
// instances restart. The version in force before the removal must not be restored.
func TestPreservedVersionOfRemovedRecordIsNotRestored(t *testing.T) {
	for _, recreate := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &objecttest.Store{}
			put(s, 1)
			k, p := startProvider(s, "entry-0", 0)
			preserver := NewPreserver(s, k, held(true))
			preserver.Start()
			time.Sleep(5 * time.Second)
			s.Set(string(Classes), "quote", refusedItem("quote", 2).Value)
			time.Sleep(5 * time.Second)
			if preserved, _ := s.List(t.Context(), PreservedKind); len(preserved.Objects) != 1 {
				t.Fatalf("%d versions are preserved, want 1", len(preserved.Objects))
			}
			s.Remove(string(Classes), "quote")
			if recreate {
				s.Set(string(Classes), "quote", refusedItem("quote", 5).Value)
			}
			time.Sleep(5 * time.Second)
			p.Stop()
			preserver.Stop()
			next, again := startProvider(s, "entry-1", 0)
			defer again.Stop()
			time.Sleep(time.Second)
			if got := inForce(next, "quote"); got != 0 {
				t.Fatalf("recreated %v: version %d was restored", recreate, got)
			}
			if preserved, _ := s.List(t.Context(), PreservedKind); len(preserved.Objects) != 0 {
				t.Fatalf("%d versions are still preserved", len(preserved.Objects))
			}
		})
	}
}

func TestOnlyTheLeaseHolderPreserves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		k := newCompleteKeeper()
		k.Offer(classItem("quote", 1), refusedItem("quote", 2))
		preserver := NewPreserver(s, k, held(false))
		preserver.Start()
		time.Sleep(time.Minute)
		preserver.Stop()
		if puts := s.Counts().Puts; puts != 0 {
			t.Fatalf("%d writes without the lease", puts)
		}
	})
}
