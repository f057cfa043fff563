package place

import (
	"encoding/hex"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// crashMemory is how long a request that crashed endpoints is remembered.
const crashRetention = 10 * time.Minute

// guard shares what instances know of requests that were in flight when an
// endpoint crashed. Any goroutine may use it.
type guard struct {
	publish func(kind fleetpb.ItemKind, name string, value []byte, ttl time.Duration)

	mu    sync.Mutex
	crash *policy.CrashGuard
}

func newGuard(publish func(fleetpb.ItemKind, string, []byte, time.Duration)) *guard {
	return &guard{publish: publish, crash: policy.NewCrashGuard(crashRetention)}
}

func (g *guard) verdict(now time.Time, fingerprint [16]byte) (policy.CrashVerdict, time.Duration) {
	if fingerprint == ([16]byte{}) {
		return policy.CrashClean, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crash.Verdict(now, fingerprint)
}

func (g *guard) recordCrash(now time.Time, endpoint string, incarnation uint64, lost []owner.Fingerprint) {
	g.mu.Lock()
	for _, fp := range lost {
		if fp != (owner.Fingerprint{}) {
			g.crash.Crashed(now, fp, endpoint, incarnation)
		}
	}
	g.publishChanges(now)
}

func (g *guard) recordCompletion(now time.Time, fingerprint [16]byte) {
	g.mu.Lock()
	g.crash.Completed(now, fingerprint)
	g.publishChanges(now)
}

// heard merges what another instance told. Where this one knows more, it tells
// the joined state, so that of two that write at once nothing is lost.
func (g *guard) merge(now time.Time, name string, value []byte, ttl time.Duration) {
	raw, err := hex.DecodeString(name)
	var s fleetpb.FingerprintState
	if err != nil || len(raw) != len(owner.Fingerprint{}) || proto.Unmarshal(value, &s) != nil {
		return
	}
	g.mu.Lock()
	g.crash.Merge(now, [16]byte(raw), &policy.CrashState{Endpoints: s.GetEndpoints(), Cleared: s.GetCleared()}, ttl)
	g.publishChanges(now)
}

// share publishes what has changed. It takes the lock over and releases it: a
// publication may wait for the exchange, which may wait for heard.
func (g *guard) publishChanges(now time.Time) {
	type change struct {
		name  string
		value []byte
		ttl   time.Duration
	}
	var changes []change
	for _, fp := range g.crash.Changed() {
		if s, ttl := g.crash.State(now, fp); s != nil {
			value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(crashMessage(s))
			changes = append(changes, change{hex.EncodeToString(fp[:]), value, ttl})
		}
	}
	g.mu.Unlock()
	for _, c := range changes {
		g.publish(fleetpb.ItemKind_ITEM_KIND_FINGERPRINT, c.name, c.value, c.ttl)
	}
}

func crashMessage(s *policy.CrashState) *fleetpb.FingerprintState {
	return &fleetpb.FingerprintState{Endpoints: s.Endpoints, Cleared: s.Cleared, Crashes: int32(s.Crashes())}
}

// known returns what is known of a fingerprint and for how long, nil if nothing.
func (g *guard) crashState(now time.Time, fingerprint [16]byte) (*policy.CrashState, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crash.State(now, fingerprint)
}

func (g *guard) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash.Tick(now)
}
