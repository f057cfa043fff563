package frontend

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/outcome"
)

// counters are the metrics of a server.
type counters struct {
	complete, notRun, unknown *metrics.Counter
	resumed                   *metrics.Counter
	rerun                     *metrics.Counter
	crashed                   *metrics.Counter
	outOfOrder                *metrics.Counter
	cancelled                 *metrics.Counter
	notStarted                *metrics.Counter
}

func newCounters() *counters {
	return &counters{
		complete:   metrics.GetOrCreateCounter(`sardinedock_requests_total{outcome="complete"}`),
		notRun:     metrics.GetOrCreateCounter(`sardinedock_requests_total{outcome="not-run"}`),
		unknown:    metrics.GetOrCreateCounter(`sardinedock_requests_total{outcome="unknown"}`),
		resumed:    metrics.GetOrCreateCounter("sardinedock_streams_resumed_total"),
		rerun:      metrics.GetOrCreateCounter("sardinedock_requests_rerun_total"),
		crashed:    metrics.GetOrCreateCounter("sardinedock_endpoint_deaths_total"),
		outOfOrder: metrics.GetOrCreateCounter("sardinedock_pieces_out_of_order_total"),
		cancelled:  metrics.GetOrCreateCounter("sardinedock_runs_cancelled_total"),
		notStarted: metrics.GetOrCreateCounter("sardinedock_sends_not_started_total"),
	}
}

func (c *counters) outcome(v outcome.Verdict) {
	switch {
	case v.Complete():
		c.complete.Inc()
	case v.NotRun():
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}
