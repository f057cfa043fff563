package hosted

import (
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// Reload takes changed settings in while the instance serves. Bounds are in force at
// once, but for the lease's length: where two instances go by different ones, the lease
// may be taken while its holder still counts on it. That and all else, such as
// addresses, holds for the life of a process and is put off until the next start.
//
// Failure: the operator grants processes less time to end, and this one goes by what it
// read at its start. It is killed in the middle of answers that it meant to finish.
func (i *Instance) Reload(s *settingspb.Hosted) {
	before := i.bounds.Load()
	b := s.GetBounds()
	if !proto.Equal(before, b) {
		i.setBounds(b)
		log.WithField("grace_seconds", b.GetGraceSeconds()).WithField("retry_ratio", b.GetRetryRatio()).WithField("retry_slack", b.GetRetrySlack()).
			WithField("retry_window_seconds", b.GetRetryWindowSeconds()).WithField("weights_ms", b.GetWeightsMs()).WithField("heartbeat_ms", b.GetHeartbeatMs()).
			Info("settings in force")
	}
	if waits := putOff(i.settings, s); len(waits) > 0 {
		log.WithField("fields", waits).Warn("settings wait for the next start")
	}
}

// setBounds puts bounds in force.
func (i *Instance) setBounds(b *settingspb.HostedBounds) {
	i.bounds.Store(b)
	i.state.SetStaleBound(milliseconds(b.GetWeightsMs()))
	i.budget.SetLimits(b.GetRetryRatio(), b.GetRetrySlack(), seconds(b.GetRetryWindowSeconds()))
	i.followers[platform.KindEndpoints].SetMinExpiryOutage(lapseAfter(b))
}

// lapseAfter is the shortest outage in which endpoints' entries can lapse: they go after
// three heartbeats of silence, and the last one before the outage may be nearly one old.
func lapseAfter(b *settingspb.HostedBounds) time.Duration {
	return 2 * milliseconds(b.GetHeartbeatMs())
}

// putOff names the fields that differ and hold for the life of a process.
func putOff(at, now *settingspb.Hosted) []string {
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
