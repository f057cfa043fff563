package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/outcome/claim"
)

func look(t *testing.T, b *claim.Book, r claim.Request) claim.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	f, err := b.Look(ctx, r)
	if err != nil || f.Taken {
		t.Fatalf("%s: %+v, %v", r.Attempt, f, err)
	}
	r.Seen = f.Seen
	return r
}

func refuse(b *claim.Book, r claim.Request) (claim.Found, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return b.Refuse(ctx, r)
}

// A counter sends one confirmation twice at once. One attempt finds no slot and
// the counter reads that it was not run, while the other still waits for one.
// If that one then ran, the counter would confirm by telephone what ships anyway.
func TestRefusalBindsAttemptsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		waiting, refused := look(t, a, request("k", "1")), look(t, b, request("k", "2"))
		if f, err := refuse(b, refused); err != nil || f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		time.Sleep(time.Minute)
		if f, err := take(a, waiting); err != nil || !f.Refused {
			t.Fatalf("the attempt that waited: %+v, %v", f, err)
		}
		later := look(t, a, request("k", "3"))
		if f, err := take(a, later); err != nil || f.Taken || f.Refused {
			t.Fatalf("an attempt after the refusal: %+v, %v", f, err)
		}
		mustBeTaken(t, b, lookedLate(request("k", "4")))
	})
}

// lookedLate is a request of an attempt that has looked at the latest version.
func lookedLate(r claim.Request) claim.Request {
	r.Seen = 1 << 40
	return r
}

// The other attempt has sent the confirmation already. "Not run" would be
// false, so the refused attempt has to hear of the holder.
func TestRefusalYieldsToAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		refused := look(t, b, request("k", "2"))
		mustHold(t, a, look(t, a, request("k", "1")))
		if f, err := refuse(b, refused); err != nil || !f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		mustBeTaken(t, b, request("k", "3"))
	})
}

// A holder that was told by the engine that nothing started refuses its own
// request. Its claim must not stand in the way of the caller's next try.
func TestHolderRefusesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		r := look(t, a, request("k", "1"))
		mustHold(t, a, r)
		if f, err := refuse(a, r); err != nil || f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		mustHold(t, a, look(t, a, request("k", "2")))
	})
}

// visit is one attempt: it looks, waits, and then takes the key or is refused.
type visit struct {
	book    int
	begin   time.Duration
	pause   time.Duration
	refuses bool
}

func drawVisit(t *rapid.T) visit {
	return visit{
		book:    rapid.IntRange(0, 2).Draw(t, "book"),
		begin:   time.Duration(rapid.IntRange(0, 200).Draw(t, "begin")) * time.Millisecond,
		pause:   time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond,
		refuses: rapid.Bool().Draw(t, "refuses"),
	}
}

// told is what an attempt came to, and when.
type told struct {
	looked, ended time.Time
	began         time.Time
	held, notRun  bool
}

func (v visit) run(b *claim.Book, attempt string) (x told) {
	time.Sleep(v.begin)
	r := request("k", attempt)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	f, err := b.Look(ctx, r)
	if err != nil || f.Taken {
		return x
	}
	x.looked = time.Now()
	r.Seen = f.Seen
	time.Sleep(v.pause)
	x.began = time.Now()
	if v.refuses {
		f, err = refuse(b, r)
		x.notRun = err == nil && !f.Taken
	} else {
		f, err = take(b, r)
		x.held = err == nil && !f.Taken && !f.Refused
	}
	x.ended = time.Now()
	return x
}

// Many attempts under one key at three instances look, wait, and are refused or
// take the key, while the store loses, delays and refuses writes. Whoever was
// told "not run" must never see an attempt hold the key that had looked before.
func TestNotRunIsNeverFalseForTheKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		visits := rapid.SliceOfN(rapid.Custom(drawVisit), 2, 12).Draw(rt, "visits")
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{good, good, lostBefore, lostAfter, late, refused}), 40, 40).Draw(rt, "fates")
		var ends []told
		synctest.Test(t, func(*testing.T) { ends = visitAll(visits, fates) })
		for i, n := range ends {
			for j, h := range ends {
				if n.notRun && h.held && h.looked.Before(n.began) {
					rt.Fatalf("attempt %d was told not-run, and attempt %d, which had looked before, holds the key", i, j)
				}
			}
		}
	})
}

func visitAll(visits []visit, fates []fate) []told {
	s := &lateStore{Store: &objecttest.Store{}, fate: fates, delay: 2 * time.Millisecond, lateness: 30 * time.Millisecond}
	var mu sync.Mutex
	s.draw = func() fate {
		mu.Lock()
		defer mu.Unlock()
		if len(s.fate) == 0 {
			return good
		}
		f := s.fate[0]
		s.fate = s.fate[1:]
		return f
	}
	books := []*claim.Book{claim.Open(s, clock.System{}), claim.Open(s, clock.System{}), claim.Open(s, clock.System{})}
	ends := make([]told, len(visits))
	var wg sync.WaitGroup
	for i, v := range visits {
		wg.Go(func() { ends[i] = v.run(books[v.book], fmt.Sprint("attempt-", i)) })
	}
	wg.Wait()
	for _, b := range books {
		b.Kill()
	}
	time.Sleep(5 * time.Second)
	return ends
}
