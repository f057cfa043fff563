package hosted

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

func ok(x *platformtest.Exchange) bool { x.Answer(200, "ok"); return true }

// oneEvent answers a model request with a stream of one event.
func oneEvent(x *platformtest.Exchange) bool {
	x.StreamHead()
	x.Event(1)
	x.End()
	return true
}

// An operator removes a key. An instance that misses the change would go on serving callers whom
// the operator has locked out.
func TestChangedRecordsAreInForceEverywhere(t *testing.T) {
	f := newFixture(t, 3)
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.serve(1, func(r map[string]any) {
		r["tenants"] = []any{map[string]any{"name": "tema", "apiKeys": []string{"other"}}}
	})
	for n := range f.instances {
		req := f.request("GET", "/stock/1", "")
		req.URL.Host = f.callers[n]
		if a := f.do(req); a.status != 401 {
			t.Errorf("instance %d: status %d for a removed key", n, a.status)
		}
	}
}

// A device between the instances and the store loses its connection state: all open connections,
// including the watches, stay open without any data. An instance that used them again for its reads
// would miss a removed key for seconds.
func TestUnresponsiveStoreConnectionsAreNotReused(t *testing.T) {
	f := newFixture(t, 2)
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.store.StallOpen()
	time.Sleep(platform.MaxIdleTime)
	began := time.Now()
	f.serve(1, nil)
	if took := time.Since(began); took > 1900*time.Millisecond {
		t.Errorf("records in force after %v", took)
	}
}

// New records have a route to a service that is not declared. Applied as they are, they would stop
// the service for all callers; the previous ones must stay in force.
func TestInvalidRecordsLeaveThePreviousOnesInForce(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.store.Put("config", "main", map[string]any{"version": 99, "routes": []any{platformtest.Route(deskHost, "x", "/x/", "safe", "lost", 1)}})
	time.Sleep(200 * time.Millisecond)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
}

// An endpoint states that it is leaving. Requests sent there afterwards would fail when it exits.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, 2)
	leaving := f.endpoint("e1", "orders", ok)
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.store.Put("servers", "e1", leaving.Entry("orders", "draining", nil))
	f.eventually("the endpoint draining at all instances", func() bool {
		for _, i := range f.instances {
			for _, v := range i.state.Endpoints("orders", time.Now()) {
				if v.ID == "e1" && !v.Draining {
					return false
				}
			}
		}
		return true
	})
	before := leaving.Served()
	for range 10 {
		if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if leaving.Served() != before {
		t.Errorf("%d requests after it began to drain", leaving.Served()-before)
	}
}

// The store refuses all calls for a while and loses its history. Requests must be served during the
// outage, and changes made in it must be found afterwards.
func TestChangesDuringAnOutageAreFoundAfterIt(t *testing.T) {
	f := newFixture(t, 2)
	f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.store.Refuse(503)
	f.endpoint("e2", "orders", ok)
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
		t.Errorf("status %d during the outage", a.status)
	}
	f.store.DropHistory()
	f.store.Refuse(0)
	f.serve(2, nil)
}

// A request that one instance sends must be counted by the other, so that both do not choose the
// same endpoint.
func TestInstancesCountEachOthersRequests(t *testing.T) {
	f := newFixture(t, 2)
	release := make(chan struct{})
	var busy atomic.Int64
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		busy.Add(1)
		<-release
		return ok(x)
	})
	f.serve(1, nil)
	f.eventually("the instances know each other", func() bool {
		return f.instances[0].node.Live() == 2 && f.instances[1].node.Live() == 2
	})
	done := make(chan answer)
	go func() { done <- f.do(f.request("POST", "/confirm/1", "x")) }()
	f.eventually("the request counted at the other instance", func() bool {
		list := f.instances[1].state.Endpoints("orders", time.Now())
		return len(list) == 1 && list[0].Running == 1
	})
	close(release)
	if a := <-done; a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	f.eventually("its end known at the other instance", func() bool {
		return f.instances[1].state.Endpoints("orders", time.Now())[0].Running == 0
	})
}

// An instance shuts down while it answers a stream and callers still arrive. The stream must be
// finished, and requests that arrive before the load balancer has noticed must be served.
func TestShutdownAbortsNoRequest(t *testing.T) {
	f := newFixture(t, 1)
	started, release := make(chan struct{}), make(chan struct{})
	f.endpoint("e1", "pool", func(x *platformtest.Exchange) bool {
		x.StreamHead()
		x.Event(1)
		close(started)
		<-release
		x.Event(2)
		x.End()
		return true
	})
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	done, ended := make(chan answer), make(chan struct{})
	go func() { done <- f.do(prompt(f.request("POST", "/draft/1", "p"))) }()
	<-started
	go func() {
		f.instances[0].Shutdown()
		close(ended)
	}()
	f.eventually("not ready", func() bool { return f.readyStatus(0) == 503 })
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
		t.Errorf("status %d for a request during the shutdown", a.status)
	}
	close(release)
	if a := <-done; a.truncated || a.body != events(2) {
		t.Errorf("stream %+v", a)
	}
	select {
	case <-ended:
	case <-time.After(2 * wait):
		t.Error("Shutdown does not return")
	}
}

// A device between a fleet and the store loses its connection state, and the watches of all
// instances receive nothing from then on. An endpoint leaves. Its state must be found within a
// bound that does not grow with the number of instances, since requests sent to it meanwhile fail.
func TestLeavingEndpointIsFoundWhenAllWatchesAreStalled(t *testing.T) {
	const instances, bound = 5, 1700 * time.Millisecond
	f := newFixture(t, instances)
	leaving := f.endpoint("e1", "orders", ok)
	f.endpoint("e2", "orders", ok)
	f.serve(2, nil)
	f.eventually("the instances know each other", func() bool {
		for _, i := range f.instances {
			if i.node.Live() != instances {
				return false
			}
		}
		return true
	})
	for round := range 3 {
		state := []string{"draining", "ready"}[round%2]
		f.store.StallOpen()
		f.store.Put("servers", "e1", leaving.Entry("orders", state, nil))
		from := time.Now()
		f.eventually("the endpoint's state known to all", func() bool {
			for _, i := range f.instances {
				for _, v := range i.state.Endpoints("orders", time.Now()) {
					if v.ID == "e1" && v.Draining != (state == "draining") {
						return false
					}
				}
			}
			return true
		})
		if took := time.Since(from); took > bound {
			t.Errorf("%s known to all after %v", state, took)
		}
	}
}
