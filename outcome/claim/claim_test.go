package claim_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/outcome/claim"
)

const (
	wait    = 2 * time.Second
	timeout = time.Minute
)

// request returns an attempt for a key; all attempts have the same body.
func request(key, attempt string) claim.Request {
	return claim.Request{
		Key:     claim.NewKey("accra", key),
		Body:    claim.NewBody("POST", "/ship", []byte("ship 7")),
		Attempt: attempt,
		Timeout: timeout,
	}
}

// open returns the Book of another instance on the same store.
func open(t testing.TB, s objectapi.Store) *claim.Book {
	b := claim.Open(s, clock.System{})
	t.Cleanup(b.Kill)
	return b
}

func take(b *claim.Book, r claim.Request) (claim.Found, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return b.Take(ctx, r)
}

func mustHold(t *testing.T, b *claim.Book, r claim.Request) {
	t.Helper()
	if f, err := take(b, r); err != nil || f.Taken {
		t.Fatalf("%s does not hold its claim: %+v, %v", r.Attempt, f, err)
	}
}

func mustBeTaken(t *testing.T, b *claim.Book, r claim.Request) claim.Found {
	t.Helper()
	f, err := take(b, r)
	if err != nil || !f.Taken {
		t.Fatalf("%s: %+v, %v", r.Attempt, f, err)
	}
	return f
}

// Guards against two instances that both send a confirmation because its caller timed out and
// sent it again to the second one.
func TestOnlyOneInstanceHoldsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		mustHold(t, a, request("k", "1"))
		if f := mustBeTaken(t, b, request("k", "2")); f.Answer != nil || !f.SameBody {
			t.Fatalf("found %+v", f)
		}
		a.Finish(request("k", "1"), claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("ok"), Kept: true, Endpoint: "ordering-1"})
		synctest.Wait()
		f := mustBeTaken(t, b, request("k", "3"))
		if f.Answer == nil || f.Answer.Status != 201 || string(f.Answer.Body) != "ok" || f.Answer.Endpoint != "ordering-1" {
			t.Fatalf("found %+v", f.Answer)
		}
	})
}

// Guards against answering a request whose key was used before for another order with that
// order's confirmation: the caller would believe that the second order was placed.
func TestReusedKeyIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		mustHold(t, a, request("k", "1"))
		r := request("k", "2")
		r.Body = claim.NewBody("POST", "/ship", []byte("ship 8"))
		if f := mustBeTaken(t, a, r); f.SameBody {
			t.Fatal("a different body was taken for the same")
		}
		other := request("k", "3")
		other.Key = claim.NewKey("tema", "k")
		mustHold(t, a, other)
	})
}

// Guards against refusing a request that no instance runs, because the store's reply to its
// claim was lost and the claim is mistaken for another attempt's. The stored attempt id shows
// whose it is.
func TestLostReplyIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		s.LoseReplies(1)
		mustHold(t, a, request("k", "1"))
		mustBeTaken(t, b, request("k", "2"))
	})
}

// Guards against releasing a claim whose store reply was lost and whose instance died before it
// could read it back. It can't be known whether the instance has sent, so the key has to remain
// taken for the whole retention.
func TestClaimOfDeadInstanceStaysTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		s.LoseReplies(1)
		mustHold(t, a, request("k", "1"))
		a.Kill()
		for n := range 5 {
			time.Sleep(claim.Retention / 6)
			if f := mustBeTaken(t, b, request("k", fmt.Sprint("2.", n))); f.Answer != nil {
				t.Fatalf("found %+v", f)
			}
		}
	})
}

// Guards against a request that outlasts its deadline while the store is down, and against a
// claim left behind by it: it is refused without being sent, and its key is free once the store
// is back.
func TestStoreOutageRefusesAndLeavesNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		s.SetDown(true)
		begun := time.Now()
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took != wait {
			t.Fatalf("refused after %v, want %v", took, wait)
		}
		s.SetDown(false)
		time.Sleep(5 * time.Second)
		mustHold(t, b, request("k", "2"))
	})
}

// Guards against refusing a request because of a store outage that is shorter than its wait.
func TestRequestWaitsForShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		s.SetDown(true)
		time.AfterFunc(wait/2, func() { s.SetDown(false) })
		mustHold(t, a, request("k", "1"))
	})
}

// Guards against a claim that remains in the store although its attempt will never send: the
// reply to its write was lost, then the store went down and the caller was refused. The claim
// has to be released when the store returns, so that a resent request can run.
func TestAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Store: &objecttest.Store{}}
		a, b := open(t, s), open(t, s)
		s.downAfterPut = true
		s.writeOutcome = []writeOutcome{lostAfter}
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		s.Store.SetDown(false)
		time.Sleep(5 * time.Second)
		mustHold(t, b, request("k", "2"))
	})
}

// Guards against a claim left behind by a write that was delayed and takes effect only after its
// instance has stopped waiting for it.
func TestDelayedWriteOfAbandonedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Store: &objecttest.Store{}, lateBy: 3 * time.Second}
		a, b := open(t, s), open(t, s)
		s.writeOutcome = []writeOutcome{delayed}
		s.downAfterPut = true
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		s.Store.SetDown(false)
		time.Sleep(10 * time.Second)
		mustHold(t, b, request("k", "2"))
	})
}

// Guards against claims that are removed before the request's timeout and the retention are
// over, and against claims that are kept longer and would fill the store.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		mustHold(t, a, request("k", "1"))
		time.Sleep(timeout + claim.Retention - time.Second)
		mustBeTaken(t, a, request("k", "2"))
		time.Sleep(2 * time.Second)
		mustHold(t, a, request("k", "3"))
	})
}

// Guards against one store write per claim, which would exceed the store's rate limit: claims
// that arrive while a write is in progress have to share the next one.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Store: &objecttest.Store{}, latency: 50 * time.Millisecond}
		a := open(t, s)
		const requests = 2000
		errs := make(chan error, requests)
		for n := range requests {
			go func() {
				f, err := take(a, request(fmt.Sprint("k", n), "1"))
				if f.Taken {
					err = fmt.Errorf("key %d is taken", n)
				}
				errs <- err
			}()
		}
		for range requests {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		if puts := s.Store.Counts().Puts; puts > 2*claim.Shards {
			t.Fatalf("%d writes for %d claims", puts, requests)
		}
	})
}

// Guards against overwriting a shard that can't be decoded because an operator's tool or a newer
// program wrote it: keys that are taken would become free.
func TestUndecodableShardIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		for n := range claim.Shards {
			s.Set(claim.Kind, fmt.Sprintf("shard-%02x", n), []byte{0xff})
		}
		a := open(t, s)
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		if puts := s.Counts().Puts; puts != 0 {
			t.Fatalf("%d writes", puts)
		}
	})
}

// writeOutcome is what happens to one write.
type writeOutcome int

const (
	applied writeOutcome = iota
	// The reply of lostBefore, lostAfter and delayed writes is lost, so that the writer can't know
	// whether they took effect: lostBefore writes do not, lostAfter writes do, and delayed ones do
	// later.
	lostBefore
	lostAfter
	delayed
	rejected
)

// faultyStore gives each write an outcome.
type faultyStore struct {
	*objecttest.Store
	writeOutcome []writeOutcome
	draw         func() writeOutcome
	latency      time.Duration
	lateBy       time.Duration
	// downAfterPut starts an outage after the next write.
	downAfterPut bool
}

func (s *faultyStore) next() writeOutcome {
	if s.draw != nil {
		return s.draw()
	}
	if len(s.writeOutcome) == 0 {
		return applied
	}
	f := s.writeOutcome[0]
	s.writeOutcome = s.writeOutcome[1:]
	return f
}

var errReplyLost = fault.New(fault.Unknown, "read back", "reply lost")

func (s *faultyStore) Put(ctx context.Context, obj objectapi.Object, expected objectapi.Version) (objectapi.Version, error) {
	time.Sleep(s.latency)
	f := s.next()
	if s.downAfterPut {
		s.downAfterPut = false
		defer s.SetDown(true)
	}
	switch f {
	case lostBefore:
		return 0, errReplyLost
	case lostAfter:
		_, _ = s.Store.Put(ctx, obj, expected)
		return 0, errReplyLost
	case delayed:
		time.AfterFunc(s.lateBy, func() { _, _ = s.Store.Put(context.Background(), obj, expected) })
		return 0, errReplyLost
	case rejected:
		return 0, fault.New(fault.RateLimited, "wait", "over the rate")
	}
	return s.Store.Put(ctx, obj, expected)
}

// Guards against two attempts that hold the same key and may both send it, while several
// instances claim the same few keys, instances die, and the store loses replies, delays and
// refuses writes and has outages.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 30).Draw(rt, "steps")
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]writeOutcome{applied, applied, applied, lostBefore, lostAfter, delayed, rejected}), 40, 40).Draw(rt, "outcomes")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = newScenario(outcomes).run(steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// step is one event of a scenario.
type step struct {
	// what is the event: all instances claim key, one instance dies, the store goes down, or
	// time passes.
	what     string
	key      string
	duration time.Duration
	release  bool
	instance int
}

func drawStep(t *rapid.T) step {
	return step{
		what:     rapid.SampledFrom([]string{"take", "take", "kill", "down", "rest"}).Draw(t, "what"),
		key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		duration: time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond,
		release:  rapid.Bool().Draw(t, "release"),
		instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
	}
}

const instances = 3

type scenario struct {
	store   *faultyStore
	books   []*claim.Book
	holders map[string]string
	attempt int
}

func newScenario(outcomes []writeOutcome) *scenario {
	c := &scenario{holders: map[string]string{}}
	c.store = &faultyStore{Store: &objecttest.Store{}, lateBy: 700 * time.Millisecond}
	var at atomic.Int64
	c.store.draw = func() writeOutcome { return outcomes[int(at.Add(1))%len(outcomes)] }
	for range instances {
		c.books = append(c.books, claim.Open(c.store, clock.System{}))
	}
	return c
}

func (c *scenario) run(steps []step) (violation string) {
	for _, s := range steps {
		switch s.what {
		case "take":
			violation = c.take(s)
		case "kill":
			c.books[s.instance].Kill()
			c.books[s.instance] = claim.Open(c.store, clock.System{})
		case "down":
			c.store.SetDown(true)
			time.AfterFunc(s.duration, func() { c.store.SetDown(false) })
		case "rest":
			time.Sleep(s.duration)
		}
		if violation != "" {
			break
		}
	}
	for _, b := range c.books {
		b.Kill()
	}
	time.Sleep(5 * time.Second)
	return violation
}

type takeResult struct {
	ok      bool
	attempt string
	book    *claim.Book
}

// take has all instances claim one key at the same time.
func (c *scenario) take(s step) (violation string) {
	results := make(chan takeResult, len(c.books))
	for _, b := range c.books {
		c.attempt++
		r := request(s.key, fmt.Sprint("attempt-", c.attempt))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.duration)
			defer cancel()
			f, err := b.Take(ctx, r)
			results <- takeResult{err == nil && !f.Taken, r.Attempt, b}
		}()
	}
	for range c.books {
		h := <-results
		if !h.ok {
			continue
		}
		if other, ok := c.holders[s.key]; ok {
			violation = fmt.Sprintf("%s and %s both hold key %s", other, h.attempt, s.key)
		}
		c.holders[s.key] = h.attempt
		if s.release {
			delete(c.holders, s.key)
			h.book.Release(request(s.key, h.attempt))
		}
	}
	return violation
}
