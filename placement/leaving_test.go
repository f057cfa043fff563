package placement

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// The owner of an endpoint fails in a burst. If each request asked the endpoint whether it
// is leaving, the endpoint would have to answer as many queries as it runs requests. So
// requests share one query per second, and an endpoint that is paused must not delay all of
// them.
func TestConcurrentRequestsAskAnEndpointOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 50
		var asked atomic.Int64
		answers := map[string]func(context.Context) (bool, error){
			"leaves": func(context.Context) (bool, error) { return true, nil },
			"stays":  func(context.Context) (bool, error) { return false, nil },
			"broken": func(context.Context) (bool, error) { return true, errors.New("truncated answer") },
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
				t.Errorf("%s: %d queries in %v for %d requests, want 1 within %v", name, asked.Load(), took, requests, leavingCheckTimeout)
			}
			if l.knownLeaving(name, began) != (name == "leaves") {
				t.Errorf("%s: cached answer differs from the endpoint's", name)
			}
		}
		// The caller that asks disconnects; the next caller still needs the answer.
		disconnected, cancel := context.WithCancel(t.Context())
		cancel()
		l.last = map[string]*leavingCheck{}
		_ = l.isLeaving(disconnected, candidate{name: "leaves", address: "leaves"}, time.Now())
		if !l.isLeaving(t.Context(), candidate{name: "leaves", address: "leaves"}, time.Now()) {
			t.Error("a caller that disconnected made a leaving endpoint usable")
		}
		// An endpoint that was leaving is usable again once the answer has expired.
		if l.knownLeaving("leaves", time.Now().Add(leavingCheckTTL)) {
			t.Error("the endpoint's answer does not expire")
		}
	})
}
