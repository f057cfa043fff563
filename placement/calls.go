package placement

import (
	"time"

	"github.com/sardinedock/sardinedock/policy"
)

// CrashVerdict returns how to treat a call of a plain service with this content, and for how long that
// applies; see policy.CrashGuard.
func (f *Fleet) CrashVerdict(content Fingerprint) (policy.CrashVerdict, time.Duration) {
	return f.guard.verdict(f.cfg.Clock.Now(), content)
}

// CallCrashed records that an endpoint of a plain service crashed while it ran a call. alone is set if the
// call was suspected before and no other suspect was running there. It notifies the other instances
// before it returns, which takes at most warnTimeout, if the call is not sent again from here.
func (f *Fleet) CallCrashed(content Fingerprint, endpoint string, crash uint64, alone, repeatable bool) {
	now := f.cfg.Clock.Now()
	f.guard.recordCrash(now, endpoint, crash, alone, content)
	f.warn(now, content, repeatable)
}

// CallCompleted clears a call that has run to its end.
func (f *Fleet) CallCompleted(content Fingerprint) {
	f.guard.recordCompletion(f.cfg.Clock.Now(), content)
}
