package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/gossip"
)

// largeFixture is a fleet in which a few instances place the requests of all, with an
// endpoint for models and one for orders.
func largeFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, gossip.SmallFleet+4)
	f.endpoint("e1", "pool", oneEvent)
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.eventually("five schedulers, known to all", func() bool {
		for _, i := range f.instances {
			if len(i.node.Schedulers()) != schedulersWanted || i.node.Live() != len(f.instances) {
				return false
			}
		}
		return true
	})
	return f
}

// schedulersWanted is how many schedulers a fleet of over gossip.SmallFleet has.
const schedulersWanted = 5

// other returns the number of an instance that is no scheduler.
func (f *fixture) other() int {
	for n, i := range f.instances {
		if !i.node.IsScheduler() {
			return n
		}
	}
	f.t.Fatal("all are schedulers")
	return 0
}

// killSchedulers ends all schedulers as a loss of their power would.
func (f *fixture) killSchedulers() {
	for _, i := range f.instances {
		if i.node.IsScheduler() {
			i.Kill()
		}
	}
}

// In a large fleet, a request comes to an instance that knows nothing of what the others
// do. A scheduler, which knows, has to place it; and each of them has to know of its run
// as long as it goes on, and no longer. Placed on each instance's guess, requests meet at
// the same endpoints while others idle.
func TestSchedulersPlaceTheRequestsOfOthers(t *testing.T) {
	f := largeFixture(t)
	n := f.other()
	before := alonePlaced.Get()
	f.callers[0] = f.callers[n]
	for range 5 {
		if a := f.do(prompt(f.request("POST", "/check/1", "x"))); a.status != 200 || a.cut {
			t.Fatalf("status %d, cut %v", a.status, a.cut)
		}
		if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if placed := alonePlaced.Get() - before; placed > 0 {
		t.Errorf("%d of 10 requests were placed without a scheduler", placed)
	}
	f.eventually("no run counts any more at any scheduler", func() bool {
		for _, i := range f.instances {
			for _, e := range i.state.Endpoints("", time.Now()) {
				if i.node.IsScheduler() && e.Running != 0 {
					return false
				}
			}
		}
		return true
	})
}

// A run that one instance has sent is known to every scheduler while it goes on.
func TestRunsAreKnownToAllSchedulers(t *testing.T) {
	f := largeFixture(t)
	asker := f.instances[f.other()]
	run, v := asker.placer.Place(t.Context(), balance.Query{Ask: balance.Ask{Service: "orders"}})
	if v.Admission != balance.Send || v.Placement.PlacedBy == "" {
		t.Fatalf("decision %+v", v)
	}
	running := func(want int) func() bool {
		return func() bool {
			for _, i := range f.instances {
				if i.node.IsScheduler() && i.state.Endpoints("orders", time.Now())[0].Running != want {
					return false
				}
			}
			return true
		}
	}
	f.eventually("the run counts at all schedulers", running(1))
	asker.placer.giveBack(run, v.Placement.PlacedBy)
	f.eventually("its end does too", running(0))
}

// All schedulers lose their power in the same moment. Until others have taken their
// places, each request waits for a decision that does not come. It may wait no longer than
// a tenth of a second, and has to be served all the same; once others have taken over,
// requests are placed by them.
func TestRequestsAreServedWhileAllSchedulersAreDead(t *testing.T) {
	f := largeFixture(t)
	n := f.other()
	f.callers[0] = f.callers[n]
	f.killSchedulers()
	from := time.Now()
	if a := f.do(prompt(f.request("POST", "/check/1", "x"))); a.status != 200 || a.cut {
		t.Errorf("status %d, cut %v", a.status, a.cut)
	}
	// A busy machine adds to what is waited for.
	if took := time.Since(from); took > askTries*askTimeout+time.Second {
		t.Errorf("served after %v", took)
	}
	f.eventually("others have taken over", func() bool { return len(f.instances[n].node.Schedulers()) == schedulersWanted })
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	f.eventually("requests are placed by them", func() bool {
		_, v := f.instances[n].placer.Place(ctx, balance.Query{Ask: balance.Ask{Service: "orders"}})
		return f.instances[n].node.IsScheduler() || v.Placement.PlacedBy != ""
	})
}

// A scheduler decides that a request is sent, and its decision is lost on the way. The
// request goes elsewhere, and what the scheduler counts for it must not stay: the
// endpoint would look busy for seconds while it idles.
func TestLostVerdictCountsNoWork(t *testing.T) {
	f := largeFixture(t)
	asker := f.instances[f.other()]
	to := asker.node.SchedulersFor(1)[0]
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := asker.placer.ask(ended, to, balance.Query{Run: 7, Ask: balance.Ask{Service: "orders"}}); ok {
		t.Fatal("a decision came to an ask that was over")
	}
	f.eventually("nothing counts at any scheduler", func() bool {
		for _, i := range f.instances {
			if i.node.IsScheduler() && i.state.Endpoints("orders", time.Now())[0].Running != 0 {
				return false
			}
		}
		return true
	})
}
