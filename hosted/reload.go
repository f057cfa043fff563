package hosted

import (
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Reload applies changed settings while the instance serves. Bounds take effect at once, except for
// the lease's length: if two instances used different lengths, the lease could be taken while its
// holder still relies on it. That and all other settings, such as addresses, stay fixed for the
// life of the process and take effect at the next start.
//
// If the operator shortens the grace period and an instance kept the one from its start, it would
// be killed in the middle of answers that it meant to finish.
func (i *Instance) Reload(s *settingspb.Hosted) {
	before := i.bounds.Load()
	b := s.GetBounds()
	if !proto.Equal(before, b) {
		i.setBounds(b)
		log.WithField("grace_seconds", b.GetGraceSeconds()).WithField("retry_ratio", b.GetRetryRatio()).WithField("retry_slack", b.GetRetrySlack()).
			WithField("retry_window_seconds", b.GetRetryWindowSeconds()).WithField("weights_ms", b.GetWeightsMs()).WithField("heartbeat_ms", b.GetHeartbeatMs()).
			Info("settings in force")
	}
	if waits := fieldsNeedingRestart(i.settings, s); len(waits) > 0 {
		log.WithField("fields", waits).Warn("settings wait for the next start")
	}
}

// setBounds applies bounds.
func (i *Instance) setBounds(b *settingspb.HostedBounds) {
	i.bounds.Store(b)
	i.state.SetStaleBound(milliseconds(b.GetWeightsMs()))
	i.budget.SetLimits(b.GetRetryRatio(), b.GetRetrySlack(), seconds(b.GetRetryWindowSeconds()))
	i.followers[platform.KindEndpoints].SetMinExpiryOutage(minExpiryOutage(b))
}

// minExpiryOutage is the shortest outage of the store in which endpoints' entries can expire: they
// do so three heartbeats after the last one, and that may be nearly one heartbeat old when the
// outage begins.
func minExpiryOutage(b *settingspb.HostedBounds) time.Duration {
	return 2 * milliseconds(b.GetHeartbeatMs())
}

// fieldsNeedingRestart returns the changed fields that take effect only at the next start.
func fieldsNeedingRestart(at, now *settingspb.Hosted) []string {
	var names []string
	add := func(name string, differs bool) {
		if differs {
			names = append(names, name)
		}
	}
	add("instance", at.GetInstance() != now.GetInstance())
	add("data_centre", at.GetDataCentre() != now.GetDataCentre())
	add("listen", !proto.Equal(at.GetListen(), now.GetListen()))
	add("store", at.GetStore() != now.GetStore())
	add("link_mbps", at.GetLinkMbps() != now.GetLinkMbps())
	add("bounds.lease_ms", at.GetBounds().GetLeaseMs() != now.GetBounds().GetLeaseMs())
	return names
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
