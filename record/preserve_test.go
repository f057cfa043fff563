package record

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/objectapi/objecttest"
)

type held bool

func (h held) Held() (uint64, bool) { return 1, bool(h) }

// An operator's bad edit is refused, and then all instances restart at once.
// The object API shows only the bad version, so without more the accepted one
// would be gone and its callers refused.
func TestAcceptedVersionOutlivesARestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		put(s, 1)
		k, p := startProvider(s, "entry-0", 0)
		keep := NewPreserver(s, k, held(true))
		keep.Start()
		time.Sleep(5 * time.Second)
		s.Set(string(Classes), "quote", refusedItem("quote", 2).Value)
		time.Sleep(5 * time.Second)
		p.Stop()
		keep.Stop()
		next, again := startProvider(s, "entry-1", 0)
		defer again.Stop()
		time.Sleep(time.Second)
		if got := inForce(next, "quote"); got != 1 {
			t.Fatalf("version %d is in force after the restart, want 1", got)
		}
		if c := next.Conditions()[0]; c.Refused == "" {
			t.Fatal("the refusal is not told any more")
		}
	})
}

// The record is removed and made anew, badly, and then all instances restart.
// What was in force before the removal must not come back.
func TestPreservedVersionOfARemovedRecordStaysAway(t *testing.T) {
	for _, anew := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &objecttest.Store{}
			put(s, 1)
			k, p := startProvider(s, "entry-0", 0)
			keep := NewPreserver(s, k, held(true))
			keep.Start()
			time.Sleep(5 * time.Second)
			s.Set(string(Classes), "quote", refusedItem("quote", 2).Value)
			time.Sleep(5 * time.Second)
			if preserved, _ := s.List(t.Context(), PreservedKind); len(preserved.Objects) != 1 {
				t.Fatalf("%d versions are preserved, want 1", len(preserved.Objects))
			}
			s.Remove(string(Classes), "quote")
			if anew {
				s.Set(string(Classes), "quote", refusedItem("quote", 5).Value)
			}
			time.Sleep(5 * time.Second)
			p.Stop()
			keep.Stop()
			next, again := startProvider(s, "entry-1", 0)
			defer again.Stop()
			time.Sleep(time.Second)
			if got := inForce(next, "quote"); got != 0 {
				t.Fatalf("made anew %v: version %d came back", anew, got)
			}
			if preserved, _ := s.List(t.Context(), PreservedKind); len(preserved.Objects) != 0 {
				t.Fatalf("%d versions are still preserved", len(preserved.Objects))
			}
		})
	}
}

func TestOnlyTheHolderPreserves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		k := complete()
		k.Offer(classItem("quote", 1), refusedItem("quote", 2))
		keep := NewPreserver(s, k, held(false))
		keep.Start()
		time.Sleep(time.Minute)
		keep.Stop()
		if puts := s.Counts().Puts; puts != 0 {
			t.Fatalf("%d writes without the lease", puts)
		}
	})
}
