package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/gateway"
	"github.com/sardinedock/sardinedock/gossip"
	"github.com/sardinedock/sardinedock/logline/logtest"
	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/reachability"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// forwardFixture returns instances before one endpoint of a service. The first instance is cut off from it,
// and knows so; peers can cut it off from the other instances.
func forwardFixture(t *testing.T, instances int, service string, handler func(*platformtest.Exchange) bool) (f *fixture, peers *partition) {
	t.Helper()
	f = newFixture(t, instances)
	endpoints := partitioned(f.instances[0])
	peers = &partition{conns: map[*cuttableConn]bool{}}
	f.instances[0].peerRelays.dialer = peers.dial
	f.endpoint("e1", service, handler)
	f.serve(1, nil)
	f.awaitPeers()
	endpoints.cut(cutWithReset)
	f.eventually("the loss known", func() bool {
		f.do(f.request("GET", "/stock/probe", ""))
		f.do(prompt(f.request("POST", "/check/probe", "")))
		return len(f.instances[0].paths.LostServices()) > 0
	})
	return f, peers
}

// Guards against a request that must run at most once and runs a second time through another instance,
// after the connection to the first one broke.
func TestForwardedRequestThatMustRunOnceIsNotForwardedAgain(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	f, peers := forwardFixture(t, 3, "orders", func(x *platformtest.Exchange) bool {
		if strings.HasPrefix(string(x.Request.URI().Path()), "/confirm/") {
			runs.Add(1)
			<-release
		}
		x.Answer(200, "done")
		return true
	})
	answers := make(chan answer)
	go func() { answers <- f.do(f.request("POST", "/confirm/1", "x")) }()
	f.eventually("the request at the endpoint", func() bool { return runs.Load() > 0 })
	peers.cut(cutWithReset)
	if a := <-answers; a.status != 502 {
		t.Errorf("%+v, want 502: it may have run", a)
	}
	close(release)
	time.Sleep(100 * time.Millisecond)
	if n := runs.Load(); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// Guards against a stream with gaps or repeated events when the instance dies through which it comes.
func TestStreamGoesOnThroughAnotherInstance(t *testing.T) {
	const events, first = 8, 3
	paused := make(chan struct{}, 8)
	var sends atomic.Int64
	f, peers := forwardFixture(t, 3, "pool", func(x *platformtest.Exchange) bool {
		if !strings.HasSuffix(string(x.Request.URI().Path()), "/long") {
			return oneEvent(x)
		}
		x.StreamHead()
		from, _ := strconv.Atoi(x.Header("Last-Event-Id"))
		for id := from + 1; id <= events; id++ {
			if x.Event(id); id == first && sends.Add(1) == 1 {
				paused <- struct{}{}
				_ = x.CallerClosed(wait)
				return false
			}
		}
		x.End()
		return true
	})
	answers := make(chan answer)
	go func() { answers <- f.do(prompt(f.request("POST", "/check/long", "p"))) }()
	<-paused
	time.Sleep(50 * time.Millisecond)
	peers.reset()
	want := ""
	for id := 1; id <= events; id++ {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
	}
	if a := <-answers; a.status != 200 || a.truncated || a.body != want {
		t.Errorf("%+v, want all %d events", a, events)
	}
}

// Guards against endpoints that work on for a caller who has left, behind the instance that its request was
// forwarded to.
func TestCallersDisconnectReachesTheEndpointThroughAnInstance(t *testing.T) {
	started, ended := make(chan struct{}, 8), make(chan time.Time, 8)
	f, _ := forwardFixture(t, 2, "pool", func(x *platformtest.Exchange) bool {
		if !strings.HasSuffix(string(x.Request.URI().Path()), "/long") {
			return oneEvent(x)
		}
		started <- struct{}{}
		if x.CallerClosed(wait) {
			ended <- time.Now()
		}
		return false
	})
	ctx, leave := context.WithCancel(t.Context())
	go f.do(prompt(f.request("POST", "/draft/long", "p")).WithContext(ctx))
	<-started
	left := time.Now()
	leave()
	select {
	case at := <-ended:
		if took := at.Sub(left); took > 500*time.Millisecond {
			t.Errorf("connection closed after %v", took)
		}
	case <-time.After(wait):
		t.Error("connection not closed")
	}
}

// Guards against callers who mark their requests as forwarded, and against others that reach the address for
// forwarded requests.
func TestForwardedRequestsAreTakenFromInstancesOnly(t *testing.T) {
	f := newFixture(t, 1)
	seen := make(chan string, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		seen <- x.Header(gateway.HeaderForward)
		x.Answer(200, "done")
		return true
	})
	f.serve(1, nil)
	req := f.request("GET", "/stock/1", "")
	req.Header.Set(gateway.HeaderForward, "99,1,another")
	if a := f.do(req); a.status != 200 {
		t.Errorf("%+v, want it served as any other", a)
	}
	if mark := <-seen; mark != "" {
		t.Errorf("the endpoint got the mark %q", mark)
	}
	conn, err := net.Dial("tcp4", f.instances[0].settings.GetListen().GetGossip())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /stock/1 HTTP/1.1\r\nHost: %s\r\nSardinedock-Request-Id: x\r\n%s: 1,1,another\r\n\r\n", deskHost, gateway.HeaderForward)
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	if got, _ := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("answered %q to somebody who is no instance", got)
	}
}

// Guards against requests that go around between instances none of which reaches an endpoint, while their
// callers wait.
func TestRequestIsRefusedAtOnceWhereNoInstanceReachesAnEndpoint(t *testing.T) {
	f := newFixture(t, 2)
	cuts := []*partition{partitioned(f.instances[0]), partitioned(f.instances[1])}
	e := f.endpoint("e1", "orders", ok)
	f.serve(1, nil)
	f.awaitPeers()
	for _, p := range cuts {
		p.cut(cutWithReset)
	}
	f.eventually("the loss known to both", func() bool {
		lost := 0
		for n, i := range f.instances {
			f.sendTo(n, f.request("GET", "/stock/1", ""))
			lost += len(i.paths.LostServices())
		}
		return lost == 2
	})
	time.Sleep(50 * time.Millisecond)
	before := e.Served()
	for n := range f.instances {
		began := time.Now()
		a := f.sendTo(n, f.request("POST", "/confirm/1", "x"))
		if took := time.Since(began); a.status != 503 || took > 200*time.Millisecond {
			t.Errorf("instance %d: %+v after %v, want it refused at once", n, a, took)
		}
	}
	if n := e.Served() - before; n > 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Guards against a caller who is informed that its request has not run, by the instance that it was forwarded to,
// although it has run before it was forwarded.
func TestForwardedRequestThatHasRunIsNotAnsweredAsNotRun(t *testing.T) {
	f := newFixture(t, 2)
	cut := partitioned(f.instances[0])
	var runs atomic.Int64
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		if runs.Add(1) == 1 {
			cut.cut(cutWithReset)
			return false
		}
		x.Reject(503)
		return true
	})
	f.serve(1, nil)
	f.awaitPeers()
	if a := f.do(f.request("GET", "/stock/1", "")); a.status != 502 {
		t.Errorf("%+v, want 502: it may have run", a)
	}
	if runs.Load() < 2 {
		t.Error("it was not forwarded")
	}
}

// Guards against a retry that nobody has charged to the fleet's limit: an endpoint rejected the forwarded request, the limit
// refused another send, and as the instance had lost its paths meanwhile, the first one sent the request again.
func TestForwardedRequestThatWasRejectedIsNotSentAgainUncharged(t *testing.T) {
	f := newFixtureWith(t, 2, 0)
	near := partitioned(f.instances[0])
	var arrivals atomic.Int64
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool {
		if !strings.HasSuffix(string(x.Request.URI().Path()), "/once") {
			return ok(x)
		}
		if arrivals.Add(1) == 1 {
			near.cut(cutNothing)
			now := time.Now()
			f.instances[0].paths.Received(now, "e1", now)
			f.instances[1].paths.Lost(now, "e1", reachability.NoConnections)
		}
		x.Reject(503)
		return true
	})
	f.serve(1, nil)
	f.awaitPeers()
	near.cut(cutWithReset)
	f.eventually("the loss known", func() bool {
		f.do(f.request("GET", "/stock/probe", ""))
		return len(f.instances[0].paths.LostServices()) > 0
	})
	if a := f.do(f.request("GET", "/stock/once", "")); a.status != 503 {
		t.Errorf("%+v, want 503: it has not run", a)
	}
	if n := arrivals.Load(); n != 1 {
		t.Errorf("it reached endpoints %d times without a retry", n)
	}
}

// Guards against a forwarded request that is rejected by the only endpoint, and whose refusal by the other instance counts as
// ambiguous, since it comes on a kept connection and names no request.
func TestRefusalsOfForwardedRequestsNameThem(t *testing.T) {
	f := newFixture(t, 2)
	cut := partitioned(f.instances[0])
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Reject(503); return true })
	f.serve(1, nil)
	f.awaitPeers()
	cut.cut(cutWithReset)
	for n := range 4 {
		if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != 503 {
			t.Errorf("request %d: %+v, want 503: it has not run", n, a)
		}
	}
}

// Guards against an organisation that is charged at both instances for one request.
func TestForwardedRequestIsChargedOnce(t *testing.T) {
	f := newFixture(t, 2)
	cut := partitioned(f.instances[0])
	f.endpoint("e1", "orders", ok)
	f.serve(1, withQuota(map[string]any{"ratePerS": 2000, "burst": 6000}))
	f.awaitPeers()
	time.Sleep(usageExchange)
	cut.cut(cutWithReset)
	const calls, cost = 5, 100
	for range calls {
		if a := f.do(f.request("GET", "/stock/1", "")); a.status != 200 {
			t.Fatalf("%+v, want it served", a)
		}
	}
	charged := func() (n int64) {
		for _, i := range f.instances {
			for _, v := range i.quotas.Views(time.Now()) {
				n += v.Passed
			}
		}
		return n
	}
	f.eventually("each call charged once", func() bool { return charged() == calls*cost })
}

// Guards against lines that do not state through which instance a request went.
func TestLogLinesNameBothInstancesOfAForwardedRequest(t *testing.T) {
	lines := logtest.Record(t)
	f, _ := forwardFixture(t, 2, "orders", ok)
	req := f.request("GET", "/stock/named", "")
	id := req.Header.Get("Sardinedock-Request-Id")
	f.do(req)
	for field, want := range map[string]string{"forwarded_to": "instance-1", "forwarded_for": "instance-0"} {
		f.eventually(field, func() bool {
			return lines.Any("request", func(l log.Fields) bool { return l["request"] == id && l[field] == want })
		})
	}
}

// Guards against a herd on the only other instance of a data centre, and against instances that were tried
// or could not be reached.
func TestChoiceOfForwarder(t *testing.T) {
	now := time.Now()
	peer := func(name, dataCentre string) gossip.Peer { return gossip.Peer{Name: name, DataCentre: dataCentre} }
	candidates := func() []gossip.Peer { return []gossip.Peer{peer("a1", "a"), peer("a2", "a"), peer("b1", "b")} }
	f := newForwarders("a")
	for range 40 {
		if p, _ := f.choose(now, candidates(), nil); p.DataCentre != "a" {
			t.Fatalf("%v chosen while two of the own data centre are available", p)
		}
	}
	if a1, a2 := f.open["a1"], f.open["a2"]; a1 < 10 || a2 < 10 {
		t.Errorf("%d and %d of 40 requests", a1, a2)
	}
	f = newForwarders("a")
	for range 40 {
		f.choose(now, candidates(), []string{"a2"})
	}
	if n := f.open["b1"]; n < 10 {
		t.Errorf("%d of 40 requests go to the other data centre, where the own has a single instance", n)
	}
	f.failed(now, "b1")
	f.failed(now, "a1")
	if p, ok := f.choose(now, candidates(), []string{"a2"}); ok {
		t.Errorf("%v chosen, which could not be reached", p)
	}
	if _, ok := f.choose(now.Add(2*forwarderAvoidance), candidates(), []string{"a2"}); !ok {
		t.Error("instances are avoided for good")
	}
}

// Guards against an instance that can't bind the address for forwarded requests and serves nobody.
func TestForwardingAddressIsTheOneOfTheDatagrams(t *testing.T) {
	f := newFixture(t, 0)
	var gossipAddress string
	i := f.startWith("instance-0", func(l *settingspb.HostedListen) { gossipAddress = l.GetGossip() })
	if got := i.listeners[2].Addr().String(); got != gossipAddress {
		t.Errorf("forwarded requests are served at %s, datagrams at %s", got, gossipAddress)
	}
}
