package balance

import "time"

const (
	// initialRate is the assumed rate at which an endpoint reads prompts, in tokens per ms,
	// until it has been measured.
	initialRate = 40.0
	// fixedTime is the part of the time to first token that does not depend on the prompt: a
	// network round trip and one step of the engine.
	fixedTime = 30 * time.Millisecond
	// measuredTokens is the shortest prompt whose time gives a usable rate. An endpoint with
	// fewer than enoughMeasured measurements uses its pool's rate. rateWeight is the
	// smoothing factor of the newest measurement: single ones differ by half, depending on
	// what else runs there.
	measuredTokens = 2000
	enoughMeasured = 10
	rateWeight     = 0.03
)

// measure updates the rate at which the endpoint reads prompts. Runs behind much other work
// are left out, because the endpoint may have run them first.
func (s *State) measure(now time.Time, e *endpoint, r *run) {
	took := now.Sub(r.at)
	if r.Uncached < measuredTokens || r.ahead > r.Uncached || took <= fixedTime {
		return
	}
	rate := e.pace.now(now) * float64(r.ahead+r.Uncached) / float64((took-fixedTime).Milliseconds()+1)
	e.rate.Add(rate, rateWeight)
	s.rates[e.Service] = s.poolRate(e.Service) + rateWeight*(rate-s.poolRate(e.Service))
}

func (s *State) poolRate(service string) float64 {
	if r, ok := s.rates[service]; ok {
		return r
	}
	return initialRate
}

// rateOf returns the rate at which an endpoint reads prompts now.
func (s *State) rateOf(now time.Time, e *endpoint) float64 {
	rate := s.poolRate(e.Service)
	if e.rate.N >= enoughMeasured {
		rate = e.rate.Value
	}
	return rate / e.pace.now(now)
}
