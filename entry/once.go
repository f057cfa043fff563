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
const settleWait = 500 * time.Millisecond

// A resend that meets its first attempt under way looks again after firstLook,
// twice and four times that. Most confirmations end within that time, and the
// caller has the answer now instead of after a second of Retry-After. Longer
// ones are not waited for: each look is a read of the object API.
const (
	firstLook = 25 * time.Millisecond
	lastLook  = 4 * firstLook
)

// minTakeWait is the least time that a claim may take, also where placing used
// up the class's wait.
const minTakeWait = 500 * time.Millisecond

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
type ticket struct {
	claims  Claims
	account *outcome.Request
	request claim.Request
	class   *recordspb.RequestClass
	// startBy is when the class's wait is over.
	startBy time.Time
	// held is set while the claim is this attempt's; takenAt is from when.
	held    bool
	takenAt time.Time
	// away is set once the store did not answer in time.
	away bool
	// unclaimed is set if the class's rule lets the request go without.
	unclaimed bool
}

func (s *Server) newTicket(account *outcome.Request, key string, r claim.Request, class *recordspb.RequestClass) *ticket {
	if account.Idempotent() || key == "" || s.cfg.Claims == nil {
		return nil
	}
	account.Keyed()
	r.Timeout = timeout(class)
	startBy := time.Now().Add(time.Duration(class.GetMaxWaitMs()) * time.Millisecond)
	return &ticket{claims: s.cfg.Claims, account: account, request: r, class: class, startBy: startBy}
}

// recordedError ends a request whose key another attempt holds.
type recordedError struct {
	found claim.Found
	cause error
}

func (e *recordedError) Error() string { return e.cause.Error() }

func (e *recordedError) Unwrap() error { return e.cause }

func (t *ticket) recorded(f claim.Found) error {
	if !f.SameBody {
		t.account.KeyFree()
		return fault.New(fault.Conflict, "use a new key for another request", "this %s was used for another request", headerKey)
	}
	t.account.Recorded(f.Answer != nil)
	if f.Answer == nil {
		return &recordedError{f, fault.New(fault.Unknown, "ask again with the same key; its end may be recorded by then", "a request with this %s was sent, and its end is not known", headerKey)}
	}
	return &recordedError{f, fault.New(fault.Conflict, "nothing has to be sent again", "the request with this %s is complete; its answer was not kept", headerKey)}
}

// look finds out, before the request takes a slot from others, whether its key
// is known and whether the store answers. An error is final; nothing was sent.
func (t *ticket) look(ctx context.Context) error {
	if t == nil {
		return nil
	}
	ctx, stop := context.WithDeadline(ctx, t.startBy)
	defer stop()
	f, err := t.claims.Look(ctx, t.request)
	if err != nil {
		return t.storeDown(err)
	}
	if f = t.await(ctx, f); f.Taken {
		return t.recorded(f)
	}
	t.request.Seen = f.Seen
	return nil
}

// ended waits for the end of the attempt that took the key first. Where that one
// gave it back meanwhile, the caller is told to ask again, since this attempt has waited long enough.
func (t *ticket) ended(ctx context.Context, f claim.Found) claim.Found {
	if later := t.await(ctx, f); later.Taken {
		return later
	}
	return f
}

// await looks again while another attempt holds the key and has not ended.
func (t *ticket) await(ctx context.Context, f claim.Found) claim.Found {
	for pause := firstLook; pause <= lastLook && f.Taken && f.SameBody && f.Answer == nil; pause *= 2 {
		if clock.Sleep(ctx, pause) != nil {
			return f
		}
		again, err := t.claims.Look(ctx, t.request)
		if err != nil {
			return f
		}
		f = again
	}
	return f
}

// take claims the key. It must succeed before the first byte is sent.
func (t *ticket) take(ctx context.Context) error {
	if t == nil || t.unclaimed {
		return nil
	}
	if t.held {
		return t.check()
	}
	startBy := t.startBy
	if least := time.Now().Add(minTakeWait); startBy.Before(least) {
		startBy = least
	}
	ctx, stop := context.WithDeadline(ctx, startBy)
	defer stop()
	t.takenAt = time.Now()
	f, err := t.claims.Take(ctx, t.request)
	if err != nil {
		return t.storeDown(err)
	}
	if f.Taken {
		return t.recorded(t.ended(ctx, f))
	}
	if f.Refused {
		err := fault.New(fault.Overloaded, "send the request again", "another attempt under this %s was refused as not run", headerKey)
		return fault.WithRetryAfter(err, refusedRetryAfter)
	}
	t.account.Claim()
	t.held = true
	return t.check()
}

// check refuses to send under a claim that may have been forgotten: the
// process was paused for so long after the claim that the store's record of it
// may be gone, and another instance may have claimed the key since. Both
// clocks count, as a paused machine's monotonic one may have stood still.
func (t *ticket) check() error {
	const bound = claim.Retention / 2
	wall := time.Now().Round(0).Sub(t.takenAt.Round(0))
	if time.Since(t.takenAt) < bound && wall < bound {
		return nil
	}
	return fault.New(fault.Unavailable, "send the request again", "the instance was paused after the claim")
}

// storeDown applies the class's rule for the time without the object API.
func (t *ticket) storeDown(err error) error {
	t.away = true
	if fault.Is(err, fault.Unavailable) && t.class.GetWhenStoreDown() == recordspb.StoreDownRule_STORE_DOWN_RUN_UNCLAIMED {
		t.unclaimed = true
		return nil
	}
	return fault.WithRetryAfter(err, storeRetryAfter)
}

// settle puts on record that the request did not run, so that its caller may be
// told so: without that, another attempt under the same key that waits now
// could still run it, and the word would be false. Where it can't be put on
// record, the word stays unknown. It returns the error for the caller: err, or
// what the record says where another attempt holds the key.
func (t *ticket) settle(err error) error {
	if t == nil || t.away || t.unclaimed || !t.account.NeedsRefusal() {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), settleWait)
	defer stop()
	f, failed := t.claims.Refuse(ctx, t.request)
	switch {
	case failed != nil:
	case !f.Taken:
		t.account.KeyFree()
		t.held = false
	case !t.held:
		return t.recorded(f)
	}
	return err
}

// end records what became of the request: its answer, or that it did not run
// and its key is free. A request of which nobody knows leaves its claim as it
// stands.
func (t *ticket) end(v outcome.Verdict, a claim.Answer) {
	switch {
	case t == nil || !t.held:
	case v.Complete():
		t.claims.Finish(t.request, a)
	case t.account.NoSendMayHaveRun():
		t.claims.Release(t.request)
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
