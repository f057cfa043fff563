package placement

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/owner"
	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

// crashRetention is how long a fingerprint is kept after its request crashed an endpoint.
const crashRetention = 10 * time.Minute

// guard tracks requests that were in flight when an endpoint crashed, and publishes them to
// the other instances. It is safe for concurrent use.
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

// recordCrash records the requests that were in flight when an endpoint crashed. alone is set if there
// was one, which the endpoint ran by itself.
func (g *guard) recordCrash(now time.Time, endpoint string, incarnation uint64, alone bool, lost ...owner.Fingerprint) {
	crash := policy.Crash{ID: fmt.Sprintf("%s@%d", endpoint, incarnation), Endpoint: endpoint, Trial: alone}
	g.mu.Lock()
	for _, fp := range lost {
		if fp != (owner.Fingerprint{}) {
			g.crash.Crashed(now, fp, crash)
		}
	}
	g.publishChanges(now)
}

func (g *guard) recordCompletion(now time.Time, fingerprint [16]byte) {
	g.mu.Lock()
	g.crash.Completed(now, fingerprint)
	g.publishChanges(now)
}

// merge merges a state received from another instance. If this instance knows more, it
// publishes the merged state, so that nothing is lost if two instances write at the same
// time.
func (g *guard) merge(now time.Time, name string, value []byte, ttl time.Duration) {
	raw, err := hex.DecodeString(name)
	var s fleetpb.FingerprintState
	if err != nil || len(raw) != len(owner.Fingerprint{}) || proto.Unmarshal(value, &s) != nil {
		return
	}
	g.mu.Lock()
	g.crash.Merge(now, [16]byte(raw), crashState(&s), ttl)
	g.publishChanges(now)
}

// publishChanges publishes changed states. The caller must hold mu; publishChanges releases
// it, since a publication may wait for the exchange, which may wait for merge.
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
	m := &fleetpb.FingerprintState{}
	for _, c := range s.Crashes {
		m.Endpoints = append(m.Endpoints, c.ID)
		if c.Cleared {
			m.Cleared = append(m.Cleared, c.ID)
		}
		if c.Trial {
			m.Alone = append(m.Alone, c.ID)
		}
	}
	m.Crashes = int32(len(m.GetEndpoints()) - len(m.GetCleared()))
	return m
}

func crashState(m *fleetpb.FingerprintState) *policy.CrashState {
	s := &policy.CrashState{}
	for _, id := range m.GetEndpoints() {
		endpoint, _, _ := strings.Cut(id, "@")
		s.Crashes = append(s.Crashes, policy.Crash{
			ID: id, Endpoint: endpoint, Trial: slices.Contains(m.GetAlone(), id), Cleared: slices.Contains(m.GetCleared(), id),
		})
	}
	return s
}

// stateOf returns the state of a fingerprint and its remaining time to live, or nil if
// there is none.
func (g *guard) stateOf(now time.Time, fingerprint [16]byte) (*policy.CrashState, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crash.State(now, fingerprint)
}

func (g *guard) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash.Tick(now)
}
