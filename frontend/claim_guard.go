package frontend

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

// headerReplayed marks an answer that is replayed from the record of an earlier attempt with
// the same key.
const headerReplayed = "Idempotent-Replayed"

// storeRetryAfter is the Retry-After of requests that were refused because the object API is
// unavailable. Its circuit breaker probes the API about this often.
const storeRetryAfter = 2 * time.Second

// refusedRetryAfter is the Retry-After of a request for which another attempt with the same
// key was refused as not run.
const refusedRetryAfter = time.Second

// refuseTimeout limits how long the answer to a refused request is delayed until the refusal
// is recorded. Recording takes milliseconds; a store that needs longer counts as unavailable.
const refuseTimeout = 500 * time.Millisecond

// A resend that finds its first attempt still running checks the record again after firstPoll,
// after twice and after four times that delay. Most non-idempotent calls end within this time,
// so the caller gets the answer now instead of after a Retry-After of one second. Polling does
// not go on for longer, because each poll reads from the object API.
const (
	firstPoll = 25 * time.Millisecond
	lastPoll  = 4 * firstPoll
)

// minAcquireTimeout is the minimum timeout for taking a claim, even if placing has used up the
// maximum wait of the class.
const minAcquireTimeout = 500 * time.Millisecond

// Claims is the store of claims on idempotency keys; see package claim.
type Claims interface {
	Lookup(ctx context.Context, r claim.Request) (claim.Found, error)
	Take(ctx context.Context, r claim.Request) (claim.Found, error)
	Finish(r claim.Request, a claim.Answer)
	Release(r claim.Request)
	Refuse(ctx context.Context, r claim.Request) (claim.Found, error)
}

// claimGuard ensures that a non-idempotent request with an idempotency key is sent only under
// a claim on that key, so that its resends do not run it again. Its methods accept a nil
// claimGuard, which belongs to requests without a claim: idempotent ones, and those without a
// key, whose resends cannot be recognised.
type claimGuard struct {
	claims  Claims
	tracker *outcome.Request
	request claim.Request
	class   *recordspb.RequestClass
	// startDeadline is when the class's maximum wait is over.
	startDeadline time.Time
	// acquired is set while this attempt owns the claim; acquiredAt is when it began to
	// acquire it.
	acquired   bool
	acquiredAt time.Time
	// storeFailed is set once a request to the store has failed.
	storeFailed bool
	// unclaimed is set if the class lets the request run without a claim while the store is
	// down.
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

// recordedError is the error of a request whose key is claimed by another attempt.
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

// lookupKey checks whether the key is already claimed and whether the store is available,
// before the request occupies a slot. An error is final: nothing was sent.
func (g *claimGuard) lookupKey(ctx context.Context) error {
	if g == nil {
		return nil
	}
	ctx, stop := context.WithDeadline(ctx, g.startDeadline)
	defer stop()
	f, err := g.claims.Lookup(ctx, g.request)
	if err != nil {
		return g.storeDown(err)
	}
	if f = g.poll(ctx, f); f.Taken {
		return g.takenError(f)
	}
	g.request.Seen = f.Seen
	return nil
}

// awaitEnd waits for the end of the attempt that owns the claim. If that attempt releases the
// claim meanwhile, awaitEnd still returns f, so that the caller is asked to retry: this
// attempt has already waited long enough.
func (g *claimGuard) awaitEnd(ctx context.Context, f claim.Found) claim.Found {
	if later := g.poll(ctx, f); later.Taken {
		return later
	}
	return f
}

// poll repeats the lookup while another attempt owns the claim and has not ended.
func (g *claimGuard) poll(ctx context.Context, f claim.Found) claim.Found {
	for delay := firstPoll; delay <= lastPoll && f.Taken && f.SameBody && f.Answer == nil; delay *= 2 {
		if clock.Sleep(ctx, delay) != nil {
			return f
		}
		again, err := g.claims.Lookup(ctx, g.request)
		if err != nil {
			return f
		}
		f = again
	}
	return f
}

// acquire claims the key. It must succeed before the first byte is sent to an endpoint.
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

// checkAge returns an error if the claim may have expired: if the process was paused for long
// enough after the claim, the store may have dropped the record, and another instance may have
// claimed the key since. It checks both clocks, because the monotonic clock of a paused
// machine may have stopped.
func (g *claimGuard) checkAge() error {
	const bound = claim.Retention / 2
	wall := time.Now().Round(0).Sub(g.acquiredAt.Round(0))
	if time.Since(g.acquiredAt) < bound && wall < bound {
		return nil
	}
	return fault.New(fault.Unavailable, "send the request again", "the instance was paused after the claim")
}

// storeDown applies the class's rule for an unavailable object API.
func (g *claimGuard) storeDown(err error) error {
	g.storeFailed = true
	if fault.Is(err, fault.Unavailable) && g.class.GetWhenStoreDown() == recordspb.StoreDownRule_STORE_DOWN_RUN_UNCLAIMED {
		g.unclaimed = true
		return nil
	}
	return fault.WithRetryAfter(err, storeRetryAfter)
}

// recordNotRun records that the request did not run, so that the caller can be informed.
// Without the record, another waiting attempt with the same key could still run the request
// and make that answer wrong. If the record cannot be written, the outcome stays unknown. It
// returns the error for the caller: err, or the recorded state of the request if another
// attempt owns the claim.
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

// finish records the answer of a complete request, or releases the claim if nothing ran. If
// the outcome is unknown, it leaves the claim as it is.
func (g *claimGuard) finish(v outcome.Verdict, a claim.Answer) {
	switch {
	case g == nil || !g.acquired:
	case v.Complete():
		g.claims.Finish(g.request, a)
	case g.tracker.NoSendMayHaveRun():
		g.claims.Release(g.request)
	}
}

// writeRecorded writes a recorded answer. It returns false if the answer was not kept.
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
