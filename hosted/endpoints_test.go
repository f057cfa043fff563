package hosted

import (
	"encoding/json"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/balance"
	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// entryOf returns the entry of an endpoint that started at born.
func entryOf(t *testing.T, revision objectapi.Version, address, service string, born int64) objectapi.Object {
	t.Helper()
	entry := platformtest.EntryAt(address, service, "ready", nil)
	if born > 0 {
		entry["born"] = born
	}
	value, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return objectapi.Object{Name: "e", Version: revision, Value: value}
}

// An endpoint restarts under its name, and an entry of its previous incarnation is written late. If
// it were applied, requests would be placed by the counts and caches of a process that has ended.
func TestEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	var l entries
	l.applyChange(entryOf(t, 1, "10.0.0.1:80", "pool", 1000))
	u := l.applyChange(entryOf(t, 2, "10.0.0.1:80", "pool", 2000))
	if !u.hadPrev || !u.hasNow || u.prev.ID == u.now.ID {
		t.Fatalf("entry of the later incarnation: update %+v", u)
	}
	later := u.now.ID
	if u := l.applyChange(entryOf(t, 3, "10.0.0.1:80", "pool", 1000)); !u.hasNow || u.now.ID != later {
		t.Errorf("late entry of the earlier incarnation: update %+v", u)
	}
	if all := l.all(); len(all) != 1 || all[0].ID != later {
		t.Errorf("listed: %+v", all)
	}
	if u := l.applyChange(entryOf(t, 4, "10.0.0.1:80", "pool", 0)); u.hasNow {
		t.Errorf("entry without a start time: update %+v", u.now)
	}
	if u := l.applyChange(entryOf(t, 5, "10.0.0.1:80", "pool", 2000)); !u.hasNow || u.now.ID != later {
		t.Errorf("endpoint's own entry afterwards: update %+v", u)
	}
}

// An endpoint's entry is overwritten with another service or another address. A request sent there
// would run at a service that its route does not name.
func TestContradictoryEntryIsNotUsed(t *testing.T) {
	for _, other := range []objectapi.Object{entryOf(t, 2, "10.0.0.1:80", "orders", 1000), entryOf(t, 2, "10.0.0.9:80", "pool", 1000)} {
		var l entries
		l.applyChange(entryOf(t, 1, "10.0.0.1:80", "pool", 1000))
		if u := l.applyChange(other); u.hasNow || !u.hadPrev {
			t.Errorf("%s: update %+v", other.Value, u)
		}
		if u := l.applyChange(entryOf(t, 3, "10.0.0.1:80", "pool", 1000)); !u.hasNow {
			t.Error("the endpoint's own entry afterwards is not used")
		}
	}
}

// An endpoint loses power and is back under its name within a second, before the connections to it
// break. A booking that was running there is lost; its caller must get an error at once instead of
// waiting for an answer that can't come. The next one is served.
func TestRequestFailsWhenItsEndpointRestarts(t *testing.T) {
	f := newFixture(t, 1)
	var second atomic.Bool
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	e := f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		if second.Load() {
			x.Answer(200, "done")
			return true
		}
		<-release
		return false
	})
	entry := e.Entry("orders", "ready", nil)
	entry["born"] = 1700000000000
	f.store.Put("servers", "e1", entry)
	f.serve(1, nil)
	f.eventually("the first start", func() bool { return f.instances[0].state.Endpoints("orders", time.Now())[0].Born > 0 })
	answers := make(chan answer, 1)
	began := time.Now()
	go func() { answers <- f.do(f.request("POST", "/confirm/1", "x")) }()
	f.eventually("the request at the endpoint", func() bool { return e.Served() > 0 })
	second.Store(true)
	entry["born"] = 1700000001000
	f.store.Put("servers", "e1", entry)
	a := <-answers
	if a.status != 502 || time.Since(began) > 2*time.Second {
		t.Errorf("status %d after %v", a.status, time.Since(began))
	}
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 200 || a.body != "done" {
		t.Errorf("the next request: %+v", a)
	}
}

// After an outage of the store, all 140 endpoints of a pool are listed again. With a log line for
// each at each of hundreds of instances, the lines of callers' requests would be lost among them,
// or not be written in time.
func TestLogLinesOfManyChangesAreBounded(t *testing.T) {
	lines := logtest.Record(t)
	var l changeLog
	now := time.Unix(1000, 0)
	const endpoints = 140
	for n := range endpoints {
		l.add(now.Add(time.Duration(n)*time.Millisecond), update{now: balance.Endpoint{ID: strconv.Itoa(n)}, hasNow: true})
	}
	l.flush(now.Add(2 * changeWindow))
	all := lines.All()
	if n := len(all); n != detailedChanges+1 {
		t.Fatalf("%d lines, want %d", n, detailedChanges+1)
	}
	if got := all[detailedChanges].Fields["new"]; got != endpoints-detailedChanges {
		t.Errorf("the last line counts %v of the others, want %d", got, endpoints-detailedChanges)
	}
}
