package policy

import "time"

// Offer describes what one endpoint can provide for a request.
type Offer struct {
	Endpoint string
	// GrantID identifies the reserved slot, 0 before one is reserved. It is unique at the
	// instance that owns the endpoint.
	GrantID uint64
	// CachedTokens is the estimated number of prompt tokens in the endpoint's cache.
	CachedTokens int64
	// Wait is the expected time until the endpoint starts work on the request.
	Wait time.Duration
	// Incarnation is the endpoint's incarnation when the offer was made.
	Incarnation uint64
	// Alone is set if no other request runs on the endpoint at the same time.
	Alone bool
	// Long is set if the prompt takes long to prefill and the engine should queue it behind other
	// requests of its class.
	Long bool
	// PrefillRate is the endpoint's measured prefill rate in tokens per second, 0 if unknown.
	PrefillRate float64
}

// CostModel holds the parameters of the cost model that Choose uses.
type CostModel struct {
	// PrefillTokensPerSecond is the prefill rate assumed for endpoints whose offer has none.
	PrefillTokensPerSecond float64
	// Recompute multiplies the time to prefill uncached tokens. Recomputation delays other
	// requests on the endpoint and evicts their cache blocks, so it costs the fleet more than the
	// request itself.
	Recompute float64
	// ImportTokensPerSecond is the rate at which stored KV cache is imported, 0 if there is no
	// store. ImportFixed is the fixed cost of each import.
	ImportTokensPerSecond float64
	ImportFixed           time.Duration
	// Urgent is set for requests that should not wait.
	Urgent bool
}

// DefaultRecompute is the default for CostModel.Recompute. docs/notes/placement.md has the
// measurements behind it.
const DefaultRecompute = 2

// urgentRecomputeFactor scales the recomputation cost for urgent requests. Their prompts are short
// and frequent: a copy on each candidate takes little cache space and is reused. The request can
// then go to any candidate with a free slot instead of waiting for a long response to finish on the
// one that has the prompt cached.
const urgentRecomputeFactor = 0.25

// saturationWait is the wait at the least busy candidate at which the recomputation cost doubles.
// An endpoint is given about a tenth of a second of work in advance, so a shorter wait is not yet a
// sign of saturation.
const saturationWait = 100 * time.Millisecond

// Choice is the result of Choose.
type Choice struct {
	// Index of the chosen offer, -1 if there were no offers.
	Index int
	// ImportTokens is the number of tokens of stored KV cache to import before the request is
	// sent, 0 for none.
	ImportTokens int64
	// Cost is the weighted estimate of the time to the first token.
	Cost time.Duration
}

// Choose returns the offer with the lowest sum of wait and weighted recomputation time.
// storedTokens is the number of prompt tokens that can be imported from the KV store.
//
// It handles a hot prefix whose load exceeds one endpoint: a request moves to another endpoint
// exactly when waiting would cost more than recomputing the prefix. The prefix thus spreads over
// as many endpoints as it needs and contracts again, without a list of hot prefixes. Otherwise
// callers of a hot prefix would queue behind each other while other endpoints are idle. Ties go to
// the earlier candidate; the order of candidates is the same on all instances.
func Choose(promptTokens, storedTokens int64, offers []Offer, p CostModel) Choice {
	p = p.withScarcity(offers)
	best := Choice{Index: -1}
	for i, o := range offers {
		at := p
		if o.PrefillRate > 0 {
			at.PrefillTokensPerSecond = o.PrefillRate
		}
		work, imported := at.prefill(promptTokens, storedTokens, o.CachedTokens)
		cost := o.Wait + work
		if best.Index < 0 || cost < best.Cost {
			best = Choice{Index: i, ImportTokens: imported, Cost: cost}
		}
	}
	return best
}

// withScarcity returns p with the recomputation cost adjusted to the load. The cost rises with the
// wait at the least busy candidate. While a candidate is idle, recomputing a prompt delays no
// other request. Under saturation it does: each request that moves takes the recomputed work from
// the pool's capacity, waits grow, and more requests move. Without the adjustment the hit rate
// fell as load rose; with it the hit rate is stable.
func (p CostModel) withScarcity(offers []Offer) CostModel {
	if len(offers) == 0 {
		return p
	}
	minWait := offers[0].Wait
	for _, o := range offers {
		minWait = min(minWait, o.Wait)
	}
	if p.Urgent {
		p.Recompute *= urgentRecomputeFactor
	}
	p.Recompute *= 1 + minWait.Seconds()/saturationWait.Seconds()
	return p
}

// prefill returns the weighted cost of the uncached tokens and the number of tokens to import from
// the KV store, which is above 0 only where importing is cheaper than computing.
func (p CostModel) prefill(prompt, stored, cached int64) (time.Duration, int64) {
	missing := max(prompt-cached, 0)
	compute := p.Compute(missing)
	gain := min(stored, prompt) - cached
	if p.ImportTokensPerSecond <= 0 || gain <= 0 {
		return compute, 0
	}
	importCost := p.ImportFixed + seconds(float64(gain)/p.ImportTokensPerSecond) + p.Compute(missing-gain)
	if importCost >= compute {
		return compute, 0
	}
	return importCost, gain
}

// Import returns how many tokens of stored KV cache are worth importing before a prompt is sent to
// an endpoint that has the given number of cached tokens, 0 for none.
func (p CostModel) Import(prompt, stored, cached int64) int64 {
	_, imported := p.prefill(prompt, stored, cached)
	return imported
}

// Compute returns the weighted cost of prefilling the given number of tokens.
func (p CostModel) Compute(tokens int64) time.Duration {
	if p.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(tokens) / p.PrefillTokensPerSecond * p.Recompute)
}

// seconds converts s to a duration, capped at an hour so that sums of durations cannot overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
