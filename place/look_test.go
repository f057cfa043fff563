package place

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// The owner of an endpoint is gone in the middle of a burst. Each request that asks the
// endpoint whether it leaves would be one more beside those it has to run, so they ask once
// a second together; and an endpoint that stands still must not cost all of them the wait.
func TestRequestsAskAnEndpointOnceTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 50
		var asked atomic.Int64
		answers := map[string]func(context.Context) (bool, error){
			"leaves": func(context.Context) (bool, error) { return true, nil },
			"stays":  func(context.Context) (bool, error) { return false, nil },
			"broken": func(context.Context) (bool, error) { return true, errors.New("half an answer") },
			"still":  func(ctx context.Context) (bool, error) { <-ctx.Done(); return true, ctx.Err() },
		}
		l := newLeavingChecks(func(ctx context.Context, address string) (bool, error) {
			asked.Add(1)
			if ctx.Err() != nil {
				return false, ctx.Err()
			}
			return answers[address](ctx)
		})
		for name := range answers {
			asked.Store(0)
			began := time.Now()
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					if got, want := l.isLeaving(t.Context(), candidate{name: name, address: name}, began), name == "leaves"; got != want {
						t.Errorf("%s: leaving %v, want %v", name, got, want)
					}
				})
			}
			wg.Wait()
			if took := time.Since(began); took > leavingCheckTimeout || asked.Load() != 1 {
				t.Errorf("%s: %d questions and %v for %d requests, want 1 within %v", name, asked.Load(), took, requests, leavingCheckTimeout)
			}
			if l.knownLeaving(name, began) != (name == "leaves") {
				t.Errorf("%s: not remembered as it said", name)
			}
		}
		// The first caller has gone while it asked; the next one counts on the answer.
		gone, leave := context.WithCancel(t.Context())
		leave()
		l.last = map[string]*leavingCheck{}
		_ = l.isLeaving(gone, candidate{name: "leaves", address: "leaves"}, time.Now())
		if !l.isLeaving(t.Context(), candidate{name: "leaves", address: "leaves"}, time.Now()) {
			t.Error("a caller that has gone made a leaving endpoint usable")
		}
		// An endpoint that was to leave and stays gets work again.
		if l.knownLeaving("leaves", time.Now().Add(leavingCheckTTL)) {
			t.Error("what an endpoint said holds for good")
		}
	})
}
