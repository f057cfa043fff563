package placement

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/fleet/member"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

const (
	// warnTimeout is how long the response to a request that crashed an endpoint is delayed
	// while the other instances are notified. A round trip to all of them takes
	// milliseconds; one that does not answer receives the state through the exchange.
	warnTimeout = 100 * time.Millisecond
	// maxConcurrentWarnings is the maximum number of concurrent calls.
	maxConcurrentWarnings = 32
)

var (
	warnings       = metrics.GetOrCreateCounter("sardinedock_place_warnings_total")
	warningsFailed = metrics.GetOrCreateCounter("sardinedock_place_warnings_failed_total")
)

// warn notifies all other instances that a request crashed an endpoint, if the caller
// receives a response next.
//
// A caller whose request crashed two endpoints gets an error and sends the request again a
// moment later, through the load balancer and so probably to another instance. The exchange
// takes about a second to reach that one, which would run the request until then, and each
// instance would lose two endpoints. A request that is not refused yet and may be repeated
// is run again by this instance, so its caller gets no response yet and the exchange is
// fast enough. This way a crash causes no calls for the many other requests that were in
// flight at the endpoint.
func (f *Fleet) warn(now time.Time, fingerprint Fingerprint, repeatable bool) {
	verdict, _ := f.guard.verdict(now, fingerprint)
	if verdict != policy.CrashRefused && repeatable {
		return
	}
	state, ttl := f.guard.stateOf(now, fingerprint)
	if state == nil {
		return
	}
	in := &fleetpb.WarnRequest{Caller: f.cfg.Caller, Fingerprint: fingerprint[:], State: crashMessage(state), TtlMs: ttl.Milliseconds()}
	ctx, cancel := context.WithTimeout(context.Background(), warnTimeout)
	defer cancel()
	f.warnAll(ctx, in)
}

func (f *Fleet) warnAll(ctx context.Context, in *fleetpb.WarnRequest) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentWarnings)
	for _, m := range f.routes.Load().view.Members {
		if !f.canServe(m) {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			warningsFailed.Inc()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			warnings.Inc()
			if _, err := f.cfg.Peers.Warn(ctx, m.Address, warnTimeout, in); err != nil {
				warningsFailed.Inc()
			}
		})
	}
	wg.Wait()
}

// canServe reports whether a member is another instance that may be serving callers.
func (f *Fleet) canServe(m member.Member) bool {
	inactive := m.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT
	return !inactive && m.Name != f.cfg.Caller.GetInstance() && m.Address != ""
}

// Warn applies a warning from another instance. It takes effect before Warn returns.
func (f *Fleet) Warn(_ context.Context, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(in.GetState())
	if err != nil {
		return nil, err
	}
	f.guard.merge(f.cfg.Clock.Now(), hex.EncodeToString(in.GetFingerprint()), value, milliseconds(in.GetTtlMs()))
	return &fleetpb.WarnReply{}, nil
}
