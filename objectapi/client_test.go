package objectapi_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/emulator"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
)

// startStore returns a store and a client that gives up soon.
func startStore(t *testing.T, cfg emulator.StoreConfig) (*emulator.Store, *objectapi.Client) {
	t.Helper()
	s, err := emulator.StartStoreWith("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, objectapi.NewClient(objectapi.Config{
		Address: s.Addr(), Instance: "entry-1", Timeout: 300 * time.Millisecond, Silence: 200 * time.Millisecond,
	})
}

func object(name, value string) objectapi.Object {
	return objectapi.Object{Kind: "leases", Name: name, Value: []byte(value)}
}

// The object API applies a write and the reply is lost. The writer must learn
// that it was its own write, or it would take its own lease for another's.
func TestLostReplyIsSettledByReadingBack(t *testing.T) {
	for _, silently := range []bool{false, true} {
		s, c := startStore(t, emulator.StoreConfig{})
		s.SetFaults(emulator.StoreFaults{LoseNext: 1, LoseSilently: silently})
		version, err := c.Put(context.Background(), object("a", "x"), 0)
		if err != nil || version != 1 {
			t.Fatalf("silently %v: version %d, %v; want 1", silently, version, err)
		}
	}
}

// The reply to a write is lost, and before it is read back another writer has
// changed the object. Nobody can say any more whether the first write was
// there, so the word must be unknown: neither success nor conflict is true.
func TestLostReplyThatWasOverwrittenIsUnknown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPut() {
			_ = ctx.Conn().Close()
			return
		}
		ctx.SetBodyString(`{"kind":"leases","name":"a","version":2,"attempt":"other"}`)
	}}
	go func() { _ = server.Serve(ln) }()
	c := objectapi.NewClient(objectapi.Config{Address: ln.Addr().String(), Timeout: time.Second})
	if _, err := c.Put(context.Background(), object("a", "x"), 0); !fault.Is(err, fault.Unknown) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
}

// Two operators edit one record at the same time. One wins and the other sees
// the conflict.
func TestRacingEditsOneWins(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	first := s.Set("classes", "quote", []byte("1"))
	results := make([]error, 2)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			_, results[i] = c.Put(context.Background(), objectapi.Object{Kind: "classes", Name: "quote", Value: []byte("2")}, first)
		})
	}
	wg.Wait()
	won := 0
	for _, err := range results {
		if err == nil {
			won++
		} else if !fault.Is(err, fault.Conflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
	}
	if won != 1 {
		t.Fatalf("%d edits won, want 1", won)
	}
}

func TestDeleteIsConditional(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	version := s.Set("leases", "a", nil)
	if err := c.Delete(context.Background(), "leases", "a", version+1); !fault.Is(err, fault.Conflict) {
		t.Fatalf("got %v, want a conflict", err)
	}
	s.SetFaults(emulator.StoreFaults{LoseNext: 1})
	if err := c.Delete(context.Background(), "leases", "a", version); err != nil {
		t.Fatalf("the lost reply of a delete was not settled: %v", err)
	}
}

// Something between instance and object API forgets the open connections: they
// are silent for good. A read must find a new one by itself.
func TestReadLeavesASilentConnection(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	s.Set("leases", "a", []byte("x"))
	if _, err := c.Get(context.Background(), "leases", "a"); err != nil {
		t.Fatal(err)
	}
	s.StallOpen()
	if _, err := c.Get(context.Background(), "leases", "a"); err != nil {
		t.Fatalf("the read did not change its connection: %v", err)
	}
}

// The open connections are forgotten while the object API answers on new ones.
// A call must not wait for its whole timeout, which is far longer here than the
// test may take, and the object API must not pass for down.
func TestSilentConnectionDoesNotCostTheTimeout(t *testing.T) {
	s, _ := startStore(t, emulator.StoreConfig{})
	c := objectapi.NewClient(objectapi.Config{Address: s.Addr(), Timeout: time.Hour})
	for expected := objectapi.Version(0); expected < 4; expected++ {
		version, err := c.Put(context.Background(), object("a", "x"), expected)
		if err != nil || version != expected+1 {
			t.Fatalf("version %d, %v; want %d", version, err, expected+1)
		}
		s.StallOpen()
	}
	if !c.Reachable() {
		t.Fatal("the object API passes for down")
	}
}

// The object API becomes slow for long. Giving up early at each call would
// double its load when it can bear that least.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	s, _ := startStore(t, emulator.StoreConfig{})
	c := objectapi.NewClient(objectapi.Config{Address: s.Addr(), Timeout: time.Minute})
	s.SetFaults(emulator.StoreFaults{SlowMS: 400})
	const calls = 4
	for range calls {
		if _, err := c.List(context.Background(), "leases"); err != nil {
			t.Fatal(err)
		}
	}
	if reads, _ := s.Calls(); reads >= 2*calls {
		t.Fatalf("%d reads for %d calls: each was repeated", reads, calls)
	}
}

// A watch's connection is forgotten by something in between. Without
// heartbeats the watch must end, so that it is opened again where it stood.
func TestSilentWatchEndsAndResumes(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{Heartbeat: 20 * time.Millisecond})
	w, err := c.Watch(context.Background(), "classes", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	version := s.Set("classes", "quote", []byte("1"))
	if obj, err := w.Next(); err != nil || obj.Version != version {
		t.Fatalf("got %+v, %v", obj, err)
	}
	s.StallOpen()
	missed := s.Set("classes", "quote", []byte("2"))
	if obj, err := w.Next(); err == nil {
		t.Fatalf("got %+v from a silent connection", obj)
	}
	again, err := c.Watch(context.Background(), "classes", version)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if obj, err := again.Next(); err != nil || obj.Version != missed {
		t.Fatalf("got %+v, %v; want the missed change", obj, err)
	}
}

func TestWatchOfAForgottenVersionIsExpired(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{History: 2})
	for range 5 {
		s.Set("classes", "quote", nil)
	}
	if _, err := c.Watch(context.Background(), "classes", 1); !fault.Is(err, fault.Expired) {
		t.Fatalf("got %v, want an expired version", err)
	}
}

func TestWatchEndsWithItsContext(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{Heartbeat: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	w, err := c.Watch(ctx, "classes", 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Dump().WaitingWatches; got != 1 {
		t.Fatalf("%d waiting watches are counted, want 1", got)
	}
	cancel()
	if _, err := w.Next(); err == nil {
		t.Fatal("the watch went on")
	}
	w.Close()
	if got := c.Dump().WaitingWatches; got != 0 {
		t.Fatalf("%d waiting watches are counted, want 0", got)
	}
	_ = s
}

// The object API is down for long. Callers are told at once, and the object
// API hears next to nothing of them until it is back.
func TestOutageIsNotHammered(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	c.SetLiveInstances(360)
	s.SetFaults(emulator.StoreFaults{Outage: emulator.OutageRefuse})
	for range 500 {
		if _, err := c.Get(context.Background(), "leases", "a"); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
	}
	if reads, _ := s.Calls(); reads > 20 {
		t.Fatalf("%d calls reached the object API, want 20 at most", reads)
	}
	if c.Reachable() {
		t.Fatal("the object API passes for reachable")
	}
	s.SetFaults(emulator.StoreFaults{})
	s.Set("leases", "a", []byte("x"))
	for {
		if _, err := c.Get(context.Background(), "leases", "a"); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !c.Reachable() {
		t.Fatal("the object API passes for down after an answer")
	}
}
