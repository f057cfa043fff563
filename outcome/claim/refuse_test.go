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

func lookup(t *testing.T, b *claim.Book, r claim.Request) claim.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	f, err := b.Lookup(ctx, r)
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

// Guards against running a request after it was reported as not run: a client sends one
// confirmation twice at the same time, one attempt finds no slot and is reported as not run, and
// the other, which still waits for a slot, then runs. The client would repeat by other means
// what was carried out anyway.
func TestRefusalAppliesToWaitingAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		waiting, refused := lookup(t, a, request("k", "1")), lookup(t, b, request("k", "2"))
		if f, err := refuse(b, refused); err != nil || f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		time.Sleep(time.Minute)
		if f, err := take(a, waiting); err != nil || !f.Refused {
			t.Fatalf("the waiting attempt: %+v, %v", f, err)
		}
		later := lookup(t, a, request("k", "3"))
		if f, err := take(a, later); err != nil || f.Taken || f.Refused {
			t.Fatalf("an attempt that looked up the key after the refusal: %+v, %v", f, err)
		}
		mustBeTaken(t, b, lookedUpLate(request("k", "4")))
	})
}

// lookedUpLate returns r as the request of an attempt that has looked up the latest version.
func lookedUpLate(r claim.Request) claim.Request {
	r.Seen = 1 << 40
	return r
}

// Guards against reporting "not-run" when another attempt holds the key and may have sent the
// request already: Refuse has to return that holder.
func TestRefusalReportsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		refused := lookup(t, b, request("k", "2"))
		mustHold(t, a, lookup(t, a, request("k", "1")))
		if f, err := refuse(b, refused); err != nil || !f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		mustBeTaken(t, b, request("k", "3"))
	})
}

// Guards against a claim that blocks the caller's next attempt after its holder has refused its
// own request, because the engine reported that nothing was started.
func TestHolderCanRefuseItsOwnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		r := lookup(t, a, request("k", "1"))
		mustHold(t, a, r)
		if f, err := refuse(a, r); err != nil || f.Taken {
			t.Fatalf("%+v, %v", f, err)
		}
		mustHold(t, a, lookup(t, a, request("k", "2")))
	})
}

// attemptPlan is the plan of one attempt: it looks up the key, waits, and then takes the claim or
// is refused.
type attemptPlan struct {
	book    int
	begin   time.Duration
	pause   time.Duration
	refuses bool
}

func drawAttemptPlan(t *rapid.T) attemptPlan {
	return attemptPlan{
		book:    rapid.IntRange(0, 2).Draw(t, "book"),
		begin:   time.Duration(rapid.IntRange(0, 200).Draw(t, "begin")) * time.Millisecond,
		pause:   time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond,
		refuses: rapid.Bool().Draw(t, "refuses"),
	}
}

// attemptResult is the result of an attempt, with the times of its steps.
type attemptResult struct {
	lookedUp, ended time.Time
	began           time.Time
	held, notRun    bool
}

func (p attemptPlan) run(b *claim.Book, attempt string) (result attemptResult) {
	time.Sleep(p.begin)
	r := request("k", attempt)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	f, err := b.Lookup(ctx, r)
	if err != nil || f.Taken {
		return result
	}
	result.lookedUp = time.Now()
	r.Seen = f.Seen
	time.Sleep(p.pause)
	result.began = time.Now()
	if p.refuses {
		f, err = refuse(b, r)
		result.notRun = err == nil && !f.Taken
	} else {
		f, err = take(b, r)
		result.held = err == nil && !f.Taken && !f.Refused
	}
	result.ended = time.Now()
	return result
}

// Guards against reporting "not-run" to one attempt while another attempt that had looked up the
// key before takes the claim. Many attempts under one key run at three instances, and the store
// loses, delays and refuses writes.
func TestNotRunIsNeverReportedForHeldKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(drawAttemptPlan), 2, 12).Draw(rt, "plans")
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]writeOutcome{applied, applied, lostBefore, lostAfter, delayed, rejected}), 40, 40).Draw(rt, "outcomes")
		var results []attemptResult
		synctest.Test(t, func(*testing.T) { results = runAll(plans, outcomes) })
		for i, n := range results {
			for j, h := range results {
				if n.notRun && h.held && h.lookedUp.Before(n.began) {
					rt.Fatalf("attempt %d was reported as not-run, and attempt %d, which had looked up the key before, holds it", i, j)
				}
			}
		}
	})
}

func runAll(plans []attemptPlan, outcomes []writeOutcome) []attemptResult {
	s := &faultyStore{Store: &objecttest.Store{}, writeOutcome: outcomes, latency: 2 * time.Millisecond, lateBy: 30 * time.Millisecond}
	var mu sync.Mutex
	s.draw = func() writeOutcome {
		mu.Lock()
		defer mu.Unlock()
		if len(s.writeOutcome) == 0 {
			return applied
		}
		f := s.writeOutcome[0]
		s.writeOutcome = s.writeOutcome[1:]
		return f
	}
	books := []*claim.Book{claim.Open(s, clock.System{}), claim.Open(s, clock.System{}), claim.Open(s, clock.System{})}
	results := make([]attemptResult, len(plans))
	var wg sync.WaitGroup
	for i, p := range plans {
		wg.Go(func() { results[i] = p.run(books[p.book], fmt.Sprint("attempt-", i)) })
	}
	wg.Wait()
	for _, b := range books {
		b.Kill()
	}
	time.Sleep(5 * time.Second)
	return results
}
