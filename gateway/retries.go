package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	retriesSent    = metrics.GetOrCreateCounter(`sardinedock_gateway_retries_total{result="sent"}`)
	retriesRefused = metrics.GetOrCreateCounter(`sardinedock_gateway_retries_total{result="refused"}`)
)

// chargeRetry charges one retry to the fleet's retry limit and reports whether it may be sent.
func (r *request) chargeRetry() bool {
	r.outOfRetries = !r.srv.cfg.Budget.Retry(time.Now(), r.service.Name)
	if r.outOfRetries {
		retriesRefused.Inc()
		return false
	}
	r.retried++
	retriesSent.Inc()
	return true
}
