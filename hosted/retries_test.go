package hosted

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// retryFixture has instances before a service whose endpoints fail all that they get.
type retryFixture struct {
	*fixture
	arrivals atomic.Int64
	sent     int
}

const (
	retryInstances = 3
	retryRatio     = 0.2
)

func newRetryFixture(t *testing.T, slack, windowSeconds float64) *retryFixture {
	f := &retryFixture{fixture: newFixtureWith(t, 0, slack)}
	f.retryWindow, f.afterRetries = windowSeconds, true
	for k := range retryInstances {
		f.start(fmt.Sprintf("instance-%d", k))
	}
	for k := range 3 {
		f.endpoint(fmt.Sprintf("e%d", k), "orders", func(x *platformtest.Exchange) bool {
			f.arrivals.Add(1)
			x.Answer(http.StatusInternalServerError, "failed")
			return true
		})
	}
	f.serve(3, nil)
	return f
}

// send sends requests to all instances in turn.
func (f *retryFixture) send(requests int) {
	for k := range requests {
		f.sendTo(k%len(f.instances), f.request("GET", "/stock/1", ""))
		f.sent++
	}
}

// expectWithin fails the test if the endpoints got more retries than the requests earn, and some of the slack.
func (f *retryFixture) expectWithin(slack float64) {
	f.t.Helper()
	if retries, allowed := int(f.arrivals.Load())-f.sent, retryRatio*float64(f.sent)+slack; float64(retries) > allowed {
		f.t.Errorf("%d retries of %d requests, allowed %.0f", retries, f.sent, allowed)
	}
}

// Guards against instances that spend the fleet's retries again after each restart.
func TestKilledInstancesStayBelowRetryLimit(t *testing.T) {
	const slack, windowSeconds, plays, requests = 9, 10, 4, 20
	f := newRetryFixture(t, slack, windowSeconds)
	for play := range plays {
		if play > 0 {
			f.restartInstances(func() {})
			f.serve(3, nil)
		}
		f.send(requests)
	}
	f.expectWithin(slack)
}

// Guards against a fleet that spends its retries once in each part that a partition divides it into: an instance that receives messages from few
// others does not know whether the rest serve callers too.
func TestPartitionedInstancesStayBelowRetryLimit(t *testing.T) {
	const slack, windowSeconds, listed, requests = 80, 1, 16, 150
	f := newRetryFixture(t, slack, windowSeconds)
	for k := retryInstances; k < listed; k++ {
		f.store.Put(kindInstances, fmt.Sprintf("instance-%d", k), map[string]any{"gossip": "127.0.0.1:9", "data_centre": "dc-1"})
	}
	f.eventually("all instances listed everywhere", func() bool {
		for _, i := range f.instances {
			if _, n := i.node.Reach(); n != listed {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * sweepInterval)
	f.send(requests)
	f.expectWithin(float64(slack) * retryInstances / listed)
}
