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
	if fields := fieldsNeedingRestart(i.settings, s); len(fields) > 0 {
		log.WithField("fields", fields).Warn("settings wait for the next start")
	}
}

// setBounds applies bounds.
func (i *Instance) setBounds(b *settingspb.HostedBounds) {
	i.bounds.Store(b)
	i.state.SetStaleBound(milliseconds(b.GetWeightsMs()))
	i.budget.SetLimits(time.Now(), b.GetRetryRatio(), b.GetRetrySlack(), seconds(b.GetRetryWindowSeconds()))
	i.followers[platform.KindEndpoints].SetMinExpiryOutage(minExpiryOutage(b))
}

// minExpiryOutage returns the shortest outage of the store in which endpoints' entries can expire:
// they do so three heartbeats after the last one, and that may be nearly one heartbeat old when the
// outage begins.
func minExpiryOutage(b *settingspb.HostedBounds) time.Duration {
	return 2 * milliseconds(b.GetHeartbeatMs())
}

// fieldsNeedingRestart returns the fields in which now differs from the settings of the start and
// that take effect only at the next one.
func fieldsNeedingRestart(atStart, now *settingspb.Hosted) []string {
	var names []string
	add := func(name string, differs bool) {
		if differs {
			names = append(names, name)
		}
	}
	add("instance", atStart.GetInstance() != now.GetInstance())
	add("data_centre", atStart.GetDataCentre() != now.GetDataCentre())
	add("listen", !proto.Equal(atStart.GetListen(), now.GetListen()))
	add("store", atStart.GetStore() != now.GetStore())
	add("link_mbps", atStart.GetLinkMbps() != now.GetLinkMbps())
	add("memory_mb", atStart.GetMemoryMb() != now.GetMemoryMb())
	add("price_quotas", atStart.GetPriceQuotas() != now.GetPriceQuotas())
	add("bounds.lease_ms", atStart.GetBounds().GetLeaseMs() != now.GetBounds().GetLeaseMs())
	return names
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
