package placement_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/fleet/exchange"
	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// fleet is a set of placers that call each other directly, with fault injection.
type fleet struct {
	ctx       context.Context
	cancel    context.CancelFunc
	placers   []*placement.Fleet
	servers   []*placement.OwnerServer
	handOvers []*placement.HandOvers

	mu           sync.Mutex
	unresponsive map[string]bool // instances that do not answer
	lostAsks     int             // number of replies to asks still to be lost
	asks         int
	versions     map[exchange.Key]uint64
}

func instanceName(i int) string { return fmt.Sprintf("entry-%d", i) }

func newFleet(n, slots int, endpoints int) *fleet {
	f := &fleet{unresponsive: map[string]bool{}, versions: map[exchange.Key]uint64{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range n {
		h := placement.NewHandOvers()
		s := placement.NewOwnerServer(placement.OwnerServerConfig{
			Self: instanceName(i), Clock: clock.System{}, FirstGrantID: uint64(i+1) << 32, HandOver: h.Enqueue,
			Lost: func(endpoint string, incarnation uint64, lost []placement.Fingerprint) {
				f.placers[i].Lost(endpoint, incarnation, lost)
			},
		})
		p := placement.NewFleet(placement.FleetConfig{
			Caller: &fleetpb.Caller{Fleet: "test", Instance: instanceName(i)},
			Clock:  clock.System{}, Peers: f, OwnerServer: s, Publish: f.publish,
		})
		f.servers, f.placers, f.handOvers = append(f.servers, s), append(f.placers, p), append(f.handOvers, h)
	}
	for i := range n {
		go f.servers[i].Run(f.ctx)
		go f.placers[i].Run(f.ctx)
		go f.handOvers[i].Run(f.ctx, f.placers[i])
		f.placers[i].SetView(f.ctx, f.view(i, n))
		f.placers[i].SetRecords(f.ctx, snapshot(slots, endpoints))
	}
	return f
}

// view returns the members as instance i sees them; those from index left on are leaving.
func (f *fleet) view(i, left int) *member.View {
	return f.viewBy(i, func(k int) bool { return k >= left })
}

func (f *fleet) viewWithout(i, left int) *member.View {
	return f.viewBy(i, func(k int) bool { return k == left })
}

func (f *fleet) viewBy(i int, leaving func(int) bool) *member.View {
	v := &member.View{Self: instanceName(i)}
	for k := range f.placers {
		m := member.Member{Name: instanceName(k), Address: instanceName(k), Status: fleetpb.MemberStatus_MEMBER_STATUS_ALIVE}
		if leaving(k) {
			m.Status = fleetpb.MemberStatus_MEMBER_STATUS_LEAVING
		} else {
			v.Owners = append(v.Owners, m.Name)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func (f *fleet) publish(_ context.Context, key exchange.Key, value []byte, ttl time.Duration) error {
	f.mu.Lock()
	f.versions[key]++
	it := exchange.Item{Key: key, Version: f.versions[key], Value: value, TTL: ttl}
	f.mu.Unlock()
	for _, p := range f.placers {
		p.HandleItems([]exchange.Item{it})
	}
	return nil
}

var errNoAnswer = errors.New("no answer")

// reach returns the placer at an address. For an unresponsive instance it blocks until the
// timeout and fails.
func (f *fleet) reach(ctx context.Context, address string, bound time.Duration) (*placement.Fleet, error) {
	f.mu.Lock()
	unresponsive := f.unresponsive[address]
	f.mu.Unlock()
	if unresponsive {
		select {
		case <-time.After(bound):
		case <-ctx.Done():
		}
		return nil, errNoAnswer
	}
	for i, p := range f.placers {
		if instanceName(i) == address {
			return p, nil
		}
	}
	return nil, errNoAnswer
}

func (f *fleet) Ask(ctx context.Context, address string, bound time.Duration, in *fleetpb.AskRequest) (*fleetpb.AskReply, error) {
	p, err := f.reach(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	reply, err := p.Ask(ctx, in)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks++
	if f.lostAsks > 0 {
		f.lostAsks--
		return nil, errNoAnswer
	}
	return reply, err
}

func (f *fleet) Report(ctx context.Context, address string, bound time.Duration, in *fleetpb.ReportRequest) (*fleetpb.ReportReply, error) {
	p, err := f.reach(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	return p.Report(ctx, in)
}

func (f *fleet) Warn(ctx context.Context, address string, bound time.Duration, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	p, err := f.reach(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	return p.Warn(ctx, in)
}

func (f *fleet) HandOver(ctx context.Context, address string, bound time.Duration, in *fleetpb.HandOverRequest) (*fleetpb.HandOverReply, error) {
	p, err := f.reach(ctx, address, bound)
	if err != nil {
		return nil, err
	}
	return p.HandOver(ctx, in)
}

func (f *fleet) set(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func pool(slots, endpoints int) *recordspb.EndpointPool {
	p := &recordspb.EndpointPool{Slots: int64(slots), BlockTokens: 64, CacheBlocks: 1024, PrefillTokensPerSecond: 20000}
	for i := range endpoints {
		p.Endpoints = append(p.Endpoints, &recordspb.Endpoint{Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return p
}

func snapshot(slots, endpoints int) *record.Snapshot {
	return record.NewSnapshot(1, []*recordspb.Record{
		{SchemaVersion: 1, Name: "engines", Spec: &recordspb.Record_Pool{Pool: pool(slots, endpoints)}},
		{SchemaVersion: 1, Name: "limited", Spec: &recordspb.Record_Organisation{Organisation: &recordspb.Organisation{Weight: 1, InFlight: 4}}},
	})
}

func request(id string) placement.Request {
	return placement.Request{
		ID: id, Organisation: "accra", PoolName: "engines", Model: "counter", Version: "1", PromptTokens: 100, MaxTokens: 10,
		Class:       &recordspb.RequestClass{MaxWaitMs: 20000, TimeoutMs: 60000},
		Fingerprint: [16]byte{1},
	}
}

// ownerOf returns the index of the instance that owns the endpoint.
func (f *fleet) ownerOf(endpoint string) int {
	for i, p := range f.placers {
		for _, name := range p.Owned() {
			if name == endpoint {
				return i
			}
		}
	}
	return -1
}

func inFleet(t *testing.T, n, slots, endpoints int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(n, slots, endpoints)
		defer f.cancel()
		test(t, f)
	})
}

func (f *fleet) mustPlace(t *testing.T, i int, r placement.Request) placement.Grant {
	t.Helper()
	g, err := f.placers[i].Place(f.ctx, r)
	if err != nil {
		t.Fatalf("%s at %s: %v", r.ID, instanceName(i), err)
	}
	return g
}

func TestInstancesChooseTheSameEndpoint(t *testing.T) {
	inFleet(t, 3, 16, 9, func(t *testing.T, f *fleet) {
		first := f.mustPlace(t, 0, request("a"))
		for i := range 3 {
			g := f.mustPlace(t, i, request(fmt.Sprint("b", i)))
			if g.Endpoint != first.Endpoint || g.ID == 0 || g.Owner != first.Owner {
				t.Fatalf("%s placed on %s by %s, want %s by %s", instanceName(i), g.Endpoint, g.Owner, first.Endpoint, first.Owner)
			}
		}
	})
}

// A request of another instance is queued at the owner of the only endpoint, which is full.
// It must start as soon as the slot is free, not at the next poll.
func TestQueuedRequestStartsWhenASlotIsFree(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, f *fleet) {
		held := f.mustPlace(t, 0, request("a"))
		begin := time.Now()
		go func() {
			time.Sleep(700 * time.Millisecond)
			f.placers[0].Done(held, placement.Result{End: placement.EndDone})
		}()
		f.mustPlace(t, 1, request("b"))
		if took := time.Since(begin); took < 700*time.Millisecond || took > 750*time.Millisecond {
			t.Fatalf("started after %v", took)
		}
	})
}

// Guards against waiting for an unreachable owner: callers would get each first token late
// or time out.
func TestUnresponsiveOwnerDoesNotDelayRequests(t *testing.T) {
	inFleet(t, 3, 16, 1, func(t *testing.T, f *fleet) {
		owner := f.ownerOf("engine-0")
		caller := (owner + 1) % 3
		f.set(func() { f.unresponsive[instanceName(owner)] = true })
		var slow int
		for i := range 20 {
			begin := time.Now()
			g := f.mustPlace(t, caller, request(fmt.Sprint(i)))
			if g.ID != 0 {
				t.Fatal("got a grant from an unresponsive owner")
			}
			if took := time.Since(begin); took > 20*time.Millisecond {
				t.Fatalf("placed after %v", took)
			} else if took > 0 {
				slow++
			}
			f.placers[caller].Done(g, placement.Result{End: placement.EndDone})
		}
		if slow != 1 {
			t.Fatalf("%d of 20 requests waited for the unresponsive owner, want 1", slow)
		}
	})
}

// The reply to an ask is lost after the owner has granted a slot. If the slot were not
// released, each lost reply would cost the endpoint a slot for as long as a request may
// run.
func TestSlotOfLostReplyIsReleased(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, f *fleet) {
		caller := (f.ownerOf("engine-0") + 1) % 3
		f.set(func() { f.lostAsks = 1 })
		g := f.mustPlace(t, caller, request("a"))
		if g.ID != 0 {
			t.Fatal("got a grant whose reply was lost")
		}
		f.placers[caller].Done(g, placement.Result{End: placement.EndDone})
		time.Sleep(time.Second)
		begin := time.Now()
		if g := f.mustPlace(t, caller, request("b")); g.ID == 0 {
			t.Fatal("the owner was not asked")
		}
		if took := time.Since(begin); took > 0 {
			t.Fatalf("the slot was free after %v", took)
		}
	})
}

// A caller disconnects while its request is queued. The next free slot must go to another
// request.
func TestDisconnectedCallerTakesNoSlot(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, f *fleet) {
		caller := (f.ownerOf("engine-0") + 1) % 3
		held := f.mustPlace(t, caller, request("a"))
		ctx, cancel := context.WithCancel(f.ctx)
		go func() {
			time.Sleep(600 * time.Millisecond)
			cancel()
		}()
		if _, err := f.placers[caller].Place(ctx, request("b")); err == nil {
			t.Fatal("placed a request whose caller disconnected")
		}
		f.placers[caller].Done(held, placement.Result{End: placement.EndDone})
		time.Sleep(3 * time.Second)
		begin := time.Now()
		f.mustPlace(t, caller, request("c"))
		if took := time.Since(begin); took > 0 {
			t.Fatalf("waited %v for a free slot", took)
		}
	})
}

// Under overload, a request that cannot start in time must be refused at once, with a time
// to retry after.
func TestOverloadIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, f *fleet) {
		f.mustPlace(t, 0, request("a"))
		r := request("b")
		r.Class = &recordspb.RequestClass{MaxWaitMs: 100, TimeoutMs: 60000}
		begin := time.Now()
		_, err := f.placers[1].Place(f.ctx, r)
		if !fault.Is(err, fault.Overloaded) || fault.RetryAfter(err) <= 0 {
			t.Fatalf("got %v, retry after %v", err, fault.RetryAfter(err))
		}
		if took := time.Since(begin); took > 0 {
			t.Fatalf("refused after %v", took)
		}
	})
}

// A request crashes each endpoint that runs it, and its caller sends it again through other
// instances. After the second crash all instances must refuse it, or it crashes one
// endpoint after the other.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	inFleet(t, 3, 16, 9, func(t *testing.T, f *fleet) {
		for i := range 2 {
			g := f.mustPlace(t, i, request(fmt.Sprint(i)))
			if want := i == 1; g.Alone != want {
				t.Fatalf("request %d placed with alone %v", i, g.Alone)
			}
			f.placers[i].Done(g, placement.Result{End: placement.EndCrashed, Incarnation: uint64(7 + i)})
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 3 {
			if _, err := f.placers[i].Place(f.ctx, request(fmt.Sprint("again", i))); !fault.Is(err, fault.Suspect) {
				t.Fatalf("%s: got %v", instanceName(i), err)
			}
		}
		other := request("other")
		other.Fingerprint = [16]byte{2}
		if g := f.mustPlace(t, 2, other); g.Alone {
			t.Fatal("a request with another fingerprint is suspected")
		}
	})
}

// An endpoint reports to its owner that it is leaving. Requests that other instances still
// sent there would be aborted.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	inFleet(t, 3, 16, 2, func(t *testing.T, f *fleet) {
		leaving := f.mustPlace(t, 0, request("a")).Endpoint
		f.placers[f.ownerOf(leaving)].PublishEndpointState(f.ctx, leaving, &fleetpb.EndpointState{
			Status: fleetpb.EndpointStatus_ENDPOINT_STATUS_LEAVING, Incarnation: 1,
		})
		time.Sleep(100 * time.Millisecond)
		for i := range 3 {
			if g := f.mustPlace(t, i, request(fmt.Sprint("b", i))); g.Endpoint == leaving {
				t.Fatalf("%s placed on the leaving endpoint", instanceName(i))
			}
		}
	})
}

// The owner of a full endpoint is replaced while requests run. If the next owner did not
// know of them, it would grant the same slots again.
func TestLeavingOwnerHandsOverGrants(t *testing.T) {
	inFleet(t, 3, 2, 9, func(t *testing.T, f *fleet) {
		endpoint := f.placers[2].Owned()[0]
		var only []string
		for i := range 9 {
			if name := fmt.Sprintf("engine-%d", i); name != endpoint {
				only = append(only, name)
			}
		}
		on := func(id string) placement.Request {
			r := request(id)
			r.Exclude = only
			r.Class = &recordspb.RequestClass{MaxWaitMs: 100, TimeoutMs: 60000}
			return r
		}
		first := f.mustPlace(t, 0, on("a"))
		f.mustPlace(t, 1, on("b"))
		for i := range 3 {
			f.placers[i].SetView(f.ctx, f.view(i, 2))
		}
		f.handOvers[2].Wait(f.ctx)
		time.Sleep(100 * time.Millisecond)
		if _, err := f.placers[0].Place(f.ctx, on("c")); !fault.Is(err, fault.Overloaded) {
			t.Fatalf("the next owner granted a slot that is in use: %v", err)
		}
		f.placers[0].Done(first, placement.Result{End: placement.EndDone})
		time.Sleep(100 * time.Millisecond)
		if g := f.mustPlace(t, 0, on("d")); g.Owner == instanceName(2) || g.ID == 0 {
			t.Fatalf("placed by %q", g.Owner)
		}
	})
}

// The owner of the only endpoint leaves while a request is queued there. The request must
// be placed through the next owner, not refused.
func TestQueuedRequestMovesToTheNextOwner(t *testing.T) {
	inFleet(t, 3, 1, 1, func(t *testing.T, f *fleet) {
		old := f.ownerOf("engine-0")
		caller := (old + 1) % 3
		held := f.mustPlace(t, caller, request("a"))
		go func() {
			time.Sleep(time.Second)
			for i := range 3 {
				f.placers[i].SetView(f.ctx, f.viewWithout(i, old))
			}
			time.Sleep(time.Second)
			f.placers[caller].Done(held, placement.Result{End: placement.EndDone})
		}()
		begin := time.Now()
		g := f.mustPlace(t, caller, request("b"))
		if took := time.Since(begin); took < 2*time.Second || took > 2100*time.Millisecond {
			t.Fatalf("started after %v", took)
		}
		if g.ID == 0 || g.Owner == instanceName(old) {
			t.Fatalf("placed by %q", g.Owner)
		}
	})
}

// An organisation exceeds its limit through all instances at once. Each instance alone sees
// too few of its requests to notice.
func TestOrganisationLimitIsEnforcedAcrossInstances(t *testing.T) {
	inFleet(t, 3, 16, 9, func(t *testing.T, f *fleet) {
		time.Sleep(3 * time.Second)
		open := 0
		for round := range 6 {
			for i := range 3 {
				r := request(fmt.Sprint(round, "-", i))
				r.Organisation = "limited"
				if _, err := f.placers[i].Place(f.ctx, r); err == nil {
					open++
				} else if !fault.Is(err, fault.LimitExceeded) || fault.RetryAfter(err) <= 0 {
					t.Fatal(err)
				}
			}
			time.Sleep(1100 * time.Millisecond)
		}
		if open < 3 || open > 6 {
			t.Fatalf("%d requests are open with a limit of 4", open)
		}
	})
}
