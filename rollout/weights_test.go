package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/balance"
)

func pool(n int, version int64) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Target: Target{ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}, Version: version}
	}
	return list
}

// Whatever the state of the pool, the limit on concurrent loads must be respected and
// used fully, and no endpoint may be ordered to load a version it already has.
func TestPlanLoadsRespectsLoadLimit(t *testing.T) {
	now := time.Unix(100, 0)
	rapid.Check(t, func(t *rapid.T) {
		list := pool(rapid.IntRange(0, 40).Draw(t, "n"), 1)
		loading, behind := 0, 0
		for i := range list {
			c := &list[i]
			c.Version = rapid.Int64Range(1, 3).Draw(t, "version")
			c.Draining = rapid.Bool().Draw(t, "draining")
			c.Unreliable = rapid.Bool().Draw(t, "doubtful")
			if rapid.IntRange(0, 3).Draw(t, "loads") == 0 {
				c.Loading, c.BusyUntil = true, now.Add(time.Second)
				loading++
			} else if c.Version < 3 && !c.Draining {
				behind++
			}
		}
		most := max(minLoads, len(list)/loadShare)
		got, next := PlanLoads(now, 3, list)
		if want := max(0, min(most-loading, behind)); len(got) != want {
			t.Fatalf("%d orders, want %d", len(got), want)
		}
		if len(next) > nextRounds*most || len(got)+len(next) > behind {
			t.Fatalf("%d come next, %d may load at a time, %d are behind", len(next), most, behind)
		}
		for _, c := range got {
			if c.Version >= 3 || c.Draining || c.Loading {
				t.Fatalf("ordered %+v", c)
			}
		}
	})
}

// heldLease is a lease that this instance always holds.
type heldLease struct{}

func (heldLease) Held() (uint64, bool) { return 7, true }

func (heldLease) Act(ctx context.Context, _ uint64, act func(context.Context, func() error) bool) bool {
	act(ctx, func() error { return nil })
	return true
}

// engines is a pool whose endpoints take 400 ms to load a version.
type engines struct {
	mu       sync.Mutex
	versions map[string]int64
	orders   map[string]uint64
	dead     map[string]bool
}

var errRefused = errors.New("connection refused")

func (e *engines) Load(_ context.Context, t Target, o LoadOrder, _ func() error) (Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead[t.ID] {
		return Unanswered, errRefused
	}
	if o.Expect != nil && *o.Expect != e.orders[t.ID] {
		return Busy, nil
	}
	e.orders[t.ID]++
	time.AfterFunc(400*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.versions[t.ID] = o.Version
	})
	return Accepted, nil
}

func (e *engines) Report(_ context.Context, t Target) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead[t.ID] {
		return Report{}, errRefused
	}
	return Report{Versions: map[string]int64{"m": e.versions[t.ID]}, Orders: e.orders[t.ID]}, nil
}

// Three endpoints, as many as may load concurrently, crash while they load new
// weights. Their loads never end. If they counted against the limit until
// loadTimeout, the rest of the pool would serve the replaced version for seconds.
func TestCrashesDuringLoadsDoNotBlockRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{versions: map[string]int64{}, orders: map[string]uint64{}, dead: map[string]bool{}}
		state := balance.NewState(8 * time.Second)
		var list []balance.Endpoint
		for _, c := range pool(18, 1) {
			e.versions[c.ID] = 1
			list = append(list, balance.Endpoint{ID: c.ID, Address: c.Address, Service: "pool", Versions: map[string]int64{"m": 1}})
		}
		state.SetEndpoints(list)
		h := NewHosted(HostedConfig{
			Self: "a", Lease: heldLease{}, Control: e, State: state,
			Pools:        func() map[string][]string { return map[string][]string{"pool": {"m"}} },
			LoadExpected: func(string, time.Duration) {},
			Loading:      func(string, time.Duration) {}, SetLoaded: state.SetLoaded,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { h.Run(ctx) })
		h.SetWanted(Weights{Model: "m", Version: 2})
		time.Sleep(200 * time.Millisecond)
		e.mu.Lock()
		for id, n := range e.orders {
			e.dead[id] = n > 0
		}
		e.mu.Unlock()
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		behind := 0
		for id, v := range e.versions {
			if v < 2 && !e.dead[id] {
				behind++
			}
		}
		dead := 0
		for _, d := range e.dead {
			if d {
				dead++
			}
		}
		e.mu.Unlock()
		if dead != 3 || behind > 0 {
			t.Errorf("%d endpoints crashed, %d of the others are behind after 5 s", dead, behind)
		}
		cancel()
		done.Wait()
	})
}
