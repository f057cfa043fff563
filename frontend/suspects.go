package frontend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/placement"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

// crashDialTimeout bounds the connections that distinguish a crashed endpoint from a broken connection.
const crashDialTimeout = 300 * time.Millisecond

// suspectCalls are the calls of plain services that this instance runs and that are suspected of crashing
// endpoints. It is safe for concurrent use.
type suspectCalls struct {
	mu     sync.Mutex
	trials *policy.Trials
}

// begin adds a call at an endpoint. It returns a function that removes it and reports whether no other
// suspect was running there.
func (s *suspectCalls) begin(content placement.Fingerprint, endpoint string, until time.Time) (end func() (alone bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials == nil {
		s.trials = policy.NewTrials()
	}
	t := policy.Trial{ID: rand.Uint64(), Content: content, Endpoint: endpoint, Until: until}
	s.trials.Put(t)
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer s.trials.End(t.ID)
		return s.trials.Alone(time.Now(), t)
	}
}

// guarded sends the call to one endpoint and records whether that crashed it. A call that is known to
// crash endpoints is not sent.
func (c *serviceCall) guarded(e *recordspb.Endpoint, send func() error) error {
	guard := c.srv.cfg.Crashes
	if guard == nil {
		return send()
	}
	verdict, left := guard.CrashVerdict(c.content)
	if verdict == policy.CrashRefused {
		err := fault.New(fault.Suspect, "change the call, or send it again after the time in Retry-After", "the call crashed the endpoints that ran it")
		return fault.WithRetryAfter(err, left)
	}
	end := func() bool { return false }
	if verdict != policy.CrashClean {
		until, _ := c.call.ctx.Deadline()
		end = c.srv.suspects.begin(c.content, e.GetName(), until)
	}
	err := send()
	alone := end()
	switch {
	case err == nil:
		guard.CallCompleted(c.content)
	case c.crashed(e, err):
		guard.CallCrashed(c.content, e.GetName(), rand.Uint64(), alone, !c.nonIdempotent)
	}
	return err
}

// crashed reports whether a failed send means that the endpoint has crashed: it broke the connection and
// accepts no new one.
func (c *serviceCall) crashed(e *recordspb.Endpoint, err error) bool {
	if !fault.Is(err, fault.Broken) || c.call.cause() != nil {
		return false
	}
	ctx, stop := context.WithTimeout(context.Background(), crashDialTimeout)
	defer stop()
	return endpoint.ProbeCrash(ctx, c.srv.cfg.DialService(e.GetAddress())) != nil
}
