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

// startStore starts an emulated store and returns it with a client that has short timeouts.
func startStore(t *testing.T, cfg emulator.StoreConfig) (*emulator.Store, *objectapi.Client) {
	t.Helper()
	s, err := emulator.StartStoreWith("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, objectapi.NewClient(objectapi.Config{
		Address: s.Addr(), Instance: "entry-1", Timeout: 300 * time.Millisecond, WatchIdleTimeout: 200 * time.Millisecond,
	})
}

// object returns an object of kind leases.
func object(name, value string) objectapi.Object {
	return objectapi.Object{Kind: "leases", Name: name, Value: []byte(value)}
}

// Guards against a writer that takes its own lease for another's: the object API applies a write and
// the reply is lost. The writer has to find out by reading back that the write was its own.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	for _, silently := range []bool{false, true} {
		s, c := startStore(t, emulator.StoreConfig{})
		s.SetFaults(emulator.StoreFaults{LoseNext: 1, LoseSilently: silently})
		version, err := c.Put(context.Background(), object("a", "x"), 0)
		if err != nil || version != 1 {
			t.Fatalf("silently %v: version %d, %v; want 1", silently, version, err)
		}
	}
}

// Guards against reporting success or a conflict for a write whose reply was lost and whose object
// was changed by another writer before it was read back. It can't be determined any more whether the
// write took effect, so the error must have kind fault.Unknown.
func TestLostReplyAndOverwriteIsUnknownOutcome(t *testing.T) {
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

// Guards against a lost update: of two concurrent edits of one record, one must succeed and the other
// must fail with a conflict.
func TestConcurrentEditsOneSucceeds(t *testing.T) {
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
	succeeded := 0
	for _, err := range results {
		if err == nil {
			succeeded++
		} else if !fault.Is(err, fault.Conflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
	}
	if succeeded != 1 {
		t.Fatalf("%d edits succeeded, want 1", succeeded)
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
		t.Fatalf("retry after the lost reply of a delete: %v", err)
	}
}

// Guards against a read that fails because a middlebox has dropped the state of the open connections,
// which then stay unresponsive. The read has to be retried on a new connection.
func TestReadIsRetriedOnNewConnection(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	s.Set("leases", "a", []byte("x"))
	if _, err := c.Get(context.Background(), "leases", "a"); err != nil {
		t.Fatal(err)
	}
	s.StallOpen()
	if _, err := c.Get(context.Background(), "leases", "a"); err != nil {
		t.Fatalf("the read was not retried on a new connection: %v", err)
	}
}

// Guards against a call that waits for its whole timeout on an unresponsive connection, and against
// taking the object API for down, while it answers on new connections. The timeout is far longer here
// than the test may run.
func TestUnresponsiveConnectionDoesNotUseWholeTimeout(t *testing.T) {
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
		t.Fatal("the object API counts as down")
	}
}

// Guards against retrying every call early while the object API is slow for a long time, which would
// double its load when it is least able to bear it.
func TestFirstTimeoutAdaptsToSlowAnswers(t *testing.T) {
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
		t.Fatalf("%d reads for %d calls: every call was retried", reads, calls)
	}
}

// Guards against a watch that waits forever on a connection whose state a middlebox has dropped.
// Without heartbeats the watch has to fail, so that it can be reopened from its last version.
func TestWatchWithoutHeartbeatsFailsAndResumes(t *testing.T) {
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
		t.Fatalf("got %+v from an unresponsive connection", obj)
	}
	reopened, err := c.Watch(context.Background(), "classes", version)
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	if obj, err := reopened.Next(); err != nil || obj.Version != missed {
		t.Fatalf("got %+v, %v; want the missed change", obj, err)
	}
}

func TestWatchFromDroppedVersionIsExpired(t *testing.T) {
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
	if got := c.Dump().OpenWatches; got != 1 {
		t.Fatalf("%d open watches counted, want 1", got)
	}
	cancel()
	if _, err := w.Next(); err == nil {
		t.Fatal("the watch did not end")
	}
	w.Close()
	if got := c.Dump().OpenWatches; got != 0 {
		t.Fatalf("%d open watches counted, want 0", got)
	}
	_ = s
}

// Guards against loading the object API with calls during a long outage: calls have to fail at once,
// and hardly any may be sent until the object API is back.
func TestFewCallsAreSentDuringOutage(t *testing.T) {
	s, c := startStore(t, emulator.StoreConfig{})
	c.SetLiveInstances(360)
	s.SetFaults(emulator.StoreFaults{Outage: emulator.OutageRefuse})
	for range 500 {
		if _, err := c.Get(context.Background(), "leases", "a"); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v, want unavailable", err)
		}
	}
	if reads, _ := s.Calls(); reads > 20 {
		t.Fatalf("%d calls reached the object API, want at most 20", reads)
	}
	if c.Reachable() {
		t.Fatal("the object API counts as reachable during the outage")
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
		t.Fatal("the object API counts as down after an answer")
	}
}
