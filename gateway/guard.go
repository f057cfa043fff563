package gateway

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/policy"
)

// crashMemory is how long a request that crashed endpoints is remembered. Its caller retries within
// seconds; an hour later the endpoints may run another release.
const crashMemory = 10 * time.Minute

// CrashGuard is a policy.CrashGuard that is safe for concurrent use.
type CrashGuard struct {
	mu    sync.Mutex
	guard *policy.CrashGuard
}

// NewCrashGuard returns a guard with no recorded crashes.
func NewCrashGuard() *CrashGuard {
	return &CrashGuard{guard: policy.NewCrashGuard(crashMemory)}
}

// Crashed records that a request was running when an endpoint's incarnation crashed.
func (g *CrashGuard) Crashed(now time.Time, fingerprint [16]byte, endpointID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Crashed(now, fingerprint, endpointID, 0)
}

// Verdict returns how to treat a request; see policy.CrashGuard.
func (g *CrashGuard) Verdict(now time.Time, fingerprint [16]byte) (policy.CrashVerdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Verdict(now, fingerprint)
}
