package frontend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// pausedClaims grants every claim after a pause of the process.
type pausedClaims struct {
	pause    time.Duration
	released int
	refused  int
}

func (p *pausedClaims) Lookup(context.Context, claim.Request) (claim.Found, error) {
	return claim.Found{}, nil
}

func (p *pausedClaims) Take(context.Context, claim.Request) (claim.Found, error) {
	time.Sleep(p.pause)
	return claim.Found{}, nil
}

func (p *pausedClaims) Finish(claim.Request, claim.Answer) {}

func (p *pausedClaims) Release(claim.Request) { p.released++ }

func (p *pausedClaims) Refuse(context.Context, claim.Request) (claim.Found, error) {
	p.refused++
	return claim.Found{}, nil
}

// An instance is paused between its claim and the send, so long that the store may have
// dropped the claim and another instance may own the key. Sending then could ship an order
// twice, so the instance must refuse the request as not run.
func TestInstancePausedAfterClaimDoesNotSend(t *testing.T) {
	for pause, ok := range map[time.Duration]bool{time.Second: true, claim.Retention: false} {
		synctest.Test(t, func(t *testing.T) {
			claims := &pausedClaims{pause: pause}
			s := &Server{cfg: Config{Claims: claims}}
			tracker := outcome.New(true)
			class := &recordspb.RequestClass{MaxWaitMs: 1000, TimeoutMs: 60000}
			claimGuard := s.newClaimGuard(tracker, "k", claim.Request{Key: claim.NewKey("accra", "k"), Attempt: "a"}, class)
			tracker.Admit()
			if err := claimGuard.acquire(context.Background()); (err == nil) != ok {
				t.Fatalf("after a pause of %v: %v", pause, err)
			}
			if tracker.Verdict().NotRun() {
				t.Fatal("reported not-run before the refusal was recorded")
			}
			_ = claimGuard.recordNotRun(nil)
			verdict := tracker.Finish()
			claimGuard.finish(verdict, claim.Answer{})
			if !verdict.NotRun() || claims.refused != 1 || claims.released != 0 {
				t.Fatalf("outcome %s, refused %d times, released %d times", verdict, claims.refused, claims.released)
			}
		})
	}
}

// runningClaims reports another running attempt that ends after endsAfter lookups.
type runningClaims struct {
	pausedClaims
	lookups, endsAfter int
}

func (r *runningClaims) Lookup(context.Context, claim.Request) (claim.Found, error) {
	r.lookups++
	f := claim.Found{Taken: true, SameBody: true}
	if r.lookups > r.endsAfter {
		f.Answer = &claim.Answer{Status: 200, Kept: true}
	}
	return f, nil
}

// A client sends the same non-idempotent call twice at once. The second attempt arrives a few
// milliseconds before the first one ends; with only a Retry-After of one second, the client
// would learn of the result a second late.
func TestResendWaitsBrieflyForRunningAttempt(t *testing.T) {
	for endsAfter, answered := range map[int]bool{0: true, 3: true, 4: false} {
		synctest.Test(t, func(t *testing.T) {
			claims := &runningClaims{endsAfter: endsAfter}
			s := &Server{cfg: Config{Claims: claims}}
			tracker := outcome.New(true)
			class := &recordspb.RequestClass{MaxWaitMs: 1000, TimeoutMs: 60000}
			claimGuard := s.newClaimGuard(tracker, "k", claim.Request{Key: claim.NewKey("accra", "k"), Attempt: "b"}, class)
			err := claimGuard.lookupKey(context.Background())
			if err == nil || tracker.Verdict().Complete() != answered {
				t.Fatalf("ended after %d lookups: %v, outcome %s", endsAfter, err, tracker.Verdict())
			}
			if claims.lookups > 4 {
				t.Fatalf("%d lookups", claims.lookups)
			}
		})
	}
}
