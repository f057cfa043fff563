package gateway

import (
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/policy"
)

// crashMemory is how long a request that crashed endpoints is remembered. Its
// caller asks again within seconds; an hour later it may be another release.
const crashMemory = 10 * time.Minute

// CrashGuard shares one policy.CrashGuard among requests. Any goroutine may use
// it.
type CrashGuard struct {
	mu    sync.Mutex
	guard *policy.CrashGuard
}

// NewCrashGuard returns a guard that knows of no crash.
func NewCrashGuard() *CrashGuard {
	return &CrashGuard{guard: policy.NewCrashGuard(crashMemory)}
}

// Crashed notes that a request was running when an incarnation broke.
func (g *CrashGuard) Crashed(now time.Time, fingerprint [16]byte, endpointID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Crashed(now, fingerprint, endpointID, 0)
}

// Verdict tells how to treat a request.
func (g *CrashGuard) Verdict(now time.Time, fingerprint [16]byte) (policy.CrashVerdict, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.guard.Verdict(now, fingerprint)
}
