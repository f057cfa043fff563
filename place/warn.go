package place

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
	// warnBound is how long the answer of a crash-causing request is held for
	// the other instances to hear of it. A round trip to all of them takes
	// milliseconds; one that does not answer hears it by the exchange.
	warnTimeout = 100 * time.Millisecond
	// warnAtOnce bounds the calls that are open at a time.
	maxConcurrentWarnings = 32
)

var (
	warnings       = metrics.GetOrCreateCounter("sardinedock_place_warnings_total")
	warningsFailed = metrics.GetOrCreateCounter("sardinedock_place_warnings_failed_total")
)

// warn tells all other instances of a request that an endpoint has died of, if
// its caller hears of it next.
//
// A caller whose request crashed two endpoints reads an error and sends it
// again a moment later, through the balancer and so at another instance. The
// exchange takes about a second to reach that one, and until then it would run
// the request like any other: each instance would lose two endpoints. A request
// that is not refused yet and may be repeated is run again here, so its caller
// hears nothing yet; for that the exchange is quick enough. So a crash costs no
// calls for each of the many requests that were in flight beside the one that
// caused it.
func (f *Fleet) warn(now time.Time, t *placement) {
	fingerprint := t.request.Fingerprint
	verdict, _ := f.guard.verdict(now, fingerprint)
	if verdict != policy.CrashRefused && !t.request.Class.GetNonIdempotent() {
		return
	}
	state, ttl := f.guard.crashState(now, fingerprint)
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

// canHear reports whether a member may be serving callers.
func (f *Fleet) canServe(m member.Member) bool {
	gone := m.Status == fleetpb.MemberStatus_MEMBER_STATUS_DEAD || m.Status == fleetpb.MemberStatus_MEMBER_STATUS_LEFT
	return !gone && m.Name != f.cfg.Caller.GetInstance() && m.Address != ""
}

// Warn takes another instance's warning. It counts before the reply is sent.
func (f *Fleet) Warn(_ context.Context, in *fleetpb.WarnRequest) (*fleetpb.WarnReply, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(in.GetState())
	if err != nil {
		return nil, err
	}
	f.guard.merge(f.cfg.Clock.Now(), hex.EncodeToString(in.GetFingerprint()), value, milliseconds(in.GetTtlMs()))
	return &fleetpb.WarnReply{}, nil
}
