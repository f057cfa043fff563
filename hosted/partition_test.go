package hosted

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// cutMode is what a partition does to connections.
type cutMode int

const (
	// cutNothing: connections work.
	cutNothing cutMode = iota
	// cutSilently drops what is sent either way; new connections hang.
	cutSilently
	// cutWithReset resets open connections and refuses new ones.
	cutWithReset
	// cutNew refuses new connections; open ones live on.
	cutNew
)

// partition stands between one instance and the endpoints.
type partition struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*cuttableConn]bool
	// only, if set, names the addresses that are cut.
	only map[string]bool
	// stalledUntil is when addresses that are stalled go on: until then what is read and written is
	// delayed, and new connections take as long.
	stalledUntil map[string]time.Time
}

// cuttableConn is a connection that a partition can cut.
type cuttableConn struct {
	*net.TCPConn
	partition *partition
	address   string
	closed    chan struct{}
	once      sync.Once
}

// partitioned makes the connections of an instance to endpoints cuttable. It has to be called before the
// instance serves.
func partitioned(i *Instance) *partition {
	p := &partition{conns: map[*cuttableConn]bool{}}
	i.relays.mu.Lock()
	defer i.relays.mu.Unlock()
	i.relays.dialer = p.dial
	return p
}

// cut changes what the partition does, to the given endpoints or to all.
func (p *partition) cut(mode cutMode, endpoints ...*platformtest.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.only = mode, nil
	for _, e := range endpoints {
		if p.only == nil {
			p.only = map[string]bool{}
		}
		p.only[e.Address()] = true
	}
	if mode == cutWithReset {
		p.resetLocked()
	}
}

// reset resets the connections that are open, and lets new ones be made.
func (p *partition) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

// resetLocked resets the open connections to the addresses that are cut, or all if none is named. The caller must hold mu.
func (p *partition) resetLocked() {
	for c := range p.conns {
		if p.only == nil || p.only[c.address] {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// stall has endpoints fall silent for d and then go on.
func (p *partition) stall(d time.Duration, endpoints ...*platformtest.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalledUntil = map[string]time.Time{}
	for _, e := range endpoints {
		p.stalledUntil[e.Address()] = time.Now().Add(d)
	}
}

// stallOf returns how much longer an address is stalled.
func (p *partition) stallOf(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.stalledUntil[address])
}

func (p *partition) modeTo(address string) cutMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.only != nil && !p.only[address] {
		return cutNothing
	}
	return p.mode
}

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.modeTo(address) {
	case cutSilently:
		timeout, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-timeout.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case cutWithReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if stall := p.stallOf(address); stall > 0 {
		timeout, cancel := context.WithTimeout(ctx, min(stall, dialTimeout))
		defer cancel()
		<-timeout.Done()
		if stall > dialTimeout || ctx.Err() != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
		}
	}
	nc, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{TCPConn: nc.(*net.TCPConn), partition: p, address: address, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// Read implements net.Conn. What arrives while the partition is silent is lost with all that follows.
func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if stall := c.partition.stallOf(c.address); stall > 0 {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(stall):
		}
	}
	if c.partition.modeTo(c.address) != cutSilently {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.partition.modeTo(c.address) == cutSilently {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *cuttableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.TCPConn.Close()
}

// contactTime is how long after a cut an instance may need to find out; then requests have to be served.
const contactTime = 3 * time.Second

// kindsOfRequests sends one request of each kind to an instance and returns their statuses by path.
func (f *fixture) kindsOfRequests(n int) map[string]int {
	statuses := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(path, body string, model bool) {
		wg.Go(func() {
			method := "POST"
			if body == "" {
				method = "GET"
			}
			req := f.request(method, path, body)
			if model {
				req = prompt(req)
			}
			a := f.sendTo(n, req)
			mu.Lock()
			defer mu.Unlock()
			if statuses[path] = a.status; a.truncated {
				statuses[path] = -1
			}
		})
	}
	send("/stock/1", "", false)
	send("/confirm/1", "x", false)
	send("/check/1", "y", true)
	send("/draft/1", "z", true)
	wg.Wait()
	return statuses
}

// cutFixture returns instances before plain endpoints and engines, the first of which can be cut off.
func cutFixture(t *testing.T, instances int) (f *fixture, p *partition, endpoints []*platformtest.Endpoint) {
	f = newFixture(t, instances)
	p = partitioned(f.instances[0])
	for _, id := range []string{"p1", "p2", "p3"} {
		endpoints = append(endpoints, f.endpoint(id, "orders", ok))
	}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		endpoints = append(endpoints, f.endpoint(id, "pool", stream(3)))
	}
	f.serve(len(endpoints), nil)
	f.awaitPeers()
	return f, p, endpoints
}

// expectServed sends requests of all kinds to an instance, several times, and expects all to be served.
func (f *fixture) expectServed(n int, when string) {
	f.t.Helper()
	const rounds = 5
	for range rounds {
		for path, status := range f.kindsOfRequests(n) {
			if status != 200 {
				f.t.Errorf("%s: %s got %d, want it served", when, path, status)
			}
		}
	}
}

// Guards against callers of an instance that has lost its path to all endpoints, who fail while callers of
// other instances are served.
func TestInstanceWithoutAWayToEndpointsServesItsCallers(t *testing.T) {
	for name, mode := range map[string]cutMode{"connections hang": cutSilently, "connections are reset": cutWithReset, "new connections are refused": cutNew} {
		t.Run(name, func(t *testing.T) {
			f, p, _ := cutFixture(t, 3)
			f.expectServed(0, "before")
			p.cut(mode)
			for until := time.Now().Add(contactTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				f.kindsOfRequests(0)
			}
			f.expectServed(0, "while it is cut off")
			p.cut(cutNothing)
			f.expectServed(0, "after it")
		})
	}
}

// Guards against callers of an instance that has lost its path to one service, or to most of its endpoints:
// the one that is left would have to run everything.
func TestInstanceWithoutAWayToSomeEndpointsServesItsCallers(t *testing.T) {
	for name, last := range map[string]int{"one service": 3, "all but one endpoint of a service": 2} {
		t.Run(name, func(t *testing.T) {
			f, p, endpoints := cutFixture(t, 3)
			p.cut(cutSilently, endpoints[:last]...)
			for until := time.Now().Add(contactTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				f.kindsOfRequests(0)
			}
			f.expectServed(0, "while it is cut off")
		})
	}
}

// Guards against what a partitioned instance sees of endpoints being believed by instances that reach them.
func TestPartitionedInstanceDoesNotHaveOthersAvoidEndpoints(t *testing.T) {
	f, p, _ := cutFixture(t, 2)
	f.expectServed(0, "before")
	f.expectServed(1, "before")
	p.cut(cutWithReset)
	suspected := 0
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.kindsOfRequests(0)
		f.kindsOfRequests(1)
		for _, e := range f.instances[1].state.Endpoints("", time.Now()) {
			if e.Suspected {
				suspected++
			}
		}
	}
	if suspected > 0 {
		t.Errorf("endpoints that answer were suspected %d times at an instance that reaches them", suspected)
	}
	if views := f.instances[1].guard.Views(time.Now()); len(views) > 0 {
		t.Errorf("requests suspected at an instance whose endpoints live: %v", views)
	}
}

// Guards against new weights that wait for as long as the instance is partitioned that gives the orders.
func TestRolloutGoesOnWhenItsHolderIsPartitioned(t *testing.T) {
	f := newFixture(t, 3)
	var cuts []*partition
	for _, i := range f.instances {
		cuts = append(cuts, partitioned(i))
	}
	engine := platformtest.NewEngine("m", 1, 20*time.Millisecond, func(int64) bool { return true })
	e := f.endpoint("e1", "pool", stream(3))
	e.HandleControl(engine.Control)
	f.store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	f.serve(1, nil)
	f.awaitPeers()
	holder := -1
	f.eventually("a holder of the lease", func() bool {
		holder = slices.IndexFunc(f.instances, func(i *Instance) bool { _, held := i.lease.Held(); return held })
		return holder >= 0
	})
	cuts[holder].cut(cutWithReset)
	f.eventually("the loss known", func() bool {
		f.sendTo(holder, prompt(f.request("POST", "/check/1", "x")))
		return len(f.instances[holder].paths.LostServices()) > 0
	})
	f.store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	f.eventually("the new weights loaded", func() bool { v, _ := engine.Version(); return v == 2 })
}

// Guards against requests that were running when an instance was partitioned, and that are mistaken for ones
// that crash endpoints: refused there for a minute, and run one at a time everywhere else.
func TestPartitionMakesNoRequestASuspect(t *testing.T) {
	const copies, rounds = 12, 3
	f := newFixture(t, 2)
	p := partitioned(f.instances[0])
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		f.endpoint(id, "orders", func(x *platformtest.Exchange) bool {
			time.Sleep(50 * time.Millisecond)
			x.Answer(200, "ok")
			return true
		})
	}
	f.serve(4, nil)
	f.awaitPeers()
	popular := func() *http.Request { return f.request("GET", "/stock/popular", "") }
	for range rounds {
		var wg sync.WaitGroup
		for k := range copies {
			wg.Go(func() { f.sendTo(0, popular()) })
			if k == copies/2 {
				time.Sleep(20 * time.Millisecond)
				p.cut(cutWithReset)
			}
		}
		wg.Wait()
		time.Sleep(2 * sweepInterval)
		for n, i := range f.instances {
			if views := i.guard.Views(time.Now()); len(views) > 0 {
				t.Errorf("instance %d: requests suspected though no endpoint crashed: %+v", n, views)
			}
		}
		p.cut(cutNothing)
		f.eventually("the ways back", func() bool { return len(f.instances[0].paths.Views(time.Now())) == 0 })
		for n := range f.instances {
			if a := f.sendTo(n, popular()); a.status != 200 {
				t.Errorf("instance %d: %+v, want it served", n, a)
			}
		}
	}
}
