package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/settings"
)

// startPeer starts one instance that has the others as seeds.
func startPeer(tb testing.TB, objectAPI string, name string, seeds ...*Instance) *Instance {
	tb.Helper()
	i, err := newPeer(objectAPI, name, seeds)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = i.Stop(context.Background()) })
	return i
}

func newPeer(objectAPI string, name string, seeds []*Instance) (*Instance, error) {
	list := ""
	for _, s := range seeds {
		list += fmt.Sprintf("%q, ", s.Fleet())
	}
	s, faults := settings.Parse(fmt.Appendf(nil, "fleet: test\ninstance: %s\ndata_centre: accra-1\nplatform: {address: %q}\nseeds: [%s]\n"+
		"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: \"127.0.0.1:0\"}\n", name, objectAPI, list))
	if len(faults) > 0 {
		return nil, errors.New(settings.Lines(name, faults))
	}
	return Start(context.Background(), s)
}

// unusedAddr returns an address without a listener.
func unusedAddr(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// An instance is replaced during an outage of the object API. It must serve its first request
// with the records of its peers and not wait for the end of the outage.
func TestStartFromPeersWithTheObjectAPIDown(t *testing.T) {
	store := startObjectAPI(t)
	first := startPeer(t, store.Addr(), "entry-1")
	awaitClass([]*Instance{first}, 1)
	store.SetFaults(emulator.StoreFaults{Outage: emulator.OutageRefuse})
	second := startPeer(t, store.Addr(), "entry-2", first)
	if status, _ := modelsStatus(t, second); status != fasthttp.StatusOK {
		t.Fatalf("the first request got status %d", status)
	}
}

// Half of the instances cannot reach the object API. An operator's change has to come into force
// there too, received from the others.
func TestRecordChangeReachesInstancesWithoutObjectAPI(t *testing.T) {
	store := startObjectAPI(t)
	away := unusedAddr(t)
	var all []*Instance
	for k := range 8 {
		address := store.Addr()
		if k%2 == 1 {
			address = away
		}
		all = append(all, startPeer(t, address, fmt.Sprint("entry-", k), all...))
	}
	awaitClass(all, 1)
	setClass(t, store, 2)
	awaitClass(all, 2)
}

// All instances restart at once, as after a bad release. None may wait for a peer that is not
// running either.
func TestAllInstancesRestartAtOnce(t *testing.T) {
	store := startObjectAPI(t)
	var before []*Instance
	for k := range 4 {
		before = append(before, startPeer(t, store.Addr(), fmt.Sprint("entry-", k), before...))
	}
	for _, i := range before {
		i.Kill()
	}
	after := make([]*Instance, len(before))
	var wg sync.WaitGroup
	for k := range after {
		wg.Go(func() {
			i, err := newPeer(store.Addr(), fmt.Sprint("entry-", k), before)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = i.Stop(context.Background()) })
			after[k] = i
		})
	}
	wg.Wait()
	if t.Failed() {
		t.FailNow()
	}
	awaitClass(after, 1)
	for _, i := range after {
		if status, _ := modelsStatus(t, i); status != fasthttp.StatusOK {
			t.Fatalf("status %d after the restart", status)
		}
	}
}

// All instances are killed at once while the object API is down. One of them starts when no peer
// has all records and receives them later, one by one, from a peer that has. Its state dump
// shows them with a newest version and none in force ("complete": false). If that lasted as long
// as the outage, it would refuse all its callers, and the endpoints that it should own would be
// monitored by no instance, so that one that is leaving gets new work for seconds.
func TestStartBeforePeersPullsRecordsLater(t *testing.T) {
	store := startObjectAPI(t)
	at := unusedAddr(t)
	early := startAt(t, unusedAddr(t), "entry-1", "127.0.0.1:0", at)
	if status, _ := modelsStatus(t, early); status == fasthttp.StatusOK {
		t.Fatal("the instance serves without records")
	}
	startAt(t, store.Addr(), "entry-2", at, early.Fleet())
	const within = 5 * time.Second
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if status, _ := modelsStatus(t, early); status == fasthttp.StatusOK {
			return
		}
	}
	t.Errorf("no records in force %v after a peer has all of them: %+v", within, early.keeper.Dump())
}

// startAt starts an instance whose listener for peers has the given address.
func startAt(tb testing.TB, objectAPI, name, at, seed string) *Instance {
	tb.Helper()
	s, faults := settings.Parse(fmt.Appendf(nil, "fleet: test\ninstance: %s\ndata_centre: accra-1\nplatform: {address: %q}\nseeds: [%q]\n"+
		"listen: {callers: \"127.0.0.1:0\", admin: \"127.0.0.1:0\", fleet: %q}\n", name, objectAPI, seed, at))
	if len(faults) > 0 {
		tb.Fatal(settings.Lines(name, faults))
	}
	i, err := Start(context.Background(), s)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = i.Stop(context.Background()) })
	return i
}
