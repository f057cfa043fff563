package balance

import "time"

const (
	// firstRate is the guess of how fast an endpoint reads, in tokens a ms, until
	// it was measured.
	firstRate = 40.0
	// fixedTime is the part of the time to a first token that does not depend on
	// the prompt: two ways over the network, and a step of the engine.
	fixedTime = 30 * time.Millisecond
	// measuredTokens is the least prompt whose time tells the rate. Before
	// enoughMeasured an endpoint counts as its pool; rateWeight is the weight of the
	// newest measurement: single ones differ by half, with what else runs there.
	measuredTokens = 2000
	enoughMeasured = 10
	rateWeight     = 0.03
)

// measure learns how fast the endpoint reads prompts. Runs behind much other work
// are left out: the endpoint may have taken them before it.
func (s *State) measure(e *endpoint, r *run, took time.Duration) {
	if r.Uncached < measuredTokens || r.ahead > r.Uncached || took <= fixedTime {
		return
	}
	rate := float64(r.ahead+r.Uncached) / float64((took-fixedTime).Milliseconds()+1)
	e.measured++
	e.rate += max(rateWeight, 1/float64(e.measured)) * (rate - e.rate)
	s.rates[e.Service] = s.poolRate(e.Service) + rateWeight*(rate-s.poolRate(e.Service))
}

func (s *State) poolRate(service string) float64 {
	if r, ok := s.rates[service]; ok {
		return r
	}
	return firstRate
}

func (s *State) rateOf(e *endpoint) float64 {
	if e.measured >= enoughMeasured {
		return e.rate
	}
	return s.poolRate(e.Service)
}
