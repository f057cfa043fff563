package gateway

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/policy"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Guards against a request that crashes an endpoint through each of several instances, since its caller sends it to the
// next one before a dial has confirmed the crash, and against one that is refused everywhere for a broken connection.
func TestOtherInstancesAreNotifiedOfASuspectBeforeTheCrashIsConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	other := NewCrashGuard("b", func(*gossippb.Notice) {})
	g := NewCrashGuard("a", func(n *gossippb.Notice) { other.ApplyNotice(now, "a", n) })
	subject := policy.CrashSubject{Content: [16]byte{1}, Caller: 1}
	expect := func(when string, want policy.CrashVerdict) {
		t.Helper()
		if got := other.assess(now, subject).Verdict; got != want {
			t.Errorf("%s: %v at the other instance, want %v", when, got, want)
		}
	}
	held := g.crashed(now, "e-1", interruptedRun{subject: subject, crashID: "1"})
	expect("first crash", policy.CrashSuspect)
	g.disprove(now, held, "1")
	expect("a broken connection, and no crash", policy.CrashClean)
	g.confirm(now, g.crashed(now, "e-2", interruptedRun{subject: subject, crashID: "2"}))
	held = g.crashed(now, "e-3", interruptedRun{subject: subject, crashID: "3", alone: true})
	expect("a second crash, not confirmed", policy.CrashSuspect)
	g.confirm(now, held)
	expect("a second crash, confirmed", policy.CrashConfined)
	now = now.Add(convictionDelay)
	expect("checked by the others", policy.CrashRefused)
}
