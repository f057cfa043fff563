package gateway

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/policy"
)

var (
	retriesSent    = metrics.GetOrCreateCounter(`sardinedock_gateway_retries_total{result="sent"}`)
	retriesRefused = metrics.GetOrCreateCounter(`sardinedock_gateway_retries_total{result="refused"}`)
)

// retryLimitOf names what a refused retry was refused for: the limit of a process that has not run for a window yet, or of one
// that has.
func retryLimitOf(d policy.RetryDecision) string {
	if d.Starting {
		return "recent start"
	}
	return "window"
}

// logRetries adds what was charged to the fleet's retry limit, and why it refused a retry, to the request's log line.
func (r *request) logRetries(f log.Fields) {
	if r.retried > 0 {
		f["retried"] = r.retried
	}
	if d := r.retryRefused; d != nil {
		f["retries"], f["retry_limit"] = "used up", retryLimitOf(*d)
		f["window_requests"], f["window_retries"], f["window_allowed"] = d.Requests, d.Retries, math.Round(10*d.Allowed)/10
	}
}

// chargeRetry charges one retry to the fleet's retry limit and reports whether it may be sent.
func (r *request) chargeRetry() bool {
	d := r.srv.cfg.Budget.Retry(time.Now(), r.service.Name)
	if !d.Granted {
		r.retryRefused = &d
		retriesRefused.Inc()
		return false
	}
	r.retryRefused = nil
	r.retried++
	retriesSent.Inc()
	return true
}
