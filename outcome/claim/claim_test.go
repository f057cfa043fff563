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
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/objectapi/objecttest"
	"github.com/sardinedock/sardinedock/outcome/claim"
)

const (
	wait    = 2 * time.Second
	timeout = time.Minute
)

// request is an attempt for a key; all share one body.
func request(key, attempt string) claim.Request {
	return claim.Request{
		Key:     claim.NewKey("accra", key),
		Body:    claim.NewBody("POST", "/ship", []byte("ship 7")),
		Attempt: attempt,
		Timeout: timeout,
	}
}

// open returns another instance's book on the store.
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

// A caller sends a confirmation, loses patience and sends it again to another
// instance. Only one of the two may reach the ordering app.
func TestOneOfTwoInstancesHolds(t *testing.T) {
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

// A key is used again for another order. Answering with the first order's
// confirmation would let the caller believe that the second one is on its way.
func TestReusedKeyIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		mustHold(t, a, request("k", "1"))
		r := request("k", "2")
		r.Body = claim.NewBody("POST", "/ship", []byte("ship 8"))
		if f := mustBeTaken(t, a, r); f.SameBody {
			t.Fatal("another body passes for the same")
		}
		other := request("k", "3")
		other.Key = claim.NewKey("tema", "k")
		mustHold(t, a, other)
	})
}

// The store's reply is lost after the claim has taken effect. The attempt id
// that is read back shows whose claim it is; taking it for another's would
// refuse a request that nobody ran.
func TestLostReplyIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a, b := open(t, s), open(t, s)
		s.LoseReplies(1)
		mustHold(t, a, request("k", "1"))
		mustBeTaken(t, b, request("k", "2"))
	})
}

// The store's reply is lost and the instance dies before it can read back.
// Nobody can say whether it has sent; the key must stay taken for good.
func TestLostReplyAndDeadInstance(t *testing.T) {
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

// The store is down for longer than the request may wait. It is refused unsent,
// and once the store is back its key is free.
func TestOutageRefusesAndLeavesNothing(t *testing.T) {
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

// The store is down for a moment that the request can wait for.
func TestShortOutageIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &objecttest.Store{}
		a := open(t, s)
		s.SetDown(true)
		time.AfterFunc(wait/2, func() { s.SetDown(false) })
		mustHold(t, a, request("k", "1"))
	})
}

// The reply is lost, then the store goes down, and the caller is refused. The
// claim stands in the store although its attempt will never send. It is given
// back when the store returns, so that a resend runs.
func TestAbandonedClaimIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: &objecttest.Store{}}
		a, b := open(t, s), open(t, s)
		s.downAfterPut = true
		s.fate = []fate{lostAfter}
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		s.Store.SetDown(false)
		time.Sleep(5 * time.Second)
		mustHold(t, b, request("k", "2"))
	})
}

// A write is held up on the way and takes effect after its instance has given
// up. A claim that rises from the dead must not be left behind.
func TestLateWriteDoesNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: &objecttest.Store{}, lateness: 3 * time.Second}
		a, b := open(t, s), open(t, s)
		s.fate = []fate{late}
		s.downAfterPut = true
		if _, err := take(a, request("k", "1")); !fault.Is(err, fault.Unavailable) {
			t.Fatalf("got %v", err)
		}
		s.Store.SetDown(false)
		time.Sleep(10 * time.Second)
		mustHold(t, b, request("k", "2"))
	})
}

// Claims are forgotten after the request's timeout and the retention, not
// before, or the store would fill up.
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

// Many confirmations come while one write is under way. They share the next
// one; a write each would go over the store's rate.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: &objecttest.Store{}, delay: 50 * time.Millisecond}
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

// A shard can't be read: an operator's tool or a newer program wrote it.
// Writing over it would free keys that are taken.
func TestForeignShardIsNotTouched(t *testing.T) {
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

// fate is what becomes of one write.
type fate int

const (
	good fate = iota
	// lostBefore writes have no effect, lostAfter writes do; late ones do
	// after a while. Of all three the writer reads only that nobody knows.
	lostBefore
	lostAfter
	late
	refused
)

// lateStore gives writes a fate.
type lateStore struct {
	*objecttest.Store
	fate     []fate
	draw     func() fate
	delay    time.Duration
	lateness time.Duration
	// downAfterPut begins an outage with the next write.
	downAfterPut bool
}

func (s *lateStore) next() fate {
	if s.draw != nil {
		return s.draw()
	}
	if len(s.fate) == 0 {
		return good
	}
	f := s.fate[0]
	s.fate = s.fate[1:]
	return f
}

var errLost = fault.New(fault.Unknown, "read back", "reply lost")

func (s *lateStore) Put(ctx context.Context, obj objectapi.Object, expected objectapi.Version) (objectapi.Version, error) {
	time.Sleep(s.delay)
	f := s.next()
	if s.downAfterPut {
		s.downAfterPut = false
		defer s.SetDown(true)
	}
	switch f {
	case lostBefore:
		return 0, errLost
	case lostAfter:
		_, _ = s.Store.Put(ctx, obj, expected)
		return 0, errLost
	case late:
		time.AfterFunc(s.lateness, func() { _, _ = s.Store.Put(context.Background(), obj, expected) })
		return 0, errLost
	case refused:
		return 0, fault.New(fault.RateLimited, "wait", "over the rate")
	}
	return s.Store.Put(ctx, obj, expected)
}

// Several instances claim the same few keys while the store loses replies,
// delays writes, refuses them and goes away, and instances die. Whatever
// happens, two attempts that may both send never hold one key.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 5, 30).Draw(rt, "steps")
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{good, good, good, lostBefore, lostAfter, late, refused}), 40, 40).Draw(rt, "fates")
		var broken string
		synctest.Test(t, func(*testing.T) { broken = newContest(fates).run(steps) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// step is one thing that happens in a contest.
type step struct {
	// what: the instances claim key, one dies, the store goes down, or time
	// passes.
	what     string
	key      string
	patience time.Duration
	release  bool
	instance int
}

func drawStep(t *rapid.T) step {
	return step{
		what:     rapid.SampledFrom([]string{"take", "take", "kill", "down", "rest"}).Draw(t, "what"),
		key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		patience: time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond,
		release:  rapid.Bool().Draw(t, "release"),
		instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
	}
}

const instances = 3

type contest struct {
	store   *lateStore
	books   []*claim.Book
	holders map[string]string
	attempt int
}

func newContest(fates []fate) *contest {
	c := &contest{holders: map[string]string{}}
	c.store = &lateStore{Store: &objecttest.Store{}, lateness: 700 * time.Millisecond}
	var at atomic.Int64
	c.store.draw = func() fate { return fates[int(at.Add(1))%len(fates)] }
	for range instances {
		c.books = append(c.books, claim.Open(c.store, clock.System{}))
	}
	return c
}

func (c *contest) run(steps []step) (broken string) {
	for _, s := range steps {
		switch s.what {
		case "take":
			broken = c.take(s)
		case "kill":
			c.books[s.instance].Kill()
			c.books[s.instance] = claim.Open(c.store, clock.System{})
		case "down":
			c.store.SetDown(true)
			time.AfterFunc(s.patience, func() { c.store.SetDown(false) })
		case "rest":
			time.Sleep(s.patience)
		}
		if broken != "" {
			break
		}
	}
	for _, b := range c.books {
		b.Kill()
	}
	time.Sleep(5 * time.Second)
	return broken
}

type held struct {
	ok      bool
	attempt string
	book    *claim.Book
}

// take lets all instances claim one key at the same time.
func (c *contest) take(s step) (broken string) {
	results := make(chan held, len(c.books))
	for _, b := range c.books {
		c.attempt++
		r := request(s.key, fmt.Sprint("attempt-", c.attempt))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.patience)
			defer cancel()
			f, err := b.Take(ctx, r)
			results <- held{err == nil && !f.Taken, r.Attempt, b}
		}()
	}
	for range c.books {
		h := <-results
		if !h.ok {
			continue
		}
		if other, ok := c.holders[s.key]; ok {
			broken = fmt.Sprintf("%s and %s both hold key %s", other, h.attempt, s.key)
		}
		c.holders[s.key] = h.attempt
		if s.release {
			delete(c.holders, s.key)
			h.book.Release(request(s.key, h.attempt))
		}
	}
	return broken
}
