package instance

import (
	"slices"
	"testing"

	"github.com/sardinedock/sardinedock/rollout"
	"github.com/sardinedock/sardinedock/schema/fleetpb"
)

func engineState(status fleetpb.EndpointStatus, incarnation uint64, reason string) map[string]*fleetpb.EndpointState {
	return map[string]*fleetpb.EndpointState{"engine-1": {Status: status, Incarnation: incarnation, Reason: reason}}
}

// Endpoints become unresponsive, are expelled and come back, and versions are rolled out. Each
// of these decisions is reported to operators once.
func TestDecisionsAreReportedOnce(t *testing.T) {
	const (
		live    = fleetpb.EndpointStatus_ENDPOINT_STATUS_LIVE
		expel   = fleetpb.EndpointStatus_ENDPOINT_STATUS_EXPELLED
		suspect = fleetpb.EndpointStatus_ENDPOINT_STATUS_SUSPECT
	)
	done := rollout.Progress{Wanted: []string{"counter@2"}}
	open := rollout.Progress{Wanted: []string{"counter@2"}, Behind: []string{"engine-1"}}
	var d decisionTracker
	for i, step := range []struct {
		states   map[string]*fleetpb.EndpointState
		progress rollout.Progress
		want     []string
	}{
		{engineState(live, 1, ""), done, nil},
		{engineState(live, 1, ""), done, nil},
		{engineState(suspect, 1, "silent"), done, []string{"endpoint engine-1 is suspect; silent"}},
		{engineState(expel, 1, "silent for long"), done, []string{"endpoint engine-1 is expelled; silent for long"}},
		{engineState(live, 2, ""), open, []string{
			"endpoint engine-1 has restarted; what was known of its cache is dropped",
			"endpoint engine-1 is live",
			"rollout of counter@2 begins",
		}},
		{engineState(live, 2, ""), done, []string{"rollout of counter@2 is done"}},
	} {
		if got := d.compare(step.states, step.progress); !slices.Equal(got, step.want) {
			t.Errorf("step %d: got %q, want %q", i, got, step.want)
		}
	}
}
