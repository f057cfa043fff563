package hosted

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/balance"
)

// Requests that found all endpoints that could run them at their concurrency limits, by outcome.
var (
	admittedUnderShare  = metrics.GetOrCreateCounter(`sardinedock_admission_total{outcome="under_share"}`)
	refusedOverShare    = metrics.GetOrCreateCounter(`sardinedock_admission_total{outcome="refused_share"}`)
	refusedForFullSlots = metrics.GetOrCreateCounter(`sardinedock_admission_total{outcome="refused_full"}`)
)

// countAdmission counts a decision on a request that found all endpoints at their concurrency limits.
func countAdmission(v balance.Decision) {
	switch {
	case v.AboveLimit && v.Admission == balance.Send:
		admittedUnderShare.Inc()
	case v.Refusal.Reason.OverShare() != "":
		refusedOverShare.Inc()
	case v.Refusal.Reason != balance.NotRefused:
		refusedForFullSlots.Inc()
	}
}

// leastKnown is the share of the fleet whose runs a scheduler has to know to decide on limits.
const leastKnown = 0.5

// knownShare returns the share of the fleet whose runs this instance knows; 0 if it knows too little to refuse a request
// for full slots. A scheduler receives the runs of all instances that it reaches. Any other instance, and one that has
// just started and reaches few, knows next to none: after a restart of the whole fleet its share of the slots would be less than one,
// and callers would be refused while the endpoints idle.
func (i *Instance) knownShare() float64 {
	r := i.reach()
	switch {
	case r.Listed == 0:
		return 1
	case !r.Scheduler:
		return 0
	}
	if known := r.Share(); known >= leastKnown {
		return known
	}
	return 0
}

// writeLimits writes the gauge of the concurrency limits, by service.
func (i *Instance) writeLimits(out io.Writer) {
	for _, p := range i.state.Pools(time.Now()) {
		metrics.WriteGaugeUint64(out, fmt.Sprintf("sardinedock_concurrency_limit{service=%q}", p.Service), uint64(p.Limit))
	}
}
