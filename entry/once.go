package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/outcome"
	"github.com/sardinedock/sardinedock/outcome/claim"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// headerReplayed marks an answer that was given before, under the same key.
const headerReplayed = "Idempotent-Replayed"

// storeRetryAfter is when a caller may come back that was refused for want of
// the object API: its breaker looks again about that often.
const storeRetryAfter = 2 * time.Second

// refusedRetryAfter is when a caller may come back whose other attempt under the
// same key was refused.
const refusedRetryAfter = time.Second

// settleWait bounds how long a refused caller waits for its refusal to be put on
// record. It takes milliseconds; a store that takes longer is as good as away.
const refuseTimeout = 500 * time.Millisecond

// A resend that meets its first attempt under way looks again after firstLook,
// twice and four times that. Most confirmations end within that time, and the
// caller has the answer now instead of after a second of Retry-After. Longer
// ones are not waited for: each look is a read of the object API.
const (
	firstPoll = 25 * time.Millisecond
	lastPoll  = 4 * firstPoll
)

// minTakeWait is the least time that a claim may take, also where placing used
// up the class's wait.
const minAcquireTimeout = 500 * time.Millisecond

// Claims is what the server needs of the claims; see package claim.
type Claims interface {
	Look(ctx context.Context, r claim.Request) (claim.Found, error)
	Take(ctx context.Context, r claim.Request) (claim.Found, error)
	Finish(r claim.Request, a claim.Answer)
	Release(r claim.Request)
	Refuse(ctx context.Context, r claim.Request) (claim.Found, error)
}

// ticket is a non-idempotent request's way to its one send. A nil ticket is
// that of a request without an idempotency key, which no resend can name.
type claimGuard struct {
	claims  Claims
	tracker *outcome.Request
	request claim.Request
	class   *recordspb.RequestClass
	// startBy is when the class's wait is over.
	startDeadline time.Time
	// held is set while the claim is this attempt's; takenAt is from when.
	acquired   bool
	acquiredAt time.Time
	// away is set once the store did not answer in time.
	storeFailed bool
	// unclaimed is set if the class's rule lets the request go without.
	unclaimed bool
}

func (s *Server) newClaimGuard(tracker *outcome.Request, key string, r claim.Request, class *recordspb.RequestClass) *claimGuard {
	if tracker.Idempotent() || key == "" || s.cfg.Claims == nil {
		return nil
	}
	tracker.Keyed()
	r.Timeout = timeout(class)
	startDeadline := time.Now().Add(time.Duration(class.GetMaxWaitMs()) * time.Millisecond)
	return &claimGuard{claims: s.cfg.Claims, tracker: tracker, request: r, class: class, startDeadline: startDeadline}
}

// recordedError ends a request whose key another attempt holds.
type recordedError struct {
	found claim.Found
	cause error
}

func (e *recordedError) Error() string { return e.cause.Error() }

func (e *recordedError) Unwrap() error { return e.cause }

func (g *claimGuard) takenError(f claim.Found) error {
	if !f.SameBody {
		g.tracker.KeyFree()
		return fault.New(fault.Conflict, "use a new key for another request", "this %s was used for another request", headerKey)
	}
	g.tracker.Recorded(f.Answer != nil)
	if f.Answer == nil {
		return &recordedError{f, fault.New(fault.Unknown, "ask again with the same key; its end may be recorded by then", "a request with this %s was sent, and its end is not known", headerKey)}
	}
	return &recordedError{f, fault.New(fault.Conflict, "nothing has to be sent again", "the request with this %s is complete; its answer was not kept", headerKey)}
}

// look finds out, before the request takes a slot from others, whether its key
// is known and whether the store answers. An error is final; nothing was sent.
func (g *claimGuard) lookupKey(ctx context.Context) error {
	if g == nil {
		return nil
	}
	ctx, stop := context.WithDeadline(ctx, g.startDeadline)
	defer stop()
	f, err := g.claims.Look(ctx, g.request)
	if err != nil {
		return g.storeDown(err)
	}
	if f = g.poll(ctx, f); f.Taken {
		return g.takenError(f)
	}
	g.request.Seen = f.Seen
	return nil
}

// ended waits for the end of the attempt that took the key first. Where that one
// gave it back meanwhile, the caller is told to ask again, since this attempt has waited long enough.
func (g *claimGuard) awaitEnd(ctx context.Context, f claim.Found) claim.Found {
	if later := g.poll(ctx, f); later.Taken {
		return later
	}
	return f
}

// await looks again while another attempt holds the key and has not ended.
func (g *claimGuard) poll(ctx context.Context, f claim.Found) claim.Found {
	for delay := firstPoll; delay <= lastPoll && f.Taken && f.SameBody && f.Answer == nil; delay *= 2 {
		if clock.Sleep(ctx, delay) != nil {
			return f
		}
		again, err := g.claims.Look(ctx, g.request)
		if err != nil {
			return f
		}
		f = again
	}
	return f
}

// take claims the key. It must succeed before the first byte is sent.
func (g *claimGuard) acquire(ctx context.Context) error {
	if g == nil || g.unclaimed {
		return nil
	}
	if g.acquired {
		return g.checkAge()
	}
	startDeadline := g.startDeadline
	if earliest := time.Now().Add(minAcquireTimeout); startDeadline.Before(earliest) {
		startDeadline = earliest
	}
	ctx, stop := context.WithDeadline(ctx, startDeadline)
	defer stop()
	g.acquiredAt = time.Now()
	f, err := g.claims.Take(ctx, g.request)
	if err != nil {
		return g.storeDown(err)
	}
	if f.Taken {
		return g.takenError(g.awaitEnd(ctx, f))
	}
	if f.Refused {
		err := fault.New(fault.Overloaded, "send the request again", "another attempt under this %s was refused as not run", headerKey)
		return fault.WithRetryAfter(err, refusedRetryAfter)
	}
	g.tracker.Claim()
	g.acquired = true
	return g.checkAge()
}

// check refuses to send under a claim that may have been forgotten: the
// process was paused for so long after the claim that the store's record of it
// may be gone, and another instance may have claimed the key since. Both
// clocks count, as a paused machine's monotonic one may have stood still.
func (g *claimGuard) checkAge() error {
	const bound = claim.Retention / 2
	wall := time.Now().Round(0).Sub(g.acquiredAt.Round(0))
	if time.Since(g.acquiredAt) < bound && wall < bound {
		return nil
	}
	return fault.New(fault.Unavailable, "send the request again", "the instance was paused after the claim")
}

// storeDown applies the class's rule for the time without the object API.
func (g *claimGuard) storeDown(err error) error {
	g.storeFailed = true
	if fault.Is(err, fault.Unavailable) && g.class.GetWhenStoreDown() == recordspb.StoreDownRule_STORE_DOWN_RUN_UNCLAIMED {
		g.unclaimed = true
		return nil
	}
	return fault.WithRetryAfter(err, storeRetryAfter)
}

// settle puts on record that the request did not run, so that its caller may be
// told so: without that, another attempt under the same key that waits now
// could still run it, and the word would be false. Where it can't be put on
// record, the word stays unknown. It returns the error for the caller: err, or
// what the record says where another attempt holds the key.
func (g *claimGuard) recordNotRun(err error) error {
	if g == nil || g.storeFailed || g.unclaimed || !g.tracker.NeedsRefusal() {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), refuseTimeout)
	defer stop()
	f, refuseErr := g.claims.Refuse(ctx, g.request)
	switch {
	case refuseErr != nil:
	case !f.Taken:
		g.tracker.KeyFree()
		g.acquired = false
	case !g.acquired:
		return g.takenError(f)
	}
	return err
}

// end records what became of the request: its answer, or that it did not run
// and its key is free. A request of which nobody knows leaves its claim as it
// stands.
func (g *claimGuard) finish(v outcome.Verdict, a claim.Answer) {
	switch {
	case g == nil || !g.acquired:
	case v.Complete():
		g.claims.Finish(g.request, a)
	case g.tracker.Unrun():
		g.claims.Release(g.request)
	}
}

// writeRecorded answers from the record; false if the answer is not there.
func writeRecorded(ctx *fasthttp.RequestCtx, a *claim.Answer) bool {
	if a == nil || !a.Kept {
		return false
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType(a.ContentType)
	ctx.Response.Header.Set(headerReplayed, "true")
	ctx.Response.Header.Set(headerEndpoint, a.Endpoint)
	ctx.SetBody(a.Body)
	return true
}
