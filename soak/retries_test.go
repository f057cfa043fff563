package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinedock/sardinedock/policy/retrytest"
)

// firstRetrySeed is the first seed in which all endpoints of a service fail for seconds, and all instances are killed
// meanwhile.
const firstRetrySeed = 170000

// retryRatioOf returns the ratio of the fleet's retry limit. From firstRetrySeed on it is small beside the slack: callers whose
// requests fail send the next ones at once, so that they would earn more retries than they need.
func retryRatioOf(seed uint64) float64 {
	if seed >= firstRetrySeed && seed < firstEndlessSeed {
		return 0.02
	}
	return 0.2
}

// retryFault has all endpoints of a service fail or reject what they get, and kills all instances several times meanwhile. Only one
// goes on at a time, so that callers meet instances that run.
var retryFault = fault{"all endpoints of a service fail, and all instances are killed", func(s *soak, rng *rand.Rand, _ time.Duration) {
	service, b := s.pickServer(rng).service, []behaviour{failing, rejecting}[rng.IntN(2)]
	kills, between := 1+rng.IntN(4), time.Duration(700+rng.IntN(1000))*time.Millisecond
	if !s.surging.TryLock() {
		return
	}
	defer s.surging.Unlock()
	end := s.endpointFaults.begin()
	defer end()
	s.setBehaviour(service, b)
	defer s.setBehaviour(service, normal)
	for range kills {
		time.Sleep(between)
		s.killAll(between / 10)
	}
	time.Sleep(between)
}}

// retryFaultsOf returns the faults of a seed from firstRetrySeed on: every third is retryFault, the others leave instances
// running.
func retryFaultsOf() []fault {
	return []fault{retryFault, faultNamed("records change"), faultNamed("weights version published")}
}

func faultNamed(name string) fault {
	return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
}

// setBehaviour changes the behaviour of all endpoints of a service.
func (s *soak) setBehaviour(service string, b behaviour) {
	for _, x := range s.liveServers() {
		if x.service == service {
			x.behaviour.Store(int32(b))
		}
	}
}

// checkRetries checks that the endpoints of each service got no more retries in any window than the fleet may send, however
// often its instances were killed.
func (s *soak) checkRetries(calls []call) {
	for service, retries := range s.checker.retriesByService() {
		l := retrytest.Ledger{Ratio: retryRatioOf(s.seed), Slack: retrySlack, Window: retryWindow * time.Second, Retries: retries}
		for _, c := range calls {
			if c.service() == service {
				l.Requests = append(l.Requests, c.sentAt)
			}
		}
		l.Sort()
		if from := l.Worst(); float64(l.Sent(from)) > l.Allowed(from) {
			s.checker.addViolation("BUDGET: %s got %d retries in the window from %s, %.0f are allowed", service, l.Sent(from), formatTime(from), l.Allowed(from))
		}
	}
}

// retriesByService returns a copy of the times of all retries.
func (ck *checker) retriesByService() map[string][]time.Time {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	list := map[string][]time.Time{}
	for service, times := range ck.retries {
		list[service] = slices.Clone(times)
	}
	return list
}

// service is the one that the request's route names.
func (c *call) service() string {
	if c.kind == lookup || c.kind == confirm {
		return "orders"
	}
	return "pool"
}
