package hosted

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/platform/platformtest"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// The operator shortens the grace period from 4 s to 2 s in the settings file. An instance that
// kept the value from its start would be killed with open answers; it has to finish within the new
// time, and refuse requests that do not fit.
func TestChangedGracePeriodTakesEffectAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e1", "orders", func(x *platformtest.Exchange) bool { x.Answer(200, "done"); return true })
	f.serve(1, nil)
	i := f.instances[0]
	changed := proto.Clone(i.settings).(*settingspb.Hosted)
	changed.Bounds.GraceSeconds = 2
	i.Reload(changed)
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		i.Shutdown()
		close(ended)
	}()
	f.eventually("the instance drains", func() bool { return i.shutdownAt.Load() != nil })
	// The route's timeout, 2 s, is longer than the time that remains.
	if a := f.do(f.request("POST", "/confirm/1", "x")); a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v, want a refusal", a)
	}
	<-ended
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("ended after %v, want 2 s at the most", took)
	}
}

// Changed addresses and lease lengths can't take effect before the next start, and the log has to
// say so.
func TestFixedSettingsAreReportedAsNeedingRestart(t *testing.T) {
	at := &settingspb.Hosted{Instance: "one", Store: "10.0.0.1:1", Listen: &settingspb.HostedListen{Callers: "10.0.0.2:1"}, Bounds: &settingspb.HostedBounds{LeaseMs: 3000, GraceSeconds: 8}}
	now := proto.Clone(at).(*settingspb.Hosted)
	now.Listen.Callers, now.Bounds.LeaseMs, now.Bounds.GraceSeconds = "10.0.0.2:2", 2000, 4
	if got := fieldsNeedingRestart(at, now); !slices.Equal(got, []string{"listen", "bounds.lease_ms"}) {
		t.Errorf("fields that need a restart: %v", got)
	}
}
