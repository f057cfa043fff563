package hosted

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against instances that spend the fleet's retries again after each restart.
func TestKilledInstancesStayBelowRetryLimit(t *testing.T) {
	const (
		instances, restarts, requests = 3, 4, 20
		slack, ratio                  = 9, 0.2
	)
	f := newFixtureWith(t, instances, slack)
	var arrivals atomic.Int64
	fails := func(x *platformtest.Exchange) bool {
		arrivals.Add(1)
		x.Answer(500, "failed")
		return true
	}
	for k := range 3 {
		f.endpoint(fmt.Sprintf("e%d", k), "orders", fails)
	}
	f.serve(3, nil)
	sent := 0
	for play := range restarts {
		if play > 0 {
			f.restartInstances(func() {})
			f.serve(3, nil)
		}
		for k := range requests {
			f.sendTo(k%instances, f.request("GET", "/stock/1", ""))
			sent++
		}
	}
	// All of it lies within one window.
	if repeats, allowed := int(arrivals.Load())-sent, ratio*float64(sent)+slack; float64(repeats) > allowed {
		t.Errorf("%d retries of %d requests, allowed %.0f", repeats, sent, allowed)
	}
}
